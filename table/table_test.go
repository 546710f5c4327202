package table

import (
	"encoding/json"
	"fmt"
	"reflect"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"chestnutlatch/ident"
	"chestnutlatch/record"
)

// naive is the simplest table: maps, scanned in full.
type naive struct {
	teams  map[string]record.Team
	keys   map[string]record.Key
	routes map[string]record.Route
}

func newNaive() *naive {
	return &naive{teams: map[string]record.Team{}, keys: map[string]record.Key{}, routes: map[string]record.Route{}}
}

func (n *naive) match(host, path string) (record.Route, bool) {
	var best record.Route
	found := false
	for _, r := range n.routes {
		if r.Host != "" && r.Host != host || !isUnder(path, r.Prefix) {
			continue
		}
		closer := len(r.Prefix) > len(best.Prefix)
		if !found || r.Host != "" && best.Host == "" || (r.Host == best.Host && closer) {
			best, found = r, true
		}
	}
	return best, found
}

// isUnder reports whether the path is the prefix or continues it at a slash.
func isUnder(path, prefix string) bool {
	return path == prefix || strings.HasPrefix(path, prefix) && (strings.HasSuffix(prefix, "/") || path[len(prefix)] == '/')
}

// pair drives a table and the naive one with the same changes.
type pair struct {
	table *Table
	naive *naive
	rev   ident.Revision
	log   [][]byte
	raw   map[string]json.RawMessage
}

func (p *pair) apply(t *rapid.T, items []record.Item) {
	p.rev++
	for i := range items {
		name := items[i].Kind.String() + items[i].ID
		items[i].Before = p.raw[name]
		p.raw[name] = items[i].After
	}
	b, err := record.EncodeChange(record.Change{Revision: p.rev, ID: fmt.Sprint(p.rev), Items: items})
	if err != nil {
		t.Fatal(err)
	}
	p.log = append(p.log, b)
	if err := p.table.Apply(b); err != nil {
		t.Fatal(err)
	}
}

func encode(t *rapid.T, b record.Body) json.RawMessage {
	schema := record.Schema(rapid.IntRange(1, 2).Draw(t, "schema"))
	var old json.RawMessage
	if rapid.Bool().Draw(t, "unknown field") {
		old = json.RawMessage(fmt.Sprintf(`{"schema":%d,"later_field":{"x":1}}`, schema))
	}
	raw, err := record.Encode(b, schema, old)
	if err != nil {
		t.Fatal(err)
	}
	return raw
}

var hosts = []string{"", "a.example", "b.example"}

var prefixes = []string{"/", "/a", "/a/", "/a/b", "/b"}

func (p *pair) setRoute(t *rapid.T) {
	host := rapid.SampledFrom(hosts).Draw(t, "host")
	prefix := rapid.SampledFrom(prefixes).Draw(t, "prefix")
	r := record.Route{
		ID: ident.Route(fmt.Sprint("r", rapid.IntRange(0, 9).Draw(t, "id"))), Host: host, Prefix: prefix, Service: "svc",
		Timeout: 1000, Priority: ident.Priority(rapid.IntRange(0, 2).Draw(t, "priority")), OneTime: rapid.Bool().Draw(t, "one time"),
	}
	for id, o := range p.naive.routes {
		if id != string(r.ID) && o.Host == host && o.Prefix == prefix {
			t.Skip("the command refuses two routes for one match")
		}
	}
	p.naive.routes[string(r.ID)] = r
	p.apply(t, []record.Item{{Kind: record.KindRoute, ID: string(r.ID), After: encode(t, r)}})
}

func (p *pair) setTeam(t *rapid.T) {
	tm := record.Team{ID: ident.Team(fmt.Sprint("t", rapid.IntRange(0, 5).Draw(t, "id"))), Rate: 5, Burst: uint32(rapid.IntRange(2, 50).Draw(t, "burst")), Weight: 2}
	p.naive.teams[string(tm.ID)] = tm
	key := keyFor(t, tm.ID)
	p.naive.keys[string(key.ID)] = key
	p.apply(t, []record.Item{
		{Kind: record.KindTeam, ID: string(tm.ID), After: encode(t, tm)},
		{Kind: record.KindKey, ID: string(key.ID), After: encode(t, key)},
	})
}

func (p *pair) remove(t *rapid.T) {
	id := fmt.Sprint("r", rapid.IntRange(0, 9).Draw(t, "id"))
	if _, ok := p.naive.routes[id]; ok {
		delete(p.naive.routes, id)
		p.apply(t, []record.Item{{Kind: record.KindRoute, ID: id}})
		return
	}
	for i := range 6 {
		id := string(keyID(ident.Team(fmt.Sprint("t", i))))
		if _, ok := p.naive.keys[id]; ok && rapid.Bool().Draw(t, "this key") {
			delete(p.naive.keys, id)
			p.apply(t, []record.Item{{Kind: record.KindKey, ID: id}})
			return
		}
	}
	t.Skip("nothing to remove")
}

