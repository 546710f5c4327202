package choose

import (
	"fmt"
	"math"
	"testing"

	"pgregory.net/rapid"

	"chestnutlatch/clock"
	"chestnutlatch/health"
	"chestnutlatch/ident"
	"chestnutlatch/record"
)

// put adds a target at a distance: 0 is the own data centre, 2 another region.
func put(p *Picker, id string, far int) {
	c := Candidate{
		Target: ident.Target(id), Instance: ident.Instance("i-" + id), DataCentre: "dc", Region: "r", Slots: 4, Up: true,
	}
	if far > 0 {
		c.DataCentre = "other"
	}
	if far > 1 {
		c.Region = "other"
	}
	p.Put(testService, c)
}

func TestBest(t *testing.T) {
	const now = clock.Millis(10_000)
	well, sick := Load{Suspicion: 0.01}, Load{Suspicion: 0.95}
	full := Load{Suspicion: 0.01, InFlight: 4, Queued: 8}
	tests := []struct {
		name string
		near Load
		far  Load
		want Want
		pick ident.Target
	}{
		{"stays near when both are well", well, well, Want{Bytes: 6000}, "near"},
		{"small requests leave a probably failing target", sick, well, Want{OneTime: true, Bytes: 500}, "far"},
		{"idempotent ones leave it, too", sick, well, Want{Bytes: 500}, "far"},
		{"waits near rather than fails far", full, sick, Want{OneTime: true, Bytes: 500}, "near"},
		{"does not leave a queue for a longer way with many bytes", Load{InFlight: 4, Queued: 1}, well, Want{OneTime: true, Bytes: 9000}, "near"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			p := New("dc", "r", 1)
			put(p, "near", 0)
			put(p, "far", 2)
			p.Report(now, testService, "near", tt.near)
			p.Report(now, testService, "far", tt.far)
			tt.want.Service = testService
			if c, ok := p.Best(now, tt.want, DefaultCosts()); !ok || c.Target != tt.pick {
				t.Errorf("picked %s at a cost of %.2f, want %s", c.Target, c.Cost, tt.pick)
			}
		})
	}
}

// TestBestTriesNewTargets covers targets that join: idempotent requests reach
// them although more is known of the others.
func TestBestTriesNewTargets(t *testing.T) {
	p := New("dc", "r", 1)
	put(p, "old", 0)
	put(p, "new", 0)
	reached := 0
	for i := range 100 {
		now := clock.Millis(1000 + i)
		p.Report(now, testService, "old", Load{Suspicion: 0.001})
		c, _ := p.Best(now, Want{Service: testService}, DefaultCosts())
		p.Done(testService, c.Target)
		if c.Target == "new" {
			reached++
		}
	}
	if reached < 20 {
		t.Errorf("%d of 100 idempotent requests reach the new target", reached)
	}
}

// TestNoTargetStaysUnknown covers a thin service of many near targets: the
// requests that may be repeated reach every one of them within two seconds.
func TestNoTargetStaysUnknown(t *testing.T) {
	const targets, gap = 8, 150
	p := New("dc", "r", 1)
	beliefs := map[ident.Target]*health.Belief{}
	last := map[ident.Target]clock.Millis{}
	for i := range targets {
		id := fmt.Sprint("t", i)
		put(p, id, 0)
		beliefs[ident.Target(id)] = health.NewBelief(health.DefaultModel(), 0)
	}
	for now := clock.Millis(gap); now < 60_000; now += gap {
		for id, b := range beliefs {
			p.Report(now, testService, id, Load{Suspicion: b.At(now)})
		}
		c, _ := p.Best(now, Want{Service: testService}, DefaultCosts())
		p.Done(testService, c.Target)
		beliefs[c.Target].Observe(health.Sample{At: now, Result: health.ResultOK})
		last[c.Target] = now
		for id := range beliefs {
			if idle := now - last[id]; now > 5000 && idle > 2000 {
				t.Fatalf("%s got nothing for %d ms", id, idle)
			}
		}
	}
}

// TestUnknownTargetsCountAsBusy covers a rush: nothing is known of the far
// target, and it is not taken for idle.
func TestUnknownTargetsCountAsBusy(t *testing.T) {
	const now = clock.Millis(10_000)
	p := New("dc", "r", 1)
	put(p, "near", 0)
	put(p, "far", 2)
	p.Report(now, testService, "near", Load{InFlight: 4, Queued: 6})
	if c, _ := p.Best(now, Want{Service: testService, Bytes: 1500}, DefaultCosts()); c.Target != "near" {
		t.Errorf("picked %s, of which nothing is known", c.Target)
	}
}

func TestOlderReportsSayNothing(t *testing.T) {
	p := New("dc", "r", 1)
	put(p, "t", 0)
	p.Report(2000, testService, "t", Load{Suspicion: 0.9})
	p.Report(1000, testService, "t", Load{Suspicion: 0.1})
	c, _ := p.Best(2000, Want{Service: testService}, DefaultCosts())
	if c.Suspicion != 0.9 {
		t.Errorf("suspicion is %.2f after an older report", c.Suspicion)
	}
}

