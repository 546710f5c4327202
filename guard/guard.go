// Package guard is the part of a daemon that stands before its local targets.
// Every request to a target passes its guard, which counts slots, queues,
// judges health, runs one-time actions at most once, and tells truthfully
// whether a refused request has run.
package guard

import (
	"context"
	"sort"
	"sync"
	"sync/atomic"

	"github.com/hashicorp/go-hclog"
	"github.com/panjf2000/ants/v2"

	"chestnutlatch/clock"
	"chestnutlatch/fault"
	"chestnutlatch/health"
	"chestnutlatch/ident"
	"chestnutlatch/member"
	"chestnutlatch/meter"
	"chestnutlatch/once"
	"chestnutlatch/wire"
)

// announceLife is the AnnounceLife that a zero Config stands for: two lost
// announcements a second apart.
const announceLife = 3 * clock.Second

// Config holds the bounds of a guard.
type Config struct {
	// QueueLimit is the number of requests that may wait for one target.
	QueueLimit int
	// MaxAnswerBytes bounds the body of an answer.
	MaxAnswerBytes int
	// AnnounceLife is how long a target counts after it was last heard, in
	// milliseconds.
	AnnounceLife clock.Millis
	// Incarnation is this daemon's life.
	Incarnation ident.Incarnation
	// Dialect names the headers towards targets.
	Dialect Dialect
	// KeepAlive finds silent connections by TCP probes. Without it, a reused
	// connection that gives no byte for half of the time left is given up,
	// which also breaks off requests that only take long.
	KeepAlive bool
	// RefuseAt is the suspicion, 0 to 1, from which a one-time action is sent
	// elsewhere; 0 leaves the choice to the entry.
	RefuseAt float64
}

// PeerStats tells how the other targets of a service fare.
type PeerStats interface {
	// Peers returns the summary of the service's targets without the given
	// one.
	Peers(now clock.Millis, s ident.Service, except ident.Target) health.Peers
}

// Guard serves the local targets. It is safe for concurrent use.
type Guard struct {
	cfg   Config
	clk   clock.Clock
	log   hclog.Logger
	meter *meter.Meter
	peers PeerStats
	pool  *ants.Pool
	home  *tickets
	// attempts holds the one-time requests that callers name themselves.
	attempts *attempts
	// isDrained is the operators' word on a target.
	isDrained func(ident.Target) bool

	// repeats counts the running requests that reached another target before.
	repeats atomic.Int64
	// callFailed is when a call of a local target last failed.
	callFailed atomic.Int64

	mu       sync.RWMutex
	targets  map[ident.Target]*target
	gone     map[ident.Target]tomb
	draining bool
	// leaving is since when the last word of a local target was that it leaves,
	// 0 if it was not.
	leaving clock.Millis
}

// Deps are what a guard works with.
type Deps struct {
	Clock clock.Clock
	Log   hclog.Logger
	Peers PeerStats
	// Pool runs the one-time actions.
	Pool *ants.Pool
	Home *once.Home
	// Attempts remembers one-time requests that callers name; nil if they use
	// tickets.
	Attempts *once.Attempts
	// IsDrained is the operators' word on a target.
	IsDrained func(ident.Target) bool
	// Meter takes the times of requests; nil stands for one that nobody reads.
	Meter *meter.Meter
}

// New returns a guard without targets.
func New(cfg Config, d Deps) *Guard {
	if cfg.AnnounceLife == 0 {
		cfg.AnnounceLife = announceLife
	}
	if cfg.Dialect == (Dialect{}) {
		cfg.Dialect = OwnDialect()
	}
	if d.Attempts == nil {
		d.Attempts = once.NewAttempts(once.AttemptConfig{})
	}
	if d.Meter == nil {
		d.Meter = meter.New()
	}
	return &Guard{
		cfg: cfg, clk: d.Clock, log: d.Log, meter: d.Meter, peers: d.Peers, pool: d.Pool, isDrained: d.IsDrained,
		home:     newTickets(d.Home),
		attempts: newAttempts(d.Attempts),
		targets:  map[ident.Target]*target{},
		gone:     map[ident.Target]tomb{},
	}
}

