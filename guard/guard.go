// Package guard forwards requests from entries, on this instance or on others, to
// the targets beside this daemon. For each target it limits concurrency, queues
// requests and tracks health; it runs a one-time action at most once. A refusal
// says whether the request has certainly not run. The daemon passes it the
// targets' heartbeats and calls Tick periodically.
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

// defaultAnnounceTTL is how long a target stays registered after its last
// announcement by default, in milliseconds. It tolerates two lost announcements
// that are a second apart.
const defaultAnnounceTTL = 3 * clock.Second

// Config holds the limits and options of a guard.
type Config struct {
	// QueueLimit is the maximum number of requests that wait for one target.
	QueueLimit int
	// MaxAnswerBytes is the maximum size of an answer's body, in bytes.
	MaxAnswerBytes int
	// AnswerMemory limits the bytes of all large answers that are read at the same time,
	// unless Deps.Memory does; 0 or less than MaxAnswerBytes means MaxAnswerBytes.
	AnswerMemory int
	// AnnounceTTL is how long a target stays registered after its last
	// announcement or heartbeat, in milliseconds; 0 means the default of 3
	// seconds.
	AnnounceTTL clock.Millis
	// Region and DataCentre are the place of this daemon and its targets.
	Region     ident.Region
	DataCentre ident.DataCentre
	// Incarnation identifies this run of the daemon.
	Incarnation ident.Incarnation
	// Dialect names the headers of requests to targets; the zero value means the
	// default ones.
	Dialect Dialect
	// KeepAlive detects dead connections by TCP keep-alive probes. Without it,
	// an idempotent request on a reused connection is interrupted if no byte
	// arrives within half of the remaining time, and may be sent again on another
	// connection. This also interrupts requests that are only slow.
	KeepAlive bool
	// HeartbeatInterval is the interval between two heartbeats of a target, in
	// milliseconds; 0 if targets send none.
	HeartbeatInterval clock.Millis
	// ColdOvershoot is the factor of a service's cold rate up to which a cold target gets
	// requests. ColdSlack is the number of requests above that which a cold target
	// tolerates because they arrive closer together than they were sent.
	ColdOvershoot, ColdSlack float64
	// SuspectThreshold is the suspicion, 0 to 1, from which a target's requests
	// are refused, except recovery probes and last-resort requests; 0 refuses
	// none.
	SuspectThreshold float64
	// ShedIsNoFailure means that a request that its target refuses without running it
	// does not raise the target's suspicion.
	ShedIsNoFailure bool
}

// PeerStats provides the statistics of the other targets of a service.
type PeerStats interface {
	// Peers returns a summary of the service's targets except one.
	Peers(now clock.Millis, s ident.Service, except ident.Target) health.PeerSummary
}

// Guard forwards requests to the local targets. It is safe for concurrent use.
type Guard struct {
	cfg     Config
	clk     clock.Clock
	log     hclog.Logger
	meter   *meter.Meter
	peers   PeerStats
	pool    *ants.Pool
	tickets *ticketTracker
	// attempts holds the one-time requests that carry an attempt ID of their
	// callers.
	attempts *attemptTracker
	// isDrained reports whether operators have drained a target.
	isDrained func(ident.Target) bool
	// isEvacuated reports whether a data centre is evacuated.
	isEvacuated func(ident.DataCentre) bool
	// evacuated is set by SetEvacuated.
	evacuated atomic.Bool
	// coldLimits returns the limits of a service's cold targets; it may be nil.
	coldLimits func(ident.Service) (start clock.Millis, rate uint32)
	// createdAt is when the guard was created, in milliseconds.
	createdAt clock.Millis
	// forgottenAt is when the record of the requests to an address was last dropped,
	// because its target was removed or moved; 0 if never. mu protects it.
	forgottenAt clock.Millis

	// pauses notices pauses of this process, in which requests and heartbeats lie
	// unread.
	pauses clock.PauseDetector
	// lastExchange is the ID of the last request sent to a target; see
	// Dialect.Exchange.
	lastExchange atomic.Uint64
	// answerMemory is the memory for large answers of all targets.
	answerMemory AnswerMemory
	// runningRetries counts the running requests that were sent to another
	// target before.
	runningRetries atomic.Int64
	// runningActions is the number of running one-time requests.
	runningActions atomic.Int64
	// lastCallFailure is when a call made by a local target last failed, in
	// milliseconds; 0 if none did.
	lastCallFailure atomic.Int64

	mu         sync.RWMutex
	targets    map[ident.Target]*target
	tombstones map[ident.Target]tombstone
	// departureCount is the result of DepartureCount.
	departureCount uint64
	draining       bool
	// lastLeftAt is when the last target that was removed while it drained started to
	// drain, in milliseconds; 0 if none was since the last heartbeat of a target that
	// does not drain.
	lastLeftAt clock.Millis
}

