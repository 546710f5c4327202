// Package load sends callers' requests to the fleet: an open loop whose
// arrivals do not wait for answers, with several teams, look-ups and one-time
// actions, and repeats through another daemon.
package load

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Team is one caller with its key and its part of the load.
type Team struct {
	Name string `json:"name"`
	Key  string `json:"key"`
	// Rate is in requests per second.
	Rate float64 `json:"rate"`
}

// Path is one kind of request.
type Path struct {
	Path    string `json:"path"`
	OneTime bool   `json:"one_time"`
	// Part is the path's part of the requests, 0 to 1.
	Part float64 `json:"part"`
}

// Config describes a run.
type Config struct {
	// Entries are the callers' addresses of the daemons.
	Entries  []string
	Teams    []Team
	Paths    []Path
	Duration time.Duration
	// Rush times the rates in the last third of the run, as at closing time.
	Rush float64
	// Timeout bounds one attempt.
	Timeout time.Duration
	// Repeats bounds the attempts at a one-time action with unknown outcome.
	Repeats int
	Seed    uint64
	// Label starts the names of the run\'s actions, so that runs against the
	// same targets can be told apart.
	Label string
	// MaxRequests bounds the run.
	MaxRequests int
	// Attempt and Remaining name the headers with the caller's own id of an
	// attempt and its time left, in milliseconds. With them, one-time actions
	// need no ticket.
	Attempt   string
	Remaining string
}

//go:generate enumer -type=Final -transform=snake -trimprefix=Final -output=load_enumer.go

// Final is how an action ended for its caller.
type Final int

// Ends of an action.
const (
	FinalServed Final = iota
	FinalNotRun
	FinalUnknown
)

// Result is what callers saw.
type Result struct {
	mu sync.Mutex
	// Sent counts the look-ups and actions.
	Sent   int `json:"sent"`
	Served int `json:"served"`
	// Refused counts the final refusals by kind and outcome.
	Refused map[string]int `json:"refused"`
	// Mixed counts the answers that belong to another request.
	Mixed int `json:"mixed_answers"`
	// Teams holds the counts of each team.
	Teams map[string]*TeamResult `json:"teams"`
	// Actions holds the end of every one-time action.
	Actions map[string]Final        `json:"-"`
	hist    *hdrhistogram.Histogram // in microseconds
}

// TeamResult is what one team saw.
type TeamResult struct {
	Sent     int `json:"sent"`
	Served   int `json:"served"`
	OverRate int `json:"over_rate"`
}

const (
	maxLatencyMicros = 60_000_000
	histDigits       = 3
)

func newResult(teams []Team) *Result {
	r := &Result{
		Refused: map[string]int{}, Teams: map[string]*TeamResult{}, Actions: map[string]Final{},
		hist: hdrhistogram.New(1, maxLatencyMicros, histDigits),
	}
	for _, t := range teams {
		r.Teams[t.Name] = &TeamResult{}
	}
	return r
}

// Quantile returns a latency quantile of served requests, in microseconds.
func (r *Result) Quantile(q float64) int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.hist.ValueAtQuantile(q)
}

// job is one request to make.
type job struct {
	team    Team
	path    Path
	entry   int
	action  string
	rndSeed uint64
}

// Run sends the load and waits for all answers.
func Run(ctx context.Context, cfg Config) *Result {
	res := newResult(cfg.Teams)
	rnd := rand.New(rand.NewPCG(cfg.Seed, 2))
	cl := newClient(cfg)
	var wg sync.WaitGroup
	start := time.Now()
	at := time.Duration(0)
	for n := 0; cfg.MaxRequests == 0 || n < cfg.MaxRequests; n++ {
		at += cfg.gap(rnd, at)
		if at >= cfg.Duration || !sleepUntil(ctx, start.Add(at)) {
			break
		}
		j := cfg.draw(rnd, n)
		wg.Add(1)
		go func() {
			defer wg.Done()
			cl.do(ctx, j, res)
		}()
	}
	wg.Wait()
	return res
}

// gap draws the time to the next arrival.
func (c Config) gap(rnd *rand.Rand, at time.Duration) time.Duration {
	rate := 0.0
	for _, t := range c.Teams {
		rate += t.Rate
	}
	if c.Rush > 0 && at > c.Duration*2/3 {
		rate *= c.Rush
	}
	return time.Duration(rnd.ExpFloat64() / rate * float64(time.Second))
}

func (c Config) draw(rnd *rand.Rand, n int) job {
	j := job{entry: rnd.IntN(len(c.Entries)), rndSeed: rnd.Uint64(), action: fmt.Sprintf("%s-%d-%d", c.Label, c.Seed, n)}
	weights := make([]float64, len(c.Teams))
	for i, t := range c.Teams {
		weights[i] = t.Rate
	}
	j.team = c.Teams[pick(rnd, weights)]
	weights = make([]float64, len(c.Paths))
	for i, p := range c.Paths {
		weights[i] = p.Part
	}
	j.path = c.Paths[pick(rnd, weights)]
	return j
}

func pick(rnd *rand.Rand, weights []float64) int {
	total := 0.0
	for _, w := range weights {
		total += w
	}
	x := rnd.Float64() * total
	for i, w := range weights {
		if x -= w; x < 0 {
			return i
		}
	}
	return len(weights) - 1
}

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

func (r *Result) served(j job, latency time.Duration, mixed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Served++
	r.Teams[j.team.Name].Served++
	if mixed {
		r.Mixed++
	}
	_ = r.hist.RecordValue(min(latency.Microseconds(), maxLatencyMicros))
	if j.path.OneTime {
		r.Actions[j.action] = FinalServed
	}
}

func (r *Result) refused(j job, kind string, final Final) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Refused[kind]++
	if kind == "over_rate/not_run" {
		r.Teams[j.team.Name].OverRate++
	}
	if j.path.OneTime {
		r.Actions[j.action] = final
	}
}

func (r *Result) sent(j job) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Sent++
	r.Teams[j.team.Name].Sent++
}
