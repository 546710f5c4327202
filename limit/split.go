// Package limit keeps every team within its rate and burst across the whole
// fleet. A team's rate is split over a few rate slots by hash; each slot has
// one holder, recorded in the store, that runs an exact token bucket. Entries
// draw small batches of tokens that expire.
//
// The bound: a slot grants at most capacity + rate x T tokens in any time T,
// with capacity = burst - rate x ttl. A token is spent at most ttl after its
// grant, so admissions in any window W are at most burst + rate x W.
package limit

import (
	"github.com/cespare/xxhash/v2"

	"chestnutlatch/clock"
	"chestnutlatch/ident"
)

// Slot numbers one rate slot.
type Slot uint32

// Milli counts thousandths of a token.
type Milli int64

// Token is one whole token.
const Token Milli = 1000

const (
	// maxParts is the number of slots that share a large team.
	maxParts = 3
	// burstPerPart is the smallest burst worth a slot of its own, in requests.
	burstPerPart = 4
	// maxTTL bounds how long an entry may keep a token, in milliseconds.
	maxTTL = clock.Second
	// ttlPart sets the time to live to one part in ttlPart of the time that
	// the rate takes to fill the burst.
	ttlPart = 4
	// clockGrain is the step of the clock; a time read from it may lie that
	// much in the past.
	clockGrain = clock.Millisecond
)

// Allowance is a team's rate and burst.
type Allowance struct {
	// Rate is in requests per second.
	Rate uint32
	// Burst is in requests.
	Burst uint32
}

// Parts returns the number of slots that share the team.
func (a Allowance) Parts() int {
	return int(min(max(a.Burst/burstPerPart, 1), maxParts))
}

// TTL returns how long an entry may keep a token, in milliseconds.
func (a Allowance) TTL() clock.Millis {
	if a.Rate == 0 {
		return maxTTL - clockGrain
	}
	return min(maxTTL, clock.Millis(uint64(a.Burst)*1000/(ttlPart*uint64(a.Rate)))) - clockGrain
}

// partRate returns one slot's rate in thousandths of a token per second.
func (a Allowance) partRate() Milli {
	return Milli(a.Rate) * Token / Milli(a.Parts())
}

// partCapacity returns the most tokens that one slot may have at hand.
func (a Allowance) partCapacity() Milli {
	burst := Milli(a.Burst) * Token / Milli(a.Parts())
	reserve := a.partRate() * Milli(a.TTL()+clockGrain)
	second := Milli(clock.Second)
	return burst - (reserve+second-1)/second
}

// SlotsOf returns the slots of a team among count slots. They differ modulo
// maxParts, so that the placement can put them into different regions.
func SlotsOf(team ident.Team, a Allowance, count int) []Slot {
	parts := min(a.Parts(), count)
	h := xxhash.Sum64String(string(team))
	groups := max(count/maxParts, 1)
	first := int(h % maxParts)
	out := make([]Slot, 0, parts)
	for i := range parts {
		class := (first + i) % maxParts
		group := int((h >> 8) % uint64(groups))
		out = append(out, Slot((group*maxParts+class)%count))
	}
	return out
}
