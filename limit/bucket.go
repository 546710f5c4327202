package limit

import (
	"sync"

	"github.com/cespare/xxhash/v2"

	"chestnutlatch/clock"
	"chestnutlatch/ident"
)

// bucketShards is the number of shards of an Allocator.
const bucketShards = 16

// idleAfter is how long an unused bucket is remembered, in milliseconds.
const idleAfter = 10 * clock.Minute

// maxRefill fills every bucket, in milliseconds, and keeps the products in
// range.
const maxRefill = 1_000_000 * clock.Second

// Grant is an allocator's answer to a draw.
type Grant struct {
	Tokens uint32
	// TTL counts from before the draw was sent, on the drawer's clock.
	TTL clock.Millis
	// RetryAfter is when the next token is due, if none was granted.
	RetryAfter clock.Millis
	// Rich tells that the bucket is at least half full after the grant, so
	// that tokens that expire unused cost the team nothing.
	Rich bool
}

type bucketKey struct {
	slot Slot
	team ident.Team
}

type bucket struct {
	// level is at most the capacity.
	level Milli
	// at is the time of the last refill.
	at clock.Millis
	// rest holds thousandths of a Milli not yet added.
	rest int64
}

type bucketShard struct {
	mu      sync.Mutex
	buckets map[bucketKey]*bucket
	// swept is when a bucket was last forgotten for being idle. A bucket that
	// is made anew starts empty at that time, since it may have been emptied
	// before it was forgotten.
	swept clock.Millis
}

// Allocator holds the buckets of the slots that this daemon holds. It is safe
// for concurrent use.
type Allocator struct {
	// count is the number of slots in the fleet.
	count  int
	shards [bucketShards]bucketShard
}

// NewAllocator returns an allocator without buckets for a fleet with count
// slots.
func NewAllocator(count int) *Allocator {
	a := &Allocator{count: count}
	for i := range a.shards {
		a.shards[i].buckets = map[bucketKey]*bucket{}
	}
	return a
}

func (al *Allocator) shard(team ident.Team) *bucketShard {
	return &al.shards[xxhash.Sum64String(string(team))%bucketShards]
}

// Grant takes up to want tokens from a team's bucket in a slot held since
// `since`. A slot that is not one of the team's grants nothing, since the
// team's slots alone share its rate. A bucket not seen before starts empty at that time, since the
// slot's holder before may have emptied it.
func (al *Allocator) Grant(now, since clock.Millis, slot Slot, team ident.Team, a Allowance, want uint32) Grant {
	if !contains(SlotsOf(team, a, al.count), slot) {
		return Grant{RetryAfter: clock.Second}
	}
	s := al.shard(team)
	s.mu.Lock()
	defer s.mu.Unlock()
	key := bucketKey{slot, team}
	b := s.buckets[key]
	if b == nil || b.at < since {
		b = &bucket{at: max(since, s.swept)}
		s.buckets[key] = b
	}
	b.refill(now, a)
	tokens := min(Milli(want), b.level/Token)
	if tokens <= 0 {
		return Grant{RetryAfter: b.due(a)}
	}
	b.level -= tokens * Token
	return Grant{Tokens: uint32(tokens), TTL: a.TTL(), Rich: b.level >= a.partCapacity()/2}
}

func (b *bucket) refill(now clock.Millis, a Allowance) {
	if now <= b.at {
		return
	}
	span := min(now-b.at, maxRefill)
	gained := int64(a.partRate())*int64(span) + b.rest
	b.at = now
	b.rest = gained % int64(clock.Second)
	b.level = min(b.level+Milli(gained/int64(clock.Second)), a.partCapacity())
}

// due returns the milliseconds until the next whole token.
func (b *bucket) due(a Allowance) clock.Millis {
	return clock.Millis(int64(Token-b.level)*int64(clock.Second)/max(int64(a.partRate()), 1)) + 1
}

// Forget drops a slot's buckets, for a slot that this daemon gave up.
func (al *Allocator) Forget(slot Slot) {
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

// Sweep drops buckets that were not used for a long time.
func (al *Allocator) Sweep(now clock.Millis) {
	for i := range al.shards {
		s := &al.shards[i]
		s.mu.Lock()
		for k, b := range s.buckets {
			if now-b.at > idleAfter {
				delete(s.buckets, k)
				s.swept = now
			}
		}
		s.mu.Unlock()
	}
}

// Buckets returns the number of buckets.
func (al *Allocator) Buckets() int {
	n := 0
	for i := range al.shards {
		s := &al.shards[i]
		s.mu.Lock()
		n += len(s.buckets)
		s.mu.Unlock()
	}
	return n
}
