package limit

import (
	"sync"

	"github.com/cespare/xxhash/v2"

	"chestnutlatch/clock"
	"chestnutlatch/ident"
)

// allocatorShards is the number of shards of an Allocator, each with its own
// lock.
const allocatorShards = 16

// maxBucketIdle is the time after which an unused bucket is dropped, in
// milliseconds.
const maxBucketIdle = 10 * clock.Minute

// maxRefillSpan is the longest time that one refill counts, in milliseconds. It
// is enough to fill every bucket and keeps the products in range.
const maxRefillSpan = 1_000_000 * clock.Second

// Grant is the result of a draw of tokens from a slot.
type Grant struct {
	// Tokens is the number of granted tokens; 0 if the bucket holds no whole
	// token or the slot is not one of the team's.
	Tokens uint32
	// TTL is the time to live of the tokens, in milliseconds; 0 if none was
	// granted. It starts before the draw is sent, on the clock of the entry that
	// draws.
	TTL clock.Millis
	// RetryAfter is the time until the next token is due, in milliseconds; 1 s if
	// the slot is not one of the team's, and 0 if tokens were granted or the bucket
	// holds one.
	RetryAfter clock.Millis
	// HalfFull reports whether the bucket is at least half full after the grant;
	// false if no token was granted. Tokens that then expire unused cost the team
	// nothing.
	HalfFull bool
}

type bucketKey struct {
	slot Slot
	team ident.Team
}

// bucket is the token bucket of one team in one slot.
type bucket struct {
	// level is at most the slot's capacity.
	level      MilliTokens
	lastRefill clock.Millis
	// remainder is what the last refill could not add, in millionths of a token;
	// less than 1000.
	remainder int64
}

type bucketShard struct {
	mu      sync.Mutex
	buckets map[bucketKey]*bucket
	// lastEviction is when Sweep last dropped an idle bucket. That bucket may
	// have been empty, so a new one is filled from this time at the earliest.
	lastEviction clock.Millis
}

// Allocator runs the token buckets of the slots that this daemon holds. It is
// safe for concurrent use.
type Allocator struct {
	// slotCount is the number of slots in the fleet.
	slotCount int
	shards    [allocatorShards]bucketShard
}

// NewAllocator returns an allocator without buckets for a fleet with count
// slots.
func NewAllocator(count int) *Allocator {
	a := &Allocator{slotCount: count}
	for i := range a.shards {
		a.shards[i].buckets = map[bucketKey]*bucket{}
	}
	return a
}

func (al *Allocator) shard(team ident.Team) *bucketShard {
	return &al.shards[xxhash.Sum64String(string(team))%allocatorShards]
}

// Grant takes up to want tokens from a team's bucket in a slot. since is when
// this daemon got the slot. It grants nothing from a slot that is not one of the
// team's, because only the team's slots share its rate. A bucket that is new, or
// was last refilled before since, starts empty at since, because the former
// holder may have emptied it. It starts empty later than since if Sweep has
// dropped an idle bucket of the same shard after since.
func (al *Allocator) Grant(now, since clock.Millis, slot Slot, team ident.Team, a Allowance, want uint32) Grant {
	if !contains(SlotsOf(team, a, al.slotCount), slot) {
		return Grant{RetryAfter: clock.Second}
	}
	s := al.shard(team)
	s.mu.Lock()
	defer s.mu.Unlock()
	key := bucketKey{slot, team}
	b := s.buckets[key]
	if b == nil || b.lastRefill < since {
		b = &bucket{lastRefill: max(since, s.lastEviction)}
		s.buckets[key] = b
	}
	b.refill(now, a)
	tokens := min(MilliTokens(want), b.level/Token)
	if tokens <= 0 {
		return Grant{RetryAfter: b.timeToNextToken(a)}
	}
	b.level -= tokens * Token
	return Grant{Tokens: uint32(tokens), TTL: a.TTL(), HalfFull: b.level >= a.slotCapacity()/2}
}

// refill adds the tokens of the time since the last refill.
func (b *bucket) refill(now clock.Millis, a Allowance) {
	if now <= b.lastRefill {
		return
	}
	span := min(now-b.lastRefill, maxRefillSpan)
	gained := int64(a.slotRate())*int64(span) + b.remainder
	b.lastRefill = now
	b.remainder = gained % int64(clock.Second)
	b.level = min(b.level+MilliTokens(gained/int64(clock.Second)), a.slotCapacity())
}

// timeToNextToken returns the milliseconds until the bucket has a whole token; 0 if it
// has one.
func (b *bucket) timeToNextToken(a Allowance) clock.Millis {
	if b.level >= Token {
		return 0
	}
	return clock.Millis(int64(Token-b.level)*int64(clock.Second)/max(int64(a.slotRate()), 1)) + 1
}

// DropSlot drops all buckets of a slot that this daemon has released.
func (al *Allocator) DropSlot(slot Slot) {
	for i := range al.shards {
		s := &al.shards[i]
		s.mu.Lock()
		for k := range s.buckets {
			if k.slot == slot {
				delete(s.buckets, k)
			}
		}
		s.mu.Unlock()
	}
}

// Sweep drops the buckets that have not been used for maxBucketIdle.
func (al *Allocator) Sweep(now clock.Millis) {
	for i := range al.shards {
		s := &al.shards[i]
		s.mu.Lock()
		for k, b := range s.buckets {
			if now-b.lastRefill > maxBucketIdle {
				delete(s.buckets, k)
				s.lastEviction = now
			}
		}
		s.mu.Unlock()
	}
}

// BucketCount returns the number of buckets in all slots.
func (al *Allocator) BucketCount() int {
	n := 0
	for i := range al.shards {
		s := &al.shards[i]
		s.mu.Lock()
		n += len(s.buckets)
		s.mu.Unlock()
	}
	return n
}
