package choose

import (
	"chestnutlatch/clock"
	"chestnutlatch/ident"
)

const (
	// firstPenalty and maxPenalty bound the time a failed path is avoided.
	firstPenalty = 250 * clock.Millisecond
	maxPenalty   = 15 * clock.Second
)

// path is what an entry knows of the way to one instance.
type path struct {
	failures int
	until    clock.Millis
	// held tells that a prober looks after the path: it is bad until it works.
	held bool
}

// PathFailed notes that an instance could not be reached. It says nothing
// about the targets there.
func (p *Picker) PathFailed(now clock.Millis, id ident.Instance) {
	p.pathMu.Lock()
	defer p.pathMu.Unlock()
	w := p.paths[id]
	if w == nil {
		w = &path{}
		p.paths[id] = w
	}
	if now < w.until {
		return
	}
	w.until = now + min(firstPenalty<<min(w.failures, 8), maxPenalty)
	w.failures++
}

// HoldPath keeps a path that failed bad until PathWorks. It reports whether the
// caller is the one to probe it.
func (p *Picker) HoldPath(id ident.Instance) bool {
	p.pathMu.Lock()
	defer p.pathMu.Unlock()
	w := p.paths[id]
	if w == nil || w.held {
		return false
	}
	w.held = true
	return true
}

// IsPathHeld reports whether a path is still to be probed.
func (p *Picker) IsPathHeld(id ident.Instance) bool {
	p.pathMu.RLock()
	defer p.pathMu.RUnlock()
	w := p.paths[id]
	return w != nil && w.held
}

// PathWorks notes that an instance answered.
func (p *Picker) PathWorks(id ident.Instance) {
	p.pathMu.RLock()
	_, bad := p.paths[id]
	p.pathMu.RUnlock()
	if !bad {
		return
	}
	p.pathMu.Lock()
	defer p.pathMu.Unlock()
	delete(p.paths, id)
}

// BadPaths returns the number of instances that are avoided.
func (p *Picker) BadPaths(now clock.Millis) int {
	p.pathMu.RLock()
	defer p.pathMu.RUnlock()
	n := 0
	for _, w := range p.paths {
		if w.isBad(now) {
			n++
		}
	}
	return n
}

func (w *path) isBad(now clock.Millis) bool { return w.held || now < w.until }

// IsPathBad reports whether an instance is avoided.
func (p *Picker) IsPathBad(now clock.Millis, id ident.Instance) bool {
	p.pathMu.RLock()
	defer p.pathMu.RUnlock()
	w := p.paths[id]
	return w != nil && w.isBad(now)
}
