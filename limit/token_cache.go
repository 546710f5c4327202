package limit

import (
	"sort"
	"sync"

	"github.com/cespare/xxhash/v2"

	"chestnutlatch/clock"
	"chestnutlatch/ident"
)

const (
	// tokenCacheShards is the number of shards of a cache, each with its own
	// lock.
	tokenCacheShards = 32
	// demandSmoothing smooths the moving average of a team's demand: each time to
	// live has a weight of 1/demandSmoothing.
	demandSmoothing = 4
	// maxDrawSize bounds one draw, in tokens.
	maxDrawSize = 10_000
	// minPrefetchDemand is the lowest demand that is prefetched for, in requests
	// per time to live.
	minPrefetchDemand = 0.3
	// minPrefetchSize is the smallest prefetch from a slot whose bucket is less
	// than half full, in tokens.
	minPrefetchSize = 3
)

// Decision is the result of asking for a token for one request: the request
// passes, needs a draw first, or is refused.
type Decision interface {
	decision()
}

// Admit lets the request pass. If Prefetch.Want is over 0, the caller should
// make that draw in the background and end it with AddGrant or DrawFailed.
type Admit struct {
	Prefetch Draw
}

// Draw says how many tokens to draw from which slot. As a Decision it means
// that the request cannot pass before the draw.
type Draw struct {
	Slot Slot
	// Want is a number of whole tokens.
	Want uint32
}

// Refuse means that the request is refused for lack of tokens.
type Refuse struct {
	// RetryAfter is how long the team should wait, in milliseconds.
	RetryAfter clock.Millis
}

func (Admit) decision()  {}
func (Draw) decision()   {}
func (Refuse) decision() {}

// tokenBatch is what is left of one grant.
type tokenBatch struct {
	tokens  uint32
	expires clock.Millis
}

// slotState is the state of one slot of one team, from the entry's last draws.
type slotState struct {
	slot Slot
	// emptyUntil is when the slot is expected to have a token again; 0 if it is
	// not known to be empty.
	emptyUntil clock.Millis
	// prefetching is set while a prefetch from the slot is under way.
	prefetching bool
	// halfFull reports whether the slot's bucket was at least half full after
	// the last grant.
	halfFull bool
}

// teamTokens holds the cached tokens and the demand of one team.
type teamTokens struct {
	batches []tokenBatch
	// slots are ordered from the nearest holder to the farthest.
	slots []slotState
	// requests counts the requests since windowStart.
	requests    uint32
	windowStart clock.Millis
	// demand is the moving average of the number of requests in one time to
	// live.
	demand   float64
	lastUsed clock.Millis
}

type tokenCacheShard struct {
	mu    sync.Mutex
	teams map[ident.Team]*teamTokens
}

// TokenCache caches the tokens that one entry has drawn, and decides when to
// draw more. It is safe for concurrent use.
type TokenCache struct {
	// slotCount is the number of slots in the fleet.
	slotCount int
	// distance ranks the holder of a slot; lower is nearer.
	distance func(Slot) int
	shards   [tokenCacheShards]tokenCacheShard
}

// NewTokenCache returns an empty cache for a fleet with count slots. distance
// ranks the holder of a slot; draws go to the lowest rank first. It is called
// with a lock of the cache held.
func NewTokenCache(count int, distance func(Slot) int) *TokenCache {
	c := &TokenCache{slotCount: count, distance: distance}
	for i := range c.shards {
		c.shards[i].teams = map[ident.Team]*teamTokens{}
	}
	return c
}

func (c *TokenCache) shard(team ident.Team) *tokenCacheShard {
	return &c.shards[xxhash.Sum64String(string(team))%tokenCacheShards]
}

// tokensOf returns the tokens of a team. If the number of the team's slots has
// changed, it drops the cached tokens and returns an empty set.
func (c *TokenCache) tokensOf(s *tokenCacheShard, team ident.Team, a Allowance) *teamTokens {
	t := s.teams[team]
	if t != nil && len(t.slots) == min(a.SlotCount(), c.slotCount) {
		return t
	}
	t = &teamTokens{}
	for _, slot := range SlotsOf(team, a, c.slotCount) {
		t.slots = append(t.slots, slotState{slot: slot})
	}
	sort.SliceStable(t.slots, func(i, j int) bool { return c.distance(t.slots[i].slot) < c.distance(t.slots[j].slot) })
	s.teams[team] = t
	return t
}

// Take decides on one request. If a token is cached, it is spent and the request
// is admitted. Otherwise Take returns a draw, after which the caller calls it
// again, or a refusal. tried holds the slots from which the caller has already
// tried to draw for this request; they are not returned again.
func (c *TokenCache) Take(now clock.Millis, team ident.Team, a Allowance, tried []Slot) Decision {
	s := c.shard(team)
	s.mu.Lock()
	defer s.mu.Unlock()
	t := c.tokensOf(s, team, a)
	t.lastUsed = now
	if len(tried) == 0 {
		t.countRequest(now, a)
	}
	if t.spend(now) {
		return Admit{Prefetch: t.prefetch(now)}
	}
	slot, wait, ok := t.pickSlot(now, tried)
	if !ok {
		return Refuse{RetryAfter: wait}
	}
	return Draw{Slot: slot, Want: t.drawSize()}
}

