package roster

import (
	"flag"
	"fmt"
	"os"
	"testing"

	"pgregory.net/rapid"

	"chestnutlatch/clock"
	"chestnutlatch/ident"
	"chestnutlatch/member"
	"chestnutlatch/store"
)

// TestMain sets a fixed seed and length for the property tests, which makes runs
// repeatable. Flags on the command line override them.
func TestMain(m *testing.M) {
	defaults := map[string]string{"rapid.seed": "20261204", "rapid.checks": "400", "rapid.steps": "60", "rapid.nofailfile": "true"}
	for name, value := range defaults {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	flag.Parse()
	os.Exit(m.Run())
}

func listedMember(id string, inc ident.Incarnation, rev store.Revision) ListedMember {
	return ListedMember{Member: member.Member{Instance: ident.Instance(id), Incarnation: inc}, Revision: rev}
}

func TestRemovalOfMissingDaemons(t *testing.T) {
	list := []ListedMember{listedMember("a", 1, 10), listedMember("b", 1, 11)}
	tests := []struct {
		name    string
		apply   func(r *Roster) Change
		removed int
		missing int
	}{
		{"key missing within the grace period", func(r *Roster) Change {
			return r.ApplyListing(1000, list[:1], 20)
		}, 0, 1},
		{"key missing after the grace period", func(r *Roster) Change {
			r.ApplyListing(1000, list[:1], 20)
			return r.ApplyListing(1000+missingKeyGrace+1, list[:1], 21)
		}, 1, 0},
		{"key missing after the grace period with a recent reply", func(r *Roster) Change {
			r.ApplyListing(1000, list[:1], 20)
			r.RecordReply(3000, "b", 1)
			return r.ApplyListing(1000+missingKeyGrace+1, list[:1], 21)
		}, 0, 1},
		{"reply of another incarnation", func(r *Roster) Change {
			r.ApplyListing(1000, list[:1], 20)
			r.RecordReply(3000, "b", 2)
			return r.ApplyListing(1000+missingKeyGrace+1, list[:1], 21)
		}, 1, 0},
		{"key missing again after it was listed", func(r *Roster) Change {
			r.ApplyListing(1000, list[:1], 20)
			r.ApplyListing(2000, list, 21)
			return r.ApplyListing(1000+missingKeyGrace+1, list[:1], 22)
		}, 0, 1},
		{"older listing", func(r *Roster) Change {
			return r.ApplyListing(1000, nil, 5)
		}, 0, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := New()
			r.ApplyListing(1, list, 12)
			c := tt.apply(r)
			if len(c.Removed) != tt.removed || len(c.Missing) != tt.missing {
				t.Errorf("%d daemons removed and %d missing, want %d and %d", len(c.Removed), len(c.Missing), tt.removed, tt.missing)
			}
		})
	}
}

// TestRecordNeverReplacedByOlder applies listings in any order of revisions. A
// record must never be replaced by one with an older revision, whatever its
// incarnation is, and an older listing must change nothing.
func TestRecordNeverReplacedByOlder(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		r := New()
		newest := map[ident.Instance]store.Revision{}
		var lastApplied store.Revision
		for now := clock.Millis(1); now < 5000; now += clock.Millis(rapid.IntRange(1, 900).Draw(rt, "elapsed")) {
			revision := store.Revision(rapid.IntRange(1, 40).Draw(rt, "listing revision"))
			var list []ListedMember
			for i := range 4 {
				if rapid.Bool().Draw(rt, "listed") {
					rev := store.Revision(rapid.IntRange(1, int(revision)).Draw(rt, "revision"))
					list = append(list, listedMember(fmt.Sprint("i", i), ident.Incarnation(rapid.IntRange(1, 9).Draw(rt, "incarnation")), rev))
				}
			}
			c := r.ApplyListing(now, list, revision)
			if revision < lastApplied && len(c.Updated)+len(c.Removed)+len(c.Missing) > 0 {
				rt.Fatalf("listing at revision %d changed the list after one at revision %d", revision, lastApplied)
			}
			lastApplied = max(lastApplied, revision)
			for _, removed := range c.Removed {
				delete(newest, removed.Instance)
			}
			for _, m := range r.Members() {
				rev := r.members[m.Instance].Revision
				if rev < newest[m.Instance] {
					rt.Fatalf("%s went back from revision %d to %d", m.Instance, newest[m.Instance], rev)
				}
				newest[m.Instance] = rev
			}
		}
	})
}
