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

// BenchmarkFleet reports the bytes and datagrams that one member sends and the time
// that it takes, by the size of the fleet. A data centre has membersPerDC members
// and each member eleven targets.
func BenchmarkFleet(b *testing.B) {
	const membersPerDC = 117
	for _, size := range []int{263, 525, 1050, 2100} {
		b.Run(fmt.Sprint("members=", size), func(b *testing.B) {
			v := benchView(size, membersPerDC)
			stats := benchTargetStats()
			now := clock.Millis(0)
			bytes, datagrams := 0, 0
			b.ResetTimer()
			// One iteration is one second: twenty ticks, three pings from
			// peers, the statistics of eleven targets, and one change of
			// another member. One change a second is more than the two-year
			// rate of 0.15.
			for i := range b.N {
				for range 20 {
					now += 50
					for _, e := range v.Tick(now) {
						if s, ok := e.(Send); ok {
							out, _ := Encode(s.Message)
							bytes += len(out) + macBytes
							datagrams++
							ackPing(v, now, s.Message)
						}
					}
				}
				for k := range stats {
					// Each target's statistics go to three guards of its service.
					for neighbor := range 3 {
						for _, e := range v.SendTargetStats(instanceName(1+(3*k+neighbor)%(size-1)), stats[k:k+1]) {
							out, _ := Encode(e.(Send).Message)
							bytes += len(out) + macBytes
							datagrams++
						}
					}
				}
				other, _ := v.Get(instanceName(1 + i%(size-1)))
				next := *other
				next.Version++
				ping := Message{Kind: MessagePing, Sender: instanceName(1), Incarnation: 1, Members: []*Member{&next}}
				for range 3 {
					for _, e := range v.Receive(now, memberAddress(1), ping) {
						if s, ok := e.(Send); ok {
							out, _ := Encode(s.Message)
							bytes += len(out) + macBytes
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

// ackPing delivers the ack of a ping to the view that sent it.
func ackPing(v *View, now clock.Millis, m Message) {
	if p, ok := v.probes[m.Sequence]; ok && m.Kind == MessagePing {
		v.Receive(now, "", Message{Kind: MessageAck, Sequence: m.Sequence, Sender: p.to, Incarnation: 1})
	}
}

// benchView returns a view of a fleet of the given size.
func benchView(size, membersPerDC int) *View {
	v := New(DefaultConfig(), benchMember(0, membersPerDC), rand.New(rand.NewPCG(1, 1)), 0)
	var peers []*Member
	for i := 1; i < size; i++ {
		m := benchMember(i, membersPerDC)
		peers = append(peers, &m)
	}
	v.Join(0, peers)
	return v
}

func benchMember(i, membersPerDC int) Member {
	m := Member{
		Instance: instanceName(i), Incarnation: 1, Version: 1, DataCentre: ident.DataCentre(fmt.Sprint("dc", i/membersPerDC)),
		Region: ident.Region(fmt.Sprint("r", i/membersPerDC/3)), InnerAddress: "10.100.100.100:7001", MemberAddress: "10.100.100.100:7002",
	}
	for k := range 11 {
		m.Targets = append(m.Targets, Target{
			ID: ident.Target(fmt.Sprintf("target-%04d-%02d", i, k)), Service: ident.Service(fmt.Sprintf("service-%03d", (i*11+k)%520)), Slots: 5,
		})
	}
	return m
}

func benchTargetStats() []TargetStats {
	var out []TargetStats
	for k := range 11 {
		t := TargetStats{Service: ident.Service(fmt.Sprintf("service-%03d", k)), Target: ident.Target(fmt.Sprintf("target-0000-%02d", k))}
		for w := range t.Windows {
			t.Windows[w] = health.Stats{Count: 600, Failures: 3, Latency: 25_000}
		}
		out = append(out, t)
	}
	return out
}

// BenchmarkMembers reports the memory that a view takes per member, by the number
// of members.
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
