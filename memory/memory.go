// Package memory decides which bodies of requests and answers a daemon may hold. An
// Account counts their bytes against fixed limits, and names the callers to give up when
// the limits are reached. It does no I/O and reads no clock.
package memory

import (
	"sync"

	"chestnutlatch/clock"
	"chestnutlatch/ident"
)

// SmallBytes is the size up to which a body is small. Small bodies may use the reserve.
const SmallBytes = 64 << 10

// Reason says why an account does not grant bytes.
type Reason int

//go:generate enumer -type=Reason -trimprefix=Reason -transform=snake -output=memory_enumer.go

// Reasons for a refusal.
const (
	// ReasonNone means that the bytes were granted.
	ReasonNone Reason = iota
	// ReasonFull means that the bodies that are held leave no room.
	ReasonFull
	// ReasonAddress and ReasonTeam mean that large bodies from the address or of the
	// team hold all that one of them may hold.
	ReasonAddress
	ReasonTeam
	// ReasonGivenUp means that the holder was given up earlier.
	ReasonGivenUp
)

// Config holds the limits of an Account, in bytes.
type Config struct {
	// Limit bounds all request bodies. Reserve is the part of it that large bodies
	// leave free.
	Limit, Reserve int64
	// AddressLimit and TeamLimit bound the large bodies from one address and of one
	// team; 0 means no such limit.
	AddressLimit, TeamLimit int64
	// AnswerLimit bounds the answers that are read from targets, and those that wait for
	// slow callers.
	AnswerLimit int64
	// A body is stalled if less than MinBytes of it arrive in Window.
	Window   clock.Millis
	MinBytes int64
}

// Holder is one request body.
type Holder struct {
	address string
	team    ident.Team
	held    int64
	// giveUp ends the reading of the body.
	giveUp  func()
	givenUp bool
	// windowStart is when the present window began, and windowBytes what has arrived
	// since then.
	windowStart clock.Millis
	windowBytes int64
}

// Account counts the bytes of bodies. It is safe for concurrent use.
type Account struct {
	cfg Config

	mu      sync.Mutex
	reading map[*Holder]struct{}
	// writing holds the answers that callers have not read yet, and written is their sum.
	writing map[*Holder]struct{}
	written int64
	// large is the part of used that large bodies hold.
	used, large, answers int64
	byAddress            map[string]int64
	byTeam               map[ident.Team]int64
}

// New returns an empty account.
func New(cfg Config) *Account {
	return &Account{cfg: cfg, reading: map[*Holder]struct{}{}, writing: map[*Holder]struct{}{}, byAddress: map[string]int64{}, byTeam: map[ident.Team]int64{}}
}

// Open returns a holder for a body that is about to be read. The address and the
// team are empty if there is none. The account calls giveUp, at most once, if it gives up the holder; it is called
// by the goroutine that takes bytes for another one, without a lock.
func (a *Account) Open(now clock.Millis, address string, team ident.Team, giveUp func()) *Holder {
	h := &Holder{address: address, team: team, giveUp: giveUp, windowStart: now}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.reading[h] = struct{}{}
	return h
}

// OpenWhole returns a holder with n bytes for a body that is never given up. The holder is
// nil if they are refused.
func (a *Account) OpenWhole(now clock.Millis, n int64) (*Holder, Reason) {
	h := &Holder{}
	// It is not among the bodies that are read, so nothing gives it up.
	if reason := a.Take(now, h, n); reason != ReasonNone {
		return nil, reason
	}
	return h, ReasonNone
}

// Take takes n more bytes for a holder. If there is no room, it gives up stalled holders,
// or refuses and gives up none if that does not suffice. The bytes of a holder that is
// given up are free at once.
func (a *Account) Take(now clock.Millis, h *Holder, n int64) Reason {
	a.mu.Lock()
	type victim struct {
		*Holder
		held int64
	}
	var victims []victim
	reason := a.check(h, n)
	refusal := reason
	for reason != ReasonNone {
		v := a.nextVictim(now, h, n, reason)
		if v == nil {
			break
		}
		victims = append(victims, victim{v, v.held})
		a.drop(v)
		reason = a.check(h, n)
	}
	if reason == ReasonNone {
		a.add(h, n)
		for _, v := range victims {
			v.givenUp = true
		}
	} else {
		for _, v := range victims {
			a.add(v.Holder, v.held)
			a.reading[v.Holder] = struct{}{}
		}
		victims, reason = nil, refusal
	}
	a.mu.Unlock()
	for _, v := range victims {
		v.giveUp()
	}
	return reason
}

// check returns why n more bytes cannot be granted. The caller holds mu.
func (a *Account) check(h *Holder, n int64) Reason {
	if h.givenUp {
		return ReasonGivenUp
	}
	if a.used+n > a.cfg.Limit {
		return ReasonFull
	}
	if h.held+n <= SmallBytes {
		return ReasonNone
	}
	more := n
	if h.held <= SmallBytes {
		more += h.held
	}
	switch {
	case a.large+more > a.cfg.Limit-a.cfg.Reserve:
		return ReasonFull
	case a.cfg.AddressLimit > 0 && h.address != "" && a.byAddress[h.address]+more > a.cfg.AddressLimit:
		return ReasonAddress
	case a.cfg.TeamLimit > 0 && h.team != "" && a.byTeam[h.team]+more > a.cfg.TeamLimit:
		return ReasonTeam
	}
	return ReasonNone
}

