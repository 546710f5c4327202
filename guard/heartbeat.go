package guard

import (
	"chestnutlatch/clock"
	"chestnutlatch/ident"
)

// Heartbeat is one heartbeat of a local target.
type Heartbeat struct {
	Spec TargetSpec
	// StartedAt is the start time of the target's incarnation, in milliseconds since
	// the Unix epoch; 0 if the target does not report it.
	StartedAt clock.Millis
	// Sequence increases with each heartbeat of one incarnation.
	Sequence uint64
	// Draining is true if the target accepts no new requests.
	Draining bool
}

// tombstoneTTL is how long the guard remembers a deregistered target, in
// milliseconds. A heartbeat that a network partition delayed must not register
// the target again.
const tombstoneTTL = 2 * clock.Minute

// tombstone records a target that was deregistered.
type tombstone struct {
	startedAt clock.Millis
	removedAt clock.Millis
}

// ApplyHeartbeat applies a heartbeat and reports whether the set of targets or a target's
// draining state changed. It ignores stale heartbeats. When it returns, a
// draining target accepts no new requests.
func (g *Guard) ApplyHeartbeat(b Heartbeat) bool {
	now := g.clk.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.isStale(b) {
		g.log.Debug("stale heartbeat ignored", "target", b.Spec.ID, "born", int64(b.StartedAt), "sequence", b.Sequence)
		return false
	}
	t := g.targets[b.Spec.ID]
	changed := false
	if t == nil || t.startedAt != b.StartedAt || t.spec != b.Spec {
		g.removeByAddress(b.Spec.Address, t)
		if t != nil {
			t.setDraining(true)
		}
		t = newTarget(b.Spec, g.cfg, g.clk)
		g.targets[b.Spec.ID] = t
		changed = true
	}
	t.mu.Lock()
	t.startedAt, t.sequence, t.lastAnnounced = b.StartedAt, b.Sequence, max(now, 1)
	drain := b.Draining || g.draining
	g.setTargetDraining(now, b.Draining)
	if t.draining != drain {
		changed = true
	}
	t.mu.Unlock()
	t.setDraining(drain)
	if changed {
		g.log.Info("target heard", "target", b.Spec.ID, "service", b.Spec.Service, "draining", drain, "born", int64(b.StartedAt))
	}
	return changed
}

// isStale reports whether a heartbeat is from an earlier incarnation or is not
// newer than the last one applied. The caller holds mu.
func (g *Guard) isStale(b Heartbeat) bool {
	if removed, ok := g.tombstones[b.Spec.ID]; ok && b.StartedAt <= removed.startedAt {
		return true
	}
	for _, t := range g.targets {
		t.mu.Lock()
		startedAt, sequence := t.startedAt, t.sequence
		t.mu.Unlock()
		if t.spec.ID == b.Spec.ID && (b.StartedAt < startedAt || b.StartedAt == startedAt && b.Sequence <= sequence) {
			return true
		}
		if t.spec.ID != b.Spec.ID && t.spec.Address == b.Spec.Address && b.StartedAt < startedAt {
			return true
		}
	}
	return false
}

// removeByAddress drains and removes the targets at an address, except one. The
// caller holds mu.
func (g *Guard) removeByAddress(address string, except *target) {
	for id, t := range g.targets {
		if t != except && t.spec.Address == address {
			t.setDraining(true)
			delete(g.targets, id)
		}
	}
}

// Deregister drains a target that deregisters and sends no more heartbeats. It reports
// whether the target is registered. Heartbeats of the same incarnation are then
// ignored for at least tombstoneTTL.
func (g *Guard) Deregister(id ident.Target) bool {
	now := g.clk.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	t := g.targets[id]
	for removed, stone := range g.tombstones {
		if now-stone.removedAt > tombstoneTTL {
			delete(g.tombstones, removed)
		}
	}
	if t == nil {
		return false
	}
	t.mu.Lock()
	startedAt := t.startedAt
	t.mu.Unlock()
	g.tombstones[id] = tombstone{startedAt: startedAt, removedAt: now}
	g.setTargetDraining(now, true)
	t.setDraining(true)
	g.log.Info("target leaves", "target", id)
	return true
}

// setTargetDraining records whether the last heartbeat or deregistration of any
// local target says that the target drains. The caller holds mu.
func (g *Guard) setTargetDraining(now clock.Millis, draining bool) {
	switch {
	case !draining:
		g.targetDrainingSince = 0
	case g.targetDrainingSince == 0:
		g.targetDrainingSince = max(now, 1)
	}
}

// TargetDrainingSince returns when a local target started to drain, or 0 if the last
// heartbeat of any local target says that it does not drain. The instance and
// the callers on it stop together with the target.
func (g *Guard) TargetDrainingSince() clock.Millis {
	g.mu.RLock()
	defer g.mu.RUnlock()
	return g.targetDrainingSince
}

// IsTargetDraining reports whether a local target drains and its instance will stop.
func (g *Guard) IsTargetDraining() bool { return g.TargetDrainingSince() > 0 }
