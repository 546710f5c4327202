package guard

import (
	"cmp"
	"maps"
	"math"
	"slices"

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
	// Cold is how long the target stays cold, in milliseconds, counted from the arrival of
	// the heartbeat.
	Cold clock.Millis
	// Draining is true if the target accepts no new requests.
	Draining bool
}

const (
	// tombstoneTTL is how long the guard keeps the record of a departed target, in
	// milliseconds. A heartbeat that a network partition delayed must not register
	// the target again.
	tombstoneTTL = 2 * clock.Minute
	// maxTombstones bounds the records, because any ID can be deregistered.
	maxTombstones = 256
	// allSequences is the sequence of a target that sends no more heartbeats.
	allSequences = math.MaxUint64
)

// Departure records that a target drains or was deregistered. It covers the heartbeats
// that the target sent before, which may arrive late.
type Departure struct {
	Target ident.Target
	// StartedAt is the start time of the target's incarnation, in milliseconds since
	// the Unix epoch; 0 if the target does not report it.
	StartedAt clock.Millis
	// StartUnknown is true if the target was deregistered before this daemon had a
	// heartbeat of it. StartedAt is then the time of the deregistration.
	StartUnknown bool
	// Sequence is that of the last heartbeat that is covered, or the maximum if the
	// target was deregistered.
	Sequence uint64
}

// Covers reports whether a heartbeat with the given values was sent before the
// departure.
func (d Departure) Covers(startedAt clock.Millis, sequence uint64) bool {
	return startedAt < d.StartedAt || startedAt == d.StartedAt && sequence <= d.Sequence
}

// tombstone is a departure with the time at which it was recorded, in milliseconds.
// Heartbeats of a target that does not report its start time are ignored for
// Config.AnnounceTTL only, since a new incarnation cannot be told from a late
// heartbeat.
type tombstone struct {
	Departure
	recordedAt clock.Millis
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
		previous := t
		t = g.addTarget(hb.Spec)
		g.removeByAddress(hb.Spec.Address, t)
		if previous != nil {
			previous.retire()
		}
		changed = true
	}
	t.mu.Lock()
	t.startedAt, t.sequence, t.lastAnnounced = hb.StartedAt, hb.Sequence, max(now, 1)
	leaves := hb.Draining && t.leavingSince == 0
	drain := hb.Draining || g.draining
	t.setLeaving(now, hb.Draining)
	if !hb.Draining {
		g.lastLeftAt = 0
	}
	if t.draining != drain {
		changed = true
	}
	t.mu.Unlock()
	t.cold.applyHeartbeat(now, hb.Cold)
	t.setDraining(drain)
	if hb.Draining {
		g.recordDeparture(now, Departure{Target: hb.Spec.ID, StartedAt: hb.StartedAt, Sequence: hb.Sequence})
	}
	if leaves {
		g.departureCount++
	}
	if changed {
		g.log.Info("target heard", "target", hb.Spec.ID, "service", hb.Spec.Service, "draining", drain, "born", int64(hb.StartedAt))
	}
	return changed
}

// isStale reports whether a heartbeat is from an earlier incarnation, is not newer
// than the last one applied, or is from a target that started before the one now
// registered at its address. The caller holds mu.
func (g *Guard) isStale(now clock.Millis, hb Heartbeat) bool {
	if stone, ok := g.tombstones[hb.Spec.ID]; ok && stone.Covers(hb.StartedAt, hb.Sequence) {
		startReported := hb.StartedAt > 0 || stone.StartedAt > 0 && !stone.StartUnknown
		return startReported || now-stone.recordedAt <= g.cfg.AnnounceTTL
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

// Deregister drains a target that will send no more heartbeats, and reports whether its
// departure was recorded. Heartbeats that the target sent before are ignored for at least
// tombstoneTTL, also if the guard does not know the target: it may have been registered
// at an earlier process of this daemon.
func (g *Guard) Deregister(id ident.Target) bool {
	now := g.clk.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	departure := Departure{Target: id, Sequence: allSequences}
	if t := g.targets[id]; t != nil {
		t.mu.Lock()
		departure.StartedAt = t.startedAt
		t.setLeaving(now, true)
		t.mu.Unlock()
		t.setDraining(true)
	} else {
		departure.StartedAt, departure.StartUnknown = g.clk.Wall(), true
		// The record of an earlier departure is replaced: the target may have restarted
		// under its ID since then, with heartbeats to an earlier process of this daemon.
		if stone, ok := g.tombstones[id]; ok && stone.Covers(departure.StartedAt, allSequences) {
			return false
		}
	}
	g.recordDeparture(now, departure)
	g.departureCount++
	g.log.Info("target leaves", "target", id, "known", !departure.StartUnknown)
	return true
}

// recordDeparture replaces the record of a target's departure, and drops the records
// that are too old or too many. The caller holds mu.
func (g *Guard) recordDeparture(now clock.Millis, d Departure) {
	g.tombstones[d.Target] = tombstone{d, now}
	for len(g.tombstones) > 0 {
		oldest := slices.MinFunc(slices.Collect(maps.Values(g.tombstones)), compareAge)
		if len(g.tombstones) <= maxTombstones && now-oldest.recordedAt <= tombstoneTTL {
			return
		}
		delete(g.tombstones, oldest.Target)
	}
}

func compareAge(a, b tombstone) int { return cmp.Compare(a.recordedAt, b.recordedAt) }

// DepartureCount returns how many departures the local targets have announced to this
// process. It does not count that a draining target repeats that it drains.
func (g *Guard) DepartureCount() uint64 {
	g.mu.RLock()
	defer g.mu.RUnlock()
	return g.departureCount
}

// Departures returns the departures of the last tombstoneTTL, the newest first and at
// most n of them.
func (g *Guard) Departures(n int) []Departure {
	now := g.clk.Now()
	g.mu.RLock()
	defer g.mu.RUnlock()
	stones := slices.SortedFunc(maps.Values(g.tombstones), func(a, b tombstone) int { return compareAge(b, a) })
	var out []Departure
	for _, stone := range stones[:min(n, len(stones))] {
		if now-stone.recordedAt <= tombstoneTTL {
			out = append(out, stone.Departure)
		}
	}
	return out
}

// ApplyDepartures records departures that an earlier process of this daemon has
// acknowledged. It drains the targets that were registered by heartbeats from before
// them, and reports whether there are any.
func (g *Guard) ApplyDepartures(list []Departure) bool {
	now := g.clk.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	changed := false
	for _, d := range list {
		if stone, ok := g.tombstones[d.Target]; !ok || d.Covers(stone.StartedAt, stone.Sequence) {
			g.recordDeparture(now, d)
		}
		t := g.targets[d.Target]
		if t == nil {
			continue
		}
		t.mu.Lock()
		left := t.lastAnnounced > 0 && !t.draining && d.Covers(t.startedAt, t.sequence)
		if left {
			t.setLeaving(now, true)
		}
		t.mu.Unlock()
		if left {
			t.setDraining(true)
			g.log.Info("target had left before this process started", "target", d.Target, "born", int64(d.StartedAt))
			changed = true
		}
	}
	return changed
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
