// Package load is an open-loop load generator: requests arrive at random times
// that do not depend on answers. It sends look-ups and one-time actions of several
// teams to the daemons, retries as a careful caller does, and reports what the
// callers saw. Package rigs and the fleet tests use it.
package load

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Team is a calling team with its key. An empty key sends no authorization.
type Team struct {
	Name string `json:"name"`
	Key  string `json:"key"`
	// Rate is the team's load in requests per second.
	Rate float64 `json:"rate"`
}

// Path is one kind of request: a GET look-up or a POST one-time action.
type Path struct {
	Path    string `json:"path"`
	OneTime bool   `json:"one_time"`
	// Share is the path's share of the requests, as a weight relative to the
	// other paths.
	Share float64 `json:"part"`
}

// Config configures a run. Entries, Teams and Paths must not be empty, and the
// sum of the rates must be over 0.
type Config struct {
	// Entries are the addresses on which the daemons serve callers.
	Entries []string
	Teams   []Team
	Paths   []Path
	// Duration is the time in which requests are sent.
	Duration time.Duration
	// SurgeFactor multiplies the rates in the last third of the run, to simulate a
	// traffic surge; 0 disables it.
	SurgeFactor float64
	// Timeout is the time limit of one attempt.
	Timeout time.Duration
	// MaxRetries is the number of attempts at a one-time action after the first. The
	// attempt that only gets a ticket counts too.
	MaxRetries int
	// Seed seeds the arrivals and the choice of teams, paths and entries.
	Seed uint64
	// Label is the prefix of the run's action names. It distinguishes runs against
	// the same targets.
	Label string
	// MaxRequests limits the number of requests; 0 sets no limit.
	MaxRequests int
	// AttemptHeader is the header that carries the caller's own id of an attempt.
	// With it, one-time actions need no ticket; if it is empty, they use tickets.
	AttemptHeader string
	// TimeLeftHeader is the header that carries the remaining time of an attempt,
	// in milliseconds. It is sent only together with the attempt id.
	TimeLeftHeader string
}

//go:generate enumer -type=Final -transform=snake -trimprefix=Final -output=load_enumer.go

// Final is the final outcome of a one-time action as its caller sees it.
type Final int

// Final outcomes of a one-time action.
const (
	// FinalServed is a successful answer.
	FinalServed Final = iota
	// FinalNotRun is a refusal that says that the action has not run.
	FinalNotRun
	// FinalUnknown leaves open whether the action has run.
	FinalUnknown
)

// Result holds what the callers of a run saw. Its fields may be read once Run has
// returned.
type Result struct {
	mu sync.Mutex
	// Sent counts the look-ups and one-time actions, each once however often it is
	// retried.
	Sent   int `json:"sent"`
	Served int `json:"served"`
	// Refused counts the requests that failed in the end, by KIND/OUTCOME.
	Refused map[string]int `json:"refused"`
	// MixedAnswers counts the answers that do not contain the action name of their
	// request, and so belong to another one.
	MixedAnswers int `json:"mixed_answers"`
	// Teams holds the counts of each team by name.
	Teams map[string]*TeamResult `json:"teams"`
	// Actions holds the final outcome of each one-time action by name.
	Actions   map[string]Final        `json:"-"`
	latencies *hdrhistogram.Histogram // in microseconds
}

// TeamResult holds the counts of one team. OverRate counts refusals because the
// team exceeded its rate.
type TeamResult struct {
	Sent     int `json:"sent"`
	Served   int `json:"served"`
	OverRate int `json:"over_rate"`
}

// Maximum, in microseconds, and significant decimal digits of the latency
// histogram. Longer latencies are recorded as the maximum.
const (
	maxLatencyMicros = 60_000_000
	latencyDigits    = 3
)

func newResult(teams []Team) *Result {
	r := &Result{
		Refused: map[string]int{}, Teams: map[string]*TeamResult{}, Actions: map[string]Final{},
		latencies: hdrhistogram.New(1, maxLatencyMicros, latencyDigits),
	}
	for _, t := range teams {
		r.Teams[t.Name] = &TeamResult{}
	}
	return r
}

