package depart

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"chestnutlatch/clock"
	"chestnutlatch/guard"
	"chestnutlatch/ident"
	"chestnutlatch/member"
)

func drawMembers(r *rapid.T) []member.Member {
	var out []member.Member
	for i := range rapid.IntRange(0, 12).Draw(r, "members") {
		out = append(out, member.Member{Instance: ident.Instance(fmt.Sprint("i", i)), DataCentre: ident.DataCentre(rapid.SampledFrom([]string{"a", "b"}).Draw(r, "dc"))})
	}
	return out
}

// TestNextProcessFindsWhatWasKept guards against a departure that is acknowledged although
// the next process, which reaches other holders than the one before, would not find it.
func TestNextProcessFindsWhatWasKept(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		others := drawMembers(r)
		chosen := Holders("self", "a", others)
		shuffled := rapid.Permutation(others).Draw(r, "order")
		if again := Holders("self", "a", shuffled); !slices.EqualFunc(chosen, again, func(a, b member.Member) bool { return a.Instance == b.Instance }) {
			r.Fatalf("the holders depend on the order of the list: %v, %v", chosen, again)
		}
		kept := map[ident.Instance]bool{}
		returned := 0
		found := false
		for _, m := range chosen {
			if rapid.Bool().Draw(r, "keeps") {
				kept[m.Instance] = true
			}
			if rapid.Bool().Draw(r, "returns") {
				returned++
				found = found || kept[m.Instance]
			}
		}
		if IsEnough(len(chosen), len(kept)) && IsEnough(len(chosen), returned) && !found {
			r.Fatalf("kept at %v of %d holders, returned by %d, not found", kept, len(chosen), returned)
		}
	})
}

// TestHoldersAreLocal guards against copies in another data centre while this one has room:
// links between data centres cost, and are cut more often.
func TestHoldersAreLocal(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		others := drawMembers(r)
		local := 0
		for _, m := range others {
			if m.DataCentre == "a" {
				local++
			}
		}
		for i, m := range Holders("self", "a", others) {
			if wantLocal := i < local; (m.DataCentre == "a") != wantLocal {
				r.Fatalf("holder %d is in data centre %s, want a local one: %v", i, m.DataCentre, wantLocal)
			}
		}
	})
}

func TestIsEnough(t *testing.T) {
	for _, tt := range []struct {
		chosen, answered int
		want             bool
	}{{0, 0, false}, {1, 0, false}, {1, 1, true}, {2, 1, false}, {2, 2, true}, {3, 1, false}, {3, 2, true}} {
		if got := IsEnough(tt.chosen, tt.answered); got != tt.want {
			t.Errorf("%d of %d: %v, want %v", tt.answered, tt.chosen, got, tt.want)
		}
	}
}

// TestLedgerKeepsTheLatestDeparture guards against an older list that arrives late and
// replaces a departure that covers more.
func TestLedgerKeepsTheLatestDeparture(t *testing.T) {
	l := NewLedger()
	newer := guard.Departure{Target: "t", StartedAt: 20, Sequence: 9}
	l.Hold(0, "i", []guard.Departure{newer, {Target: "u", StartedAt: 1}})
	l.Hold(1, "i", []guard.Departure{{Target: "t", StartedAt: 10, Sequence: 50}})
	got := l.Held(2, "i")
	if len(got) != 2 || !slices.Contains(got, newer) {
		t.Errorf("held %v, want %v and that of u", got, newer)
	}
	if other := l.Held(2, "j"); len(other) != 0 {
		t.Errorf("another instance has %v", other)
	}
	if late := l.Held(2+keepTime, "i"); len(late) != 0 {
		t.Errorf("after %d ms still held: %v", keepTime, late)
	}
}

// TestLedgerIsBounded guards against memory that grows with the instances and targets that
// leave.
func TestLedgerIsBounded(t *testing.T) {
	l := NewLedger()
	for i := range 2 * maxInstances {
		var list []guard.Departure
		for n := range 2 * MaxPerInstance {
			list = append(list, guard.Departure{Target: ident.Target(fmt.Sprint(n))})
		}
		l.Hold(clock.Millis(i), ident.Instance(fmt.Sprint(i)), list)
	}
	if len(l.held) != maxInstances {
		t.Errorf("departures of %d instances are held, want %d", len(l.held), maxInstances)
	}
	if got := l.Held(2*maxInstances, ident.Instance(fmt.Sprint(2*maxInstances-1))); len(got) != MaxPerInstance {
		t.Errorf("%d departures of the last instance are held, want %d", len(got), MaxPerInstance)
	}
}
