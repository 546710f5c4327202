package limit

import (
	"sort"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"chestnutlatch/clock"
	"chestnutlatch/ident"
)

// Claim is a slot's record in the store: the daemon that holds the slot.
type Claim struct {
	Instance    ident.Instance    `json:"instance"`
	Incarnation ident.Incarnation `json:"incarnation"`
	// Term grows by one with every new claim. Renewals and the release keep it.
	Term uint64 `json:"term"`
	// Heartbeat grows by one with every renewal and is 0 in a new claim.
	Heartbeat uint64 `json:"beat"`
	// Released reports whether the holder has released the slot.
	Released bool `json:"released"`
}

// ObservedClaim is a slot's record as last read or written by this daemon.
type ObservedClaim struct {
	Claim Claim
	// Found is false if the store has no record of the slot.
	Found bool
	// FirstSeen is the local time at which the first read or write with this
	// content was sent.
	FirstSeen clock.Millis
}

// HolderConfig holds a daemon's identity and the timing of slot leases. All
// times are in milliseconds.
type HolderConfig struct {
	Instance    ident.Instance
	Incarnation ident.Incarnation
	// Lease is how long a holder may grant tokens after it last wrote its claim.
	// It must be longer than any store outage that the limits should survive.
	Lease clock.Millis
	// ClockError is the largest drift between two clocks over one lease.
	ClockError clock.Millis
	// PauseLimit is the longest accepted gap between two ticks. After a longer
	// one the holder grants nothing until it has read or written its claim again.
	PauseLimit clock.Millis
}

// slotLease is this daemon's lease of one slot.
type slotLease struct {
	term uint64
	// acquired is when the reply arrived that the store accepted the claim.
	acquired clock.Millis
	// expires is the end of the lease, which starts when the last write is sent.
	expires clock.Millis
	// confirmed is false from a pause until the claim has been read or written
	// again.
	confirmed bool
}

// Holder decides which slots this daemon claims, renews and may grant tokens
// from. The caller does all reads and writes of the store and reports them to
// it. It is not safe for concurrent use.
type Holder struct {
	cfg      HolderConfig
	leases   map[Slot]*slotLease
	observed map[Slot]ObservedClaim
	lastTick clock.Millis
}

// NewHolder returns a holder without slots.
func NewHolder(cfg HolderConfig, now clock.Millis) *Holder {
	return &Holder{cfg: cfg, leases: map[Slot]*slotLease{}, observed: map[Slot]ObservedClaim{}, lastTick: now}
}

// Tick detects pauses of the process. It must be called at least every second
// while the process runs.
func (h *Holder) Tick(now clock.Millis) {
	if now-h.lastTick > h.cfg.PauseLimit {
		for _, l := range h.leases {
			l.confirmed = false
		}
	}
	h.lastTick = now
}

// GrantingSince reports whether this daemon may grant tokens from a slot now,
// and since when it has held the slot. A long gap since the last tick counts as
// a pause: a process that resumes grants nothing before Tick has run.
func (h *Holder) GrantingSince(now clock.Millis, slot Slot) (since clock.Millis, ok bool) {
	l := h.leases[slot]
	if l == nil || !l.confirmed || now >= l.expires || now-h.lastTick > h.cfg.PauseLimit {
		return 0, false
	}
	return l.acquired, true
}

// Held returns the slots with a lease of this daemon, in ascending order, and
// their terms. Leases that have expired or are not confirmed are included.
func (h *Holder) Held() ([]Slot, []uint64) {
	slots := make([]Slot, 0, len(h.leases))
	for slot := range h.leases {
		slots = append(slots, slot)
	}
	sort.Slice(slots, func(i, j int) bool { return slots[i] < slots[j] })
	terms := make([]uint64, 0, len(slots))
	for _, slot := range slots {
		terms = append(terms, h.leases[slot].term)
	}
	return slots, terms
}

// Observe records a slot's claim as read from the store; found is false if the
// store has none, and sentAt is when the read was sent. It reports whether this
// daemon had a lease of the slot and has lost it.
func (h *Holder) Observe(sentAt clock.Millis, slot Slot, c Claim, found bool) (lost bool) {
	old, known := h.observed[slot]
	if !known || old.Claim != c || old.Found != found {
		h.observed[slot] = ObservedClaim{Claim: c, Found: found, FirstSeen: sentAt}
	}
	l := h.leases[slot]
	if l == nil {
		return false
	}
	if !found || !h.isOwnClaim(c) || c.Released {
		delete(h.leases, slot)
		return true
	}
	l.confirmed = true
	return false
}

