package guard

import (
	"sync"
	"sync/atomic"

	"chestnutlatch/clock"
	"chestnutlatch/fault"
	"chestnutlatch/ident"
	"chestnutlatch/limit"
)

// missedColdHeartbeats is the number of heartbeat intervals without a heartbeat after
// which a target counts as cold, since it may have started again unnoticed.
const missedColdHeartbeats = 2

// coldGate bounds the requests to the process at one address while it is cold. Targets
// that follow each other at the address share it, because requests that were sent before
// the first heartbeat of a new process may have reached that process. A nil coldGate
// bounds nothing. It is safe for concurrent use.
type coldGate struct {
	clk clock.Clock
	// limits returns how long a target of a service is cold after its start and the rate
	// that it then tolerates; nil if no service has a limit.
	limits           func(ident.Service) (start clock.Millis, rate uint32)
	overshoot, slack float64
	// heartbeatInterval is the interval between two heartbeats; 0 if it is not known.
	heartbeatInterval clock.Millis

	mu sync.Mutex
	// window counts the requests to the target, also while it is warm, since it can
	// become cold at any moment. It is nil while the service has no limit.
	window *limit.ColdWindow
	// counting is true while window is not nil.
	counting atomic.Bool
	// coldUntil is when the target becomes warm, and cause says why it is cold until then.
	coldUntil clock.Millis
	cause     string
	// startedAt is when a target without heartbeats was registered or may have started
	// again, and startCause says which.
	startedAt  clock.Millis
	startCause string
	// lost is true if a connection has been refused or has broken since the last
	// heartbeat.
	lost bool
	// lastHeartbeat is when the last heartbeat arrived; 0 for a target without heartbeats.
	lastHeartbeat clock.Millis
	// loggedCold is the state that was last logged.
	loggedCold bool
}

// Causes of a cold target in the log.
const (
	causeReported  = "reported by the target"
	causeStarted   = "registered without heartbeats"
	causeLost      = "connection refused or broken"
	causeSilent    = "heartbeats missing"
	causeEvacuated = "evacuation ended"
)

// newColdGate returns the gate of the targets at an address: the present one if a target
// is registered there. The caller holds mu.
func (g *Guard) newColdGate(s TargetSpec) *coldGate {
	for _, t := range g.targets {
		if t.spec.Address == s.Address {
			t.cold.restart(causeStarted)
			return t.cold
		}
	}
	c := &coldGate{
		clk: g.clk, limits: g.coldLimits, overshoot: g.cfg.ColdOvershoot, slack: g.cfg.ColdSlack,
		heartbeatInterval: g.cfg.HeartbeatInterval,
	}
	c.restart(causeStarted)
	if _, _, ok := c.limitOf(s.Service); ok {
		// An earlier process of the daemon may have sent requests to the address, and this
		// one to a target that was there before.
		c.startWindow(max(g.createdAt, g.forgottenAt))
	}
	return c
}

// limitOf returns how long a target of a service is cold after its start, and the number
// of requests that it then tolerates in a second. ok is false if there is no limit.
func (c *coldGate) limitOf(s ident.Service) (start clock.Millis, perSecond int, ok bool) {
	if c == nil || c.limits == nil {
		return 0, 0, false
	}
	start, rate := c.limits(s)
	return start, limit.ColdLimit(rate, c.overshoot, c.slack), rate > 0
}

// startWindow starts to count requests, if they are not counted yet, with no record of
// those before a time. The caller holds mu.
func (c *coldGate) startWindow(unknownBefore clock.Millis) {
	if c.window == nil {
		c.window = limit.NewColdWindow(unknownBefore)
		c.counting.Store(true)
	}
}

