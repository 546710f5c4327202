// Package evac holds which data centres are evacuated. The state comes from the store and
// from other daemons; of several reports on a data centre, the one with the highest
// revision of the store counts. It does no I/O and reads no clock.
package evac

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"

	"chestnutlatch/clock"
	"chestnutlatch/ident"
	"chestnutlatch/store"
)

const (
	// EraHold is how long evacuations that were recorded in an earlier era of the store
	// stay in force after a later era was first seen, unless that era has an explicit
	// removal. Operators write them again in this time.
	EraHold = 10 * clock.Second
	// EndedTTL is how long List contains an evacuation that has ended.
	EndedTTL = 30 * clock.Second
)

// Entry is the state of one data centre at a revision of the store.
type Entry struct {
	DataCentre ident.DataCentre
	Evacuated  bool
	Revision   store.Revision
}

// report is the newest report on a data centre.
type report struct {
	evacuated bool
	revision  store.Revision
	// endedAt is when an evacuation ended here, or was last contradicted; it matters only
	// if evacuated is false.
	endedAt clock.Millis
}

// State holds the evacuations. It is safe for concurrent use; IsEvacuated takes no lock.
type State struct {
	// evacuated holds the evacuated data centres. The map is never changed.
	evacuated atomic.Pointer[map[ident.DataCentre]bool]

	mu      sync.Mutex
	reports map[ident.DataCentre]report
	// listed is the revision of the newest complete listing. A data centre without a
	// report was not evacuated then.
	listed store.Revision
	// settled is like listed, without the listings that were made during an EraHold.
	// Only those that are left end an evacuation of an earlier era.
	settled store.Revision
	// era is the latest era seen, and eraSince when it was first seen.
	era      store.Era
	eraSince clock.Millis
}

// NewState returns a state without evacuations.
func NewState() *State {
	return &State{reports: map[ident.DataCentre]report{}}
}

// IsEvacuated reports whether a data centre is evacuated.
func (s *State) IsEvacuated(dc ident.DataCentre) bool {
	evacuated := s.evacuated.Load()
	return evacuated != nil && (*evacuated)[dc]
}

// Evacuated returns the evacuated data centres in the order of their names.
func (s *State) Evacuated() []ident.DataCentre {
	out := []ident.DataCentre{}
	if evacuated := s.evacuated.Load(); evacuated != nil {
		for dc := range *evacuated {
			out = append(out, dc)
		}
	}
	slices.Sort(out)
	return out
}

// EvacuatedInLastEra is like Evacuated, without the evacuations of an earlier era than the
// last one seen.
func (s *State) EvacuatedInLastEra() []ident.DataCentre {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []ident.DataCentre
	for dc, r := range s.reports {
		if r.evacuated && r.revision.Era() == s.era {
			out = append(out, dc)
		}
	}
	slices.Sort(out)
	return out
}

// HasListing reports whether a complete listing was applied.
func (s *State) HasListing() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.listed > 0
}

// Apply applies an event of the store: the write of an evacuation or its removal at a
// revision. It reports whether the data centre's state changed.
func (s *State) Apply(now clock.Millis, e Entry) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	defer s.publish()
	s.noteEra(now, e.Revision)
	return s.apply(now, e)
}

// ApplyListing applies a complete listing of the evacuations that the store had at a
// revision. The argument found maps each evacuated data centre to the revision of its
// key. It returns the entries that changed.
func (s *State) ApplyListing(now clock.Millis, rev store.Revision, found map[ident.DataCentre]store.Revision) (changed []Entry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	defer s.publish()
	s.noteEra(now, rev)
	if rev < s.listed {
		return nil
	}
	s.listed = rev
	if !s.isHolding(now) || rev.Era() == s.settled.Era() {
		s.settled = rev
	}
	for dc, r := range s.reports {
		if _, ok := found[dc]; ok {
			continue
		}
		ends := r.revision < rev && (r.revision.Era() == rev.Era() || s.settled == rev)
		if r.evacuated && ends {
			s.reports[dc] = report{revision: rev, endedAt: now}
			changed = append(changed, Entry{DataCentre: dc, Revision: rev})
		}
		if !r.evacuated && now-r.endedAt >= EndedTTL && r.revision <= s.floor(r.revision) {
			delete(s.reports, dc)
		}
	}
	for dc, keyRevision := range found {
		e := Entry{DataCentre: dc, Evacuated: true, Revision: keyRevision}
		if r := s.reports[dc]; e.Revision == 0 || !r.evacuated && r.revision >= e.Revision {
			// The listing itself is the newer report.
			e.Revision = rev
		}
		// Not apply: the floor already includes this listing.
		if r := s.reports[dc]; e.Revision > r.revision {
			s.reports[dc] = report{evacuated: true, revision: e.Revision}
			if !r.evacuated {
				changed = append(changed, e)
			}
		}
	}
	sortEntries(changed)
	return changed
}

