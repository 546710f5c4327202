// Package roster keeps the list of daemons that announce themselves by leased
// keys in the store. It survives the store's outages: who was known stays known
// until the store, back for a while, and the daemon itself both say nothing.
// The package does no I/O.
package roster

import (
	"sort"

	"chestnutlatch/clock"
	"chestnutlatch/ident"
	"chestnutlatch/member"
	"chestnutlatch/store"
)

const (
	// missingGrace is how long a key may be missing before its daemon counts
	// as gone: a lease that ran out in an outage is taken anew by then.
	missingGrace = 2500 * clock.Millisecond
	// heardLife is how long a daemon's direct answer vouches for it while its
	// key is missing.
	heardLife = 4 * clock.Second
)

// Found is one key of a listing.
type Found struct {
	Member member.Member
	// Revision is that of the key's last write. It orders the records of an
	// instance, since clocks of two lives may disagree.
	Revision store.Revision
}

type known struct {
	Found
	// missing is since when listings lack the key, 0 if they have it.
	missing clock.Millis
	// heard is when the daemon last answered while its key was missing.
	heard clock.Millis
}

// Roster is the list. It is not safe for concurrent use.
type Roster struct {
	members map[ident.Instance]*known
	// at is the highest revision of a listing taken in.
	at store.Revision
}

// New returns an empty roster.
func New() *Roster {
	return &Roster{members: map[ident.Instance]*known{}}
}

// Change is what a listing changed.
type Change struct {
	// Updated holds the records that are new or newer.
	Updated []member.Member
	// Joined names those of them that are new, or in another life.
	Joined []ident.Instance
	// Gone holds the records that were dropped.
	Gone []member.Member
	// Missing holds the daemons to ask directly whether they live.
	Missing []member.Member
}

// Take takes in a whole listing at a store revision. A listing older than one
// seen before says nothing.
func (r *Roster) Take(now clock.Millis, list []Found, at store.Revision) Change {
	var c Change
	if at < r.at {
		return c
	}
	r.at = at
	listed := map[ident.Instance]bool{}
	for _, f := range list {
		listed[f.Member.Instance] = true
		k := r.members[f.Member.Instance]
		if k == nil || f.Revision > k.Revision {
			if k == nil || k.Member.Incarnation != f.Member.Incarnation {
				c.Joined = append(c.Joined, f.Member.Instance)
			}
			r.members[f.Member.Instance] = &known{Found: f}
			c.Updated = append(c.Updated, f.Member)
			continue
		}
		k.missing = 0
	}
	for _, id := range r.ids() {
		if k := r.members[id]; !listed[id] {
			r.miss(now, id, k, &c)
		}
	}
	return c
}

// miss handles a known daemon whose key is missing.
func (r *Roster) miss(now clock.Millis, id ident.Instance, k *known, c *Change) {
	if k.missing == 0 {
		k.missing = max(now, 1)
	}
	vouched := k.heard >= k.missing && now-k.heard <= heardLife
	if now-k.missing > missingGrace && !vouched {
		delete(r.members, id)
		c.Gone = append(c.Gone, k.Member)
		return
	}
	c.Missing = append(c.Missing, k.Member)
}

// Learn takes in a record that a daemon told itself, or that a peer knows. The
// store's word on an instance goes before it. It reports whether it is news.
func (r *Roster) Learn(now clock.Millis, m member.Member) bool {
	k := r.members[m.Instance]
	if k != nil && (k.missing == 0 || k.Member.Incarnation == m.Incarnation && k.Member.Version >= m.Version) {
		return false
	}
	r.members[m.Instance] = &known{Found: Found{Member: m}, missing: max(now, 1), heard: max(now, 1)}
	return true
}

// Heard takes in that a daemon answered directly.
func (r *Roster) Heard(now clock.Millis, id ident.Instance, inc ident.Incarnation) {
	if k := r.members[id]; k != nil && k.Member.Incarnation == inc {
		k.heard = max(now, 1)
	}
}

// Get returns a daemon's record.
func (r *Roster) Get(id ident.Instance) (member.Member, bool) {
	k := r.members[id]
	if k == nil {
		return member.Member{}, false
	}
	return k.Member, true
}

// Members returns all records in order of their instances.
func (r *Roster) Members() []member.Member {
	out := make([]member.Member, 0, len(r.members))
	for _, id := range r.ids() {
		out = append(out, r.members[id].Member)
	}
	return out
}

func (r *Roster) ids() []ident.Instance {
	ids := make([]ident.Instance, 0, len(r.members))
	for id := range r.members {
		ids = append(ids, id)
	}
	sort.Slice(ids, func(i, j int) bool { return ids[i] < ids[j] })
	return ids
}