// countRequest counts one request and updates the demand for each time to live
// that has passed.
func (t *teamTokens) countRequest(now clock.Millis, a Allowance) {
	ttl := max(a.TTL(), 1)
	for elapsed := now - t.windowStart; elapsed >= ttl; elapsed = now - t.windowStart {
		// The average loses a quarter in each time to live, so after 20 of them
		// less than 1 % is left.
		if elapsed > 20*ttl {
			t.demand, t.requests, t.windowStart = 0, 0, now
			break
		}
		t.demand += (float64(t.requests) - t.demand) / demandSmoothing
		t.requests = 0
		t.windowStart += ttl
	}
	t.requests++
}

// spend takes one token that has not expired, and reports whether there was
// one.
func (t *teamTokens) spend(now clock.Millis) bool {
	for len(t.batches) > 0 && (t.batches[0].tokens == 0 || now >= t.batches[0].expires) {
		t.batches = t.batches[1:]
	}
	for i := range t.batches {
		b := &t.batches[i]
		if b.tokens > 0 && now < b.expires {
			b.tokens--
			return true
		}
	}
	return false
}

// remaining returns the number of cached tokens. Expired ones count until
// spend drops their batch.
func (t *teamTokens) remaining() uint32 {
	var n uint32
	for _, b := range t.batches {
		n += b.tokens
	}
	return n
}

// prefetch returns a draw if the demand is at least minPrefetchDemand and the
// cached tokens are at most a third of one draw, and an empty draw otherwise or
// if no slot can be drawn from. Draws below minPrefetchSize are made only from a
// slot whose bucket is at least half full, where tokens that expire unused cost
// the team nothing.
func (t *teamTokens) prefetch(now clock.Millis) Draw {
	want := t.drawSize()
	if t.demand < minPrefetchDemand || t.remaining() > want/3 {
		return Draw{}
	}
	for i := range t.slots {
		st := &t.slots[i]
		if st.prefetching || now < st.emptyUntil || !st.halfFull && want < minPrefetchSize {
			continue
		}
		st.prefetching = true
		return Draw{Slot: st.slot, Want: want}
	}
	return Draw{}
}

// drawSize returns the demand of half a time to live, from 1 to maxDrawSize
// tokens.
func (t *teamTokens) drawSize() uint32 {
	return uint32(min(max(t.demand/2, 1), maxDrawSize))
}

// pickSlot returns the nearest slot that may have a token and was not tried. If
// there is none, it returns how long to wait, in milliseconds: until the first
// slot is expected to have a token, at most a second.
func (t *teamTokens) pickSlot(now clock.Millis, tried []Slot) (slot Slot, wait clock.Millis, ok bool) {
	wait = clock.Second
	for i := range t.slots {
		st := &t.slots[i]
		if contains(tried, st.slot) {
			continue
		}
		if now >= st.emptyUntil {
			return st.slot, 0, true
		}
	}
	for _, st := range t.slots {
		if now < st.emptyUntil {
			wait = min(wait, st.emptyUntil-now)
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

// AddGrant adds the result of a draw that was sent at sentAt. If the grant holds
// no tokens, the slot counts as empty until g.RetryAfter has passed since then.
// AddGrant does nothing for a team that the cache has dropped.
func (c *TokenCache) AddGrant(sentAt clock.Millis, team ident.Team, slot Slot, g Grant) {
	s := c.shard(team)
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.teams[team]
	if t == nil {
		return
	}
	for i := range t.slots {
		st := &t.slots[i]
		if st.slot != slot {
			continue
		}
		st.prefetching = false
		st.emptyUntil = 0
		st.halfFull = g.HalfFull
		if g.Tokens == 0 {
			st.emptyUntil = sentAt + g.RetryAfter
		}
	}
	if g.Tokens > 0 {
		t.batches = append(t.batches, tokenBatch{tokens: g.Tokens, expires: sentAt + g.TTL})
	}
}

// DrawFailed ends a draw that got no reply. The slot may be drawn from again.
func (c *TokenCache) DrawFailed(team ident.Team, slot Slot) {
	s := c.shard(team)
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.teams[team]
	if t == nil {
		return
	}
	for i := range t.slots {
		if t.slots[i].slot == slot {
			t.slots[i].prefetching = false
		}
	}
}

// Sweep drops the teams without a request in the last minute.
func (c *TokenCache) Sweep(now clock.Millis) {
	for i := range c.shards {
		s := &c.shards[i]
		s.mu.Lock()
		for team, t := range s.teams {
			if now-t.lastUsed > clock.Minute {
				delete(s.teams, team)
			}
		}
		s.mu.Unlock()
	}
}

// TeamCount returns the number of teams in the cache.
func (c *TokenCache) TeamCount() int {
	n := 0
	for i := range c.shards {
		s := &c.shards[i]
		s.mu.Lock()
		n += len(s.teams)
		s.mu.Unlock()
	}
	return n
}
