package serve

import (
	"bytes"
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/hashicorp/go-hclog"

	"chestnutlatch/setup"
)

// settingsPollInterval is the time between two reads of the settings file. The
// file is polled because it may change without a SIGHUP.
const settingsPollInterval = 2 * time.Second

// notifyHangup returns a channel that receives SIGHUP for the rest of the process's
// life. The signal is never given back its default action, which would end a daemon
// that is still answering requests.
func notifyHangup() <-chan os.Signal {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	return hup
}

// watchSettings calls reload when the content of the settings file changes, and
// on every signal from hup. A file that cannot be read or is invalid leaves the
// settings unchanged. It returns when ctx is done.
func watchSettings(ctx context.Context, file string, hup <-chan os.Signal, log hclog.Logger, reload func(*setup.Settings)) {
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	last, err := os.ReadFile(file)
	if err != nil {
		log.Warn("cannot read the settings file", "file", file, "error", err)
	}
	readable := true
	for {
		signaled := false
		select {
		case <-ctx.Done():
			return
		case <-hup:
			signaled = true
		case <-ticker.C:
		}
		content, err := os.ReadFile(file)
		if err != nil {
			// A poll repeats itself, so it logs only the first failure.
			if signaled || readable {
				log.Error("cannot read the settings file, keeping the previous settings", "file", file, "error", err)
			}
			readable = false
			continue
		}
		readable = true
		if bytes.Equal(content, last) && !signaled {
			continue
		}
		last = content
		cfg, err := setup.Parse(content)
		if err != nil {
			log.Error("invalid settings file, keeping the previous settings", "file", file, "error", err)
			continue
		}
		reload(cfg)
	}
}
