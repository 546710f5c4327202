package daemon

import (
	"sync"

	"chestnutlatch/clock"
	"chestnutlatch/health"
	"chestnutlatch/ident"
	"chestnutlatch/member"
)

// peerStatsTTL is how long target statistics are used after they were added.
const peerStatsTTL = 5 * clock.Second

type receivedStats struct {
	member.TargetStats
	receivedAt clock.Millis
}

// peerStats holds the newest statistics of each target, both those received from
// other guards and those of local targets. It is safe for concurrent use.
type peerStats struct {
	mu        sync.Mutex
	byService map[ident.Service]map[ident.Target]receivedStats
}

func newPeerStats() *peerStats {
	return &peerStats{byService: map[ident.Service]map[ident.Target]receivedStats{}}
}

func (p *peerStats) add(now clock.Millis, list []member.TargetStats) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, t := range list {
		if p.byService[t.Service] == nil {
			p.byService[t.Service] = map[ident.Target]receivedStats{}
		}
		p.byService[t.Service][t.Target] = receivedStats{TargetStats: t, receivedAt: now}
	}
}

// Peers implements guard.PeerStats. It drops expired statistics of the service.
func (p *peerStats) Peers(now clock.Millis, s ident.Service, except ident.Target) health.PeerSummary {
	p.mu.Lock()
	defer p.mu.Unlock()
	var list []health.PeerStats
	for id, t := range p.byService[s] {
		if now-t.receivedAt > peerStatsTTL {
			delete(p.byService[s], id)
			continue
		}
		if id != except {
			list = append(list, health.PeerStats{At: t.receivedAt, Windows: t.Windows})
		}
	}
	return health.Summarise(list)
}
