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

// heapOf returns the live heap that fn's result holds, in bytes.
func heapOf(fn func() any) float64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	keep := fn()
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(keep)
	return float64(after.HeapAlloc) - float64(before.HeapAlloc)
}

// BenchmarkTeams reports the memory of a slot holder's buckets and of an
// entry's wallets for each team, and the time of one draw with its grant.
func BenchmarkTeams(b *testing.B) {
	for _, teams := range []int{1000, 4000, 16_000, 64_000} {
		b.Run(fmt.Sprint("teams=", teams), func(b *testing.B) {
			a := Allowance{Rate: 20, Burst: 40}
			names := make([]ident.Team, teams)
			for i := range names {
				names[i] = ident.Team(fmt.Sprintf("team-%06d", i))
			}
			al, p := NewAllocator(1), NewPurse(1, func(Slot) int { return 0 })
			buckets := heapOf(func() any {
				for _, t := range names {
					al.Grant(clock.Hour, 0, 0, t, a, 1)
				}
				return al
			})
			wallets := heapOf(func() any {
				for _, t := range names {
					p.Take(clock.Hour, t, a, nil)
				}
				return p
			})
			b.ResetTimer()
			for i := range b.N {
				now := clock.Hour + clock.Millis(i)
				t := names[i%teams]
				if d, ok := p.Take(now, t, a, nil).(Draw); ok {
					p.Granted(now, t, d.Slot, al.Grant(now, 0, d.Slot, t, a, d.Want))
				}
			}
			b.ReportMetric(buckets/float64(teams), "B/bucket")
			b.ReportMetric(wallets/float64(teams), "B/wallet")
		})
	}
}

// BenchmarkPlace measures one working-out of the placement of all slots.
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

// BenchmarkTake spends a team's rate beside daemons of one data centre.
func BenchmarkTake(b *testing.B) {
	for _, daemons := range []int{6, 15, 116} {
		b.Run(fmt.Sprint("daemons ", daemons), func(b *testing.B) {
			team := record.Team{ID: "t", Rate: 1_000_000, Burst: 1_000_000}
			s := NewShares(0, rand.New(rand.NewPCG(1, 1)), ShareConfig{Parts: 1, Window: 5 * clock.Second}, only(team))
			for i := range daemons {
				s.Heard(0, ident.Instance(fmt.Sprint(i)), 1, nil)
			}
			for i := 0; b.Loop(); i++ {
				s.Take(clock.Millis(i%1000), team)
			}
		})
	}
}
