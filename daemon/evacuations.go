package daemon

import (
	"math"
	"slices"
	"strings"
	"sync"
	"sync/atomic"

	"chestnutlatch/clock"
	"chestnutlatch/evac"
	"chestnutlatch/ident"
	"chestnutlatch/store"
	"chestnutlatch/wire"
)

const (
	// maxDataCentreBytes is the maximum length of a data centre's name in an evacuation.
	maxDataCentreBytes = 128
	// maxBroadcastEvacuations is the maximum number of evacuations in one local
	// broadcast, which must fit into a datagram with everything else. More of them go
	// through the store and the replies to pings only.
	maxBroadcastEvacuations = 64
	// listingBackupDelay is how much later the daemons that do not come first in their
	// data centre list the store for evacuations of an earlier era. Otherwise the whole
	// fleet would list it at once.
	listingBackupDelay = 500 * clock.Millisecond
)

// Sources of an evacuation, as the log names them.
const (
	fromStore     = "store"
	fromNeighbour = "neighbour"
	fromRecord    = "record"
)

// evacuations holds the evacuations that this daemon knows and applies them to its guard.
// It is safe for concurrent use.
type evacuations struct {
	d *Daemon
	// state holds what is in force.
	state *evac.State
	// watched holds what the watch, or the read before it, has delivered.
	watched *evac.State
	// peerReplied is set when a peer has replied with its evacuations.
	peerReplied atomic.Bool

	// guardMu protects guardEvacuated, which is what the guard was last told.
	guardMu        sync.Mutex
	guardEvacuated bool

	// recorded holds the data centres that were evacuated by their records when
	// logRecorded was last called. Only the goroutine that calls it uses it.
	recorded []ident.DataCentre
}

func newEvacuations(d *Daemon) *evacuations {
	return &evacuations{d: d, state: evac.NewState(), watched: evac.NewState()}
}

// isEvacuated reports whether a data centre is evacuated: on a platform by a key in the
// store, otherwise by the record of the data centre.
func (d *Daemon) isEvacuated(dc ident.DataCentre) bool {
	if d.platform != nil {
		return d.evacuations.state.IsEvacuated(dc)
	}
	return d.table.EvacuatedByRecord(dc)
}

// areKnown reports whether the evacuations were read from the store or received from a
// peer. Without them the daemon must serve no caller.
func (ev *evacuations) areKnown() bool {
	return ev.peerReplied.Load() || ev.state.HasListing()
}

// parseKey returns the data centre of an evacuation's key; ok is false for other keys.
func (ev *evacuations) parseKey(key string) (dc ident.DataCentre, ok bool) {
	name, ok := strings.CutPrefix(key, ev.d.platform.Document.EvacuationPrefix)
	return ident.DataCentre(name), ok && name != "" && len(name) <= maxDataCentreBytes
}

// applyListing applies a listing of the operators' keys, which is complete unless it was
// cut at the limit. isWatched says that a watch follows from its revision.
func (ev *evacuations) applyListing(now clock.Millis, entries []store.Entry, revision store.Revision, complete, isWatched bool) {
	found := map[ident.DataCentre]store.Revision{}
	for _, e := range entries {
		if dc, ok := ev.parseKey(e.Key); ok {
			found[dc] = e.Revision
		}
	}
	if !complete {
		ev.d.log.Warn("too many operators' keys in the store: missing ones end no evacuation", "limit", maxOperatorKeys)
		for dc, keyRevision := range found {
			ev.applyEvent(now, evac.Entry{DataCentre: dc, Evacuated: true, Revision: keyRevision})
		}
		return
	}
	if isWatched {
		ev.watched.ApplyListing(now, revision, found)
	}
	ev.finish(now, fromStore, ev.state.ApplyListing(now, revision, found))
}

// applyEvent applies an event of the watch.
func (ev *evacuations) applyEvent(now clock.Millis, e evac.Entry) {
	ev.watched.Apply(now, e)
	if ev.state.Apply(now, e) {
		ev.finish(now, fromStore, []evac.Entry{e})
	}
}

// merge applies the evacuations of a peer.
func (ev *evacuations) merge(now clock.Millis, list []*wire.Evacuation) {
	if len(list) == 0 {
		return
	}
	entries := make([]evac.Entry, 0, len(list))
	for _, e := range list {
		if name := e.GetDataCentre(); name != "" && len(name) <= maxDataCentreBytes {
			entries = append(entries, evac.Entry{
				DataCentre: ident.DataCentre(name), Evacuated: e.GetEvacuated(), Revision: store.Revision(e.GetRevision()),
			})
		}
	}
	ev.finish(now, fromNeighbour, ev.state.Merge(now, entries))
}

