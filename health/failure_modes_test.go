package health

import (
	"math/rand/v2"
	"testing"

	"chestnutlatch/clock"
)

// failureMode is one way in which a target fails during its failure episodes.
type failureMode struct {
	name   string
	result Result
	// delay is the time from the request to its failure, in milliseconds.
	delay clock.Millis
	// failureRate is the share of requests that fail during an episode, 0 to 1.
	failureRate float64
	// maxLossRatio bounds the share of actions lost with the failure estimate,
	// relative to the share lost with windows. 0 means no bound, for requests
	// that did not run and go to another target.
	maxLossRatio float64
}

// serviceTime is how long a successful request takes, in milliseconds.
const serviceTime = 100

// failureModes apply to a target that is in failure episodes for about a third of
// the time. Windows need several failures within a few seconds, which a target
// with little traffic does not produce.
var failureModes = []failureMode{
	{"errors", ResultError, 1, 0.85, 1.0 / 3},
	{"load shedding", ResultError, 1, 0.45, 0},
	{"connection resets", ResultHalf, 1, 0.85, 1.0 / 3},
	{"truncated responses", ResultHalf, serviceTime, 0.85, 1.0 / 3},
	// A hang is detected only by its timeout. Until then both detectors lose
	// actions.
	{"hangs", ResultTimeout, 2000, 0.85, 3.0 / 4},
}

// pendingRequest is a request that has not ended yet.
type pendingRequest struct {
	// endsAt is when the request ends.
	endsAt clock.Millis
	sample Sample
}

// TestFailureModes compares the failure estimate with the windowed detector for
// each failure mode. A target gets five requests per second, two of them one-time
// actions, and is in a failure episode in three of ten periods of nine seconds.
// An action that fails during an episode is lost. No action is sent while the
// detector reports the target as sick.
func TestFailureModes(t *testing.T) {
	for _, mode := range failureModes {
		t.Run(mode.name, func(t *testing.T) {
			var lost, sent, served [2]int
			for seed := range uint64(20) {
				for detector := range 2 {
					lostNow, sentNow, servedNow := simulateFailureMode(mode, seed, detector == 0)
					lost[detector] += lostNow
					sent[detector] += sentNow
					served[detector] += servedNow
				}
			}
			share := func(i int) float64 { return float64(lost[i]) / float64(max(sent[i], 1)) }
			t.Logf("actions lost: estimate %d of %d (%.3f), windows %d of %d (%.3f); served between episodes: %d and %d",
				lost[0], sent[0], share(0), lost[1], sent[1], share(1), served[0], served[1])
			if mode.maxLossRatio > 0 && share(0) > mode.maxLossRatio*share(1) {
				t.Errorf("the estimate loses %.3f of the actions, windows lose %.3f", share(0), share(1))
			}
			if served[0] < served[1] {
				t.Errorf("with the estimate %d actions are served between episodes, with windows %d", served[0], served[1])
			}
		})
	}
}

// simulateFailureMode returns the actions lost during episodes, the actions sent
// and the actions served between episodes.
func simulateFailureMode(mode failureMode, seed uint64, useEstimate bool) (lost, sent, served int) {
	const step, period = 10, 9000
	episodes, traffic := rand.New(rand.NewPCG(seed, 7)), rand.New(rand.NewPCG(seed, 8))
	estimate := NewFailureEstimate(DefaultFailureModel(), 0)
	tracker := NewStateTracker(NewCombinedDetector(), 0)
	var open []pendingRequest
	inEpisode := false
	for now := clock.Millis(0); now < 180_000; now += step {
		if now%period == 0 {
			inEpisode = episodes.Float64() < 0.3
		}
		stillOpen := open[:0]
		for _, p := range open {
			if p.endsAt > now {
				stillOpen = append(stillOpen, p)
				continue
			}
			p.sample.At = now
			estimate.Observe(p.sample)
			tracker.Observe(p.sample)
		}
		open = stillOpen
		tracker.Update(now, PeerSummary{})
		if traffic.Float64() >= 0.05 {
			continue
		}
		oneTime := traffic.Float64() < 0.4
		sick := tracker.State().String() == "sick"
		if useEstimate {
			sick = estimate.At(now) >= 0.5
		}
		if oneTime && sick {
			continue
		}
		fails := traffic.Float64() < 0.012 || inEpisode && traffic.Float64() < mode.failureRate
		p := pendingRequest{endsAt: now + serviceTime, sample: Sample{Result: ResultOK, Latency: 100_000}}
		if fails {
			p = pendingRequest{endsAt: now + mode.delay, sample: Sample{Result: mode.result, Latency: 100_000}}
		}
		open = append(open, p)
		if !oneTime {
			continue
		}
		sent++
		switch {
		case fails && inEpisode:
			lost++
		case !fails && !inEpisode:
			served++
		}
	}
	return lost, sent, served
}
