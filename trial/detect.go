// Package trial simulates failure detection, rate limiting, fair queueing and
// overload with scripted faults and demand, and returns measurements of the
// packages health, limit and queue. Each trial runs on a simulated clock with a
// seeded random source and does no I/O, so the same seed always gives the same
// figures. The command `standin trial` calls it.
package trial

import (
	"math/rand/v2"

	"chestnutlatch/clock"
	"chestnutlatch/health"
	"chestnutlatch/ident"
)

// Site describes one service of a deployment: its size and its traffic.
type Site struct {
	Name    string
	Targets int
	// RatePerTarget is in requests per second for each target.
	RatePerTarget float64
	// Latency is the mean service time without a fault, in microseconds.
	Latency ident.Micros
}

// Sites lists the simulated services. Each has 12 targets; service times and
// rates keep about half of the slots busy.
var Sites = []Site{
	{Name: "crank repair", Targets: 12, RatePerTarget: 60, Latency: 40_000},
	{Name: "tape recall", Targets: 12, RatePerTarget: 40, Latency: 50_000},
}

// Behaviour is how a target answers at one time. The zero value means no fault.
type Behaviour struct {
	// SlowFactor multiplies the service time; 0 leaves it unchanged.
	SlowFactor float64
	// ErrorRate, TruncateRate and HangRate are the shares of requests, 0 to 1,
	// that end with an error, a truncated response or a timeout.
	ErrorRate    float64
	TruncateRate float64
	HangRate     float64
	// RateFactor multiplies the target's traffic; 0 leaves it unchanged.
	RateFactor float64
}

// FaultScript describes a fault over time.
type FaultScript struct {
	Name string
	// IsFault reports whether target 0 should be ejected during the fault.
	IsFault bool
	// At returns the behaviour of a target at a time since the start of the
	// fault, which is negative before it. A fault of a single target affects
	// target 0.
	At func(target int, since clock.Millis) Behaviour
}

const (
	warmUpDuration     = 60 * clock.Second
	faultDuration      = 120 * clock.Second
	coolDownDuration   = 60 * clock.Second
	evaluationInterval = 100 * clock.Millisecond
	// peerStatsDelay is the interval at which targets publish their statistics,
	// and the age of the statistics that their peers get.
	peerStatsDelay = 1000 * clock.Millisecond
	// neighborCount is the number of peers that send their statistics to a guard.
	neighborCount = 3
	// hangTimeout is the time until a hanging request times out, in microseconds.
	hangTimeout = ident.Micros(2_000_000)
	// coldTrafficShare is the share of its normal traffic that a cold target gets.
	coldTrafficShare  = 0.25
	flapInterval      = 10 * clock.Second
	coldStartDuration = 20 * clock.Second
)

func onTarget0(b Behaviour) func(int, clock.Millis) Behaviour {
	return func(target int, since clock.Millis) Behaviour {
		if target == 0 && since >= 0 && since < faultDuration {
			return b
		}
		return Behaviour{}
	}
}

func onAllTargets(b Behaviour) func(int, clock.Millis) Behaviour {
	return func(_ int, since clock.Millis) Behaviour {
		if since >= 0 && since < faultDuration {
			return b
		}
		return Behaviour{}
	}
}

// FaultScripts lists the faults that every detector is tested with.
var FaultScripts = []FaultScript{
	{"no fault", false, onTarget0(Behaviour{})},
	{"slow x10", true, onTarget0(Behaviour{SlowFactor: 10})},
	{"errors 50%", true, onTarget0(Behaviour{ErrorRate: 0.5})},
	{"half answers 50%", true, onTarget0(Behaviour{TruncateRate: 0.5})},
	{"hangs 20%", true, onTarget0(Behaviour{HangRate: 0.2})},
	{"flapping 10 s", true, flappingErrors},
	{"errors 50%, 1/100 traffic", true, lowTraffic},
	{"all slow x5", false, onAllTargets(Behaviour{SlowFactor: 5})},
	{"all errors 30%", false, onAllTargets(Behaviour{ErrorRate: 0.3})},
	{"cold start x3, 20 s", false, slowColdStart},
	{"slow x1.5", false, onTarget0(Behaviour{SlowFactor: 1.5})},
	// With a broken path almost no request reaches the target, so the guard gets
	// no samples. The health endpoint still reports the target as healthy.
	{"path cut, health lies", false, onTarget0(Behaviour{RateFactor: 0.0001})},
}

func flappingErrors(target int, since clock.Millis) Behaviour {
	if target == 0 && since >= 0 && since < faultDuration && (since/flapInterval)%2 == 0 {
		return Behaviour{ErrorRate: 0.8}
	}
	return Behaviour{}
}

func lowTraffic(target int, since clock.Millis) Behaviour {
	b := onTarget0(Behaviour{ErrorRate: 0.5})(target, since)
	b.RateFactor = 0.01
	return b
}

func slowColdStart(target int, since clock.Millis) Behaviour {
	if target == 0 && since >= 0 && since < coldStartDuration {
		return Behaviour{SlowFactor: 3}
	}
	return Behaviour{}
}