// Merge applies the list of another daemon and returns the entries that changed. If the
// other one has an evacuation that has ended here, List contains its end again for
// EndedTTL, so that the other one learns of it.
func (s *State) Merge(now clock.Millis, list []Entry) (changed []Entry) {
	if len(list) == 0 {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	defer s.publish()
	for _, e := range list {
		s.noteEra(now, e.Revision)
		if s.apply(now, e) {
			changed = append(changed, e)
			continue
		}
		if r := s.reportOn(e); e.Evacuated && !r.evacuated {
			r.endedAt = now
			s.reports[e.DataCentre] = r
		}
	}
	return changed
}

// List returns the evacuations, and those that ended within EndedTTL, in the order of
// their data centres.
func (s *State) List(now clock.Millis) []Entry {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []Entry
	for dc, r := range s.reports {
		if r.evacuated || now-r.endedAt < EndedTTL {
			out = append(out, Entry{DataCentre: dc, Evacuated: r.evacuated, Revision: r.revision})
		}
	}
	sortEntries(out)
	return out
}

// NeedsListing reports whether an evacuation of an earlier era is in force although
// EraHold has passed. A listing ends it or confirms it.
func (s *State) NeedsListing(now clock.Millis) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.era == 0 || s.isHolding(now) {
		return false
	}
	for _, r := range s.reports {
		if r.evacuated && r.revision.Era() < s.era {
			return true
		}
	}
	return false
}

// noteEra records the era of a revision if it is later than those seen before. The caller
// holds mu.
func (s *State) noteEra(now clock.Millis, rev store.Revision) {
	if era := rev.Era(); era > s.era {
		s.era, s.eraSince = era, now
	}
}

// isHolding reports whether an EraHold is running. The caller holds mu.
func (s *State) isHolding(now clock.Millis) bool {
	return s.era > 0 && now-s.eraSince < EraHold
}

// floor returns the revision of the newest listing that ends an evacuation of the given
// revision. The caller holds mu.
func (s *State) floor(rev store.Revision) store.Revision {
	if rev.Era() == s.listed.Era() {
		return s.listed
	}
	return s.settled
}

// reportOn returns the newest report on the entry's data centre: that of an evacuation, or
// else the newest one of its end and of the listing that applies to the entry's era. The
// caller holds mu.
func (s *State) reportOn(e Entry) report {
	r := s.reports[e.DataCentre]
	if !r.evacuated {
		r.revision = max(r.revision, s.floor(e.Revision))
	}
	return r
}

// apply records an entry if it is newer than the report on its data centre, and reports
// whether the data centre's state changed. The caller holds mu.
func (s *State) apply(now clock.Millis, e Entry) bool {
	r := s.reportOn(e)
	// Some stores report a removal with the revision of the removed key.
	isRemoval := e.Revision == r.revision && r.evacuated && !e.Evacuated
	if e.Revision <= r.revision && !isRemoval {
		return false
	}
	next := report{evacuated: e.Evacuated, revision: e.Revision}
	if !e.Evacuated {
		next.endedAt = now
	}
	s.reports[e.DataCentre] = next
	return e.Evacuated != r.evacuated
}

// publish updates the map that IsEvacuated reads. The caller holds mu.
func (s *State) publish() {
	next := map[ident.DataCentre]bool{}
	for dc, r := range s.reports {
		if r.evacuated {
			next[dc] = true
		}
	}
	s.evacuated.Store(&next)
}

func sortEntries(list []Entry) {
	slices.SortFunc(list, func(a, b Entry) int { return cmp.Compare(a.DataCentre, b.DataCentre) })
}
