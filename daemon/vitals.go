package daemon

import (
	"sync"

	"chestnutlatch/clock"
	"chestnutlatch/health"
	"chestnutlatch/ident"
	"chestnutlatch/member"
)

// vitalLife is how long a peer's summary counts, in milliseconds.
const vitalLife = 5 * clock.Second

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
	var list []health.PeerStats
	for id, t := range v.services[s] {
		if now-t.at > vitalLife {
			delete(v.services[s], id)
			continue
		}
		if id != except {
			list = append(list, health.PeerStats{At: t.at, Windows: t.Windows})
		}
	}
	return health.Summarise(list)
}
