package daemon

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"chestnutlatch/clock"
	"chestnutlatch/ident"
	"chestnutlatch/limit"
	"chestnutlatch/member"
	"chestnutlatch/store"
	"chestnutlatch/wire"
)

const (
	// SlotPrefix is the store prefix of the claims of rate slots.
	SlotPrefix = "rate/slot/"
	slotTick   = time.Second
	// placementInterval is the minimum time between two computations of the
	// placement.
	placementInterval = 5 * clock.Second
	// handOverDelay is how long a holder keeps a slot after the placement assigns
	// it to another daemon.
	handOverDelay = 10 * clock.Second
)

// LayoutKey is the store key of the fleet's number of rate slots. Daemons with
// different numbers would grant a team's rate from different slots.
const LayoutKey = "rate/layout"

// layout is the value of LayoutKey.
type layout struct {
	Slots int `json:"slots"`
}

// SlotKey returns the store key of a rate slot's claim.
func SlotKey(s limit.Slot) string {
	return fmt.Sprintf("%s%05d", SlotPrefix, s)
}

// rateSlots claims and holds this daemon's rate slots and grants tokens from
// them.
type rateSlots struct {
	d *Daemon

	mu     sync.Mutex
	holder *limit.Holder
	// preferred holds the slots that the placement assigns to this daemon.
	preferred map[limit.Slot]bool
	placedAt  clock.Millis
	// layoutMatches is set once the store's number of slots was found equal to
	// this daemon's.
	layoutMatches bool
	// formerlyHeld holds the slots held by an earlier incarnation of this daemon;
	// nil until the claims are read. No other daemon may claim them before their
	// lease ends.
	formerlyHeld map[limit.Slot]bool
	// misplacedSince is when the placement first assigned a held slot to another
	// daemon.
	misplacedSince map[limit.Slot]clock.Millis
}

func newRateSlots(d *Daemon) *rateSlots {
	return &rateSlots{
		d: d,
		holder: limit.NewHolder(limit.HolderConfig{
			Instance: d.instance, Incarnation: d.incarnation,
			Lease: d.cfg.RateLease, ClockError: maxClockDrift, PauseLimit: pauseLimit,
		}, d.clk.Now()),
		preferred:      map[limit.Slot]bool{},
		misplacedSince: map[limit.Slot]clock.Millis{},
	}
}

// Draw implements entry.Drawer. It is safe for concurrent use. A daemon that
// may not grant from the slot returns an empty reply.
func (s *rateSlots) Draw(req *wire.DrawRequest) *wire.DrawReply {
	now := s.d.clk.Now()
	slot := limit.Slot(req.GetSlot())
	s.mu.Lock()
	since, ok := s.holder.GrantingSince(now, slot)
	s.mu.Unlock()
	if !ok {
		return &wire.DrawReply{}
	}
	reply := &wire.DrawReply{HoldsSlot: true}
	for _, item := range req.GetItems() {
		reply.Items = append(reply.Items, s.grant(now, since, slot, item))
	}
	return reply
}

func (s *rateSlots) grant(now, since clock.Millis, slot limit.Slot, item *wire.DrawItem) *wire.GrantItem {
	out := &wire.GrantItem{Team: item.GetTeam(), RetryAfterMs: uint32(clock.Second)}
	team, ok := s.d.table.Team(ident.Team(item.GetTeam()))
	if !ok {
		return out
	}
	g := s.d.allocator.Grant(now, since, slot, team.ID, limit.Allowance{Rate: team.Rate, Burst: team.Burst}, item.GetWant())
	out.Tokens = g.Tokens
	out.TtlMs = uint32(g.TTL)
	out.RetryAfterMs = uint32(g.RetryAfter)
	out.Rich = g.HalfFull
	return out
}

// heldCount returns the number of slots that this daemon holds.
func (s *rateSlots) heldCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	held, _ := s.holder.Held()
	return len(held)
}

func (s *rateSlots) run(ctx context.Context) {
	tick := time.NewTicker(slotTick)
	defer tick.Stop()
	// Ticks run in their own goroutine, since slow store calls would look like
	// a paused process.
	go s.tickHolder(ctx)
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			if !s.layoutMatches && !s.checkLayout(ctx) || s.formerlyHeld == nil && !s.readFormerClaims(ctx) {
				continue
			}
			s.updatePlacement()
			s.writeDueClaims(ctx)
		}
	}
}

