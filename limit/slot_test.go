package limit

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"chestnutlatch/clock"
	"chestnutlatch/ident"
)

// newHolderOfAllSlots returns a holder with leases of all slots from time 0, and
// an allocator without buckets.
func newHolderOfAllSlots(lease clock.Millis) (*Holder, *Allocator) {
	h := NewHolder(HolderConfig{Instance: "a", Incarnation: 1, Lease: lease, ClockError: 1000, PauseLimit: 3000}, 0)
	for slot := range Slot(testSlots) {
		h.Observe(0, slot, Claim{}, false)
		c, _ := h.NextClaim(0, slot, true)
		h.RecordWrite(0, slot, c, 0)
	}
	return h, NewAllocator(testSlots)
}

// TestHolderGrantsOnlyWithConfirmedLease guards against a daemon that grants
// tokens after its lease has ended, or after a pause in which another daemon may
// have claimed the slot.
func TestHolderGrantsOnlyWithConfirmedLease(t *testing.T) {
	tests := []struct {
		name string
		act  func(h *Holder)
		now  clock.Millis
		want bool
	}{
		{"valid lease", func(h *Holder) { h.Tick(999) }, 1000, true},
		{"no store, lease still valid", func(h *Holder) {
			for now := clock.Millis(0); now < testLease; now += 1000 {
				h.Tick(now)
			}
		}, testLease - 1, true},
		{"lease expired", func(h *Holder) {
			for now := clock.Millis(0); now <= testLease; now += 1000 {
				h.Tick(now)
			}
		}, testLease, false},
		{"after a pause, before the next tick", func(*Holder) {}, 60_000, false},
		{"after a pause, claim not read again", func(h *Holder) { h.Tick(60_000) }, 60_000, false},
		{"after a pause, claim still own", func(h *Holder) {
			h.Tick(60_000)
			h.Observe(60_000, 0, Claim{Instance: "a", Incarnation: 1, Term: 1}, true)
		}, 60_000, true},
		{"after a pause, claim of another daemon", func(h *Holder) {
			h.Tick(60_000)
			h.Observe(60_000, 0, Claim{Instance: "b", Incarnation: 1, Term: 2}, true)
		}, 60_000, false},
		{"slot released", func(h *Holder) { h.Release(0, 0, Claim{Instance: "a", Incarnation: 1, Term: 1}, true) }, 1, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h, _ := newHolderOfAllSlots(testLease)
			tt.act(h)
			if _, ok := h.GrantingSince(tt.now, 0); ok != tt.want {
				t.Errorf("holder may grant: %v, want %v", ok, tt.want)
			}
		})
	}
}

// TestAllowanceChangeGrantsNoSecondBurst changes a team's allowance, and with it
// its slots, just after the team has spent its burst. The buckets in the new
// slots must not grant the burst again.
func TestAllowanceChangeGrantsNoSecondBurst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		_, al := newHolderOfAllSlots(testLease)
		randomAllowance := func(name string) Allowance {
			burst := rapid.Uint32Range(2, 30).Draw(t, name+" burst")
			return Allowance{Burst: burst, Rate: rapid.Uint32Range(1, 10*burst).Draw(t, name+" rate")}
		}
		before, after := randomAllowance("before"), randomAllowance("after")
		granted := uint32(0)
		for _, a := range []Allowance{before, after} {
			for _, slot := range SlotsOf(testTeam, a, testSlots) {
				granted += al.Grant(clock.Minute, 0, slot, testTeam, a, 100).Tokens
			}
		}
		if granted > max(before.Burst, after.Burst) {
			t.Fatalf("%d tokens granted at once, more than either burst", granted)
		}
	})
}

// TestRecreatedBucketStartsEmpty covers a bucket that was dropped while idle, and
// one of a slot that another daemon held in between. A new bucket must not grant
// again what the former one has granted.
func TestRecreatedBucketStartsEmpty(t *testing.T) {
	a := Allowance{Rate: 1, Burst: 7200}
	slot := SlotsOf(testTeam, a, testSlots)[0]
	const spentAt = 3 * clock.Hour
	tests := []struct {
		name string
		act  func(al *Allocator) (now, since clock.Millis)
	}{
		{"dropped while idle", func(al *Allocator) (clock.Millis, clock.Millis) {
			now := spentAt + maxBucketIdle + clock.Second
			al.Sweep(now)
			return now + 30*clock.Second, 0
		}},
		{"slot lost and regained", func(*Allocator) (clock.Millis, clock.Millis) {
			return spentAt + clock.Hour, spentAt + clock.Hour - 30*clock.Second
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, al := newHolderOfAllSlots(testLease)
			if g := al.Grant(spentAt, 0, slot, testTeam, a, 10_000); g.Tokens < 2000 {
				t.Fatalf("full bucket granted %d tokens, want at least 2000", g.Tokens)
			}
			now, since := tt.act(al)
			if g := al.Grant(now, since, slot, testTeam, a, 10_000); g.Tokens > 10 {
				t.Errorf("%d tokens granted 30 s after the bucket was recreated, want at most 10", g.Tokens)
			}
		})
	}
}

