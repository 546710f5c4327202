package daemon

import (
	"sort"
	"sync"

	"chestnutlatch/clock"
	"chestnutlatch/health"
	"chestnutlatch/ident"
	"chestnutlatch/member"
)

const (
	// vitalLife is how long a peer's summary counts, in milliseconds.
	vitalLife = 15 * clock.Second
	// minVitalSamples is the least number of samples of a summary that counts.
	minVitalSamples = 5
)

type vital struct {
	member.Vital
	at clock.Millis
}

// vitals keeps the newest summary of each target that peers told of.
type vitals struct {
	mu       sync.Mutex
	services map[ident.Service]map[ident.Target]vital
}

func newVitals() *vitals {
	return &vitals{services: map[ident.Service]map[ident.Target]vital{}}
}

func (v *vitals) take(now clock.Millis, list []member.Vital) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, t := range list {
		if v.services[t.Service] == nil {
			v.services[t.Service] = map[ident.Target]vital{}
		}
		v.services[t.Service][t.Target] = vital{Vital: t, at: now}
	}
}

// Peers implements guard.PeerStats.
func (v *vitals) Peers(now clock.Millis, s ident.Service, except ident.Target) health.Peers {
	v.mu.Lock()
	defer v.mu.Unlock()
	var latencies []ident.Micros
	var successes []uint32
	for id, t := range v.services[s] {
		if now-t.at > vitalLife {
			delete(v.services[s], id)
			continue
		}
		if id == except || t.Samples < minVitalSamples {
			continue
		}
		latencies = append(latencies, t.Latency)
		successes = append(successes, t.SuccessPermill)
	}
	if len(latencies) == 0 {
		return health.Peers{}
	}
	sort.Slice(latencies, func(i, j int) bool { return latencies[i] < latencies[j] })
	sort.Slice(successes, func(i, j int) bool { return successes[i] < successes[j] })
	mid := len(latencies) / 2
	return health.Peers{Count: len(latencies), Latency: latencies[mid], SuccessPermill: successes[mid]}
}
