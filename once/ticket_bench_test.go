package once

import (
	"fmt"
	"runtime"
	"testing"

	"chestnutlatch/clock"
)

// BenchmarkTickets reports the memory of a used ticket and the time from issue
// to answer, by the number of tickets remembered.
func BenchmarkTickets(b *testing.B) {
	for _, size := range []int{1000, 4000, 16_000, 64_000} {
		b.Run(fmt.Sprint("used=", size), func(b *testing.B) {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			h := New(Config{Instance: "i", Incarnation: 1, Secret: []byte("s"), TTL: clock.Hour, MaxOpen: 1 << 30, MaxKeptBytes: 0})
			for range size {
				cycle(b, h)
			}
			runtime.GC()
			runtime.ReadMemStats(&after)
			b.ResetTimer()
			for range b.N {
				cycle(b, h)
			}
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(size), "B/ticket")
		})
	}
}

func cycle(b *testing.B, h *Home) {
	tickets, r := h.Issue(0, "team", "svc", 1)
	if r != nil {
		b.Fatal(r)
	}
	t, err := Parse(tickets[0])
	if err != nil {
		b.Fatal(err)
	}
	run, ok := h.Begin(0, t, "team", "svc").(Run)
	if !ok {
		b.Fatal("not run")
	}
	h.Answered(run.Serial, &Answer{Status: 200, Body: []byte("x")})
}
