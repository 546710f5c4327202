package serve

import (
	"bufio"
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"chestnutlatch/cmdkit"
)

// serveFileVariable names the environment variable with which the test binary runs
// the daemon instead of the tests. Its value is the path of the settings file.
const serveFileVariable = "CHESTNUTLATCH_TEST_SERVE"

func TestMain(m *testing.M) {
	file := os.Getenv(serveFileVariable)
	if file == "" {
		os.Exit(m.Run())
	}
	if err := serveRun(context.Background(), &Options{Factory: &cmdkit.Factory{Streams: cmdkit.SystemStreams()}, File: file}); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	os.Exit(0)
}

// daemonSettings has the daemon's IP address as %[1]s.
const daemonSettings = `
[daemon]
instance = i1
data_centre = a
region = r
caller_address = %[1]s:12001
inner_address = %[1]s:12002
member_address = %[1]s:12003
operator_address = %[1]s:12004
trust_network = true
stop_timeout_ms = 4000
[platform]
adapter = kv
ready_address = %[1]s:12005
announce_address = %[1]s:12006
service = svc
heartbeat_ms = 1000
leave_ms = 1000
[store]
address = 127.0.0.1:1
[rate]
data_centres = a
`

// TestSignalsDuringStop guards against a settings change or a repeated stop signal
// that ends a daemon in the middle of its planned stop.
func TestSignalsDuringStop(t *testing.T) {
	file := filepath.Join(t.TempDir(), "daemon.ini")
	// Each test process has a loopback address of its own, so its ports are free.
	address := fmt.Sprintf("127.1.%d.%d", os.Getpid()>>8&0xff, os.Getpid()&0xff|1)
	if err := os.WriteFile(file, fmt.Appendf(nil, daemonSettings, address), 0o600); err != nil {
		t.Fatal(err)
	}
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), serveFileVariable+"="+file)
	out, err := cmd.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	cmd.Stderr = cmd.Stdout
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	defer func() { _ = cmd.Process.Kill() }()
	var lines []string
	scanner := bufio.NewScanner(out)
	waitForLine := func(text string) {
		t.Helper()
		for scanner.Scan() {
			lines = append(lines, scanner.Text())
			if strings.Contains(scanner.Text(), text) {
				return
			}
		}
		t.Fatalf("the daemon ended without logging %q: %v\n%s", text, cmd.Wait(), strings.Join(lines, "\n"))
	}
	waitForLine("daemon started")
	signalDaemon(t, cmd, syscall.SIGTERM)
	waitForLine("daemon is stopping")
	signalDaemon(t, cmd, syscall.SIGHUP)
	waitForLine("settings read again")
	ended := make(chan struct{})
	go func() {
		// The daemon is gone at some point, so errors are not checked.
		for _, sig := range []syscall.Signal{syscall.SIGTERM, syscall.SIGHUP, syscall.SIGINT} {
			_ = cmd.Process.Signal(sig)
		}
		for {
			select {
			case <-ended:
				return
			case <-time.After(20 * time.Millisecond):
				_ = cmd.Process.Signal(syscall.SIGHUP)
			}
		}
	}()
	waitForLine("daemon stopped")
	for scanner.Scan() {
	}
	err = cmd.Wait()
	close(ended)
	if err != nil {
		t.Errorf("the daemon ended with %v, want exit code 0", err)
	}
}

func signalDaemon(t *testing.T, cmd *exec.Cmd, sig syscall.Signal) {
	t.Helper()
	if err := cmd.Process.Signal(sig); err != nil {
		t.Fatal(err)
	}
}
