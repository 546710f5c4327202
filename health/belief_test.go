package health

import (
	"math"
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"

	"chestnutlatch/clock"
)

// TestBeliefMatchesEnumeration compares the filter with the naive way: all
// courses of a two-state chain on a fine grid, weighed one by one.
func TestBeliefMatchesEnumeration(t *testing.T) {
	m := DefaultModel()
	rapid.Check(t, func(rt *rapid.T) {
		b := NewBelief(m, 0)
		const step = 1
		inSpell := m.Prior()
		now := clock.Millis(0)
		for range rapid.IntRange(1, 12).Draw(rt, "samples") {
			for range rapid.IntRange(0, 4000).Draw(rt, "gap") {
				now += step
				inSpell = inSpell*(1-step/float64(m.Spell)) + (1-inSpell)*step/float64(m.Onset)
			}
			r := rapid.SampledFrom([]Result{ResultOK, ResultError, ResultTimeout, ResultHalf, ResultCanceled}).Draw(rt, "result")
			b.Observe(Sample{At: now, Result: r})
			if r != ResultCanceled {
				a, w := m.FailsInSpell, m.FailsWell
				if !r.IsFailure() {
					a, w = 1-a, 1-w
				}
				inSpell = inSpell * a / (inSpell*a + (1-inSpell)*w)
			}
			if got := b.At(now); math.Abs(got-inSpell) > 0.003 {
				rt.Fatalf("belief is %.4f, enumeration gives %.4f", got, inSpell)
			}
		}
	})
}

// spellTarget fails in spells of several seconds with 85 in 100 and else with
// 1.2 in 100, as a third of a thin service does at any time.
type spellTarget struct {
	rnd   *rand.Rand
	sick  bool
	until clock.Millis
}

func (s *spellTarget) fails(now clock.Millis) bool {
	for now >= s.until {
		s.sick = !s.sick
		mean := 6300.0
		if s.sick {
			mean = 2700
		}
		s.until += clock.Millis(s.rnd.ExpFloat64()*mean) + 1
	}
	rate := 0.012
	if s.sick {
		rate = 0.85
	}
	return s.rnd.Float64() < rate
}

// TestBeliefLosesFewerActionsThanWindows compares the share of the one-time
// actions sent that is lost to spells, and the service that is left. It plays a thin service: a target sees
// five requests a second, most of them idempotent. Each detector sends the
// one-time actions away while it calls the target sick; the one with windows is
// the detector for rich traffic.
func TestBeliefLosesFewerActionsThanWindows(t *testing.T) {
	lost := map[string]int{}
	sent := map[string]int{}
	for seed := range uint64(20) {
		for _, name := range []string{"belief", "windows"} {
			target := &spellTarget{rnd: rand.New(rand.NewPCG(seed, 7))}
			traffic := rand.New(rand.NewPCG(seed, 8))
			belief := NewBelief(DefaultModel(), 0)
			keeper := NewKeeper(NewCombined(), 0)
			for now := clock.Millis(0); now < 120_000; now += 10 {
				keeper.Judge(now, Peers{})
				if traffic.Float64() >= 0.05 {
					continue
				}
				oneTime := traffic.Float64() < 0.4
				fails := target.fails(now)
				sick := belief.At(now) >= 0.5
				if name == "windows" {
					sick = keeper.State().String() == "sick"
				}
				if oneTime && sick {
					continue
				}
				r := ResultOK
				if fails {
					r = ResultError
				}
				s := Sample{At: now, Result: r, Latency: 100_000}
				belief.Observe(s)
				keeper.Observe(s)
				if oneTime {
					sent[name]++
					if fails && target.sick {
						lost[name]++
					}
				}
			}
		}
	}
	t.Logf("one-time actions lost to spells: belief %d of %d, windows %d of %d",
		lost["belief"], sent["belief"], lost["windows"], sent["windows"])
	if lost["belief"]*sent["windows"]*3 > lost["windows"]*sent["belief"] {
		t.Error("belief loses more than a third of the share that windows lose")
	}
	if sent["belief"] < sent["windows"] {
		t.Error("belief keeps the target out of service for longer than windows")
	}
}
