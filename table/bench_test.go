package table

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"runtime"
	"testing"

	"chestnutlatch/ident"
	"chestnutlatch/record"
)

func keyID(team ident.Team) ident.Key {
	sum := sha256.Sum256([]byte("key of " + string(team)))
	return ident.Key(hex.EncodeToString(sum[:8]))
}

// keyFor returns the record of a team's only key, "key of TEAM".
func keyFor(_ any, team ident.Team) record.Key {
	return record.Key{ID: keyID(team), Team: team, Hash: sha256.Sum256([]byte("key of " + string(team)))}
}

// filledTable returns a table with the given numbers of teams, each with a key, and of
// routes.
func filledTable(teams, routes int) *Table {
	b := NewBuilder()
	for i := range teams {
		id := ident.Team(fmt.Sprintf("team-%06d", i))
		b.insert(record.Team{ID: id, Rate: 20, Burst: 40, Weight: 1}, nil)
		b.insert(keyFor(nil, id), nil)
	}
	for i := range routes {
		b.insert(record.Route{
			ID: ident.Route(fmt.Sprintf("route-%05d", i)), Host: fmt.Sprintf("s%d.example.org", i%520),
			Prefix: fmt.Sprintf("/v1/object%d", i), Service: ident.Service(fmt.Sprintf("service-%03d", i%520)), Timeout: 10_000,
		}, nil)
	}
	b.rev = 1
	t := New()
	t.Install(b)
	return t
}

// BenchmarkResident reports the memory of a table by its size, as growth of the heap
// and as counted by Table.Bytes.
func BenchmarkResident(b *testing.B) {
	for _, divisor := range []int{8, 4, 2, 1} {
		b.Run(fmt.Sprintf("teams=%d/routes=%d", 120_000/divisor, 45_000/divisor), func(b *testing.B) {
			for range b.N {
				var before, after runtime.MemStats
				runtime.GC()
				runtime.ReadMemStats(&before)
				t := filledTable(120_000/divisor, 45_000/divisor)
				runtime.GC()
				runtime.ReadMemStats(&after)
				b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/(1<<20), "heapMiB")
				b.ReportMetric(float64(t.Bytes())/(1<<20), "arenaMiB")
				runtime.KeepAlive(t)
			}
		})
	}
}

// BenchmarkLookup measures the lookups of one request: key, team and route.
func BenchmarkLookup(b *testing.B) {
	for _, divisor := range []int{64, 16, 4, 1} {
		teams, routes := 120_000/divisor, 45_000/divisor
		t := filledTable(teams, routes)
		b.Run(fmt.Sprintf("teams=%d/routes=%d", teams, routes), func(b *testing.B) {
			b.ReportAllocs()
			for i := range b.N {
				key := fmt.Sprintf("key of team-%06d", i%teams)
				if _, ok := t.TeamByKey(key); !ok {
					b.Fatal("key not found")
				}
				route := i % routes
				if _, ok := t.Match(fmt.Sprintf("s%d.example.org", route%520), fmt.Sprintf("/v1/object%d/item", route)); !ok {
					b.Fatal("route not found")
				}
			}
		})
	}
}

// BenchmarkApply measures a change of one team in a table with 120 000 teams.
func BenchmarkApply(b *testing.B) {
	t := filledTable(120_000, 45_000)
	changes := make([][]byte, b.N)
	for i := range changes {
		raw, err := record.Encode(record.Team{ID: ident.Team(fmt.Sprintf("team-%06d", i%120_000)), Rate: 30, Burst: 60, Weight: 1}, 2, nil)
		if err != nil {
			b.Fatal(err)
		}
		changes[i], err = record.EncodeChange(record.Change{
			Revision: ident.Revision(i + 2), Items: []record.Item{{Kind: record.KindTeam, ID: fmt.Sprintf("team-%06d", i%120_000), After: raw}},
		})
		if err != nil {
			b.Fatal(err)
		}
	}
	b.ResetTimer()
	for _, change := range changes {
		if err := t.Apply(change); err != nil {
			b.Fatal(err)
		}
	}
}