// isOwnClaim reports whether this incarnation of this instance wrote the claim.
func (h *Holder) isOwnClaim(c Claim) bool {
	return c.Instance == h.cfg.Instance && c.Incarnation == h.cfg.Incarnation
}

// NextClaim returns the claim that this daemon should now write over a slot's
// record, and whether there is one: a renewal, or a claim on a vacant slot. A
// renewal is due when a quarter of the lease has passed, or if the slot's claim
// is this daemon's own but it has no confirmed lease. preferred says that Place
// names this daemon for the slot; without it, only a slot of an earlier
// incarnation of this instance is claimed. A slot that was never observed is not
// claimed.
func (h *Holder) NextClaim(now clock.Millis, slot Slot, preferred bool) (Claim, bool) {
	observed, known := h.observed[slot]
	if !known {
		return Claim{}, false
	}
	claim := Claim{Instance: h.cfg.Instance, Incarnation: h.cfg.Incarnation, Term: observed.Claim.Term}
	if observed.Found && h.isOwnClaim(observed.Claim) && !observed.Claim.Released {
		claim.Heartbeat = observed.Claim.Heartbeat + 1
		l := h.leases[slot]
		// An own claim without a lease comes from a write whose reply was lost.
		return claim, l == nil || !l.confirmed || l.expires-now < h.cfg.Lease*3/4
	}
	if !h.isVacant(now, observed) || !preferred && !h.IsEarlierIncarnation(observed.Claim) {
		return Claim{}, false
	}
	claim.Term++
	return claim, true
}

// isVacant reports whether the recorded holder can no longer grant tokens.
func (h *Holder) isVacant(now clock.Millis, o ObservedClaim) bool {
	if !o.Found || o.Claim.Released || h.IsEarlierIncarnation(o.Claim) {
		return true
	}
	return now-o.FirstSeen > h.cfg.Lease+h.cfg.ClockError
}

// IsEarlierIncarnation reports whether an earlier incarnation of this instance
// wrote the claim. Its slot can be claimed at once: the platform runs one process
// per instance, and a process that was paused reads its claim before it grants
// again.
func (h *Holder) IsEarlierIncarnation(c Claim) bool {
	return c.Instance == h.cfg.Instance && c.Incarnation < h.cfg.Incarnation
}

// RecordWrite records a claim that the store accepted. The lease starts at
// sentAt, when the write was sent; now is when its reply arrived.
func (h *Holder) RecordWrite(sentAt clock.Millis, slot Slot, c Claim, now clock.Millis) {
	h.observed[slot] = ObservedClaim{Claim: c, Found: true, FirstSeen: sentAt}
	if c.Released {
		delete(h.leases, slot)
		return
	}
	l := h.leases[slot]
	if l == nil || l.term != c.Term {
		l = &slotLease{term: c.Term, acquired: now}
		h.leases[slot] = l
	}
	l.expires = sentAt + h.cfg.Lease
	l.confirmed = true
}

// Release ends this daemon's lease of a slot; the daemon stops granting at
// once. c and found are the result of a read of the slot's claim that was sent
// at sentAt. The caller must write the returned claim over c, unless another
// daemon has claimed the slot in the meantime. The result is false if this
// daemon does not hold the slot, or the read shows that it has lost it.
func (h *Holder) Release(sentAt clock.Millis, slot Slot, c Claim, found bool) (Claim, bool) {
	h.Observe(sentAt, slot, c, found)
	if h.leases[slot] == nil {
		return Claim{}, false
	}
	delete(h.leases, slot)
	c.Released = true
	return c, true
}

// Place returns the instance that should hold a slot, or "" if there is none.
// regions maps each region to its live instances. Successive slots, and so those of one
// team, go to successive regions; within a region the instance with the highest hash of
// instance and slot wins.
func Place(slot Slot, regions map[ident.Region][]ident.Instance) ident.Instance {
	names := make([]ident.Region, 0, len(regions))
	for r := range regions {
		names = append(names, r)
	}
	if len(names) == 0 {
		return ""
	}
	sort.Slice(names, func(i, j int) bool { return names[i] < names[j] })
	region := names[int(slot)%len(names)]
	var best ident.Instance
	var highest uint64
	for _, inst := range regions[region] {
		h := xxhash.Sum64String(string(inst) + "/" + strconv.FormatUint(uint64(slot), 10))
		if best == "" || h > highest || h == highest && inst < best {
			best, highest = inst, h
		}
	}
	return best
}
