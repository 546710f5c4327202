// Package roster keeps the list of the fleet's daemons. A daemon registers itself
// with a leased key in the store; the inputs are listings of these keys, records
// from peers, and replies of daemons. A daemon stays on the list during a store
// outage and is removed only if its key is missing from listings for some time
// and it does not reply to direct requests either. The package does no I/O;
// package daemon calls it.
package roster

import (
	"sort"

	"chestnutlatch/clock"
	"chestnutlatch/ident"
	"chestnutlatch/member"
	"chestnutlatch/store"
)

const (
	// missingKeyGrace is how long a key may be missing before its daemon is
	// removed. A daemon whose lease ended during an outage has a new one by
	// then.
	missingKeyGrace = 2500 * clock.Millisecond
	// replyValidity is how long a direct reply keeps a daemon on the list while
	// its key is missing.
	replyValidity = 4 * clock.Second
)

// ListedMember is the record of one daemon in a listing.
type ListedMember struct {
	Member member.Member
	// Revision is that of the key's last write. Within an era of the store it orders
	// the records of an instance; incarnations cannot, because the clocks of two
	// incarnations may disagree. In a newer era a record may be older than the known
	// one, because the store came back from a copy; see Roster.judge.
	Revision store.Revision
}

// rosterEntry is a daemon on the list.
type rosterEntry struct {
	ListedMember
	// missingSince is when the key was first missing from a listing, or when the
	// record arrived from a peer; 0 if the last listing has the key.
	missingSince clock.Millis
	// lastReply is when the daemon last replied directly or its record arrived
	// from a peer, 0 if neither has happened.
	lastReply clock.Millis
	// contested is a record of another incarnation, in a newer era than the present
	// one, that may be older or newer; nil if there is none. contestedSince is when it
	// was first listed.
	contested      *ListedMember
	contestedSince clock.Millis
	// contestedReplied is true if the daemon has replied with the contested
	// incarnation.
	contestedReplied bool
}

// Roster is the list of daemons. It is not safe for concurrent use.
type Roster struct {
	members map[ident.Instance]*rosterEntry
	// revision is the store revision of the newest listing applied.
	revision store.Revision
}

// New returns an empty roster.
func New() *Roster {
	return &Roster{members: map[ident.Instance]*rosterEntry{}}
}

// Change holds the changes that a listing made to the list.
type Change struct {
	// Updated holds the new records and those that replaced older ones.
	Updated []member.Member
	// Joined holds the instances in Updated that were not on the list or have
	// another incarnation.
	Joined []ident.Instance
	// Removed holds the records that were removed.
	Removed []member.Member
	// Missing holds the daemons whose key is missing, and both records of those with a
	// contested one. The caller must ping them and pass their replies to RecordReply.
	Missing []member.Member
}

// ApplyListing applies a complete listing that was read at the given store
// revision. A listing older than one already applied is ignored.
func (r *Roster) ApplyListing(now clock.Millis, list []ListedMember, revision store.Revision) Change {
	var c Change
	if revision < r.revision {
		return c
	}
	r.revision = revision
	listed := map[ident.Instance]bool{}
	for _, m := range list {
		listed[m.Member.Instance] = true
		e := r.members[m.Member.Instance]
		switch r.judge(now, e, m) {
		case newerRecord:
			if e == nil || e.Member.Incarnation != m.Member.Incarnation {
				c.Joined = append(c.Joined, m.Member.Instance)
			}
			r.members[m.Member.Instance] = &rosterEntry{ListedMember: m}
			c.Updated = append(c.Updated, m.Member)
			continue
		case contestedRecord:
			c.Missing = append(c.Missing, e.Member)
			if m.Member.InnerAddress != e.Member.InnerAddress {
				c.Missing = append(c.Missing, m.Member)
			}
		case sameRecord:
			e.Revision = m.Revision
		case olderRecord:
		}
		e.missingSince = 0
	}
	for _, id := range r.sortedInstances() {
		if e := r.members[id]; !listed[id] {
			r.handleMissing(now, id, e, &c)
		}
	}
	return c
}

// judgement is how a listed record compares with the known one of its instance.
type judgement int

const (
	olderRecord judgement = iota
	sameRecord
	newerRecord
	contestedRecord
)

