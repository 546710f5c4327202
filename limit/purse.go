package limit

import (
	"sort"
	"sync"

	"github.com/cespare/xxhash/v2"

	"chestnutlatch/clock"
	"chestnutlatch/ident"
)

const (
	purseShards = 32
	// demandPart smooths the demand of a team: each time to live counts one
	// part in demandPart.
	demandPart = 4
	// maxWant bounds one draw in tokens.
	maxWant = 10_000
	// leastDemand is the least demand in one time to live that is prefetched.
	leastDemand = 0.3
	// leastWant is the least draw that is prefetched from a slot that is not
	// rich.
	leastWant = 3
)

// Decision is a purse's word on one request: Admit, Draw or Wait.
type Decision interface {
	decision()
}

// Admit lets the request pass. Prefetch asks for a draw in the background
// when Want is over 0.
type Admit struct {
	Prefetch Draw
}

// Draw asks for tokens from a slot before the request can pass.
type Draw struct {
	Slot Slot
	Want uint32
}

// Wait refuses the request: no slot has a token before After has passed.
type Wait struct {
	After clock.Millis
}

func (Admit) decision() {}
func (Draw) decision()  {}
func (Wait) decision()  {}

type batch struct {
	tokens  uint32
	expires clock.Millis
}

// slotView is what an entry knows of one slot for one team.
type slotView struct {
	slot Slot
	// emptyUntil is when the slot has a token again; 0 if not known.
	emptyUntil clock.Millis
	// drawing tells that a prefetch is under way.
	drawing bool
	// rich tells that the slot's bucket was at least half full.
	rich bool
}

type wallet struct {
	batches []batch
	// slots are ordered from the nearest holder to the farthest.
	slots []slotView
	// taken counts requests since the window began.
	taken  uint32
	window clock.Millis
	// demand is the smoothed number of requests in one time to live.
	demand float64
	used   clock.Millis
}

type purseShard struct {
	mu      sync.Mutex
	wallets map[ident.Team]*wallet
}

// Purse holds the tokens that one entry has drawn. It is safe for concurrent
// use.
type Purse struct {
	// count is the number of slots in the fleet.
	count int
	// distance ranks the holder of a slot, lowest first.
	distance func(Slot) int
	shards   [purseShards]purseShard
}

// NewPurse returns an empty purse for a fleet with count slots. distance ranks
// the holder of a slot; draws go to the lowest rank first.
func NewPurse(count int, distance func(Slot) int) *Purse {
	p := &Purse{count: count, distance: distance}
	for i := range p.shards {
		p.shards[i].wallets = map[ident.Team]*wallet{}
	}
	return p
}

func (p *Purse) shard(team ident.Team) *purseShard {
	return &p.shards[xxhash.Sum64String(string(team))%purseShards]
}

func (p *Purse) wallet(s *purseShard, team ident.Team, a Allowance) *wallet {
	w := s.wallets[team]
	if w != nil && len(w.slots) == min(a.Parts(), p.count) {
		return w
	}
	w = &wallet{}
	for _, slot := range SlotsOf(team, a, p.count) {
		w.slots = append(w.slots, slotView{slot: slot})
	}
	sort.SliceStable(w.slots, func(i, j int) bool { return p.distance(w.slots[i].slot) < p.distance(w.slots[j].slot) })
	s.wallets[team] = w
	return w
}

// Take decides on one request. tried holds the slots that were asked for this
// request before; they are not asked again.
func (p *Purse) Take(now clock.Millis, team ident.Team, a Allowance, tried []Slot) Decision {
	s := p.shard(team)
	s.mu.Lock()
	defer s.mu.Unlock()
	w := p.wallet(s, team, a)
	w.used = now
	if len(tried) == 0 {
		w.count(now, a)
	}
	if w.spend(now) {
		return Admit{Prefetch: w.prefetch(now)}
	}
	slot, wait, ok := w.pick(now, tried)
	if !ok {
		return Wait{After: wait}
	}
	return Draw{Slot: slot, Want: w.want()}
}

