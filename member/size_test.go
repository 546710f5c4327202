package member

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"

	"chestnutlatch/clock"
	"chestnutlatch/health"
	"chestnutlatch/ident"
)

// BenchmarkFleet reports what one member of a fleet sends and spends, by the
// size of the fleet. Its data centre has perDCBench members and each member
// eleven targets.
func BenchmarkFleet(b *testing.B) {
	const perDCBench = 117
	for _, size := range []int{263, 525, 1050, 2100} {
		b.Run(fmt.Sprint("members=", size), func(b *testing.B) {
			v := benchView(size, perDCBench)
			vitals := benchVitals()
			now := clock.Millis(0)
			bytes, datagrams := 0, 0
			b.ResetTimer()
			// One iteration is one second: twenty ticks, three pings from
			// peers, the vitals of eleven targets, and one change of another
			// member a second, above the two-year rate of 0.15.
			for i := range b.N {
				for range 20 {
					now += 50
					for _, e := range v.Tick(now) {
						if s, ok := e.(Send); ok {
							out, _ := Encode(s.Message)
							bytes += len(out) + sealBytes
							datagrams++
							answer(v, now, s.Message)
						}
					}
				}
				for k := range vitals {
					// Three guards of the same service hear of each target.
					for kin := range 3 {
						for _, e := range v.Vitals(name(1+(3*k+kin)%(size-1)), vitals[k:k+1]) {
							out, _ := Encode(e.(Send).Message)
							bytes += len(out) + sealBytes
							datagrams++
						}
					}
				}
				other, _ := v.Get(name(1 + i%(size-1)))
				next := *other
				next.Version++
				ping := Message{Kind: MessagePing, Sender: name(1), Incarnation: 1, Members: []*Member{&next}}
				for range 3 {
					for _, e := range v.Receive(now, address(1), ping) {
						if s, ok := e.(Send); ok {
							out, _ := Encode(s.Message)
							bytes += len(out) + sealBytes
							datagrams++
						}
					}
				}
			}
			b.ReportMetric(float64(bytes)/float64(b.N), "B/s")
			b.ReportMetric(float64(datagrams)/float64(b.N), "datagrams/s")
		})
	}
}

// answer acks a probe at once.
func answer(v *View, now clock.Millis, m Message) {
	if p, ok := v.probes[m.Sequence]; ok && m.Kind == MessagePing {
		v.Receive(now, "", Message{Kind: MessageAck, Sequence: m.Sequence, Sender: p.to, Incarnation: 1})
	}
}

func benchView(size, perDC int) *View {
	v := New(DefaultConfig(), benchMember(0, perDC), rand.New(rand.NewPCG(1, 1)), 0)
	var all []*Member
	for i := 1; i < size; i++ {
		m := benchMember(i, perDC)
		all = append(all, &m)
	}
	v.Join(0, all)
	return v
}

func benchMember(i, perDC int) Member {
	m := Member{
		Instance: name(i), Incarnation: 1, Version: 1, DataCentre: ident.DataCentre(fmt.Sprint("dc", i/perDC)),
		Region: ident.Region(fmt.Sprint("r", i/perDC/3)), InnerAddress: "10.100.100.100:7001", MemberAddress: "10.100.100.100:7002",
	}
	for k := range 11 {
		m.Targets = append(m.Targets, Target{
			ID: ident.Target(fmt.Sprintf("target-%04d-%02d", i, k)), Service: ident.Service(fmt.Sprintf("service-%03d", (i*11+k)%520)), Slots: 5,
		})
	}
	return m
}

func benchVitals() []Vital {
	var out []Vital
	for k := range 11 {
		t := Vital{Service: ident.Service(fmt.Sprintf("service-%03d", k)), Target: ident.Target(fmt.Sprintf("target-0000-%02d", k))}
		for w := range t.Windows {
			t.Windows[w] = health.Stats{Count: 600, Failures: 3, Latency: 25_000}
		}
		out = append(out, t)
	}
	return out
}

// BenchmarkMembers reports the memory of one member's record by their number.
func BenchmarkMembers(b *testing.B) {
	for _, size := range []int{263, 525, 1050, 2100} {
		b.Run(fmt.Sprint("members=", size), func(b *testing.B) {
			for range b.N {
				var before, after runtime.MemStats
				runtime.GC()
				runtime.ReadMemStats(&before)
				v := benchView(size, 117)
				runtime.GC()
				runtime.ReadMemStats(&after)
				runtime.KeepAlive(v)
				b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(size), "B/member")
			}
		})
	}
}
