package limit

import (
	"sort"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"chestnutlatch/clock"
	"chestnutlatch/ident"
)

// Claim is a slot's record in the store.
type Claim struct {
	Instance    ident.Instance    `json:"instance"`
	Incarnation ident.Incarnation `json:"incarnation"`
	// Term grows with every change of holder.
	Term uint64 `json:"term"`
	// Beat grows with every renewal by one holder.
	Beat uint64 `json:"beat"`
	// Released tells that the holder gave the slot up.
	Released bool `json:"released"`
}

// Seen is a slot's record as last read, with the local time at which this
// content was first seen.
type Seen struct {
	Claim Claim
	Found bool
	Since clock.Millis
}

// HolderConfig holds a daemon's identity and the lease of slots.
type HolderConfig struct {
	Instance    ident.Instance
	Incarnation ident.Incarnation
	// Lease is how long a holder may grant after it last wrote its claim, in
	// milliseconds. It is longer than any outage of the store to be survived.
	Lease clock.Millis
	// ClockError is the largest drift of two clocks over one lease.
	ClockError clock.Millis
	// PauseLimit is the longest gap between two ticks after which the holder
	// grants nothing before it has read its claim again.
	PauseLimit clock.Millis
}

type held struct {
	term uint64
	// since is when this daemon's claim was accepted.
	since clock.Millis
	// until is when the lease ends, counted from before the last write.
	until clock.Millis
	// confirmed is false from a pause until the claim is read or written.
	confirmed bool
}

// Holder decides which slots this daemon holds. It does no I/O and is not
// safe for concurrent use.
type Holder struct {
	cfg  HolderConfig
	held map[Slot]*held
	seen map[Slot]Seen
	tick clock.Millis
}

// NewHolder returns a holder of no slots.
func NewHolder(cfg HolderConfig, now clock.Millis) *Holder {
	return &Holder{cfg: cfg, held: map[Slot]*held{}, seen: map[Slot]Seen{}, tick: now}
}

// Tick notices pauses. It is called at least every second while the process
// runs.
func (h *Holder) Tick(now clock.Millis) {
	if now-h.tick > h.cfg.PauseLimit {
		for _, s := range h.held {
			s.confirmed = false
		}
	}
	h.tick = now
}

// Authority returns since when this daemon holds a slot, if it may grant now.
// A gap since the last tick counts as a pause, so that a daemon that wakes up
// grants nothing before Tick has run.
func (h *Holder) Authority(now clock.Millis, slot Slot) (since clock.Millis, ok bool) {
	s := h.held[slot]
	if s == nil || !s.confirmed || now >= s.until || now-h.tick > h.cfg.PauseLimit {
		return 0, false
	}
	return s.since, true
}

// Held returns the slots with their terms, in order.
func (h *Holder) Held() ([]Slot, []uint64) {
	slots := make([]Slot, 0, len(h.held))
	for slot := range h.held {
		slots = append(slots, slot)
	}
	sort.Slice(slots, func(i, j int) bool { return slots[i] < slots[j] })
	terms := make([]uint64, 0, len(slots))
	for _, slot := range slots {
		terms = append(terms, h.held[slot].term)
	}
	return slots, terms
}

// Observe takes note of a slot's record as read at the given time, and reports
// whether this daemon has lost the slot by it. asked is the time before the
// read was sent.
func (h *Holder) Observe(asked clock.Millis, slot Slot, c Claim, found bool) (lost bool) {
	old, known := h.seen[slot]
	if !known || old.Claim != c || old.Found != found {
		h.seen[slot] = Seen{Claim: c, Found: found, Since: asked}
	}
	s := h.held[slot]
	if s == nil {
		return false
	}
	if !found || !h.isMine(c) || c.Released {
		delete(h.held, slot)
		return true
	}
	s.confirmed = true
	return false
}

func (h *Holder) isMine(c Claim) bool {
	return c.Instance == h.cfg.Instance && c.Incarnation == h.cfg.Incarnation
}

// Next returns the claim to write over a slot's record, if this daemon should
// write one now. preferred tells that the placement names this daemon.
func (h *Holder) Next(now clock.Millis, slot Slot, preferred bool) (Claim, bool) {
	seen, known := h.seen[slot]
	if !known {
		return Claim{}, false
	}
	mine := Claim{Instance: h.cfg.Instance, Incarnation: h.cfg.Incarnation, Term: seen.Claim.Term}
	if seen.Found && h.isMine(seen.Claim) && !seen.Claim.Released {
		mine.Beat = seen.Claim.Beat + 1
		s := h.held[slot]
		// A claim of mine that is not held was written with its answer lost.
		return mine, s == nil || !s.confirmed || s.until-now < h.cfg.Lease*3/4
	}
	if !h.isFree(now, seen) || !preferred && !h.IsFormerSelf(seen.Claim) {
		return Claim{}, false
	}
	mine.Term++
	return mine, true
}

// isFree reports whether the recorded holder can no longer grant.
func (h *Holder) isFree(now clock.Millis, s Seen) bool {
	if !s.Found || s.Claim.Released || h.IsFormerSelf(s.Claim) {
		return true
	}
	return now-s.Since > h.cfg.Lease+h.cfg.ClockError
}

// IsFormerSelf reports whether an earlier life of this instance holds the
// claim. The platform runs one process in an instance's slot, and a paused
// one reads its claim before it grants again.
func (h *Holder) IsFormerSelf(c Claim) bool {
	return c.Instance == h.cfg.Instance && c.Incarnation < h.cfg.Incarnation
}

// Wrote takes note of a claim that the store accepted; asked is the time
// before the write was sent.
func (h *Holder) Wrote(asked clock.Millis, slot Slot, c Claim, now clock.Millis) {
	h.seen[slot] = Seen{Claim: c, Found: true, Since: asked}
	if c.Released {
		delete(h.held, slot)
		return
	}
	s := h.held[slot]
	if s == nil || s.term != c.Term {
		s = &held{term: c.Term, since: now}
		h.held[slot] = s
	}
	s.until = asked + h.cfg.Lease
	s.confirmed = true
}

// Release gives a slot up; the daemon stops granting at once. c is the slot's
// record as read at the time asked. The returned claim is to be written over
// it, unless another daemon has taken the slot meanwhile.
func (h *Holder) Release(asked clock.Millis, slot Slot, c Claim, found bool) (Claim, bool) {
	h.Observe(asked, slot, c, found)
	if h.held[slot] == nil {
		return Claim{}, false
	}
	delete(h.held, slot)
	c.Released = true
	return c, true
}

// Place returns the instance that should hold a vacant slot: slots that differ
// modulo maxParts prefer different regions, and within a region the highest
// hash wins. regions maps each region to its live instances.
func Place(slot Slot, regions map[ident.Region][]ident.Instance) ident.Instance {
	names := make([]ident.Region, 0, len(regions))
	for r := range regions {
		names = append(names, r)
	}
	if len(names) == 0 {
		return ""
	}
	sort.Slice(names, func(i, j int) bool { return names[i] < names[j] })
	region := names[int(slot)%maxParts%len(names)]
	var best ident.Instance
	var top uint64
	for _, inst := range regions[region] {
		h := xxhash.Sum64String(string(inst) + "/" + strconv.FormatUint(uint64(slot), 10))
		if best == "" || h > top || h == top && inst < best {
			best, top = inst, h
		}
	}
	return best
}
