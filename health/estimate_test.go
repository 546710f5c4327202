package health

import (
	"math"
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"

	"chestnutlatch/clock"
)

// TestFailureEstimateMatchesEnumeration compares the closed-form filter with a
// two-state Markov chain that is computed in steps of 1 ms.
func TestFailureEstimateMatchesEnumeration(t *testing.T) {
	m := DefaultFailureModel()
	rapid.Check(t, func(rt *rapid.T) {
		estimate := NewFailureEstimate(m, 0)
		const step = 1
		probability := m.Prior()
		now := clock.Millis(0)
		for range rapid.IntRange(1, 12).Draw(rt, "samples") {
			for range rapid.IntRange(0, 4000).Draw(rt, "gap") {
				now += step
				probability = probability*(1-step/float64(m.MeanEpisode)) + (1-probability)*step/float64(m.MeanGap)
			}
			result := rapid.SampledFrom([]Result{ResultOK, ResultError, ResultTimeout, ResultHalf, ResultCanceled}).Draw(rt, "result")
			estimate.Observe(Sample{At: now, Result: result})
			if result != ResultCanceled {
				inEpisode, normal := m.EpisodeFailureRate, m.NormalFailureRate
				if !result.IsFailure() {
					inEpisode, normal = 1-inEpisode, 1-normal
				}
				probability = probability * inEpisode / (probability*inEpisode + (1-probability)*normal)
			}
			if got := estimate.At(now); math.Abs(got-probability) > 0.003 {
				rt.Fatalf("failure estimate is %.4f, enumeration gives %.4f", got, probability)
			}
		}
	})
}

// episodicTarget fails in episodes of 2.7 s on average, with pauses of 6.3 s. It
// fails 85 in 100 requests during an episode and 1.2 in 100 otherwise. In such a
// service about a third of the targets fail at any time.
type episodicTarget struct {
	rnd *rand.Rand
	// inEpisode reports whether the target is in a failure episode.
	inEpisode bool
	// until is when the episode or the pause ends.
	until clock.Millis
}

func (t *episodicTarget) fails(now clock.Millis) bool {
	for now >= t.until {
		t.inEpisode = !t.inEpisode
		mean := 6300.0
		if t.inEpisode {
			mean = 2700
		}
		t.until += clock.Millis(t.rnd.ExpFloat64()*mean) + 1
	}
	rate := 0.012
	if t.inEpisode {
		rate = 0.85
	}
	return t.rnd.Float64() < rate
}

// TestFailureEstimateLosesFewerActionsThanWindows compares the failure estimate
// with the windowed detector on a target with little traffic: five requests per
// second, of which two in five are one-time actions. No action is sent while the
// detector reports the target as sick. The estimate must lose at most a third of
// the share of actions that windows lose, and must not send fewer actions.
func TestFailureEstimateLosesFewerActionsThanWindows(t *testing.T) {
	lost := map[string]int{}
	sent := map[string]int{}
	for seed := range uint64(20) {
		for _, name := range []string{"estimate", "windows"} {
			target := &episodicTarget{rnd: rand.New(rand.NewPCG(seed, 7))}
			traffic := rand.New(rand.NewPCG(seed, 8))
			estimate := NewFailureEstimate(DefaultFailureModel(), 0)
			tracker := NewStateTracker(NewCombinedDetector(), 0)
			for now := clock.Millis(0); now < 120_000; now += 10 {
				tracker.Update(now, PeerSummary{})
				if traffic.Float64() >= 0.05 {
					continue
				}
				oneTime := traffic.Float64() < 0.4
				fails := target.fails(now)
				sick := estimate.At(now) >= 0.5
				if name == "windows" {
					sick = tracker.State().String() == "sick"
				}
				if oneTime && sick {
					continue
				}
				r := ResultOK
				if fails {
					r = ResultError
				}
				s := Sample{At: now, Result: r, Latency: 100_000}
				estimate.Observe(s)
				tracker.Observe(s)
				if oneTime {
					sent[name]++
					if fails && target.inEpisode {
						lost[name]++
					}
				}
			}
		}
	}
	t.Logf("one-time actions lost to failure episodes: estimate %d of %d, windows %d of %d",
		lost["estimate"], sent["estimate"], lost["windows"], sent["windows"])
	if lost["estimate"]*sent["windows"]*3 > lost["windows"]*sent["estimate"] {
		t.Error("the estimate loses more than a third of the share of actions that windows lose")
	}
	if sent["estimate"] < sent["windows"] {
		t.Error("the estimate sends fewer actions to the target than windows")
	}
}
