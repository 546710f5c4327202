package member

import (
	"sort"

	"github.com/cespare/xxhash/v2"

	"chestnutlatch/clock"
	"chestnutlatch/ident"
)

// Rank returns this daemon's position, from 0, among the alive members of its data
// centre, ordered by a hash of the instance. The lowest ranks watch the store and
// send reports. This needs no election: two daemons with different views at worst
// both do the same reads.
func (v *View) Rank() int {
	own := rankHash(v.self.Instance)
	rank := 0
	for id, state := range v.members {
		if id != v.self.Instance && state.member.Status == StatusAlive &&
			state.member.DataCentre == v.self.DataCentre && rankHash(id) < own {
			rank++
		}
	}
	return rank
}

// reporterCount is the number of members that all others of their data centre ping
// regularly.
const reporterCount = 2

// PingReporters returns pings to the lowest ranks of this data centre. The pings
// carry this daemon's configuration revision, which the reporters collect.
func (v *View) PingReporters() []Effect {
	var ids []ident.Instance
	for id, state := range v.members {
		if state.member.Status == StatusAlive && state.member.DataCentre == v.self.DataCentre {
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

// rankHash returns the hash that orders members by rank.
func rankHash(id ident.Instance) uint64 {
	return xxhash.Sum64String("rank/" + string(id))
}

// UnreachableDataCentres reports for each data centre whether it is unreachable: no
// member of it was seen for Config.UnreachableAfter. This daemon's own data centre
// never is. Members of other data centres are not suspected from here, so callers use
// this to give members of unreachable data centres no new duties.
func (v *View) UnreachableDataCentres(now clock.Millis) map[ident.DataCentre]bool {
	unreachable := map[ident.DataCentre]bool{}
	for _, state := range v.members {
		dc := state.member.DataCentre
		if _, listed := unreachable[dc]; !listed {
			unreachable[dc] = dc != v.self.DataCentre
		}
		if now-state.lastSeen < v.cfg.UnreachableAfter {
			unreachable[dc] = false
		}
	}
	return unreachable
}