// Detectors lists the failure detectors to compare.
var Detectors = []struct {
	Name string
	New  func() health.Detector
}{
	{"consecutive", func() health.Detector { return health.NewConsecutiveDetector() }},
	{"own past", func() health.Detector { return health.NewBaselineDetector() }},
	{"against peers", func() health.Detector { return health.NewPeerDetector() }},
	{"combined", func() health.Detector { return health.NewCombinedDetector() }},
}

// Detection is the result of one detection trial.
type Detection struct {
	// Detected reports whether the faulty target was ejected between the start of
	// the fault and one health.LongWindow after its end.
	Detected bool
	// Delay is the time from the start of the fault to the first ejection, in
	// milliseconds; 0 if there was none.
	Delay clock.Millis
	// FalseEjections counts the ejections that should not happen: all ejections
	// under a script whose IsFault is false, those of targets other than target 0,
	// and those of target 0 at other times.
	FalseEjections int
	// AffectedRequests counts the requests that failed or were answered by a target
	// slowed down more than twofold.
	AffectedRequests int
	// Ejections counts the correct ejections of the faulty target.
	Ejections int
}

// trialTarget is a simulated target with the state that its guard holds.
type trialTarget struct {
	tracker     *health.StateTracker
	stats       *health.PeerDetector
	nextArrival clock.Millis
	// published holds the statistics that peers get. They are peerStatsDelay
	// older than latest.
	published health.PeerStats
	latest    health.PeerStats
	peers     health.PeerSummary
}

// RunDetection simulates a site with one fault script and one detector for each
// target, and returns the counts of ejections and the detection time. Equal
// arguments give equal results.
func RunDetection(site Site, script FaultScript, newDetector func() health.Detector, seed uint64) Detection {
	rnd := rand.New(rand.NewPCG(seed, 3))
	targets := make([]*trialTarget, site.Targets)
	for i := range targets {
		targets[i] = &trialTarget{tracker: health.NewStateTracker(newDetector(), 0), stats: health.NewPeerDetector()}
	}
	var d Detection
	for now := clock.Millis(0); now < warmUpDuration+faultDuration+coolDownDuration; now += evaluationInterval {
		since := now - warmUpDuration
		for i, t := range targets {
			d.AffectedRequests += t.sendRequests(rnd, site, script.At(i, since), now)
		}
		if now%peerStatsDelay == 0 {
			for _, t := range targets {
				t.published, t.latest = t.latest, t.stats.Stats(now)
			}
			for i, t := range targets {
				t.peers = peerSummary(targets, i)
			}
		}
		for i, t := range targets {
			if !t.tracker.Update(now, t.peers) || t.tracker.State() != ident.TargetSick {
				continue
			}
			d.recordEjection(script, i, since)
		}
	}
	return d
}

func (d *Detection) recordEjection(script FaultScript, target int, since clock.Millis) {
	if !script.IsFault || target != 0 || since < 0 || since >= faultDuration+health.LongWindow {
		d.FalseEjections++
		return
	}
	d.Ejections++
	if !d.Detected {
		d.Detected = true
		d.Delay = since
	}
}

// sendRequests sends the requests that arrive up to now and returns how many of
// them the fault affected.
func (t *trialTarget) sendRequests(rnd *rand.Rand, site Site, b Behaviour, now clock.Millis) int {
	rate := site.RatePerTarget
	if b.RateFactor > 0 {
		rate *= b.RateFactor
	}
	switch t.tracker.State() {
	case ident.TargetSick:
		t.nextArrival = now
		return 0
	case ident.TargetCold:
		rate *= coldTrafficShare
	case ident.TargetWell, ident.TargetDraining:
	}
	affected := 0
	for t.nextArrival <= now {
		s := randomSample(rnd, site, b, t.nextArrival)
		if s.Result.IsFailure() || b.SlowFactor > 2 {
			affected++
		}
		t.tracker.Observe(s)
		t.stats.Observe(s)
		t.nextArrival += clock.Millis(rnd.ExpFloat64()/rate*1000) + 1
	}
	return affected
}

func randomSample(rnd *rand.Rand, site Site, b Behaviour, at clock.Millis) health.Sample {
	latency := float64(site.Latency) * (0.5 + rnd.ExpFloat64()/2)
	if b.SlowFactor > 0 {
		latency *= b.SlowFactor
	}
	s := health.Sample{At: at, Latency: ident.Micros(latency)}
	switch x := rnd.Float64(); {
	case x < b.ErrorRate:
		s.Result = health.ResultError
	case x < b.ErrorRate+b.TruncateRate:
		s.Result = health.ResultHalf
	case x < b.ErrorRate+b.TruncateRate+b.HangRate:
		s.Result = health.ResultTimeout
		s.Latency = hangTimeout
	}
	return s
}

// peerSummary summarises the statistics that the guard of target i gets from its
// ring neighbours, the neighborCount targets before it.
func peerSummary(targets []*trialTarget, i int) health.PeerSummary {
	var list []health.PeerStats
	for k := 1; k <= neighborCount; k++ {
		list = append(list, targets[(i+len(targets)-k)%len(targets)].published)
	}
	return health.Summarise(list)
}