// count keeps the demand per time to live.
func (w *wallet) count(now clock.Millis, a Allowance) {
	ttl := max(a.TTL(), 1)
	for elapsed := now - w.window; elapsed >= ttl; elapsed = now - w.window {
		if elapsed > 20*ttl {
			w.demand, w.taken, w.window = 0, 0, now
			break
		}
		w.demand += (float64(w.taken) - w.demand) / demandPart
		w.taken = 0
		w.window += ttl
	}
	w.taken++
}

// spend takes one token that has not expired.
func (w *wallet) spend(now clock.Millis) bool {
	for len(w.batches) > 0 && (w.batches[0].tokens == 0 || now >= w.batches[0].expires) {
		w.batches = w.batches[1:]
	}
	for i := range w.batches {
		b := &w.batches[i]
		if b.tokens > 0 && now < b.expires {
			b.tokens--
			return true
		}
	}
	return false
}

func (w *wallet) left() uint32 {
	var n uint32
	for _, b := range w.batches {
		n += b.tokens
	}
	return n
}

// prefetch asks for a draw when the tokens at hand cover less than a third of
// the demand. A small demand is prefetched only from a rich slot, where tokens
// that expire unused do no harm.
func (w *wallet) prefetch(now clock.Millis) Draw {
	want := w.want()
	if w.demand < leastDemand || w.left() > want/3 {
		return Draw{}
	}
	for i := range w.slots {
		v := &w.slots[i]
		if v.drawing || now < v.emptyUntil || !v.rich && want < leastWant {
			continue
		}
		v.drawing = true
		return Draw{Slot: v.slot, Want: want}
	}
	return Draw{}
}

// want is the demand of half a time to live, at least one token.
func (w *wallet) want() uint32 {
	return uint32(min(max(w.demand/2, 1), maxWant))
}

// pick returns the next slot that may have a token.
func (w *wallet) pick(now clock.Millis, tried []Slot) (slot Slot, wait clock.Millis, ok bool) {
	wait = clock.Second
	for i := range w.slots {
		v := &w.slots[i]
		if contains(tried, v.slot) {
			continue
		}
		if now >= v.emptyUntil {
			return v.slot, 0, true
		}
	}
	for _, v := range w.slots {
		if now < v.emptyUntil {
			wait = min(wait, v.emptyUntil-now)
		}
	}
	return 0, wait, false
}

func contains(slots []Slot, slot Slot) bool {
	for _, s := range slots {
		if s == slot {
			return true
		}
	}
	return false
}

// Granted adds the tokens of a draw that was sent at asked.
func (p *Purse) Granted(asked clock.Millis, team ident.Team, slot Slot, g Grant) {
	s := p.shard(team)
	s.mu.Lock()
	defer s.mu.Unlock()
	w := s.wallets[team]
	if w == nil {
		return
	}
	for i := range w.slots {
		v := &w.slots[i]
		if v.slot != slot {
			continue
		}
		v.drawing = false
		v.emptyUntil = 0
		v.rich = g.Rich
		if g.Tokens == 0 {
			v.emptyUntil = asked + g.RetryAfter
		}
	}
	if g.Tokens > 0 {
		w.batches = append(w.batches, batch{tokens: g.Tokens, expires: asked + g.TTL})
	}
}

// Failed ends a draw that got no answer.
func (p *Purse) Failed(team ident.Team, slot Slot) {
	s := p.shard(team)
	s.mu.Lock()
	defer s.mu.Unlock()
	w := s.wallets[team]
	if w == nil {
		return
	}
	for i := range w.slots {
		if w.slots[i].slot == slot {
			w.slots[i].drawing = false
		}
	}
}

// Sweep forgets the wallets of teams that were not seen for a while.
func (p *Purse) Sweep(now clock.Millis) {
	for i := range p.shards {
		s := &p.shards[i]
		s.mu.Lock()
		for team, w := range s.wallets {
			if now-w.used > clock.Minute {
				delete(s.wallets, team)
			}
		}
		s.mu.Unlock()
	}
}

// Wallets returns the number of teams with tokens or demand.
func (p *Purse) Wallets() int {
	n := 0
	for i := range p.shards {
		s := &p.shards[i]
		s.mu.Lock()
		n += len(s.wallets)
		s.mu.Unlock()
	}
	return n
}
