package fleet

import (
	"context"
	"net/http"
	"syscall"
	"testing"
	"time"

	"chestnutlatch/load"
	"chestnutlatch/setup"
	"chestnutlatch/stand"
)

// TestPlatformAcrossProcesses sends requests on a platform while its store is silent,
// a target is sick and a daemon is killed. It checks the guarantees that hold at any
// speed, and that requests and the targets' calls are still served.
func TestPlatformAcrossProcesses(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	f, teams := startFleet(t, setup.AdapterKV)
	setFaultMode := func(mode string) func(*testing.T) {
		return func(t *testing.T) {
			req, err := http.NewRequest(http.MethodPut, "http://"+f.Store.Control+"/mood?mood="+mode, nil)
			if err != nil {
				t.Fatal(err)
			}
			resp, err := httpClient.Do(req)
			if err != nil {
				t.Fatal(err)
			}
			_ = resp.Body.Close()
		}
	}
	phases := []struct {
		name           string
		inject, repair func(t *testing.T)
	}{
		{"no fault", func(*testing.T) {}, func(*testing.T) {}},
		{"store silent", setFaultMode("silent"), setFaultMode("well")},
		{"target sick", f.setTargetFaults(1, stand.TargetFaults{ErrorRate: 0.5, TruncateRate: 0.3}), f.setTargetFaults(1, stand.TargetFaults{})},
		{"daemon killed", f.sendSignal(4, syscall.SIGKILL), f.restartDaemon(4)},
	}
	for i, phase := range phases {
		t.Run(phase.name, func(t *testing.T) {
			phase.inject(t)
			defer phase.repair(t)
			res := load.Run(context.Background(), WithPlatformHeaders(load.Config{
				Entries: f.Entries(), Teams: teams, Paths: DemoPaths(), Duration: 2 * time.Second, Timeout: 3 * time.Second,
				MaxRetries: 3, Seed: uint64(i + 1), Label: "platform",
			}, setup.AdapterKV))
			check, err := f.CheckOutcomes(res)
			if err != nil {
				t.Fatal(err)
			}
			if !check.IsClean() || res.Served == 0 || f.servedCallCount(t) == 0 {
				t.Errorf("%d of %d served, refused %v, check %+v", res.Served, res.Sent, res.Refused, check)
			}
			t.Logf("%d of %d served, refused %v, check %+v", res.Served, res.Sent, res.Refused, check)
		})
	}
}

// servedCallCount returns how many of the calls that targets made were served.
func (f *Fleet) servedCallCount(t *testing.T) int {
	t.Helper()
	n := 0
	for _, p := range f.Targets {
		var counts stand.TargetCounts
		if _, err := GetJSON(p.Control, "/record", &counts); err != nil {
			t.Fatal(err)
		}
		n += counts.Calls - counts.CallsFailed
	}
	return n
}