// pingRequest returns a ping that asks a peer for its evacuations.
func (ev *evacuations) pingRequest() *wire.PingRequest {
	return &wire.PingRequest{Evacuations: ev.toWire(ev.d.clk.Now(), math.MaxInt)}
}

// mergeReply applies the evacuations in a peer's reply to a ping.
func (ev *evacuations) mergeReply(now clock.Millis, reply *wire.PingReply) {
	ev.merge(now, reply.GetEvacuations())
	ev.peerReplied.Store(true)
}

// finish logs changes, applies them to the guard and sends them to the neighbours. The age
// in the log is the time since the store was last known to have nothing newer than the
// state before: the change was made later than that.
func (ev *evacuations) finish(now clock.Millis, source string, changed []evac.Entry) {
	if len(changed) == 0 {
		return
	}
	age, ok := ev.d.documentSyncer.freshness.age(now)
	if !ok {
		age = -1
	}
	for _, e := range changed {
		ev.d.log.Info(changeMessage(e.Evacuated), "name", e.DataCentre, "era", uint64(e.Revision.Era()), "revision", e.Revision.Number(), "source", source, "age_ms", int64(age))
	}
	ev.updateGuard()
	ev.d.localBroadcast.requestSend()
}

// changeMessage is the log message of the start or the end of an evacuation.
func changeMessage(evacuated bool) string {
	if evacuated {
		return "data centre evacuated"
	}
	return "data centre restored"
}

// logRecorded logs the evacuations by the records of data centres that have started or ended
// since its last call. On a platform, finish logs the changes.
func (ev *evacuations) logRecorded() {
	if ev.d.platform != nil {
		return
	}
	now := ev.evacuated()
	for _, dc := range now {
		if !slices.Contains(ev.recorded, dc) {
			ev.d.log.Info(changeMessage(true), "name", dc, "source", fromRecord)
		}
	}
	for _, dc := range ev.recorded {
		if !ev.d.isEvacuated(dc) {
			ev.d.log.Info(changeMessage(false), "name", dc, "source", fromRecord)
		} else if !slices.Contains(now, dc) {
			// It has no members at present.
			now = append(now, dc)
		}
	}
	ev.recorded = now
}

// updateGuard tells the guard whether this data centre is evacuated. At the end of an
// evacuation, the targets are marked cold before the guard admits requests.
func (ev *evacuations) updateGuard() {
	ev.guardMu.Lock()
	defer ev.guardMu.Unlock()
	evacuated := ev.d.isEvacuated(ev.d.cfg.DataCentre)
	if evacuated == ev.guardEvacuated {
		return
	}
	if !evacuated {
		ev.d.guard.MarkCold(ev.d.clk.Now())
	}
	ev.d.guard.SetEvacuated(evacuated)
	ev.guardEvacuated = evacuated
}

// evacuated returns the evacuated data centres in the order of their names; without a
// platform, those that have members.
func (ev *evacuations) evacuated() []ident.DataCentre {
	if ev.d.platform != nil {
		return ev.state.Evacuated()
	}
	out := []ident.DataCentre{}
	for _, m := range ev.d.fleet.allMembers() {
		if !slices.Contains(out, m.DataCentre) && ev.d.isEvacuated(m.DataCentre) {
			out = append(out, m.DataCentre)
		}
	}
	slices.Sort(out)
	return out
}

// watchMissedChange reports whether the watch has not delivered what is in force.
// Evacuations of an earlier era of the store do not count: they end by a listing, and
// peers may know some that the store lacks.
func (ev *evacuations) watchMissedChange() bool {
	return !slices.Equal(ev.state.EvacuatedInLastEra(), ev.watched.EvacuatedInLastEra())
}

// needListing reports whether this daemon must list the store to end evacuations of an
// earlier era. The first daemon of the data centre does so for the others, which have
// listingBackupDelay to learn the result. isFirst reports whether this is the first one.
func (ev *evacuations) needListing(now clock.Millis, isFirst func() bool) bool {
	return ev.state.NeedsListing(now-listingBackupDelay) || ev.state.NeedsListing(now) && isFirst()
}

// toWire returns the evacuations in force and those that ended lately, at most limit of
// them, the newest if there are more.
func (ev *evacuations) toWire(now clock.Millis, limit int) []*wire.Evacuation {
	list := ev.state.List(now)
	if len(list) > limit {
		slices.SortStableFunc(list, func(a, b evac.Entry) int {
			switch {
			case a.Revision > b.Revision:
				return -1
			case a.Revision < b.Revision:
				return 1
			}
			return 0
		})
		list = list[:limit]
	}
	var out []*wire.Evacuation
	for _, e := range list {
		out = append(out, &wire.Evacuation{DataCentre: string(e.DataCentre), Evacuated: e.Evacuated, Revision: uint64(e.Revision)})
	}
	return out
}