// nextVictim returns the holder to give up for another one that needs n more bytes, or
// nil. For a limit of an address or a team, only their holders help, and for a limit of
// large bodies only large ones. The caller holds mu.
func (a *Account) nextVictim(now clock.Millis, taker *Holder, n int64, reason Reason) *Holder {
	if reason == ReasonGivenUp {
		return nil
	}
	isOfLarge := reason != ReasonFull || a.used+n <= a.cfg.Limit
	return a.longestStalled(now, a.reading, func(h *Holder) bool {
		return h != taker && h.held > 0 && (!isOfLarge || h.held > SmallBytes) &&
			(reason != ReasonAddress || h.address == taker.address) && (reason != ReasonTeam || h.team == taker.team)
	})
}

// longestStalled returns the eligible holder that has stalled longest, the largest one
// among equals, or nil. The caller holds mu.
func (a *Account) longestStalled(now clock.Millis, holders map[*Holder]struct{}, isEligible func(*Holder) bool) *Holder {
	var best *Holder
	for h := range holders {
		if now-h.windowStart <= a.cfg.Window || !isEligible(h) {
			continue
		}
		if best == nil || h.windowStart < best.windowStart || h.windowStart == best.windowStart && h.held > best.held {
			best = h
		}
	}
	return best
}

// add adds n bytes, which may be negative, to a holder. The caller holds mu.
func (a *Account) add(h *Holder, n int64) {
	a.addLarge(h, -1)
	h.held += n
	a.used += n
	a.addLarge(h, 1)
}

// addLarge adds the bytes of a large holder, times sign, to the sums of large bodies.
// The caller holds mu.
func (a *Account) addLarge(h *Holder, sign int64) {
	if h.held <= SmallBytes {
		return
	}
	n := sign * h.held
	a.large += n
	if a.byAddress[h.address] += n; a.byAddress[h.address] == 0 {
		delete(a.byAddress, h.address)
	}
	if a.byTeam[h.team] += n; a.byTeam[h.team] == 0 {
		delete(a.byTeam, h.team)
	}
}

// drop frees all bytes of a holder. The caller holds mu.
func (a *Account) drop(h *Holder) {
	a.add(h, -h.held)
	delete(a.reading, h)
}

// Release gives back n of the holder's bytes.
func (a *Account) Release(h *Holder, n int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !h.givenUp {
		a.add(h, -min(n, h.held))
	}
}

// Progress records that n bytes of a body have arrived.
func (a *Account) Progress(now clock.Millis, h *Holder, n int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if h.windowBytes += n; h.windowBytes >= a.cfg.MinBytes {
		h.windowStart, h.windowBytes = now, 0
	}
}

// Finish records that a body is complete, and reports whether the holder still has its
// bytes. It is not given up any more.
func (a *Account) Finish(h *Holder) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.reading, h)
	return !h.givenUp
}

// Close gives back everything that a holder has.
func (a *Account) Close(h *Holder) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.drop(h)
	h.givenUp = true
}

// TakeAnswer reports whether n more bytes may be held for answers, and takes them.
func (a *Account) TakeAnswer(n int64) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.answers+n > a.cfg.AnswerLimit {
		return false
	}
	a.answers += n
	return true
}

// ReleaseAnswer gives back n bytes of answers.
func (a *Account) ReleaseAnswer(n int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.answers -= n
}

// OpenAnswer returns a holder for an answer of n bytes that waits for its caller to read
// it. If the answers that wait are over their limit, those whose callers have stalled are
// given up. The holder is nil if that does not suffice; a single answer is always
// granted. giveUp is as in Open.
func (a *Account) OpenAnswer(now clock.Millis, n int64, giveUp func()) *Holder {
	a.mu.Lock()
	var victims []*Holder
	for a.written+n > a.cfg.AnswerLimit {
		victim := a.longestStalled(now, a.writing, func(*Holder) bool { return true })
		if victim == nil {
			break
		}
		a.dropAnswer(victim)
		victims = append(victims, victim)
	}
	var h *Holder
	if a.written == 0 || a.written+n <= a.cfg.AnswerLimit {
		h = &Holder{giveUp: giveUp, held: n, windowStart: now}
		a.writing[h] = struct{}{}
		a.written += n
	}
	a.mu.Unlock()
	for _, v := range victims {
		v.giveUp()
	}
	return h
}

// CloseAnswer gives back what a holder of OpenAnswer has.
func (a *Account) CloseAnswer(h *Holder) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.dropAnswer(h)
}

// dropAnswer frees the bytes of an answer. The caller holds mu.
func (a *Account) dropAnswer(h *Holder) {
	delete(a.writing, h)
	a.written -= h.held
	h.held = 0
}

// Usage holds the bytes that an account has granted, by kind.
type Usage struct {
	// Large is the part of Requests that large bodies hold. Answers are read from
	// targets, Writing ones wait for their callers.
	Requests, Large, Answers, Writing int64
	// Reading is the number of bodies that are being read.
	Reading int
}

// Usage returns the bytes that are held now.
func (a *Account) Usage() Usage {
	a.mu.Lock()
	defer a.mu.Unlock()
	return Usage{Requests: a.used, Large: a.large, Answers: a.answers, Writing: a.written, Reading: len(a.reading)}
}