// Deps holds the components that a guard uses.
type Deps struct {
	Clock clock.Clock
	Log   hclog.Logger
	Peers PeerStats
	// Pool runs the one-time actions.
	Pool *ants.Pool
	// Tickets holds the tickets that this daemon issues.
	Tickets *once.TicketTable
	// Attempts records one-time requests by the attempt IDs of their callers; nil
	// if callers use tickets.
	Attempts *once.AttemptTable
	// IsDrained reports whether operators have drained a target.
	IsDrained func(ident.Target) bool
	// IsEvacuated reports whether a data centre is evacuated; nil means that none is.
	IsEvacuated func(ident.DataCentre) bool
	// ColdLimits returns how long a target of a service is cold after its start, and how
	// many requests per second it then tolerates; a rate of 0 or a nil function means
	// that cold targets have no limit.
	ColdLimits func(ident.Service) (start clock.Millis, rate uint32)
	// Memory is the memory for large answers; nil means Config.AnswerMemory.
	Memory AnswerMemory
	// Meter receives the request times; nil means that they are not exported.
	Meter *meter.Meter
}

// New returns a guard without targets.
func New(cfg Config, d Deps) *Guard {
	if cfg.AnnounceTTL == 0 {
		cfg.AnnounceTTL = defaultAnnounceTTL
	}
	if cfg.Dialect == (Dialect{}) {
		cfg.Dialect = DefaultDialect()
	}
	if d.Attempts == nil {
		d.Attempts = once.NewAttemptTable(once.AttemptConfig{})
	}
	if d.IsEvacuated == nil {
		d.IsEvacuated = func(ident.DataCentre) bool { return false }
	}
	if d.Meter == nil {
		d.Meter = meter.New()
	}
	if d.Memory == nil {
		d.Memory = &byteBudget{limit: max(int64(cfg.AnswerMemory), LargestAnswerMemory(cfg.MaxAnswerBytes))}
	}
	return &Guard{
		cfg: cfg, clk: d.Clock, log: d.Log, meter: d.Meter, peers: d.Peers, pool: d.Pool, isDrained: d.IsDrained, isEvacuated: d.IsEvacuated,
		coldLimits: d.ColdLimits, createdAt: d.Clock.Now(),
		answerMemory: d.Memory,

		tickets:    newTicketTracker(d.Tickets),
		attempts:   newAttemptTracker(d.Attempts),
		targets:    map[ident.Target]*target{},
		tombstones: map[ident.Target]tombstone{},
	}
}

// Add registers a target from the settings. It needs no announcements to stay
// registered.
func (g *Guard) Add(s TargetSpec) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.addTarget(s)
}

// addTarget registers a new target in place of the one with its ID. The caller holds mu.
func (g *Guard) addTarget(s TargetSpec) *target {
	t := newTarget(s, g.cfg, g.clk, g.answerMemory)
	t.cold = g.newColdGate(s)
	t.conns.typicalLatency = t.typicalLatency
	t.conns.onLost = func() { t.cold.markLost(s.Service) }
	if previous := g.targets[s.ID]; previous != nil && previous.spec.Address != s.Address {
		g.forgottenAt = g.clk.Now()
	}
	g.targets[s.ID] = t
	return t
}

// Announce registers a target or renews its registration. It reports whether the
// target is new, has a changed spec or stopped draining.
func (g *Guard) Announce(s TargetSpec) bool {
	now := g.clk.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	t := g.targets[s.ID]
	changed := t == nil || t.spec != s
	if changed {
		if t != nil {
			t.retire()
		}
		t = g.addTarget(s)
		t.draining = g.draining
	}
	t.mu.Lock()
	t.lastAnnounced = max(now, 1)
	t.setLeaving(now, false)
	if t.draining && !g.draining {
		t.draining = false
		changed = true
	}
	t.mu.Unlock()
	return changed
}

// DrainTarget drains one target: it refuses queued and new requests. It reports
// whether the target is registered.
func (g *Guard) DrainTarget(id ident.Target) bool {
	t := g.findTarget(id)
	if t == nil {
		return false
	}
	t.setDraining(true)
	return true
}

// Drain drains every registered target before a planned stop of the daemon. Later
// heartbeats, and announcements with an unchanged spec, do not end it.
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
	for _, t := range g.sortedTargets() {
		if !t.isIdle() {
			return false
		}
	}
	return true
}

// Targets returns the targets as the daemon announces them to other daemons.
func (g *Guard) Targets() []member.Target {
	var out []member.Target
	for _, t := range g.sortedTargets() {
		out = append(out, t.info())
	}
	return out
}

