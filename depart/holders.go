package depart

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"chestnutlatch/ident"
	"chestnutlatch/member"
)

const (
	// holders is the number of daemons that are asked to hold the departures of an
	// instance, and asked for them by its next process.
	holders = 3
	// copies is how many of them must do so. Any two of three have one in common, so the
	// next process finds what was acknowledged without the one that cannot be reached.
	copies = 2
)

// Holders returns the daemons that hold the departures of an instance, chosen from the
// others: those of its data centre first, in an order that all processes of the instance
// find.
func Holders(of ident.Instance, dc ident.DataCentre, others []member.Member) []member.Member {
	rank := func(m member.Member) uint64 { return xxhash.Sum64String(string(of) + "/" + string(m.Instance)) }
	sorted := slices.Clone(others)
	slices.SortFunc(sorted, func(a, b member.Member) int {
		if aLocal, bLocal := a.DataCentre == dc, b.DataCentre == dc; aLocal != bLocal {
			if aLocal {
				return -1
			}
			return 1
		}
		return cmp.Compare(rank(a), rank(b))
	})
	return sorted[:min(holders, len(sorted))]
}

// IsEnough reports whether so many of the chosen holders have kept, or returned, the
// departures that they bind the next process. With one other daemon, its copy is enough;
// without any, only the store is.
func IsEnough(chosen, answered int) bool {
	return answered > 0 && answered >= min(copies, chosen)
}
