package choose

import (
	"chestnutlatch/clock"
	"chestnutlatch/ident"
)

const (
	// initialPathBackoff and maxPathBackoff bound how long a path is avoided
	// after a failure, in milliseconds.
	initialPathBackoff = 250 * clock.Millisecond
	maxPathBackoff     = 15 * clock.Second
)

// path is the state of a failed path to one instance.
type path struct {
	// failures counts the failures, without those that were ignored.
	failures   int
	avoidUntil clock.Millis
	// probing means that the path is being probed. It counts as unreachable until
	// it is marked as reachable.
	probing bool
}

// MarkPathFailed marks the path to an instance as unreachable for a backoff time that
// doubles with each failure. Further failures within that time are ignored. The
// health of the targets there does not change.
func (p *Picker) MarkPathFailed(now clock.Millis, id ident.Instance) {
	p.pathMu.Lock()
	defer p.pathMu.Unlock()
	state := p.paths[id]
	if state == nil {
		state = &path{}
		p.paths[id] = state
	}
	if now < state.avoidUntil {
		return
	}
	state.avoidUntil = now + min(initialPathBackoff<<min(state.failures, 8), maxPathBackoff)
	state.failures++
}

// StartPathProbe marks a failed path as being probed, which makes it unreachable until
// it is marked as reachable. It returns false if the path has not failed or is being
// probed already; otherwise the caller must probe it.
func (p *Picker) StartPathProbe(id ident.Instance) bool {
	p.pathMu.Lock()
	defer p.pathMu.Unlock()
	state := p.paths[id]
	if state == nil || state.probing {
		return false
	}
	state.probing = true
	return true
}

// IsPathProbing reports whether a path is being probed.
func (p *Picker) IsPathProbing(id ident.Instance) bool {
	p.pathMu.RLock()
	defer p.pathMu.RUnlock()
	state := p.paths[id]
	return state != nil && state.probing
}

// MarkPathReachable marks the path to an instance as reachable, after the instance has
// responded or because it was removed.
func (p *Picker) MarkPathReachable(id ident.Instance) {
	p.pathMu.RLock()
	_, failed := p.paths[id]
	p.pathMu.RUnlock()
	if !failed {
		return
	}
	p.pathMu.Lock()
	defer p.pathMu.Unlock()
	delete(p.paths, id)
}

// UnreachablePathCount returns the number of instances with an unreachable path.
func (p *Picker) UnreachablePathCount(now clock.Millis) int {
	p.pathMu.RLock()
	defer p.pathMu.RUnlock()
	n := 0
	for _, state := range p.paths {
		if state.isUnreachable(now) {
			n++
		}
	}
	return n
}

func (p *path) isUnreachable(now clock.Millis) bool { return p.probing || now < p.avoidUntil }

// IsPathUnreachable reports whether the path to an instance is marked as unreachable.
func (p *Picker) IsPathUnreachable(now clock.Millis, id ident.Instance) bool {
	p.pathMu.RLock()
	defer p.pathMu.RUnlock()
	state := p.paths[id]
	return state != nil && state.isUnreachable(now)
}
