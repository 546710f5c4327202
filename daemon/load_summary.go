package daemon

import (
	"context"
	"math"
	"strings"

	"google.golang.org/protobuf/proto"

	"chestnutlatch/clock"
	"chestnutlatch/ident"
	"chestnutlatch/store"
	"chestnutlatch/wire"
)

const (
	// fleetListPrefix is the common prefix of RosterPrefix and LoadSummaryPrefix,
	// so that one listing returns both.
	fleetListPrefix = "fleet"
	// LoadSummaryPrefix is the store prefix of the data centres' load summaries.
	LoadSummaryPrefix = "fleet_load/"
	// loadSummaryInterval is the minimum time between two writes by a daemon.
	loadSummaryInterval = clock.Second
	// assumedSummaryAge is the assumed age of a summary when it is first read:
	// half the time between two listings.
	assumedSummaryAge = 500 * clock.Millisecond
	// restoredSummaryAge is the assumed age of a summary that is read first after the
	// store came back from an older copy. It may be that of the copy, and must not
	// replace what is known.
	restoredSummaryAge = 10 * clock.Second
	// busyShare is the share of a target's slots in use above which a change of
	// its load causes a new summary.
	busyShare = 0.75
)

// loadSummary writes the load of this data centre to the store and reads that
// of the others. The store is the cheapest path between data centres for data
// that may be a second old.
type loadSummary struct {
	d           *Daemon
	revision    store.Revision
	writtenAt   clock.Millis
	lastContent string
	// seenRevisions holds the revision last read of each data centre's summary.
	seenRevisions map[string]store.Revision
}

func newLoadSummary(d *Daemon) *loadSummary {
	return &loadSummary{d: d, seenRevisions: map[string]store.Revision{}}
}

// writeIfChanged writes the summary if its content changed. It does nothing
// without a lease, within loadSummaryInterval or if another daemon comes first in the
// data centre. Two concurrent writers do no harm.
func (s *loadSummary) writeIfChanged(ctx context.Context, now clock.Millis, lease store.LeaseID) {
	if lease == 0 || now-s.writtenAt < loadSummaryInterval || !s.d.roster.isFirst() {
		return
	}
	msg := &wire.Near{Sender: string(s.d.instance)}
	var content strings.Builder
	for _, r := range s.d.picker.LoadReports(now, s.d.cfg.DataCentre) {
		msg.Loads = append(msg.Loads, &wire.LoadReport{
			Service: string(r.Service), Target: string(r.Target), State: uint32(r.Load.State),
			InFlight: uint32(r.Load.InFlight), Queued: uint32(r.Load.Queued),
			Suspicion: uint32(r.Load.Suspicion * ident.PerMille), AgeMs: uint32(r.Age),
			ColdUsed: uint32(math.Round(r.Load.ColdUsed * ident.PerMille)),
			Shed:     uint32(math.Round(r.Load.Shed * ident.PerMille)),
		})
		content.WriteString(r.ChangeKey(busyShare))
	}
	if content.String() == s.lastContent {
		return
	}
	value, err := proto.Marshal(msg)
	if err != nil {
		s.d.log.Error("failed to encode load summary", "error", err)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	s.writtenAt = now
	rev, err := s.d.store.Swap(ctx, LoadSummaryPrefix+string(s.d.cfg.DataCentre), s.revision, value, lease)
	// Metrics and logs call the load summary "digest".
	s.d.recordStoreCall("write digest", err)
	if current, ok := conflict(err); ok {
		s.revision = current
		return
	}
	if err == nil {
		s.revision, s.lastContent = rev, content.String()
	}
}

// forget makes writeIfChanged write the summary again, as a new key.
func (s *loadSummary) forget() { s.revision, s.writtenAt, s.lastContent = store.Absent, 0, "" }

// acceptRevision reports whether a summary of a data centre is new, and its assumed age.
func (s *loadSummary) acceptRevision(dc string, rev store.Revision) (assumedAge clock.Millis, ok bool) {
	seen, known := s.seenRevisions[dc]
	if seen >= rev {
		return 0, false
	}
	s.seenRevisions[dc] = rev
	if known && seen.Era() < rev.Era() {
		return restoredSummaryAge, true
	}
	return assumedSummaryAge, true
}

// apply passes another data centre's load summary to the entry if it is new.
func (s *loadSummary) apply(now clock.Millis, e store.Entry) {
	dc := strings.TrimPrefix(e.Key, LoadSummaryPrefix)
	if dc == string(s.d.cfg.DataCentre) {
		return
	}
	assumedAge, ok := s.acceptRevision(dc, e.Revision)
	if !ok {
		return
	}
	var msg wire.Near
	if err := proto.Unmarshal(e.Value, &msg); err != nil {
		s.d.log.Warn("load summary cannot be decoded: ignoring it", "key", e.Key, "error", err)
		return
	}
	for _, l := range msg.GetLoads() {
		s.d.entry.ApplyLoadReport(now-assumedAge-clock.Millis(l.GetAgeMs()), ident.Service(l.GetService()), l)
	}
}