// checkLayout compares this daemon's number of slots with the one in the store,
// which the first daemon of the fleet writes. With another number, the daemon
// holds no slots.
func (s *rateSlots) checkLayout(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	var l layout
	e, err := s.d.store.Get(ctx, LayoutKey)
	if store.IsNotFound(err) {
		value, err := json.Marshal(layout{Slots: s.d.cfg.RateSlots})
		if err != nil {
			return false
		}
		// If several daemons write at once, one succeeds. The next call reads
		// its value.
		_, _ = s.d.store.Swap(ctx, LayoutKey, store.Absent, value, store.NoLease)
		return false
	}
	if err != nil {
		return false
	}
	if err := json.Unmarshal(e.Value, &l); err != nil || l.Slots != s.d.cfg.RateSlots {
		s.d.log.Error("rate slots differ from the fleet's: set [rate] slots to the fleet's number and restart",
			"setting", s.d.cfg.RateSlots, "fleet", l.Slots)
		return false
	}
	s.layoutMatches = true
	return true
}

func (s *rateSlots) tickHolder(ctx context.Context) {
	runEvery(ctx, slotTick/4, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.holder.Tick(s.d.clk.Now())
	})
}

// updatePlacement computes which slots this daemon should hold, at most every
// placementInterval. Members of unreachable data centres get none.
func (s *rateSlots) updatePlacement() {
	now := s.d.clk.Now()
	s.mu.Lock()
	due := s.placedAt == 0 || now-s.placedAt >= placementInterval
	s.mu.Unlock()
	if !due {
		return
	}
	regions := map[ident.Region][]ident.Instance{}
	unreachable := s.d.members.unreachableDataCentres(now)
	for _, m := range s.d.members.allMembers() {
		if m.Status == member.StatusAlive && !unreachable[m.DataCentre] {
			regions[m.Region] = append(regions[m.Region], m.Instance)
		}
	}
	preferred := map[limit.Slot]bool{}
	for slot := range limit.Slot(s.d.cfg.RateSlots) {
		if limit.Place(slot, regions) == s.d.instance {
			preferred[slot] = true
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.placedAt = max(now, 1)
	s.preferred = preferred
}

// writeDueClaims releases the slots whose hand-over is due and updates the claims
// of the other due slots. If the held slots may have changed, it publishes them.
func (s *rateSlots) writeDueClaims(ctx context.Context) {
	changed := false
	for _, slot := range s.dueSlots() {
		if s.isHandOverDue(slot) {
			changed = s.releaseSlot(ctx, slot) || changed
			continue
		}
		changed = s.claimSlot(ctx, slot) || changed
	}
	if changed {
		s.publishHeld()
	}
}

// dueSlots returns the slots whose claims need a store call: held slots whose
// claim must be renewed or that are placed elsewhere, and preferred or formerly
// held slots that this daemon does not hold.
func (s *rateSlots) dueSlots() []limit.Slot {
	now := s.d.clk.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	held, _ := s.holder.Held()
	isHeld := map[limit.Slot]bool{}
	var out []limit.Slot
	for _, slot := range held {
		isHeld[slot] = true
		if s.preferred[slot] {
			delete(s.misplacedSince, slot)
		} else if s.misplacedSince[slot] == 0 {
			s.misplacedSince[slot] = now
		}
		if _, write := s.holder.NextClaim(now, slot, true); write || !s.preferred[slot] {
			out = append(out, slot)
		}
	}
	for slot := range s.preferred {
		if !isHeld[slot] {
			out = append(out, slot)
		}
	}
	for slot := range s.formerlyHeld {
		if !isHeld[slot] && !s.preferred[slot] {
			out = append(out, slot)
		}
	}
	return out
}

// isHandOverDue reports whether a held slot has been placed elsewhere for longer
// than handOverDelay.
func (s *rateSlots) isHandOverDue(slot limit.Slot) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	since := s.misplacedSince[slot]
	return since > 0 && s.d.clk.Now()-since > handOverDelay
}

// publishHeld writes the held slots to this daemon's member record.
func (s *rateSlots) publishHeld() {
	s.mu.Lock()
	held, terms := s.holder.Held()
	s.mu.Unlock()
	claims := make([]member.SlotClaim, 0, len(held))
	for i, slot := range held {
		claims = append(claims, member.SlotClaim{Slot: slot, Term: terms[i]})
	}
	s.d.log.Info("held rate slots published", "count", len(claims))
	s.d.members.setSlots(claims)
}

// releaseAll releases all slots at a planned stop, until ctx ends.
func (s *rateSlots) releaseAll(ctx context.Context) {
	s.mu.Lock()
	held, _ := s.holder.Held()
	s.mu.Unlock()
	for _, slot := range held {
		if ctx.Err() != nil {
			return
		}
		s.releaseSlot(ctx, slot)
	}
	s.publishHeld()
}