// RefuseWaiting refuses the requests of one sender that wait for a slot and returns
// their number. They are refused as not run.
func (g *Guard) RefuseWaiting(sender ident.Instance) int {
	n := 0
	for _, t := range g.sortedTargets() {
		n += t.refuseWaiting(sender)
	}
	if n > 0 {
		g.log.Info("waiting requests of a leaving daemon refused", "sender", sender, "count", n)
	}
	return n
}

// SuspectCount returns the number of local targets whose suspicion is at least the
// configured threshold, or 0 if there is no threshold.
func (g *Guard) SuspectCount(now clock.Millis) int {
	n := 0
	for _, t := range g.sortedTargets() {
		if g.cfg.SuspectThreshold > 0 && t.suspicion(now) >= g.cfg.SuspectThreshold {
			n++
		}
	}
	return n
}

// LoadReports returns the load of every target, for the daemons of the data centre.
func (g *Guard) LoadReports(now clock.Millis) []*wire.LoadReport {
	var out []*wire.LoadReport
	for _, t := range g.sortedTargets() {
		out = append(out, t.loadReport(now))
	}
	return out
}

// TargetStats returns the request statistics of the targets, for the guards of
// other daemons. It omits targets that had no request in the longest window.
func (g *Guard) TargetStats(now clock.Millis) []member.TargetStats {
	var out []member.TargetStats
	for _, t := range g.sortedTargets() {
		if stats := t.stats(now); stats.Windows[health.WindowCount-1].Count > 0 {
			out = append(out, stats)
		}
	}
	return out
}

// Tick refuses waiting requests whose deadline has passed, and all of them while the
// data centre is evacuated, updates the targets'
// health states and removes targets that stopped announcing themselves. It
// reports whether a target was removed or changed its health state.
func (g *Guard) Tick(now clock.Millis) bool {
	g.pauses.Tick(now)
	changed := g.removeSilentTargets(now)
	evacuated := g.isEvacuatedHere()
	for _, t := range g.sortedTargets() {
		t.expire(now)
		if evacuated {
			t.flush(fault.Evacuated)
		}
		g.logCold(now, t)
		before := t.info().State
		stateChanged, reason := t.updateHealth(now, g.peers.Peers(now, t.spec.Service, t.spec.ID))
		if stateChanged {
			g.log.Info("target state changed", "target", t.spec.ID, "from", before, "to", t.info().State, "reason", reason)
			changed = true
		}
	}
	return changed
}

// removeSilentTargets drains the targets whose last announcement is too old and
// removes those of them that are idle. It reports whether it drained or removed one.
func (g *Guard) removeSilentTargets(now clock.Millis) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	changed := false
	// A target could not be heard while this process was paused.
	resumedAt := g.pauses.ResumedAt()
	for id, t := range g.targets {
		t.mu.Lock()
		silent := t.lastAnnounced > 0 && now-max(t.lastAnnounced, resumedAt) > g.cfg.AnnounceTTL
		draining, leavingSince := t.draining, t.leavingSince
		t.mu.Unlock()
		switch {
		case silent && t.isIdle():
			delete(g.targets, id)
			g.forgottenAt = now
			t.retire()
			g.lastLeftAt = max(g.lastLeftAt, leavingSince)
			changed = true
		case silent && !draining:
			t.setDraining(true)
			changed = true
		}
	}
	return changed
}

// UnreadTime returns the time for which a request that is read now may have lain unread
// because this process was paused, in milliseconds.
func (g *Guard) UnreadTime(now clock.Millis) clock.Millis { return g.pauses.Waited(now) }

// RetryShare returns the share of the running requests that are retries, 0 to 1.
// It estimates the share of retries among the calls that local targets make.
func (g *Guard) RetryShare() float64 {
	retries := g.runningRetries.Load()
	if retries == 0 {
		return 0
	}
	running := 0
	for _, t := range g.sortedTargets() {
		running += t.running()
	}
	return min(float64(retries)/float64(max(running, 1)), 1)
}

// SetEvacuated starts or ends the refusal of all new and waiting requests because the
// data centre is evacuated. Running requests continue.
func (g *Guard) SetEvacuated(evacuated bool) {
	g.evacuated.Store(evacuated)
	if !evacuated {
		return
	}
	for _, t := range g.sortedTargets() {
		t.flush(fault.Evacuated)
	}
}

// isEvacuatedHere reports whether new requests are refused because the data centre is
// evacuated. It is true until both SetEvacuated and Deps.IsEvacuated say otherwise, so
// that the daemon can prepare the targets before the first request.
func (g *Guard) isEvacuatedHere() bool {
	return g.evacuated.Load() || g.isEvacuated(g.cfg.DataCentre)
}

