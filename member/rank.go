package member

import (
	"sort"

	"github.com/cespare/xxhash/v2"

	"chestnutlatch/clock"
	"chestnutlatch/ident"
)

// Rank returns the number of live members of this data centre whose id hashes
// lower than this daemon's. The first ranks watch the store and report, so
// that no election is needed: two daemons with different views only do the
// same reading twice.
func (v *View) Rank() int {
	mine := rankHash(v.self.Instance)
	rank := 0
	for id, k := range v.members {
		if id != v.self.Instance && k.member.Status == StatusAlive &&
			k.member.DataCentre == v.self.DataCentre && rankHash(id) < mine {
			rank++
		}
	}
	return rank
}

// reporterCount is the number of members that hear from all others of their
// data centre.
const reporterCount = 2

// PingReporters returns pings to the first ranks of this data centre, so that
// they know every member's configuration revision.
func (v *View) PingReporters() []Effect {
	var ids []ident.Instance
	for id, k := range v.members {
		if k.member.Status == StatusAlive && k.member.DataCentre == v.self.DataCentre {
			ids = append(ids, id)
		}
	}
	sort.Slice(ids, func(i, j int) bool { return rankHash(ids[i]) < rankHash(ids[j]) })
	var effects []Effect
	for _, id := range ids[:min(len(ids), reporterCount)] {
		if id != v.self.Instance {
			effects = append(effects, v.sendTo(id, Message{Kind: MessagePing, Sequence: v.nextSequence()}))
		}
	}
	return effects
}

func rankHash(id ident.Instance) uint64 {
	return xxhash.Sum64String("rank/" + string(id))
}

// Dark returns the data centres, other than this one, of which no member was
// heard for DarkAfter. Their members cannot be suspected from here; they are
// given no new duties.
func (v *View) Dark(now clock.Millis) map[ident.DataCentre]bool {
	out := map[ident.DataCentre]bool{}
	for _, k := range v.members {
		dc := k.member.DataCentre
		if _, known := out[dc]; !known {
			out[dc] = dc != v.self.DataCentre
		}
		if now-k.heard < v.cfg.DarkAfter {
			out[dc] = false
		}
	}
	return out
}
