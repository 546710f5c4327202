package guard

import (
	"chestnutlatch/clock"
	"chestnutlatch/ident"
)

// Beat is one heartbeat of a target.
type Beat struct {
	Spec Spec
	// Born is when this life of the target began, in milliseconds since the
	// Unix epoch; 0 if the target does not say.
	Born clock.Millis
	// Sequence counts the heartbeats of one life.
	Sequence uint64
	// Draining tells that the target wants no new work.
	Draining bool
}

// keepGone is how long a target that left is remembered, in milliseconds. A
// heartbeat held up by a cut must not bring it back.
const keepGone = 2 * clock.Minute

// tomb is a target that left.
type tomb struct {
	born clock.Millis
	at   clock.Millis
}

// Beat takes in a heartbeat. It reports whether the set of targets or a state
// changed. When it returns, a target that drains takes no new work.
func (g *Guard) Beat(b Beat) bool {
	now := g.clk.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.isPast(b) {
		g.log.Debug("late heartbeat ignored", "target", b.Spec.ID, "born", int64(b.Born), "sequence", b.Sequence)
		return false
	}
	t := g.targets[b.Spec.ID]
	changed := false
	if t == nil || t.born != b.Born || t.spec != b.Spec {
		g.dropAddress(b.Spec.Address, t)
		if t != nil {
			t.setDraining(true)
		}
		t = newTarget(b.Spec, g.cfg, g.clk)
		g.targets[b.Spec.ID] = t
		changed = true
	}
	t.mu.Lock()
	t.born, t.sequence, t.heard = b.Born, b.Sequence, max(now, 1)
	drain := b.Draining || g.draining
	g.setLeaving(now, b.Draining)
	if t.draining != drain {
		changed = true
	}
	t.mu.Unlock()
	t.setDraining(drain)
	if changed {
		g.log.Info("target heard", "target", b.Spec.ID, "service", b.Spec.Service, "draining", drain, "born", int64(b.Born))
	}
	return changed
}

// isPast reports whether a heartbeat is from an earlier life or was overtaken.
// The caller holds mu.
func (g *Guard) isPast(b Beat) bool {
	if gone, ok := g.gone[b.Spec.ID]; ok && b.Born <= gone.born {
		return true
	}
	for _, t := range g.targets {
		t.mu.Lock()
		born, sequence := t.born, t.sequence
		t.mu.Unlock()
		if t.spec.ID == b.Spec.ID && (b.Born < born || b.Born == born && b.Sequence <= sequence) {
			return true
		}
		if t.spec.ID != b.Spec.ID && t.spec.Address == b.Spec.Address && b.Born < born {
			return true
		}
	}
	return false
}

// dropAddress drops the targets that were at an address before. The caller
// holds mu.
func (g *Guard) dropAddress(address string, except *target) {
	for id, t := range g.targets {
		if t != except && t.spec.Address == address {
			t.setDraining(true)
			delete(g.targets, id)
		}
	}
}

// Gone takes in that a target leaves without heartbeats to come. It reports
// whether the target was known.
func (g *Guard) Gone(id ident.Target) bool {
	now := g.clk.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	t := g.targets[id]
	for old, x := range g.gone {
		if now-x.at > keepGone {
			delete(g.gone, old)
		}
	}
	if t == nil {
		return false
	}
	t.mu.Lock()
	born := t.born
	t.mu.Unlock()
	g.gone[id] = tomb{born: born, at: now}
	g.setLeaving(now, true)
	t.setDraining(true)
	g.log.Info("target leaves", "target", id)
	return true
}

// setLeaving notes a local target's last word. The caller holds mu.
func (g *Guard) setLeaving(now clock.Millis, leaving bool) {
	switch {
	case !leaving:
		g.leaving = 0
	case g.leaving == 0:
		g.leaving = max(now, 1)
	}
}

// LeavingSince returns since when the last word of a local target is that it
// leaves, 0 if it is not. Its instance goes with it, and the callers there.
func (g *Guard) LeavingSince() clock.Millis {
	g.mu.RLock()
	defer g.mu.RUnlock()
	return g.leaving
}

// IsLeaving reports whether a local target leaves.
func (g *Guard) IsLeaving() bool { return g.LeavingSince() > 0 }