// stopWindow drops the record when the service has no limit any more, because later
// requests are not counted.
func (c *coldGate) stopWindow() {
	if c == nil || !c.counting.Load() {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.window, c.loggedCold = nil, false
	c.counting.Store(false)
}

// restart records that a target without heartbeats has started, as far as is known.
func (c *coldGate) restart(cause string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.startedAt, c.startCause = c.clk.Now(), cause
}

// state reports whether the target is cold, why, and for how long it will be as far as is
// known. start is how long a target is cold after its start. The caller holds mu.
func (c *coldGate) state(now, start clock.Millis) (cause string, remaining clock.Millis, cold bool) {
	switch {
	case c.lastHeartbeat == 0 && now-c.startedAt < start:
		return c.startCause, c.startedAt + start - now, true
	case now < c.coldUntil:
		return c.cause, c.coldUntil - now, true
	case c.lost:
		return causeLost, 0, true
	case c.heartbeatInterval > 0 && c.lastHeartbeat > 0 && now-c.lastHeartbeat > missedColdHeartbeats*c.heartbeatInterval:
		return causeSilent, 0, true
	}
	return "", 0, false
}

// refusal returns a refusal if the target is cold and the requests of the last second,
// with those that wait ahead, use up the part of the limit that a priority may use. It
// counts nothing.
func (c *coldGate) refusal(spec TargetSpec, p ident.Priority, ahead int) *fault.Refusal {
	start, perSecond, ok := c.limitOf(spec.Service)
	if !ok {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clk.Now()
	c.startWindow(now)
	share := limit.ColdShare(perSecond, p)
	if _, _, cold := c.state(now, start); !cold || !c.window.IsUnknown(now) && c.window.Used(now)+ahead < share {
		return nil
	}
	return fault.NotRun(fault.Cold, "target %s is cold and takes %d requests/s, all used: repeat after the given time", spec.ID, perSecond).
		WithRetryAfter(max(c.window.Wait(now, share), 1))
}

// admit counts a request that is written now. It reports false if the target is cold and
// the request must not be sent.
func (c *coldGate) admit(s ident.Service, p ident.Priority) bool {
	start, perSecond, ok := c.limitOf(s)
	if !ok {
		c.stopWindow()
		return true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clk.Now()
	c.startWindow(now)
	if _, _, cold := c.state(now, start); cold {
		return c.window.Admit(now, limit.ColdShare(perSecond, p))
	}
	c.window.Add(now)
	return true
}

// used returns the used part of a cold target's limit in thousandths, at least 1, or 0 if
// the target is warm.
func (c *coldGate) used(s ident.Service) uint32 {
	start, perSecond, ok := c.limitOf(s)
	if !ok {
		return 0
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clk.Now()
	c.startWindow(now)
	_, _, cold := c.state(now, start)
	n := c.window.Used(now)
	switch {
	case !cold:
		return 0
	case c.window.IsUnknown(now) || n >= perSecond:
		return ident.PerMille
	default:
		return uint32(max(n*ident.PerMille/perSecond, 1))
	}
}

// applyHeartbeat records a heartbeat that says how long the target stays cold.
func (c *coldGate) applyHeartbeat(now, remaining clock.Millis) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastHeartbeat, c.lost = max(now, 1), false
	c.coldUntil, c.cause = now+remaining, causeReported
	if remaining > 0 {
		// Both times are whole milliseconds and may lie up to one after the true ones.
		c.coldUntil++
	}
}

// markLost records that a connection to the target was refused or broke. A target of a
// service without a limit is not recorded.
func (c *coldGate) markLost(s ident.Service) {
	if _, _, ok := c.limitOf(s); !ok {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lost = c.lastHeartbeat > 0
	c.startedAt, c.startCause = c.clk.Now(), causeLost
}

// markCold makes the target cold for the time that the service's targets are cold after
// their start. A later heartbeat replaces it.
func (c *coldGate) markCold(now clock.Millis, s ident.Service) {
	start, _, ok := c.limitOf(s)
	if !ok {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if now+start > c.coldUntil {
		c.coldUntil, c.cause = now+start, causeEvacuated
	}
}

// MarkCold makes the local targets of services with a limit for cold targets cold, until
// a later heartbeat says otherwise. It is called when the evacuation of their data centre
// ends: they had no requests and may have started again.
func (g *Guard) MarkCold(now clock.Millis) {
	for _, t := range g.sortedTargets() {
		t.cold.markCold(now, t.spec.Service)
	}
}

// logCold logs a change between cold and warm.
func (g *Guard) logCold(now clock.Millis, t *target) {
	start, perSecond, ok := t.cold.limitOf(t.spec.Service)
	if !ok {
		t.cold.stopWindow()
		return
	}
	t.cold.mu.Lock()
	t.cold.startWindow(now)
	cause, remaining, cold := t.cold.state(now, start)
	changed := cold != t.cold.loggedCold
	t.cold.loggedCold = cold
	t.cold.mu.Unlock()
	switch {
	case changed && cold:
		g.log.Info("target cold", "target", t.spec.ID, "service", t.spec.Service, "cause", cause, "remaining_ms", int64(remaining), "limit_per_s", perSecond)
	case changed:
		g.log.Info("target warm", "target", t.spec.ID, "service", t.spec.Service)
	}
}
