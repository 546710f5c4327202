package fleet

import (
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"chestnutlatch/ident"
	"chestnutlatch/load"
	"chestnutlatch/stand"
)

// buildPrograms builds the programs into a folder of the test.
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

// startFleet starts six daemons in two data centres; an adapter names a platform.
func startFleet(t *testing.T, adapter string) (*Fleet, []load.Team) {
	t.Helper()
	var services []ident.Service
	for _, s := range DemoServices() {
		services = append(services, ident.Service(s))
	}
	f, err := Start(Spec{
		Bin: buildPrograms(t), Dir: filepath.Join(t.TempDir(), "fleet"), Regions: 2, CentresPerRegion: 1,
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

// TestOneTimeActionsAcrossProcesses sends and repeats one-time actions while
// daemons are killed and frozen and the store is away. It asserts only what
// must hold at any speed: no action runs twice, none that ran is refused as
// not run, and none is answered that did not run.
func TestOneTimeActionsAcrossProcesses(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	f, teams := startFleet(t, "")
	paths := []load.Path{{Path: "/bookings", OneTime: true, Part: 0.6}, {Path: "/vouchers", OneTime: true, Part: 0.4}}
	phases := []struct {
		name  string
		hurt  func(t *testing.T)
		mend  func(t *testing.T)
		quiet bool
	}{
		{"no fault", func(*testing.T) {}, func(*testing.T) {}, true},
		{"store away", f.storeFault(stand.StoreFaults{Outage: true}), f.storeFault(stand.StoreFaults{}), true},
		{"daemon frozen", f.signal(1, syscall.SIGSTOP), f.signal(1, syscall.SIGCONT), false},
		{"daemon killed", f.signal(4, syscall.SIGKILL), f.restart(4), false},
		{"answers dropped", f.targetFault(2, stand.TargetFaults{DropAfterRate: 0.3}), f.targetFault(2, stand.TargetFaults{}), false},
		{"target hangs", f.targetFault(1, stand.TargetFaults{HangRate: 0.3}), f.targetFault(1, stand.TargetFaults{}), false},
	}
	for i, p := range phases {
		t.Run(p.name, func(t *testing.T) {
			stop := time.AfterFunc(800*time.Millisecond, func() { p.hurt(t) })
			defer stop.Stop()
			res := load.Run(context.Background(), load.Config{
				Entries: f.Entries(), Teams: teams, Paths: paths, Duration: 4 * time.Second,
				Timeout: 1500 * time.Millisecond, Repeats: 4, Seed: uint64(i + 1), Label: p.name, MaxRequests: 1000,
			})
			p.mend(t)
			v, err := f.Judge(res)
			if err != nil {
				t.Fatal(err)
			}
			t.Logf("sent %d, served %d, refused %v, verdict %+v", res.Sent, res.Served, res.Refused, v)
			if !v.IsClean() {
				t.Errorf("a promise is broken: %+v", v)
			}
			if res.Served == 0 || p.quiet && v.Unknown > 0 {
				t.Errorf("served %d, %d unknown", res.Served, v.Unknown)
			}
		})
	}
}

func (f *Fleet) storeFault(s stand.StoreFaults) func(*testing.T) {
	return func(t *testing.T) {
		if err := PutJSON(f.Store.Control, "/faults", s); err != nil {
			t.Error(err)
		}
	}
}

func (f *Fleet) targetFault(i int, s stand.TargetFaults) func(*testing.T) {
	return func(t *testing.T) {
		if err := PutJSON(f.Targets[i].Control, "/faults", s); err != nil {
			t.Error(err)
		}
	}
}

func (f *Fleet) signal(i int, s syscall.Signal) func(*testing.T) {
	return func(t *testing.T) {
		if err := f.Daemons[i].Signal(s); err != nil {
			t.Error(err)
		}
	}
}

func (f *Fleet) restart(i int) func(*testing.T) {
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