// RunsActions reports whether at least half of the running requests of the local targets are
// one-time requests. A call of a local target then probably belongs to one.
func (g *Guard) RunsActions() bool {
	actions := int(g.runningActions.Load())
	if actions == 0 {
		return false
	}
	running := 0
	for _, t := range g.sortedTargets() {
		running += t.running()
	}
	return 2*actions >= running
}

func (g *Guard) findTarget(id ident.Target) *target {
	g.mu.RLock()
	defer g.mu.RUnlock()
	return g.targets[id]
}

// sortedTargets returns the targets sorted by ID.
func (g *Guard) sortedTargets() []*target {
	g.mu.RLock()
	defer g.mu.RUnlock()
	sorted := make([]*target, 0, len(g.targets))
	for _, t := range g.targets {
		sorted = append(sorted, t)
	}
	sort.Slice(sorted, func(i, j int) bool { return sorted[i].spec.ID < sorted[j].spec.ID })
	return sorted
}

// leastBusyTarget returns the least busy local target of a service. It skips
// draining targets and those that operators have drained, prefers targets that are
// not sick, and returns nil if none is left.
func (g *Guard) leastBusyTarget(s ident.Service) *target {
	var best *target
	lowestLoad := 0.0
	for _, t := range g.sortedTargets() {
		if t.spec.Service != s || g.isDrained(t.spec.ID) {
			continue
		}
		t.mu.Lock()
		load := float64(t.queue.Running()+t.queue.Waiting()) / float64(t.queue.Slots())
		if t.state() == ident.TargetSick {
			load += 100
		}
		if t.cold.used(s) == ident.PerMille {
			load += 50
		}
		draining := t.draining
		t.mu.Unlock()
		if !draining && (best == nil || load < lowestLoad) {
			best, lowestLoad = t, load
		}
	}
	return best
}

// IssueTickets issues up to n tickets for one-time actions of a team on a service.
func (g *Guard) IssueTickets(team ident.Team, s ident.Service, n int) ([]string, *fault.Refusal) {
	if g.isEvacuatedHere() {
		return nil, fault.NotRun(fault.Evacuated, "data centre %s is evacuated: ask again", g.cfg.DataCentre).WithRetryAfter(clock.Second)
	}
	if g.leastBusyTarget(s) == nil {
		return nil, fault.NotRun(fault.Draining, "no target of service %s takes work here: ask again", s)
	}
	return g.tickets.issue(g.clk.Now(), team, s, n)
}

// TicketStats returns the number of issued tickets that had not expired when the
// table was last used, and the number of used tickets in the table.
func (g *Guard) TicketStats() (open, used int) {
	return g.tickets.stats()
}

// Forward forwards one request from an entry to its target and returns the answer
// or a refusal. When ctx ends, an idempotent request is canceled. A one-time action
// that has been sent to its target continues; one with a ticket continues even while
// it waits for a slot.
func (g *Guard) Forward(ctx context.Context, req *wire.ForwardRequest) *wire.ForwardReply {
	reply := &wire.ForwardReply{Sequence: req.GetSequence(), SenderIncarnation: req.GetSenderIncarnation()}
	if len(req.GetReceived()) > 0 {
		g.attempts.confirmReplies(ident.Incarnation(req.GetSenderIncarnation()), req.GetReceived())
	}
	if req.GetOneTime() && req.GetAttempt() != "" {
		g.forwardAttempt(ctx, req, reply)
		return reply
	}
	if req.GetOneTime() {
		g.forwardTicket(ctx, req, reply)
		return reply
	}
	t := g.findTarget(ident.Target(req.GetTarget()))
	if t == nil {
		setRefusal(reply, targetGoneRefusal(req))
		return reply
	}
	answer, refusal, arrived := g.serve(ctx, t, req)
	setResult(reply, answer, refusal)
	reply.Arrived = arrived
	reply.Load = t.loadReport(g.clk.Now())
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
	reply.Refusal = RefusalToWire(r)
}

// RefusalToWire converts a refusal to its message in the protocol between daemons.
func RefusalToWire(r *fault.Refusal) *wire.Refusal {
	return &wire.Refusal{
		Kind: uint32(r.Kind), Outcome: uint32(r.Outcome), Message: r.Message, RetryAfterMs: uint32(r.RetryAfter),
	}
}

// RefusalFromWire converts a refusal message of the protocol between daemons; nil
// gives a zero refusal.
func RefusalFromWire(w *wire.Refusal) *fault.Refusal {
	return &fault.Refusal{
		Kind: fault.Kind(w.GetKind()), Outcome: ident.Outcome(w.GetOutcome()), Message: w.GetMessage(),
		RetryAfter: clock.Millis(w.GetRetryAfterMs()),
	}
}

// TicketTTL returns how long a ticket can be used, in milliseconds.
func (g *Guard) TicketTTL() clock.Millis {
	return g.tickets.ttl
}