// Add adds a target from the settings, which stays without announcements.
func (g *Guard) Add(s Spec) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.targets[s.ID] = newTarget(s, g.cfg, g.clk)
}

// Announce adds a target or keeps it for another while. It reports whether
// the set of targets changed.
func (g *Guard) Announce(s Spec) bool {
	now := g.clk.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	t := g.targets[s.ID]
	changed := t == nil || t.spec != s
	if changed {
		t = newTarget(s, g.cfg, g.clk)
		g.targets[s.ID] = t
	}
	t.mu.Lock()
	t.heard = max(now, 1)
	if t.draining && !g.draining {
		t.draining = false
		changed = true
	}
	t.mu.Unlock()
	return changed
}

// Leave stops new work at one target. It reports whether the target is known.
func (g *Guard) Leave(id ident.Target) bool {
	t := g.find(id)
	if t == nil {
		return false
	}
	t.setDraining(true)
	return true
}

// Drain stops new work at every target, for a planned stop.
func (g *Guard) Drain() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.draining = true
	for _, t := range g.targets {
		t.setDraining(true)
	}
}

// IsIdle reports whether no request runs or waits at any target.
func (g *Guard) IsIdle() bool {
	for _, t := range g.list() {
		if !t.isIdle() {
			return false
		}
	}
	return true
}

// Infos returns the targets' records for the membership.
func (g *Guard) Infos() []member.Target {
	var out []member.Target
	for _, t := range g.list() {
		out = append(out, t.info())
	}
	return out
}

// Release refuses the requests of a sender that wait for a slot and returns
// their number. None of them has run or will run.
func (g *Guard) Release(sender ident.Instance) int {
	n := 0
	for _, t := range g.list() {
		n += t.releaseFrom(sender)
	}
	if n > 0 {
		g.log.Info("waiting requests of a leaving daemon refused", "sender", sender, "count", n)
	}
	return n
}

// Suspects returns the number of local targets that probably fail.
func (g *Guard) Suspects(now clock.Millis) int {
	n := 0
	for _, t := range g.list() {
		if g.cfg.RefuseAt > 0 && t.suspicion(now) >= g.cfg.RefuseAt {
			n++
		}
	}
	return n
}

// Reports returns the state of every target, for the data centre.
func (g *Guard) Reports(now clock.Millis) []*wire.LoadReport {
	var out []*wire.LoadReport
	for _, t := range g.list() {
		out = append(out, t.report(now))
	}
	return out
}

// Vitals returns the targets' summaries for their peers.
func (g *Guard) Vitals(now clock.Millis) []member.Vital {
	var out []member.Vital
	for _, t := range g.list() {
		if v := t.vital(now); v.Windows[health.WindowCount-1].Count > 0 {
			out = append(out, v)
		}
	}
	return out
}

// Tick expires waiting requests, judges the targets and drops those that
// stopped announcing themselves. It reports whether peers must be told.
func (g *Guard) Tick(now clock.Millis) bool {
	changed := g.dropSilent(now)
	for _, t := range g.list() {
		t.expire(now)
		was := t.info().State
		moved, reason := t.judge(now, g.peers.Peers(now, t.spec.Service, t.spec.ID))
		if moved {
			g.log.Info("target state changed", "target", t.spec.ID, "from", was, "to", t.info().State, "reason", reason)
			changed = true
		}
	}
	return changed
}

func (g *Guard) dropSilent(now clock.Millis) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	changed := false
	for id, t := range g.targets {
		t.mu.Lock()
		silent := t.heard > 0 && now-t.heard > g.cfg.AnnounceLife
		t.mu.Unlock()
		if silent && t.isIdle() {
			delete(g.targets, id)
			t.conns.closeAll()
			changed = true
		} else if silent {
			t.setDraining(true)
		}
	}
	return changed
}

