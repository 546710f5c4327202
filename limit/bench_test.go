package limit

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"

	"chestnutlatch/clock"
	"chestnutlatch/ident"
	"chestnutlatch/record"
)

// heapOf returns the growth of the live heap while fn runs, in bytes. fn's result
// is kept alive.
func heapOf(fn func() any) float64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	result := fn()
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(result)
	return float64(after.HeapAlloc) - float64(before.HeapAlloc)
}

// BenchmarkTeams reports the memory per team of a slot holder's buckets and of an
// entry's token cache, and the time of one request with its draw and grant.
func BenchmarkTeams(b *testing.B) {
	for _, teams := range []int{1000, 4000, 16_000, 64_000} {
		b.Run(fmt.Sprint("teams=", teams), func(b *testing.B) {
			a := Allowance{Rate: 20, Burst: 40}
			ids := make([]ident.Team, teams)
			for i := range ids {
				ids[i] = ident.Team(fmt.Sprintf("team-%06d", i))
			}
			al, cache := NewAllocator(1), NewTokenCache(1, func(Slot) int { return 0 })
			buckets := heapOf(func() any {
				for _, t := range ids {
					al.Grant(clock.Hour, 0, 0, t, a, 1)
				}
				return al
			})
			cached := heapOf(func() any {
				for _, t := range ids {
					cache.Take(clock.Hour, t, a, nil)
				}
				return cache
			})
			b.ResetTimer()
			for i := range b.N {
				now := clock.Hour + clock.Millis(i)
				t := ids[i%teams]
				if d, ok := cache.Take(now, t, a, nil).(Draw); ok {
					cache.AddGrant(now, t, d.Slot, al.Grant(now, 0, d.Slot, t, a, d.Want))
				}
			}
			b.ReportMetric(buckets/float64(teams), "B/bucket")
			b.ReportMetric(cached/float64(teams), "B/cached-team")
		})
	}
}

// BenchmarkPlace measures the placement of all slots once, with one slot per two
// daemons.
func BenchmarkPlace(b *testing.B) {
	for _, daemons := range []int{263, 525, 1050, 2100} {
		b.Run(fmt.Sprint("daemons=", daemons), func(b *testing.B) {
			regions := map[ident.Region][]ident.Instance{}
			for i := range daemons {
				r := ident.Region(fmt.Sprint("r", i%6))
				regions[r] = append(regions[r], ident.Instance(fmt.Sprintf("instance-%04d", i)))
			}
			for range b.N {
				for slot := range Slot(daemons / 2) {
					Place(slot, regions)
				}
			}
		})
	}
}

// BenchmarkTake measures one decision of the data centre's limiter, by the number
// of other daemons.
func BenchmarkTake(b *testing.B) {
	for _, daemons := range []int{6, 15, 116} {
		b.Run(fmt.Sprint("daemons ", daemons), func(b *testing.B) {
			team := record.Team{ID: "t", Rate: 1_000_000, Burst: 1_000_000}
			s := NewShareLimiter(0, rand.New(rand.NewPCG(1, 1)), ShareConfig{DataCentres: 1, Window: 5 * clock.Second}, limitsOf(team))
			for i := range daemons {
				s.ApplyPeerCounts(0, ident.Instance(fmt.Sprint(i)), 1, nil)
			}
			for i := 0; b.Loop(); i++ {
				s.Take(clock.Millis(i%1000), team)
			}
		})
	}
}
