package record

import (
	"crypto/sha256"
	"encoding/json"
	"reflect"
	"strings"
	"testing"

	"github.com/go-faster/errors"
	"pgregory.net/rapid"

	"chestnutlatch/clock"
	"chestnutlatch/ident"
)

func anyBody(t *rapid.T) Body {
	id := rapid.StringMatching(`[a-z0-9._-]{1,20}`).Draw(t, "id")
	switch Kind(rapid.IntRange(0, int(KindService)).Draw(t, "kind")) {
	case KindTeam:
		burst := rapid.Uint32Range(2, 10_000).Draw(t, "burst")
		return Team{
			ID: ident.Team(id), Burst: burst, Rate: rapid.Uint32Range(1, burst*10).Draw(t, "rate"),
			Weight: rapid.Uint32Range(1, 1000).Draw(t, "weight"),
		}
	case KindKey:
		return Key{ID: ident.Key(id), Team: "team", Hash: sha256.Sum256([]byte(id))}
	case KindRoute:
		once := rapid.Bool().Draw(t, "one time")
		return Route{
			ID: ident.Route(id), Host: rapid.SampledFrom([]string{"", "a.example"}).Draw(t, "host"),
			Prefix: "/" + rapid.StringMatching(`[a-z/]{0,12}`).Draw(t, "prefix"), Service: "svc",
			Priority: ident.Priority(rapid.IntRange(0, 2).Draw(t, "priority")), OneTime: once,
			Open: !once && rapid.Bool().Draw(t, "open"), Timeout: clock.Millis(rapid.IntRange(1, 600_000).Draw(t, "timeout")),
		}
	case KindTarget:
		return Target{ID: ident.Target(id), Drain: rapid.Bool().Draw(t, "drain")}
	default:
		return Service{ID: ident.Service(id), FloorPercent: rapid.Uint32Range(1, 100).Draw(t, "floor")}
	}
}

// TestBothSchemasSideBySide rewrites a record from schema to schema; what it
// says stays, and so does a field from a later program.
func TestBothSchemasSideBySide(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := anyBody(t)
		raw := json.RawMessage(`{"schema":2,"later_field":{"x":[1]}}`)
		for range rapid.IntRange(1, 4).Draw(t, "rewrites") {
			schema := Schema(rapid.IntRange(1, 2).Draw(t, "schema"))
			next, err := Encode(b, schema, raw)
			if err != nil {
				t.Fatal(err)
			}
			got, err := Decode(KindOf(b), IDOf(b), next)
			if err != nil || !reflect.DeepEqual(got, b) {
				t.Fatalf("%s decodes to %+v (%v), want %+v", next, got, err, b)
			}
			if s, _ := SchemaOf(next); s != schema || !strings.Contains(string(next), `"later_field":{"x":[1]}`) {
				t.Fatalf("rewrite to schema %d gives %s", schema, next)
			}
			if !HasUnknown(KindOf(b), next) {
				t.Fatalf("%s has an unknown field", next)
			}
			raw = next
		}
		fresh, err := Encode(b, 2, nil)
		if err != nil || HasUnknown(KindOf(b), fresh) {
			t.Fatalf("%s has no unknown field (%v)", fresh, err)
		}
	})
}

func TestCompactForm(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := anyBody(t)
		raw := []byte(rapid.SampledFrom([]string{"", `{"x":1}`}).Draw(t, "raw"))
		item := AppendCompact(nil, b, raw)
		got, gotRaw, err := ParseCompact(KindOf(b), item)
		if err != nil || !reflect.DeepEqual(got, b) || string(gotRaw) != string(raw) || string(CompactID(item)) != IDOf(b) {
			t.Fatalf("compact form gives %+v %q (%v), want %+v %q", got, gotRaw, err, b, raw)
		}
	})
}

func TestDecodeRefuses(t *testing.T) {
	tests := []struct {
		name   string
		kind   Kind
		raw    string
		fields []string
	}{
		{"three faults at once", KindTeam, `{"schema":1,"rate":0,"burst":1,"weight":5000}`, []string{"rate", "burst", "weight"}},
		{"burst under a tenth of the rate", KindTeam, `{"schema":1,"rate":100,"burst":9}`, []string{"burst"}},
		{"prefix without slash", KindRoute, `{"schema":2,"match":{"prefix":"x"},"service":"s"}`, []string{"prefix"}},
		{"host with port", KindRoute, `{"schema":2,"match":{"prefix":"/","host":"a:80"},"service":"s"}`, []string{"host"}},
		{"open action", KindRoute, `{"schema":1,"prefix":"/","service":"s","one_time":true,"open":true}`, []string{"access"}},
		{"short hash", KindKey, `{"schema":2,"team":"t","hash":"00"}`, []string{"hash"}},
		{"floor", KindService, `{"schema":2,"floor_percent":101}`, []string{"floor_percent"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, err := Decode(tt.kind, "id", json.RawMessage(tt.raw))
			var invalid *InvalidError
			if !errors.As(err, &invalid) {
				t.Fatalf("Decode() = %v, want an InvalidError", err)
			}
			var got []string
			for _, p := range invalid.Problems {
				got = append(got, p.Field)
				if p.Remedy == "" {
					t.Errorf("%s has no remedy", p.Field)
				}
			}
			if !reflect.DeepEqual(got, tt.fields) {
				t.Errorf("faults in %v, want %v", got, tt.fields)
			}
		})
	}
	var schema *SchemaError
	if _, err := Decode(KindTeam, "id", json.RawMessage(`{"schema":3}`)); !errors.As(err, &schema) {
		t.Errorf("schema 3: %v, want a SchemaError", err)
	}
	for _, raw := range []string{``, `[]`, `{"schema":2,"match":5}`, `{"schema":2,"action":"maybe","match":{"prefix":"/"}}`} {
		if _, err := Decode(KindRoute, "id", json.RawMessage(raw)); err == nil {
			t.Errorf("Decode(%q) succeeded", raw)
		}
	}
}

func FuzzParseCompact(f *testing.F) {
	f.Add(int(KindTeam), AppendCompact(nil, Team{ID: "t", Rate: 1, Burst: 2}, nil))
	f.Add(int(KindRoute), []byte{0xff, 0x01, 0x02})
	f.Fuzz(func(_ *testing.T, kind int, b []byte) {
		_, _, _ = ParseCompact(Kind(kind), b)
		_ = CompactID(b)
	})
}