// copyOver takes a snapshot into a fresh table and goes on with that one.
func (p *pair) copyOver(t *rapid.T) {
	b := NewBuilder()
	if err := p.table.Snapshot(b.Add); err != nil {
		t.Fatal(err)
	}
	fresh := New()
	if p.rev > 0 != fresh.Install(b) {
		t.Fatal("snapshot is not newer than nothing")
	}
	p.table = fresh
}

// replay offers old and future changes, which must change nothing.
func (p *pair) replay(t *rapid.T) {
	if len(p.log) == 0 {
		t.Skip("no change")
	}
	old := p.log[rapid.IntRange(0, len(p.log)-1).Draw(t, "old")]
	if err := p.table.Apply(old); err != nil {
		t.Fatalf("an old change is refused: %v", err)
	}
	future, err := record.EncodeChange(record.Change{Revision: p.rev + 2})
	if err != nil {
		t.Fatal(err)
	}
	if p.table.Apply(future) == nil {
		t.Fatal("a change behind a gap was applied")
	}
	stale := NewBuilder()
	if err := stale.Add(p.rev, nil); err != nil {
		t.Fatal(err)
	}
	if p.table.Install(stale) {
		t.Fatal("a snapshot that is not newer was installed")
	}
}

func (p *pair) check(t *rapid.T) {
	if p.table.Revision() != p.rev {
		t.Fatalf("revision is %d, want %d", p.table.Revision(), p.rev)
	}
	for _, h := range append(hosts, "c.example") {
		for _, path := range []string{"/", "/a", "/a/", "/a/b", "/a/b/c", "/ab", "/b/x", "/c"} {
			want, wantOK := p.naive.match(h, path)
			got, ok := p.table.Match(h, path)
			if ok != wantOK || !reflect.DeepEqual(got, want) {
				t.Fatalf("Match(%q, %q) = %+v, %v; want %+v, %v", h, path, got, ok, want, wantOK)
			}
		}
	}
	for i := range 6 {
		id := ident.Team(fmt.Sprint("t", i))
		_, keyed := p.naive.keys[string(keyID(id))]
		got, ok := p.table.TeamOfKey("key of " + string(id))
		if ok != keyed || ok && got != p.naive.teams[string(id)] {
			t.Fatalf("TeamOfKey(%s) = %+v, %v; want %v", id, got, ok, keyed)
		}
	}
	counts := p.table.Counts()
	if counts["team"] != len(p.naive.teams) || counts["key"] != len(p.naive.keys) || counts["route"] != len(p.naive.routes) {
		t.Fatalf("counts %v, want %d teams, %d keys, %d routes", counts, len(p.naive.teams), len(p.naive.keys), len(p.naive.routes))
	}
}

func TestTableAgainstNaive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := &pair{table: New(), naive: newNaive(), raw: map[string]json.RawMessage{}}
		t.Repeat(map[string]func(*rapid.T){
			"route": p.setRoute, "route2": p.setRoute, "team": p.setTeam, "remove": p.remove,
			"copy": p.copyOver, "replay": p.replay, "": p.check,
		})
	})
}

func TestUnknownFieldsTravelBetweenPeers(t *testing.T) {
	raw := json.RawMessage(`{"later_field":{"x":1},"limit":{"burst":9,"rate_per_second":3},"schema":2,"weight":1}`)
	change, err := record.EncodeChange(record.Change{Revision: 1, Items: []record.Item{{Kind: record.KindTeam, ID: "t", After: raw}}})
	if err != nil {
		t.Fatal(err)
	}
	first := New()
	if err := first.Apply(change); err != nil {
		t.Fatal(err)
	}
	found := false
	err = first.Snapshot(func(_ ident.Revision, chunk []byte) error {
		found = found || strings.Contains(string(chunk), "later_field")
		return nil
	})
	if err != nil || !found {
		t.Errorf("snapshot lost the unknown field (%v)", err)
	}
}

// FuzzSnapshot feeds snapshots of any content to a builder, as a faulty peer
// could.
func FuzzSnapshot(f *testing.F) {
	f.Add([]byte{byte(record.KindTeam), 3, 0, 0x0a, 0x01, 't'})
	f.Add([]byte{9, 0, 0})
	f.Fuzz(func(_ *testing.T, b []byte) {
		builder := NewBuilder()
		if err := builder.Add(1, b); err != nil {
			return
		}
		t := New()
		t.Install(builder)
		t.Match("", "/a")
		t.TeamOfKey("k")
	})
}
