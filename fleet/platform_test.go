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

// TestPlatformAcrossProcesses serves callers of a platform while its store
// fails, a target is sick and a daemon is killed. It asserts what must hold at
// any speed, and that work goes on.
func TestPlatformAcrossProcesses(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	f, teams := startFleet(t, setup.AdapterKV)
	mood := func(m string) func(*testing.T) {
		return func(t *testing.T) {
			req, err := http.NewRequest(http.MethodPut, "http://"+f.Store.Control+"/mood?mood="+m, nil)
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
		name       string
		hurt, mend func(t *testing.T)
	}{
		{"no fault", func(*testing.T) {}, func(*testing.T) {}},
		{"store silent", mood("silent"), mood("well")},
		{"target sick", f.targetFault(1, stand.TargetFaults{ErrorRate: 0.5, HalfRate: 0.3}), f.targetFault(1, stand.TargetFaults{})},
		{"daemon killed", f.signal(4, syscall.SIGKILL), f.restart(4)},
	}
	for i, p := range phases {
		t.Run(p.name, func(t *testing.T) {
			p.hurt(t)
			defer p.mend(t)
			res := load.Run(context.Background(), OnPlatform(load.Config{
				Entries: f.Entries(), Teams: teams, Paths: DemoPaths(), Duration: 2 * time.Second, Timeout: 3 * time.Second,
				Repeats: 3, Seed: uint64(i + 1), Label: "platform",
			}, setup.AdapterKV))
			v, err := f.Judge(res)
			if err != nil {
				t.Fatal(err)
			}
			if !v.IsClean() || res.Served == 0 || f.calls(t) == 0 {
				t.Errorf("%d of %d served, refused %v, verdict %+v", res.Served, res.Sent, res.Refused, v)
			}
			t.Logf("%d of %d served, refused %v, verdict %+v", res.Served, res.Sent, res.Refused, v)
		})
	}
}

// calls returns the number of calls that targets made and that were served.
func (f *Fleet) calls(t *testing.T) int {
	t.Helper()
	n := 0
	for _, p := range f.Targets {
		var rec stand.Record
		if _, err := GetJSON(p.Control, "/record", &rec); err != nil {
			t.Fatal(err)
		}
		n += rec.Calls - rec.CallsFailed
	}
	return n
}
