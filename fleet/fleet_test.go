package fleet

import (
	"context"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"chestnutlatch/ident"
	"chestnutlatch/load"
	"chestnutlatch/setup"
	"chestnutlatch/stand"
)

// buildPrograms builds all programs into a temporary directory and returns its path.
func buildPrograms(t *testing.T) string {
	t.Helper()
	bin := t.TempDir()
	cmd := exec.Command("go", "build", "-o", bin+string(os.PathSeparator), "./cmd/...")
	cmd.Dir = ".."
	if out, err := cmd.CombinedOutput(); err != nil {
		t.Fatalf("build programs: %v\n%s", err, out)
	}
	return bin
}

// startFleet starts and configures six targets with their daemons in two data
// centres, and waits until they are ready. An empty adapter means no platform.
func startFleet(t *testing.T, adapter string) (*Fleet, []load.Team) {
	t.Helper()
	var services []ident.Service
	for _, s := range DemoServices() {
		services = append(services, ident.Service(s))
	}
	f, err := Start(Spec{
		BinDir: buildPrograms(t), Dir: filepath.Join(t.TempDir(), "fleet"), Regions: 2, CentresPerRegion: 1,
		TargetsPerCentre: 3, Services: services, Slots: 5, WorkMillis: 5, RateSlots: 6, Adapter: adapter,
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.Stop)
	teams, err := f.Configure()
	if err != nil {
		t.Fatal(err)
	}
	if err := f.WaitReady(); err != nil {
		t.Fatal(err)
	}
	if err := f.WaitSlots(); err != nil {
		t.Fatal(err)
	}
	return f, teams
}

// TestOneTimeActionsAcrossProcesses sends and repeats one-time actions while daemons
// are killed or paused, targets drop answers or hang, and the store is unavailable.
// It checks only guarantees that hold at any speed: no action runs twice, no action
// that ran is refused as not run, and none is answered as served that did not run.
func TestOneTimeActionsAcrossProcesses(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	f, teams := startFleet(t, "")
	paths := []load.Path{{Path: "/bookings", OneTime: true, Share: 0.6}, {Path: "/vouchers", OneTime: true, Share: 0.4}}
	phases := []struct {
		name   string
		inject func(t *testing.T)
		repair func(t *testing.T)
		// noUnknown means that no action may end with an unknown outcome.
		noUnknown bool
	}{
		{"no fault", func(*testing.T) {}, func(*testing.T) {}, true},
		{"store unavailable", f.setStoreFaults(stand.StoreFaults{Outage: true}), f.setStoreFaults(stand.StoreFaults{}), true},
		{"daemon paused", f.sendSignal(1, syscall.SIGSTOP), f.sendSignal(1, syscall.SIGCONT), false},
		{"daemon killed", f.sendSignal(4, syscall.SIGKILL), f.restartDaemon(4), false},
		{"answers dropped", f.setTargetFaults(2, stand.TargetFaults{DropAnswerRate: 0.3}), f.setTargetFaults(2, stand.TargetFaults{}), false},
		{"target hangs", f.setTargetFaults(1, stand.TargetFaults{HangRate: 0.3}), f.setTargetFaults(1, stand.TargetFaults{}), false},
	}
	for i, phase := range phases {
		t.Run(phase.name, func(t *testing.T) {
			timer := time.AfterFunc(800*time.Millisecond, func() { phase.inject(t) })
			defer timer.Stop()
			res := load.Run(context.Background(), load.Config{
				Entries: f.Entries(), Teams: teams, Paths: paths, Duration: 4 * time.Second,
				Timeout: 1500 * time.Millisecond, MaxRetries: 4, Seed: uint64(i + 1), Label: phase.name, MaxRequests: 1000,
			})
			phase.repair(t)
			check, err := f.CheckOutcomes(res)
			if err != nil {
				t.Fatal(err)
			}
			t.Logf("sent %d, served %d, refused %v, check %+v", res.Sent, res.Served, res.Refused, check)
			if !check.IsClean() {
				t.Errorf("a guarantee is violated: %+v", check)
			}
			if res.Served == 0 || phase.noUnknown && check.Unknown > 0 {
				t.Errorf("served %d, want at least 1; %d outcomes unknown", res.Served, check.Unknown)
			}
		})
	}
}

func (f *Fleet) setStoreFaults(s stand.StoreFaults) func(*testing.T) {
	return func(t *testing.T) {
		if err := PutJSON(f.Store.Control, "/faults", s); err != nil {
			t.Error(err)
		}
	}
}

func (f *Fleet) setTargetFaults(i int, s stand.TargetFaults) func(*testing.T) {
	return func(t *testing.T) {
		if err := PutJSON(f.Targets[i].Control, "/faults", s); err != nil {
			t.Error(err)
		}
	}
}

func (f *Fleet) sendSignal(i int, s syscall.Signal) func(*testing.T) {
	return func(t *testing.T) {
		if err := f.Daemons[i].Signal(s); err != nil {
			t.Error(err)
		}
	}
}

func (f *Fleet) restartDaemon(i int) func(*testing.T) {
	return func(t *testing.T) {
		if err := f.Daemons[i].wait(); err != nil {
			t.Error(err)
		}
		if err := f.Restart(f.Daemons[i]); err != nil {
			t.Error(err)
		}
		if err := f.WaitReady(); err != nil {
			t.Error(err)
		}
	}
}

// TestConfigureWaitsForTheStore starts the store a second after Configure was called.
// Configure must wait for it.
func TestConfigureWaitsForTheStore(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	bin := buildPrograms(t)
	for _, adapter := range []string{"", setup.AdapterKV} {
		f, err := Start(Spec{BinDir: bin, Dir: filepath.Join(t.TempDir(), "fleet"), Adapter: adapter})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(f.Stop)
		if err := f.Store.Kill(); err != nil {
			t.Fatal(err)
		}
		started := make(chan error, 1)
		time.AfterFunc(time.Second, func() { started <- f.Restart(f.Store) })
		if _, err := f.Configure(); err != nil {
			t.Errorf("adapter %q: %v", adapter, err)
		}
		if err := <-started; err != nil {
			t.Fatal(err)
		}
	}
}

// TestSendJSONReportsTheStatus checks that a request which the other side refuses is
// an error.
func TestSendJSONReportsTheStatus(t *testing.T) {
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusBadRequest) }))
	defer srv.Close()
	address := strings.TrimPrefix(srv.URL, "http://")
	if PutJSON(address, "/", 1) == nil || DeleteJSON(address, "/", 1) == nil {
		t.Error("no error for status 400")
	}
}
