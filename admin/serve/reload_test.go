package serve

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"chestnutlatch/setup"
)

// lockedBuffer is a buffer that is safe for concurrent use.
type lockedBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *lockedBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

func (l *lockedBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}

// TestUnreadableSettingsAreLogged sends SIGHUP while the settings file cannot be read.
func TestUnreadableSettingsAreLogged(t *testing.T) {
	var out lockedBuffer
	file := filepath.Join(t.TempDir(), "missing.ini")
	if err := os.WriteFile(file, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		watchSettings(ctx, file, notifyHangup(), hclog.New(&hclog.LoggerOptions{Output: &out}), func(*setup.Settings) {})
	}()
	if err := os.Remove(file); err != nil {
		t.Fatal(err)
	}
	// The poll logs the failure; by then the signal is handled.
	for !strings.Contains(out.String(), "cannot read the settings file, keeping") {
		time.Sleep(5 * time.Millisecond)
	}
	if err := syscall.Kill(os.Getpid(), syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	for strings.Count(out.String(), "cannot read the settings file, keeping") < 2 {
		time.Sleep(5 * time.Millisecond)
	}
	cancel()
	<-done
}