// TestGrantOnlyFromTeamSlots draws a team's tokens from every slot of the fleet.
// Slots that are not the team's must not add to its burst.
func TestGrantOnlyFromTeamSlots(t *testing.T) {
	_, al := newHolderOfAllSlots(testLease)
	a := Allowance{Rate: 1, Burst: 3}
	granted := uint32(0)
	for slot := range Slot(testSlots) {
		granted += al.Grant(clock.Minute, 0, slot, testTeam, a, 100).Tokens
	}
	if granted > a.Burst {
		t.Errorf("%d tokens granted at once, want at most the burst of %d", granted, a.Burst)
	}
}

// TestSlotsStayWithinAllowance checks that a team's slots together stay within
// its burst and rate, that each can grant a token that reaches another region
// before it expires, and that they differ.
func TestSlotsStayWithinAllowance(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		burst := rapid.Uint32Range(2, 1_000_000).Draw(t, "burst")
		a := Allowance{Burst: burst, Rate: rapid.Uint32Range(1, min(burst*10, 1_000_000)).Draw(t, "rate")}
		slots := MilliTokens(a.SlotCount())
		burstTokens := MilliTokens(a.Burst) * Token
		if got := slots * (a.slotCapacity() + a.slotRate()*MilliTokens(a.TTL()+1)/1000); got > burstTokens {
			t.Fatalf("slots grant %d thousandths of a token in one time to live, the burst is %d", got, burstTokens)
		}
		if slots*a.slotRate() > MilliTokens(a.Rate)*Token || a.slotCapacity() < Token {
			t.Fatalf("slot rates add up to %d thousandths of a token/s, the team rate is %d tokens/s, slot capacity is %d thousandths of a token", slots*a.slotRate(), a.Rate, a.slotCapacity())
		}
		const betweenRegions = 16 * clock.Millisecond
		if a.TTL() < betweenRegions {
			t.Fatalf("time to live is %d ms, a call between regions takes up to %d ms", a.TTL(), betweenRegions)
		}
		seen := map[Slot]bool{}
		for _, s := range SlotsOf(testTeam, a, 48) {
			seen[s] = true
		}
		if len(seen) != int(slots) {
			t.Fatalf("SlotsOf returned %d different slots, want %d", len(seen), slots)
		}
	})
}

// TestSlotsOfOneTeamDiffer checks that a team's slots are all different for every
// number of slots: a slot that counts twice would get a part of the rate twice.
func TestSlotsOfOneTeamDiffer(t *testing.T) {
	for count := 1; count <= 9; count++ {
		for i := range 200 {
			slots := SlotsOf(ident.Team(fmt.Sprint("team-", i)), Allowance{Rate: 100, Burst: 100}, count)
			seen := map[Slot]bool{}
			for _, s := range slots {
				if seen[s] || int(s) >= count {
					t.Fatalf("of %d slots, a team has %v", count, slots)
				}
				seen[s] = true
			}
			if len(slots) != min(count, maxSlotsPerTeam) {
				t.Fatalf("of %d slots, a team has %v", count, slots)
			}
		}
	}
}

// TestPlaceUsesEveryRegion checks that each region holds slots, and that a team's slots
// are held in different regions.
func TestPlaceUsesEveryRegion(t *testing.T) {
	const regionCount, slotCount = 6, 60
	regions := map[ident.Region][]ident.Instance{}
	regionOf := map[ident.Instance]ident.Region{}
	for r := range regionCount {
		region := ident.Region(fmt.Sprint("r", r))
		for i := range 5 {
			id := ident.Instance(fmt.Sprint(region, "-", i))
			regions[region] = append(regions[region], id)
			regionOf[id] = region
		}
	}
	used := map[ident.Region]int{}
	for slot := range Slot(slotCount) {
		used[regionOf[Place(slot, regions)]]++
	}
	for region := range regions {
		if used[region] != slotCount/regionCount {
			t.Errorf("region %s holds %d of %d slots", region, used[region], slotCount)
		}
	}
	for i := range 100 {
		held := map[ident.Region]bool{}
		slots := SlotsOf(ident.Team(fmt.Sprint("team-", i)), Allowance{Rate: 100, Burst: 100}, slotCount)
		for _, s := range slots {
			held[regionOf[Place(s, regions)]] = true
		}
		if len(held) != len(slots) {
			t.Fatalf("the slots %v of a team are held in %d regions", slots, len(held))
		}
	}
}

// TestGrantOfNothing checks that a draw of no tokens from a bucket that has some gives
// no negative wait.
func TestGrantOfNothing(t *testing.T) {
	al := NewAllocator(1)
	a := Allowance{Rate: 10, Burst: 10}
	if g := al.Grant(10_000, 0, 0, "team", a, 0); g.Tokens != 0 || g.RetryAfter != 0 {
		t.Errorf("got %+v, want no tokens and no wait", g)
	}
}