// Quantile returns a quantile of the latencies of served requests, in
// microseconds. A latency includes the time of retries. The quantile q is in
// percent, 0 to 100. It is safe for concurrent use.
func (r *Result) Quantile(q float64) int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.latencies.ValueAtQuantile(q)
}

// job is one look-up or one-time action to send.
type job struct {
	team       Team
	path       Path
	firstEntry int
	action     string
	rndSeed    uint64
}

// Run sends the load that cfg describes until its duration or number of requests
// is reached or ctx ends, and waits for all answers.
func Run(ctx context.Context, cfg Config) *Result {
	result := newResult(cfg.Teams)
	rng := rand.New(rand.NewPCG(cfg.Seed, 2))
	caller := newClient(cfg)
	var wg sync.WaitGroup
	start := time.Now()
	at := time.Duration(0)
	for n := 0; cfg.MaxRequests == 0 || n < cfg.MaxRequests; n++ {
		at += cfg.nextInterval(rng, at)
		if at >= cfg.Duration || !sleepUntil(ctx, start.Add(at)) {
			break
		}
		j := cfg.nextJob(rng, n)
		wg.Add(1)
		go func() {
			defer wg.Done()
			caller.runJob(ctx, j, result)
		}()
	}
	wg.Wait()
	return result
}

// nextInterval returns the random time from the arrival at the offset at to the
// next one. Intervals are exponentially distributed: arrivals are a Poisson
// process.
func (c Config) nextInterval(rng *rand.Rand, at time.Duration) time.Duration {
	rate := 0.0
	for _, t := range c.Teams {
		rate += t.Rate
	}
	if c.SurgeFactor > 0 && at > c.Duration*2/3 {
		rate *= c.SurgeFactor
	}
	return time.Duration(rng.ExpFloat64() / rate * float64(time.Second))
}

// nextJob returns the random job with number n. Teams are chosen by their rates,
// paths by their shares, and entries uniformly.
func (c Config) nextJob(rng *rand.Rand, n int) job {
	j := job{firstEntry: rng.IntN(len(c.Entries)), rndSeed: rng.Uint64(), action: fmt.Sprintf("%s-%d-%d", c.Label, c.Seed, n)}
	weights := make([]float64, len(c.Teams))
	for i, t := range c.Teams {
		weights[i] = t.Rate
	}
	j.team = c.Teams[pickWeighted(rng, weights)]
	weights = make([]float64, len(c.Paths))
	for i, p := range c.Paths {
		weights[i] = p.Share
	}
	j.path = c.Paths[pickWeighted(rng, weights)]
	return j
}

// pickWeighted returns a random index, each with a probability proportional to
// its weight.
func pickWeighted(rng *rand.Rand, weights []float64) int {
	total := 0.0
	for _, w := range weights {
		total += w
	}
	remaining := rng.Float64() * total
	for i, w := range weights {
		if remaining -= w; remaining < 0 {
			return i
		}
	}
	return len(weights) - 1
}

// sleepUntil sleeps until t and reports whether ctx is still live.
func sleepUntil(ctx context.Context, t time.Time) bool {
	wait := time.Until(t)
	if wait <= 0 {
		return ctx.Err() == nil
	}
	select {
	case <-ctx.Done():
		return false
	case <-time.After(wait):
		return true
	}
}

// recordServed counts a successful answer.
func (r *Result) recordServed(j job, latency time.Duration, mismatched bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Served++
	r.Teams[j.team.Name].Served++
	if mismatched {
		r.MixedAnswers++
	}
	_ = r.latencies.RecordValue(min(latency.Microseconds(), maxLatencyMicros))
	if j.path.OneTime {
		r.Actions[j.action] = FinalServed
	}
}

// recordRefused counts a request that failed in the end; reason is KIND/OUTCOME.
func (r *Result) recordRefused(j job, reason string, final Final) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Refused[reason]++
	if reason == "over_rate/not_run" {
		r.Teams[j.team.Name].OverRate++
	}
	if j.path.OneTime {
		r.Actions[j.action] = final
	}
}

// recordSent counts a request before its first attempt.
func (r *Result) recordSent(j job) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Sent++
	r.Teams[j.team.Name].Sent++
}
