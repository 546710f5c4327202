package guard

import (
	"chestnutlatch/clock"
	"chestnutlatch/ident"
)

// Heartbeat is one heartbeat of a local target.
type Heartbeat struct {
	Spec TargetSpec
	// StartedAt is the start time of the target's incarnation, in milliseconds
	// since the Unix epoch; 0 if the target does not report it.
	StartedAt clock.Millis
	// Sequence increases with each heartbeat of one incarnation.
	Sequence uint64
	// Draining is true if the target accepts no new requests.
	Draining bool
}

// tombstoneTTL is how long the guard keeps the record of a deregistered target, in
// milliseconds. A heartbeat that a network partition delayed must not register
// the target again.
const tombstoneTTL = 2 * clock.Minute

// tombstone records a target that was deregistered. Heartbeats of a target that does
// not report its start time are ignored for Config.AnnounceTTL only, since a new
// incarnation cannot be told from a late heartbeat.
type tombstone struct {
	startedAt clock.Millis
	removedAt clock.Millis
}

// ApplyHeartbeat applies a heartbeat and reports whether the set of targets or a
// target's draining state changed. It ignores stale heartbeats. When it returns, a
// draining target accepts no new requests.
func (g *Guard) ApplyHeartbeat(hb Heartbeat) bool {
	now := g.clk.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.isStale(now, hb) {
		g.log.Debug("stale heartbeat ignored", "target", hb.Spec.ID, "born", int64(hb.StartedAt), "sequence", hb.Sequence)
		return false
	}
	t := g.targets[hb.Spec.ID]
	changed := false
	if t == nil || t.startedAt != hb.StartedAt || t.spec != hb.Spec {
		g.removeByAddress(hb.Spec.Address, t)
		if t != nil {
			t.retire()
		}
		t = newTarget(hb.Spec, g.cfg, g.clk)
		g.targets[hb.Spec.ID] = t
		changed = true
	}
	t.mu.Lock()
	t.startedAt, t.sequence, t.lastAnnounced = hb.StartedAt, hb.Sequence, max(now, 1)
	drain := hb.Draining || g.draining
	t.setLeaving(now, hb.Draining)
	if !hb.Draining {
		g.lastLeftAt = 0
	}
	if t.draining != drain {
		changed = true
	}
	t.mu.Unlock()
	t.setDraining(drain)
	if changed {
		g.log.Info("target heard", "target", hb.Spec.ID, "service", hb.Spec.Service, "draining", drain, "born", int64(hb.StartedAt))
	}
	return changed
}

// isStale reports whether a heartbeat is from an earlier incarnation, is not newer
// than the last one applied, or is from a target that started before the one now
// registered at its address. The caller holds mu.
func (g *Guard) isStale(now clock.Millis, hb Heartbeat) bool {
	if removed, ok := g.tombstones[hb.Spec.ID]; ok && hb.StartedAt <= removed.startedAt {
		return hb.StartedAt > 0 || removed.startedAt > 0 || now-removed.removedAt <= g.cfg.AnnounceTTL
	}
	for _, t := range g.targets {
		t.mu.Lock()
		startedAt, sequence := t.startedAt, t.sequence
		t.mu.Unlock()
		if t.spec.ID == hb.Spec.ID && (hb.StartedAt < startedAt || hb.StartedAt == startedAt && hb.Sequence <= sequence) {
			return true
		}
		if t.spec.ID != hb.Spec.ID && t.spec.Address == hb.Spec.Address && hb.StartedAt < startedAt {
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
			t.retire()
			delete(g.targets, id)
		}
	}
}

// Deregister drains a target that will send no more heartbeats. It reports whether
// the target was registered. If so, heartbeats of the same or an earlier incarnation
// of the target are ignored for at least tombstoneTTL.
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
	t.setLeaving(now, true)
	t.mu.Unlock()
	g.tombstones[id] = tombstone{startedAt: startedAt, removedAt: now}
	t.setDraining(true)
	g.log.Info("target leaves", "target", id)
	return true
}

// TargetDrainingSince returns when the last of the local targets started to drain, by
// their heartbeats, in milliseconds. It returns 0 while any of them does not drain. The
// instance and the callers on it stop together with the targets.
func (g *Guard) TargetDrainingSince() clock.Millis {
	g.mu.RLock()
	defer g.mu.RUnlock()
	since := g.lastLeftAt
	for _, t := range g.targets {
		t.mu.Lock()
		leavingSince := t.leavingSince
		t.mu.Unlock()
		if leavingSince == 0 {
			return 0
		}
		since = max(since, leavingSince)
	}
	return since
}

// IsTargetDraining reports whether every local target drains, so that its instance will
// stop.
func (g *Guard) IsTargetDraining() bool { return g.TargetDrainingSince() > 0 }
