package once

import (
	"fmt"
	"runtime"
	"testing"

	"chestnutlatch/clock"
)

// BenchmarkTickets reports the heap bytes per used ticket and the time from the
// issue of a ticket to the record of its answer, by the number of used tickets.
func BenchmarkTickets(b *testing.B) {
	for _, size := range []int{1000, 4000, 16_000, 64_000} {
		b.Run(fmt.Sprint("used=", size), func(b *testing.B) {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			home := NewTicketTable(TicketConfig{Instance: "i", Incarnation: 1, Secret: []byte("s"), TTL: clock.Hour, MaxTickets: 1 << 30, MaxCachedBytes: 0})
			for range size {
				runOneTicket(b, home)
			}
			runtime.GC()
			runtime.ReadMemStats(&after)
			b.ResetTimer()
			for range b.N {
				runOneTicket(b, home)
			}
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(size), "B/ticket")
		})
	}
}

// runOneTicket issues a ticket, uses it and records the answer.
func runOneTicket(b *testing.B, home *TicketTable) {
	tickets, refusal := home.Issue(0, "team", "svc", 1)
	if refusal != nil {
		b.Fatal(refusal)
	}
	ticket, err := Parse(tickets[0])
	if err != nil {
		b.Fatal(err)
	}
	run, ok := home.Begin(0, ticket, "team", "svc").(Run)
	if !ok {
		b.Fatal("Begin did not return Run for a new ticket")
	}
	home.RecordAnswer(run.Serial, &Answer{Status: 200, Body: []byte("x")})
}
