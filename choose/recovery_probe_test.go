package choose

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"chestnutlatch/clock"
	"chestnutlatch/health"
	"chestnutlatch/ident"
)

// spellService is a service whose targets fail in spells: every nine seconds
// three in ten are drawn, which fail 85 in 100 requests at once.
type spellService struct {
	picker  *Picker
	rnd     *rand.Rand
	targets map[ident.Target]*spellTarget
}

type spellTarget struct {
	belief *health.Belief
	sick   bool
	// ends holds when the requests under way end.
	ends []clock.Millis
}

func newSpellService(seed uint64, targets int, retries Retries) *spellService {
	s := &spellService{picker: New("dc", "r", seed), rnd: rand.New(rand.NewPCG(seed, 5)), targets: map[ident.Target]*spellTarget{}}
	s.picker.SetRetries(retries)
	for i := range targets {
		id := fmt.Sprint("t", i)
		put(s.picker, id, 0)
		s.targets[ident.Target(id)] = &spellTarget{belief: health.NewBelief(health.DefaultModel(), 0)}
	}
	return s
}

// step draws spells and lets work end.
func (s *spellService) step(now clock.Millis) {
	for i := range len(s.targets) {
		id := ident.Target(fmt.Sprint("t", i))
		t := s.targets[id]
		if now%9000 == 0 {
			t.sick = s.rnd.Float64() < 0.3
		}
		for len(t.ends) > 0 && t.ends[0] <= now {
			t.ends = t.ends[1:]
			t.belief.Observe(health.Sample{At: now, Result: health.ResultOK})
			s.picker.Done(testService, id)
		}
		s.picker.Report(now, testService, id, Load{InFlight: len(t.ends), Suspicion: t.belief.At(now)})
	}
}

// send reports whether a request was served.
func (s *spellService) send(now clock.Millis, w Want, work clock.Millis) bool {
	s.picker.CountRequest(now, testService)
	c, _ := s.picker.Best(now, w, DefaultCosts())
	t := s.targets[c.Target]
	rate := 0.012
	if t.sick {
		rate = 0.85
	}
	if s.rnd.Float64() < rate {
		t.belief.Observe(health.Sample{At: now, Result: health.ResultError})
		s.picker.Done(testService, c.Target)
		return false
	}
	if len(t.ends) >= c.Slots {
		// A full target serves it later than it is worth.
		s.picker.Done(testService, c.Target)
		return false
	}
	t.ends = append(t.ends, now+work)
	return true
}

// TestLooksServeMoreActions plays a service near its capacity whose targets fail
// in spells, with one-time actions and few idempotent requests. With looks by
// idempotent requests a target is used again soon after its spell, and actions
// do not find out themselves. Without retries there are no looks.
func TestLooksServeMoreActions(t *testing.T) {
	const seeds, length, targets = 20, 90_000, 6
	failed := map[string]int{}
	sent := 0
	for name, retries := range map[string]Retries{"looks": {Part: 0.2, PerSecond: 1, Most: 5}, "none": {}} {
		for seed := range uint64(seeds) {
			s := newSpellService(seed, targets, retries)
			for now := clock.Millis(0); now < length; now += 10 {
				s.step(now)
				if s.rnd.Float64() < 0.20 {
					if name == "none" {
						sent++
					}
					if !s.send(now, Want{Service: testService, OneTime: true}, 600) {
						failed[name]++
					}
				}
				if s.rnd.Float64() < 0.10 && !s.send(now, Want{Service: testService}, 100) {
					s.picker.MayRetry(now, testService)
				}
			}
		}
	}
	t.Logf("of %d actions each, %d fail with looks and %d without", sent, failed["looks"], failed["none"])
	if failed["looks"]*10 > failed["none"]*9 {
		t.Errorf("%d actions fail with looks and %d without", failed["looks"], failed["none"])
	}
}
