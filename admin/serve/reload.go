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

// lookEvery is the time between two looks at the settings file, which may
// change without a signal.
const lookEvery = 2 * time.Second

// watchSettings calls reload when the settings file has changed, on SIGHUP or
// without it. A file that does not check changes nothing.
func watchSettings(ctx context.Context, file string, log hclog.Logger, reload func(*setup.Settings)) {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)
	tick := time.NewTicker(lookEvery)
	defer tick.Stop()
	last, err := os.ReadFile(file)
	if err != nil {
		log.Warn("settings file cannot be read", "file", file, "error", err)
	}
	for {
		signaled := false
		select {
		case <-ctx.Done():
			return
		case <-hup:
			signaled = true
		case <-tick.C:
		}
		content, err := os.ReadFile(file)
		if err != nil || bytes.Equal(content, last) && !signaled {
			continue
		}
		last = content
		cfg, err := setup.Parse(content)
		if err != nil {
			log.Error("settings refused, the last ones stay in force", "file", file, "error", err)
			continue
		}
		reload(cfg)
	}
}
