package choose

import (
	"sort"

	"chestnutlatch/ident"
)

// Keep drops the targets of an instance that are not in its newest record.
func (p *Picker) Keep(from ident.Instance, ids map[ident.Target]bool) {
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
			if t.Instance == from && !ids[id] {
				delete(s.targets, id)
			}
		}
		if len(s.targets) != before {
			s.sort()
		}
		s.mu.Unlock()
	}
}

// Count returns the number of known targets.
func (p *Picker) Count() int {
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

// Forget drops everything about an instance.
func (p *Picker) Forget(id ident.Instance) {
	p.Keep(id, nil)
	p.PathWorks(id)
}

// Kin returns the instances of the next n targets of a service in the order of
// their ids, as a ring, without the target's own instance. Each guard so tells
// a few others of its targets, and hears of as many, at any size.
func (p *Picker) Kin(id ident.Service, t ident.Target, n int) []ident.Instance {
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
	ring := s.eligible(Want{})
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
