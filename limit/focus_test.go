package limit

import (
	"testing"

	"pgregory.net/rapid"

	"chestnutlatch/clock"
)

// steady brings a holder of every slot up, for the focused tests.
func steady(lease clock.Millis) (*Holder, *Allocator) {
	h := NewHolder(HolderConfig{Instance: "a", Incarnation: 1, Lease: lease, ClockError: 1000, PauseLimit: 3000}, 0)
	for slot := range Slot(testSlots) {
		h.Observe(0, slot, Claim{}, false)
		c, _ := h.Next(0, slot, true)
		h.Wrote(0, slot, c, 0)
	}
	return h, NewAllocator(testSlots)
}

func TestHolderStopsInTime(t *testing.T) {
	tests := []struct {
		name string
		do   func(h *Holder)
		now  clock.Millis
		want bool
	}{
		{"holds", func(h *Holder) { h.Tick(999) }, 1000, true},
		{"store away, lease runs", func(h *Holder) {
			for now := clock.Millis(0); now < testLease; now += 1000 {
				h.Tick(now)
			}
		}, testLease - 1, true},
		{"lease over", func(h *Holder) {
			for now := clock.Millis(0); now <= testLease; now += 1000 {
				h.Tick(now)
			}
		}, testLease, false},
		{"woke up, not yet ticked", func(*Holder) {}, 60_000, false},
		{"woke up, ticked, claim not read", func(h *Holder) { h.Tick(60_000) }, 60_000, false},
		{"woke up, claim still there", func(h *Holder) {
			h.Tick(60_000)
			h.Observe(60_000, 0, Claim{Instance: "a", Incarnation: 1, Term: 1}, true)
		}, 60_000, true},
		{"woke up, claim taken", func(h *Holder) {
			h.Tick(60_000)
			h.Observe(60_000, 0, Claim{Instance: "b", Incarnation: 1, Term: 2}, true)
		}, 60_000, false},
		{"released", func(h *Holder) { h.Release(0, 0, Claim{Instance: "a", Incarnation: 1, Term: 1}, true) }, 1, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h, _ := steady(testLease)
			tt.do(h)
			if _, ok := h.Authority(tt.now, 0); ok != tt.want {
				t.Errorf("Authority() = %v, want %v", ok, tt.want)
			}
		})
	}
}

// TestNoBurstFromMovedTeam changes an allowance, and with it the team's slots,
// just after the team has spent everything.
func TestNoBurstFromMovedTeam(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		_, al := steady(testLease)
		draw := func(name string) Allowance {
			burst := rapid.Uint32Range(2, 30).Draw(t, name+" burst")
			return Allowance{Burst: burst, Rate: rapid.Uint32Range(1, 10*burst).Draw(t, name+" rate")}
		}
		before, after := draw("before"), draw("after")
		spent := uint32(0)
		for _, a := range []Allowance{before, after} {
			for _, slot := range SlotsOf(testTeam, a, testSlots) {
				spent += al.Grant(clock.Minute, 0, slot, testTeam, a, 100).Tokens
			}
		}
		if spent > max(before.Burst, after.Burst) {
			t.Fatalf("%d tokens granted at once", spent)
		}
	})
}

// TestBucketsStartEmpty covers a bucket that was forgotten while idle, and one
// of a slot that another daemon held meanwhile: what they granted last must
// not be granted again.
func TestBucketsStartEmpty(t *testing.T) {
	a := Allowance{Rate: 1, Burst: 7200}
	slot := SlotsOf(testTeam, a, testSlots)[0]
	const spentAt = 3 * clock.Hour
	tests := []struct {
		name string
		do   func(al *Allocator) (now, since clock.Millis)
	}{
		{"forgotten while idle", func(al *Allocator) (clock.Millis, clock.Millis) {
			now := spentAt + idleAfter + clock.Second
			al.Sweep(now)
			return now + 30*clock.Second, 0
		}},
		{"slot lost and regained", func(*Allocator) (clock.Millis, clock.Millis) {
			return spentAt + clock.Hour, spentAt + clock.Hour - 30*clock.Second
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, al := steady(testLease)
			if g := al.Grant(spentAt, 0, slot, testTeam, a, 10_000); g.Tokens < 2000 {
				t.Fatalf("a full bucket grants %d", g.Tokens)
			}
			now, since := tt.do(al)
			if g := al.Grant(now, since, slot, testTeam, a, 10_000); g.Tokens > 10 {
				t.Errorf("%d tokens granted 30 s after the bucket was made anew, want at most 10", g.Tokens)
			}
		})
	}
}

func TestSlotOfAnotherTeamGrantsNothing(t *testing.T) {
	_, al := steady(testLease)
	a := Allowance{Rate: 1, Burst: 3}
	granted := uint32(0)
	for slot := range Slot(testSlots) {
		granted += al.Grant(clock.Minute, 0, slot, testTeam, a, 100).Tokens
	}
	if granted > a.Burst {
		t.Errorf("%d tokens granted at once, the burst is %d", granted, a.Burst)
	}
}

func TestSplitNeverExceedsTheWhole(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		burst := rapid.Uint32Range(2, 1_000_000).Draw(t, "burst")
		a := Allowance{Burst: burst, Rate: rapid.Uint32Range(1, min(burst*10, 1_000_000)).Draw(t, "rate")}
		parts := Milli(a.Parts())
		whole := Milli(a.Burst) * Token
		if got := parts * (a.partCapacity() + a.partRate()*Milli(a.TTL()+1)/1000); got > whole {
			t.Fatalf("parts hold %d of %d", got, whole)
		}
		if parts*a.partRate() > Milli(a.Rate)*Token || a.partCapacity() < Token {
			t.Fatalf("rate %d of %d, capacity %d", parts*a.partRate(), a.Rate, a.partCapacity())
		}
		const betweenRegions = 16 * clock.Millisecond
		if a.TTL() < betweenRegions {
			t.Fatalf("time to live is %d ms, a call between regions takes up to %d ms", a.TTL(), betweenRegions)
		}
		seen := map[Slot]bool{}
		for _, s := range SlotsOf(testTeam, a, 48) {
			seen[s] = true
		}
		if len(seen) != int(parts) {
			t.Fatalf("%d different slots for %d parts", len(seen), parts)
		}
	})
}
