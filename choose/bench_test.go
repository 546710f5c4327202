package choose

import (
	"fmt"
	"runtime"
	"testing"

	"chestnutlatch/clock"
	"chestnutlatch/ident"
)

func newBenchPicker(services, perService int) *Picker {
	p := New("dc0", "r0", 1)
	for s := range services {
		for i := range perService {
			p.Put(ident.Service(fmt.Sprintf("service-%03d", s)), Candidate{
				Target:   ident.Target(fmt.Sprintf("target-%03d-%03d", s, i)),
				Instance: ident.Instance(fmt.Sprintf("instance-%04d", (s*perService+i)/11)), Address: "10.100.100.100:7001",
				DataCentre: ident.DataCentre(fmt.Sprint("dc", i%18)), Region: ident.Region(fmt.Sprint("r", i%18/3)), Slots: 5, Up: true,
			})
		}
	}
	return p
}

// BenchmarkPick measures one choice for several numbers of targets per service.
func BenchmarkPick(b *testing.B) {
	for _, size := range []int{12, 24, 46, 92} {
		b.Run(fmt.Sprint("targets=", size), func(b *testing.B) {
			p := newBenchPicker(1, size)
			req := Request{Service: "service-000", FloorPercent: 50}
			b.ReportAllocs()
			for i := range b.N {
				c, ok := p.Pick(clock.Millis(i), req)
				if !ok {
					b.Fatal("nothing picked")
				}
				p.Done(req.Service, c.Target)
			}
		})
	}
}

// BenchmarkCandidates reports the memory per target for several numbers of targets.
func BenchmarkCandidates(b *testing.B) {
	for _, services := range []int{65, 130, 260, 520} {
		const perService = 46
		b.Run(fmt.Sprint("targets=", services*perService), func(b *testing.B) {
			for range b.N {
				var before, after runtime.MemStats
				runtime.GC()
				runtime.ReadMemStats(&before)
				p := newBenchPicker(services, perService)
				runtime.GC()
				runtime.ReadMemStats(&after)
				runtime.KeepAlive(p)
				b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(services*perService), "B/target")
			}
		})
	}
}
