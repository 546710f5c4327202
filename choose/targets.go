package choose

import (
	"sort"

	"chestnutlatch/ident"
)

// RetainTargets removes the targets of an instance that are not in ids, which holds
// the targets of its newest record. A nil map removes all of them.
func (p *Picker) RetainTargets(instance ident.Instance, ids map[ident.Target]bool) {
	p.mu.RLock()
	services := make([]*service, 0, len(p.services))
	for _, s := range p.services {
		services = append(services, s)
	}
	p.mu.RUnlock()
	for _, s := range services {
		s.mu.Lock()
		before := len(s.targets)
		for id, t := range s.targets {
			if t.Instance == instance && !ids[id] {
				delete(s.targets, id)
			}
		}
		if len(s.targets) != before {
			s.rebuildSorted()
		}
		s.mu.Unlock()
	}
}

// TargetCount returns the number of targets of all services.
func (p *Picker) TargetCount() int {
	p.mu.RLock()
	defer p.mu.RUnlock()
	n := 0
	for _, s := range p.services {
		s.mu.Lock()
		n += len(s.targets)
		s.mu.Unlock()
	}
	return n
}

// RemoveInstance removes all targets of an instance and the state of its path.
func (p *Picker) RemoveInstance(id ident.Instance) {
	p.RetainTargets(id, nil)
	p.MarkPathReachable(id)
}

// RingNeighbors returns the instances of the next n eligible targets in a ring of the
// service's targets, ordered by id. It leaves out the target's own instance, lists
// another instance once for each of its targets, and returns nil for an unknown
// target. n must be positive. Each guard sends its statistics to these instances, so
// it sends to and receives from only a few others at any fleet size.
func (p *Picker) RingNeighbors(id ident.Service, t ident.Target, n int) []ident.Instance {
	s := p.service(id, false)
	if s == nil {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	own := s.targets[t]
	if own == nil {
		return nil
	}
	ring := s.eligible(Request{})
	start := sort.Search(len(ring), func(i int) bool { return ring[i].Target > t })
	var out []ident.Instance
	for i := range ring {
		next := ring[(start+i)%len(ring)].Instance
		if next != own.Instance {
			out = append(out, next)
		}
		if len(out) == n {
			break
		}
	}
	return out
}