// RepeatShare is the part of the running requests that are repeats, 0 to 1. The
// calls that local targets make are repeats in the same part.
func (g *Guard) RepeatShare() float64 {
	repeats := g.repeats.Load()
	if repeats == 0 {
		return 0
	}
	running := 0
	for _, t := range g.list() {
		running += t.running()
	}
	return min(float64(repeats)/float64(max(running, 1)), 1)
}

func (g *Guard) find(id ident.Target) *target {
	g.mu.RLock()
	defer g.mu.RUnlock()
	return g.targets[id]
}

// list returns the targets in order of their ids.
func (g *Guard) list() []*target {
	g.mu.RLock()
	defer g.mu.RUnlock()
	out := make([]*target, 0, len(g.targets))
	for _, t := range g.targets {
		out = append(out, t)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].spec.ID < out[j].spec.ID })
	return out
}

// ofService returns the least busy local target of a service that takes work,
// or nil.
func (g *Guard) ofService(s ident.Service) *target {
	var best *target
	lowest := 0.0
	for _, t := range g.list() {
		if t.spec.Service != s || g.isDrained(t.spec.ID) {
			continue
		}
		t.mu.Lock()
		busy := float64(t.queue.Running()+t.queue.Waiting()) / float64(t.queue.Slots())
		if t.state() == ident.TargetSick {
			busy += 100
		}
		out := t.draining
		t.mu.Unlock()
		if !out && (best == nil || busy < lowest) {
			best, lowest = t, busy
		}
	}
	return best
}

// Tickets issues tickets for one-time actions on a service.
func (g *Guard) Tickets(team ident.Team, s ident.Service, n int) ([]string, *fault.Refusal) {
	if g.ofService(s) == nil {
		return nil, fault.NotRun(fault.Draining, "no target of service %s takes work here: ask again", s)
	}
	return g.home.issue(g.clk.Now(), team, s, n)
}

// TicketStats returns the open tickets and the used ones remembered.
func (g *Guard) TicketStats() (open, used int) {
	return g.home.stats()
}

// Forward serves one request from an entry.
func (g *Guard) Forward(ctx context.Context, req *wire.ForwardRequest) *wire.ForwardReply {
	reply := &wire.ForwardReply{Sequence: req.GetSequence(), SenderIncarnation: req.GetSenderIncarnation()}
	if req.GetOneTime() && req.GetAttempt() != "" {
		g.forwardAttempt(ctx, req, reply)
		return reply
	}
	if req.GetOneTime() {
		g.forwardOnce(ctx, req, reply)
		return reply
	}
	t := g.find(ident.Target(req.GetTarget()))
	if t == nil {
		setRefusal(reply, goneRefusal(req))
		return reply
	}
	answer, refusal, arrived := g.serve(ctx, t, req)
	setResult(reply, answer, refusal)
	reply.Arrived = arrived
	reply.Load = t.report(g.clk.Now())
	return reply
}

func setResult(reply *wire.ForwardReply, a *wire.Answer, r *fault.Refusal) {
	if r != nil {
		setRefusal(reply, r)
		return
	}
	reply.Answer = a
}

func setRefusal(reply *wire.ForwardReply, r *fault.Refusal) {
	reply.Refusal = ToWire(r)
}

// ToWire writes a refusal for the inner protocol.
func ToWire(r *fault.Refusal) *wire.Refusal {
	return &wire.Refusal{
		Kind: uint32(r.Kind), Outcome: uint32(r.Outcome), Message: r.Message, RetryAfterMs: uint32(r.RetryAfter),
	}
}

// FromWire reads a refusal of the inner protocol.
func FromWire(w *wire.Refusal) *fault.Refusal {
	return &fault.Refusal{
		Kind: fault.Kind(w.GetKind()), Outcome: ident.Outcome(w.GetOutcome()), Message: w.GetMessage(),
		RetryAfter: clock.Millis(w.GetRetryAfterMs()),
	}
}

// TicketTTL returns how long a ticket can be used.
func (g *Guard) TicketTTL() clock.Millis {
	return g.home.ttl
}
