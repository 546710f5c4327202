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

// TestMain fixes the seed and the length of the random tests.
func TestMain(m *testing.M) {
	fixed := map[string]string{"rapid.seed": "20261204", "rapid.checks": "400", "rapid.steps": "60", "rapid.nofailfile": "true"}
	for name, value := range fixed {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	flag.Parse()
	os.Exit(m.Run())
}

func found(id string, inc ident.Incarnation, rev store.Revision) Found {
	return Found{Member: member.Member{Instance: ident.Instance(id), Incarnation: inc}, Revision: rev}
}

func TestMissingDaemons(t *testing.T) {
	list := []Found{found("a", 1, 10), found("b", 1, 11)}
	tests := []struct {
		name string
		do   func(r *Roster) Change
		gone int
		asks int
	}{
		{"missing for a moment is kept and asked", func(r *Roster) Change {
			return r.Take(1000, list[:1], 20)
		}, 0, 1},
		{"missing for long is gone", func(r *Roster) Change {
			r.Take(1000, list[:1], 20)
			return r.Take(1000+missingGrace+1, list[:1], 21)
		}, 1, 0},
		{"missing for long but answering is kept", func(r *Roster) Change {
			r.Take(1000, list[:1], 20)
			r.Heard(3000, "b", 1)
			return r.Take(1000+missingGrace+1, list[:1], 21)
		}, 0, 1},
		{"an answer of another life does not vouch", func(r *Roster) Change {
			r.Take(1000, list[:1], 20)
			r.Heard(3000, "b", 2)
			return r.Take(1000+missingGrace+1, list[:1], 21)
		}, 1, 0},
		{"back again is as before", func(r *Roster) Change {
			r.Take(1000, list[:1], 20)
			r.Take(2000, list, 21)
			return r.Take(1000+missingGrace+1, list[:1], 22)
		}, 0, 1},
		{"an older listing says nothing", func(r *Roster) Change {
			return r.Take(1000, nil, 5)
		}, 0, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := New()
			r.Take(1, list, 12)
			c := tt.do(r)
			if len(c.Gone) != tt.gone || len(c.Missing) != tt.asks {
				t.Errorf("%d gone and %d asked, want %d and %d", len(c.Gone), len(c.Missing), tt.gone, tt.asks)
			}
		})
	}
}

// TestRosterNeverGoesBack feeds listings in any order: a record is never
// replaced by an older one, whatever its life's number says.
func TestRosterNeverGoesBack(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		r := New()
		newest := map[ident.Instance]store.Revision{}
		var seen store.Revision
		for now := clock.Millis(1); now < 5000; now += clock.Millis(rapid.IntRange(1, 900).Draw(rt, "pass")) {
			at := store.Revision(rapid.IntRange(1, 40).Draw(rt, "at"))
			var list []Found
			for i := range 4 {
				if rapid.Bool().Draw(rt, "listed") {
					rev := store.Revision(rapid.IntRange(1, int(at)).Draw(rt, "revision"))
					list = append(list, found(fmt.Sprint("i", i), ident.Incarnation(rapid.IntRange(1, 9).Draw(rt, "life")), rev))
				}
			}
			c := r.Take(now, list, at)
			if at < seen && len(c.Updated)+len(c.Gone)+len(c.Missing) > 0 {
				rt.Fatalf("a listing at %d changed what one at %d said", at, seen)
			}
			seen = max(seen, at)
			for _, g := range c.Gone {
				delete(newest, g.Instance)
			}
			for _, m := range r.Members() {
				rev := r.members[m.Instance].Revision
				if rev < newest[m.Instance] {
					rt.Fatalf("%s went back from %d to %d", m.Instance, newest[m.Instance], rev)
				}
				newest[m.Instance] = rev
			}
		}
	})
}