// judge compares a listed record with the known one, e, which may be nil. Within an era
// the revision decides. A record in a newer era was either written in that era or is
// that of the copy from which the store came back:
//
//   - The version orders the records of one incarnation.
//   - The key's number in the copy is at most that of any later write before the restore.
//     A record of another incarnation with a higher number than the known one is
//     therefore newer.
//   - With another number it may be either. It is contested: the known record stays, and
//     the daemon is asked. The contested record is accepted if the daemon replies with
//     its incarnation, or if the known incarnation does not reply in the grace period. A
//     key whose revision changes in the new era was written in it, so it is accepted at
//     once; a daemon writes its key again within half a second.
func (r *Roster) judge(now clock.Millis, e *rosterEntry, m ListedMember) judgement {
	switch {
	case e == nil:
		return newerRecord
	case m.Revision.Era() <= e.Revision.Era() && m.Revision > e.Revision:
		return newerRecord
	case m.Revision.Era() <= e.Revision.Era():
		return olderRecord
	case m.Member.Incarnation == e.Member.Incarnation && m.Member.Version == e.Member.Version:
		return sameRecord
	case m.Member.Incarnation == e.Member.Incarnation && m.Member.Version < e.Member.Version:
		return olderRecord
	case m.Member.Incarnation == e.Member.Incarnation, m.Revision.Number() > e.Revision.Number():
		return newerRecord
	case e.contested == nil || e.contested.Revision.Era() < m.Revision.Era():
		e.contested, e.contestedSince, e.contestedReplied = &m, max(now, 1), false
		return contestedRecord
	case m.Revision > e.contested.Revision:
		return newerRecord
	}
	knownReplied := e.lastReply >= e.contestedSince && now-e.lastReply <= replyValidity
	if e.contestedReplied || now-e.contestedSince > missingKeyGrace && !knownReplied {
		return newerRecord
	}
	return contestedRecord
}

// handleMissing adds a daemon whose key is missing to c.Missing, or removes it
// from the list if the grace period is over and it has not replied within
// replyValidity. A reply from before the key was missing does not count.
func (r *Roster) handleMissing(now clock.Millis, id ident.Instance, e *rosterEntry, c *Change) {
	if e.missingSince == 0 {
		e.missingSince = max(now, 1)
	}
	repliedRecently := e.lastReply >= e.missingSince && now-e.lastReply <= replyValidity
	if now-e.missingSince > missingKeyGrace && !repliedRecently {
		delete(r.members, id)
		c.Removed = append(c.Removed, e.Member)
		return
	}
	c.Missing = append(c.Missing, e.Member)
}

// ApplyPeerRecord applies a record that a peer sent, either its own or that of
// another daemon. The record is ignored if the last listing has a key of the
// instance, or if the list has the same or a newer version from the same
// incarnation. ApplyPeerRecord reports whether the record was applied.
func (r *Roster) ApplyPeerRecord(now clock.Millis, m member.Member) bool {
	e := r.members[m.Instance]
	if e != nil && (e.missingSince == 0 || e.Member.Incarnation == m.Incarnation && e.Member.Version >= m.Version) {
		return false
	}
	var revision store.Revision
	if e != nil {
		// A key that is listed again has a later revision, or is that of a restored copy.
		revision = e.Revision
	}
	r.members[m.Instance] = &rosterEntry{ListedMember: ListedMember{Member: m, Revision: revision}, missingSince: max(now, 1), lastReply: max(now, 1)}
	return true
}

// RecordReply records a direct reply from a daemon. It ignores a daemon that is
// not on the list, and a reply from another incarnation than the listed and the contested
// one.
func (r *Roster) RecordReply(now clock.Millis, id ident.Instance, inc ident.Incarnation) {
	e := r.members[id]
	switch {
	case e == nil:
	case e.Member.Incarnation == inc:
		e.lastReply = max(now, 1)
	case e.contested != nil && e.contested.Member.Incarnation == inc:
		e.contestedReplied = true
	}
}

// Get returns the record of a daemon and whether it is on the list.
func (r *Roster) Get(id ident.Instance) (member.Member, bool) {
	e := r.members[id]
	if e == nil {
		return member.Member{}, false
	}
	return e.Member, true
}

// Members returns all records, sorted by instance.
func (r *Roster) Members() []member.Member {
	out := make([]member.Member, 0, len(r.members))
	for _, id := range r.sortedInstances() {
		out = append(out, r.members[id].Member)
	}
	return out
}

func (r *Roster) sortedInstances() []ident.Instance {
	ids := make([]ident.Instance, 0, len(r.members))
	for id := range r.members {
		ids = append(ids, id)
	}
	sort.Slice(ids, func(i, j int) bool { return ids[i] < ids[j] })
	return ids
}
