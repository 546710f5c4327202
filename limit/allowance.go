// Package limit keeps every team within its rate and burst across the whole
// fleet. It contains two limiters.
//
// The first one splits a team's rate over a few rate slots by hash. Each slot
// has one holder, which is recorded in the store and runs an exact token bucket
// for each of the slot's teams (Holder, Allocator). The entries of the daemons
// draw small batches of tokens that expire and spend them on requests. A slot
// grants a team at most capacity + rate x T tokens in any time T, with
// capacity = burst - rate x ttl. A token is spent at most ttl after its grant.
// The fleet therefore admits at most burst + rate x W requests of a team in
// any window W.
//
// The second one gives every data centre an equal share of each team's rate.
// It decides without a call, from counts that the daemons of a data centre send
// each other, and bounds the excess over a window (ShareConfig).
//
// The entry calls one of the limiters for each request with a limited team. The
// daemon keeps the claims on slots in the store and sends the counts.
package limit

import (
	"github.com/cespare/xxhash/v2"

	"chestnutlatch/clock"
	"chestnutlatch/ident"
)

// Slot is the number of a rate slot. Slots are counted from 0.
type Slot uint32

// MilliTokens counts thousandths of a token.
type MilliTokens int64

// Token is one whole token.
const Token MilliTokens = 1000

const (
	// maxSlotsPerTeam is the number of slots over which a large team is split.
	maxSlotsPerTeam = 3
	// minSlotBurst is the smallest burst that each slot of a split team gets, in
	// requests.
	minSlotBurst = 4
	// maxTTL bounds the time to live of a token, in milliseconds.
	maxTTL = clock.Second
	// ttlDivisor divides the time in which the rate fills the burst. The result,
	// at most maxTTL, is the time to live of a token.
	ttlDivisor = 4
	// clockResolution is the step of the clock, in milliseconds. A time that is
	// read from the clock may lie that far in the past.
	clockResolution = clock.Millisecond
)

// Allowance is a team's rate and burst in the whole fleet.
type Allowance struct {
	// Rate is in requests per second.
	Rate uint32
	// Burst is in requests.
	Burst uint32
}

// SlotCount returns the number of slots over which the team's rate is split,
// from 1 to maxSlotsPerTeam.
func (a Allowance) SlotCount() int {
	return int(min(max(a.Burst/minSlotBurst, 1), maxSlotsPerTeam))
}

// TTL returns how long an entry may keep a token, in milliseconds. It is below
// maxTTL, and positive for every valid team record.
func (a Allowance) TTL() clock.Millis {
	if a.Rate == 0 {
		return maxTTL - clockResolution
	}
	return min(maxTTL, clock.Millis(uint64(a.Burst)*1000/(ttlDivisor*uint64(a.Rate)))) - clockResolution
}

// slotRate returns one slot's rate in thousandths of a token per second.
func (a Allowance) slotRate() MilliTokens {
	return MilliTokens(a.Rate) * Token / MilliTokens(a.SlotCount())
}

// slotCapacity returns the capacity of one slot's bucket: the slot's share of
// the burst, less the tokens that the slot's rate yields in one time to live.
func (a Allowance) slotCapacity() MilliTokens {
	burst := MilliTokens(a.Burst) * Token / MilliTokens(a.SlotCount())
	reserve := a.slotRate() * MilliTokens(a.TTL()+clockResolution)
	second := MilliTokens(clock.Second)
	return burst - (reserve+second-1)/second
}

// SlotsOf returns the slots of a team in a fleet with count slots, at most count of
// them, all different. They differ modulo maxSlotsPerTeam where the fleet has that many
// slots, so that Place can put them into different regions.
func SlotsOf(team ident.Team, a Allowance, count int) []Slot {
	n := min(a.SlotCount(), count)
	h := xxhash.Sum64String(string(team))
	groupSize := min(count, maxSlotsPerTeam)
	groups := max(count/maxSlotsPerTeam, 1)
	first := int(h % maxSlotsPerTeam)
	group := int((h >> 8) % uint64(groups))
	out := make([]Slot, 0, n)
	for i := range n {
		out = append(out, Slot(group*maxSlotsPerTeam+(first+i)%groupSize))
	}
	return out
}