// TestSplitKeepsWeights checks each part's share after any number of requests.
func TestSplitKeepsWeights(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := NewSplitter(rapid.Uint64().Draw(rt, "seed"))
		var r record.Route
		total := 0.0
		for i := range rapid.IntRange(1, 4).Draw(rt, "parts") {
			w := rapid.IntRange(1, 100).Draw(rt, "weight")
			r.Split = append(r.Split, record.Part{Service: ident.Service(fmt.Sprint(i)), Weight: uint32(w)})
			total += float64(w)
		}
		n := rapid.IntRange(300, 600).Draw(rt, "requests")
		counts := map[ident.Service]int{}
		for range n {
			counts[s.Service(r)]++
		}
		for _, p := range r.Split {
			if off := math.Abs(float64(counts[p.Service])/float64(n) - float64(p.Weight)/total); off > 0.02 {
				rt.Fatalf("share of %s is off by %.3f", p.Service, off)
			}
		}
	})
}

// TestRetriesOfADataCentreStayUnderItsBudget lets daemons retry whenever they
// may, with messages 100 ms apart, and counts all retries in every window.
func TestRetriesOfADataCentreStayUnderItsBudget(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		const window, part, slack = 10_000, 0.2, 10.0
		var daemons []*Picker
		for i := range rapid.IntRange(1, 6).Draw(rt, "daemons") {
			p := New("dc", "r", uint64(i))
			p.SetRetries(Retries{Part: part * 0.9, PerSecond: slack * 0.45 / 10, Most: slack * 0.45})
			daemons = append(daemons, p)
		}
		gap := rapid.IntRange(5, 200).Draw(rt, "gap")
		var requests, retries []clock.Millis
		for now := clock.Millis(1); now < 40_000; now++ {
			if int(now)%gap == 0 {
				p := daemons[int(now)/gap%len(daemons)]
				p.CountRequest(now, testService)
				requests = append(requests, now)
				for p.MayRetry(now, testService) {
					p.Retried(testService)
					retries = append(retries, now)
				}
			}
			if now%100 == 0 {
				for i, from := range daemons {
					for j, to := range daemons {
						for _, c := range from.RetryCounts() {
							if i != j {
								to.HeardRetries(now, ident.Instance(fmt.Sprint(i)), 1, c)
							}
						}
					}
				}
			}
		}
		for end := clock.Millis(2 * window); end < 40_000; end += 500 {
			asked := max(within(requests, end-window, end), within(requests, end-2*window, end-window))
			if n := within(retries, end-window, end); float64(n) > part*float64(asked)+slack {
				rt.Fatalf("%d retries for %d requests in a window", n, asked)
			}
		}
	})
}

func within(list []clock.Millis, from, to clock.Millis) int {
	n := 0
	for _, at := range list {
		if at > from && at <= to {
			n++
		}
	}
	return n
}

// TestUnusedRetryIsReturned covers a repeat that no target took.
func TestUnusedRetryIsReturned(t *testing.T) {
	p := New("dc", "r", 1)
	p.SetRetries(Retries{Most: 1})
	p.CountRequest(1, testService)
	for range 10 {
		if !p.MayRetry(1, testService) {
			t.Fatal("the budget lost a repeat that never arrived")
		}
		p.ReturnRetry(testService)
	}
	if p.MayRetry(1, testService); p.MayRetry(1, testService) {
		t.Error("two repeats are allowed at once, the budget has one")
	}
	if p.Retried(testService); p.RetryCounts()[0].Retries != 1 {
		t.Errorf("others are told %+v, want one repeat", p.RetryCounts())
	}
}

// TestHeldPathIsBadUntilItWorks covers a path that a prober looks after.
func TestHeldPathIsBadUntilItWorks(t *testing.T) {
	p := New("dc", "r", 1)
	p.PathFailed(1, "i")
	if !p.HoldPath("i") || p.HoldPath("i") {
		t.Error("a path is held other than once")
	}
	if !p.IsPathBad(100_000, "i") || !p.IsPathHeld("i") {
		t.Error("a held path is used before it works")
	}
	p.PathWorks("i")
	if p.IsPathBad(100_000, "i") || p.IsPathHeld("i") {
		t.Error("a path that works is still avoided")
	}
}

// TestBudgetFillsFromTheStart covers the first seconds of a fleet, in which many
// targets are tried for the first time: a service that nobody asked yet has
// saved retries since the daemon started.
func TestBudgetFillsFromTheStart(t *testing.T) {
	p := New("dc", "r", 1)
	p.SetRetries(Retries{PerSecond: 0.5, Most: 4})
	const asked = 8 * clock.Second
	p.CountRequest(asked, testService)
	for n := range 4 {
		if !p.MayRetry(asked, testService) {
			t.Fatalf("%d retries after 8 s, want 4", n)
		}
	}
	if p.MayRetry(asked, testService) {
		t.Error("more retries than may be saved")
	}
}

func TestCallsOfRepeatsAreCharged(t *testing.T) {
	p := New("dc", "r", 1)
	p.SetRetries(Retries{Most: 2})
	p.CountRequest(1, testService)
	p.ChargeRetries(1, testService, 0.5)
	p.ChargeRetries(1, testService, 0.5)
	if p.MayRetry(1, testService) {
		t.Error("a retry is allowed although the calls of repeats used the budget")
	}
	if c := p.RetryCounts(); len(c) != 1 || c[0].Retries != 1 {
		t.Errorf("others are told %+v, want one retry", c)
	}
}
