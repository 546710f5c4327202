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
	// SlotPrefix is the store prefix of the rate slots' claims.
	SlotPrefix = "rate/slot/"
	slotTick   = time.Second
	// placeEvery bounds how often the placement is worked out anew.
	placeEvery = 5 * clock.Second
	// handOver is how long a slot stays with a holder that the placement no
	// longer names.
	handOver = 10 * clock.Second
)

// LayoutKey is the store key of the number of rate slots. Daemons that count
// them differently would grant a team's rate from different slots.
const LayoutKey = "rate/layout"

// layout is the record of the number of rate slots.
type layout struct {
	Slots int `json:"slots"`
}

// SlotKey returns the store key of a rate slot.
func SlotKey(s limit.Slot) string {
	return fmt.Sprintf("%s%05d", SlotPrefix, s)
}

// slots holds this daemon's rate slots and answers draws.
type slots struct {
	d *Daemon

	mu     sync.Mutex
	holder *limit.Holder
	// preferred holds the slots that the placement gives to this daemon.
	preferred map[limit.Slot]bool
	placed    clock.Millis
	// agreed tells that the store's number of slots is this daemon's.
	agreed bool
	// former holds the slots that an earlier life of this daemon held; nil
	// until they were read. Nobody else may take them before their lease ends.
	former map[limit.Slot]bool
	// astray is since when a held slot is placed elsewhere.
	astray map[limit.Slot]clock.Millis
}

func newSlots(d *Daemon) *slots {
	return &slots{
		d: d,
		holder: limit.NewHolder(limit.HolderConfig{
			Instance: d.instance, Incarnation: d.incarnation,
			Lease: d.cfg.RateLease, ClockError: clockError, PauseLimit: pauseLimit,
		}, d.clk.Now()),
		preferred: map[limit.Slot]bool{},
		astray:    map[limit.Slot]clock.Millis{},
	}
}

// Draw implements entry.Drawer.
func (s *slots) Draw(req *wire.DrawRequest) *wire.DrawReply {
	now := s.d.clk.Now()
	slot := limit.Slot(req.GetSlot())
	s.mu.Lock()
	since, ok := s.holder.Authority(now, slot)
	s.mu.Unlock()
	if !ok {
		return &wire.DrawReply{}
	}
	reply := &wire.DrawReply{HoldsSlot: true}
	for _, it := range req.GetItems() {
		reply.Items = append(reply.Items, s.grant(now, since, slot, it))
	}
	return reply
}

func (s *slots) grant(now, since clock.Millis, slot limit.Slot, it *wire.DrawItem) *wire.GrantItem {
	out := &wire.GrantItem{Team: it.GetTeam(), RetryAfterMs: uint32(clock.Second)}
	team, ok := s.d.table.Team(ident.Team(it.GetTeam()))
	if !ok {
		return out
	}
	g := s.d.allocator.Grant(now, since, slot, team.ID, limit.Allowance{Rate: team.Rate, Burst: team.Burst}, it.GetWant())
	out.Tokens = g.Tokens
	out.TtlMs = uint32(g.TTL)
	out.RetryAfterMs = uint32(g.RetryAfter)
	out.Rich = g.Rich
	return out
}

func (s *slots) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	held, _ := s.holder.Held()
	return len(held)
}

func (s *slots) run(ctx context.Context) {
	tick := time.NewTicker(slotTick)
	defer tick.Stop()
	// The beat is apart from the store calls, which may take long.
	go s.beat(ctx)
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			if !s.agreed && !s.agree(ctx) || s.former == nil && !s.recall(ctx) {
				continue
			}
			s.place()
			s.work(ctx)
		}
	}
}

// agree compares the number of slots with the store's, which the first daemon
// of a fleet writes. A daemon that differs holds no slot.
func (s *slots) agree(ctx context.Context) bool {
	ctx, done := context.WithTimeout(ctx, storeTimeout)
	defer done()
	var l layout
	e, err := s.d.store.Get(ctx, LayoutKey)
	if store.IsNotFound(err) {
		value, err := json.Marshal(layout{Slots: s.d.cfg.RateSlots})
		if err != nil {
			return false
		}
		// Whoever wins, the next turn reads what stands there.
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
	s.agreed = true
	return true
}

func (s *slots) beat(ctx context.Context) {
	every(ctx, slotTick/4, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.holder.Tick(s.d.clk.Now())
	})
}

// place works out which slots this daemon should hold.
func (s *slots) place() {
	now := s.d.clk.Now()
	s.mu.Lock()
	due := s.placed == 0 || now-s.placed >= placeEvery
	s.mu.Unlock()
	if !due {
		return
	}
	regions := map[ident.Region][]ident.Instance{}
	dark := s.d.members.dark(now)
	for _, m := range s.d.members.known() {
		if m.Status == member.StatusAlive && !dark[m.DataCentre] {
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
	s.placed = max(now, 1)
	s.preferred = preferred
}

// work reads the claims of the slots that concern this daemon and writes what
// the holder decides.
func (s *slots) work(ctx context.Context) {
	changed := false
	for _, slot := range s.due() {
		if s.isAstray(slot) {
			changed = s.giveUp(ctx, slot) || changed
			continue
		}
		changed = s.claim(ctx, slot) || changed
	}
	if changed {
		s.tell()
	}
}

// due returns the held slots whose claim needs a write, and the preferred ones
// and those of an earlier life that are not held.
func (s *slots) due() []limit.Slot {
	now := s.d.clk.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	held, _ := s.holder.Held()
	isHeld := map[limit.Slot]bool{}
	var out []limit.Slot
	for _, slot := range held {
		isHeld[slot] = true
		if s.preferred[slot] {
			delete(s.astray, slot)
		} else if s.astray[slot] == 0 {
			s.astray[slot] = now
		}
		if _, write := s.holder.Next(now, slot, true); write || !s.preferred[slot] {
			out = append(out, slot)
		}
	}
	for slot := range s.preferred {
		if !isHeld[slot] {
			out = append(out, slot)
		}
	}
	for slot := range s.former {
		if !isHeld[slot] && !s.preferred[slot] {
			out = append(out, slot)
		}
	}
	return out
}

// isAstray reports whether a held slot has been placed elsewhere for long.
func (s *slots) isAstray(slot limit.Slot) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	since := s.astray[slot]
	return since > 0 && s.d.clk.Now()-since > handOver
}

// tell puts the held slots into this daemon's member record.
func (s *slots) tell() {
	s.mu.Lock()
	held, terms := s.holder.Held()
	s.mu.Unlock()
	claims := make([]member.SlotClaim, 0, len(held))
	for i, slot := range held {
		claims = append(claims, member.SlotClaim{Slot: slot, Term: terms[i]})
	}
	s.d.log.Info("rate slots held", "count", len(claims))
	s.d.members.setSlots(claims)
}

// release gives all slots up, for a planned stop.
func (s *slots) release(ctx context.Context) {
	s.mu.Lock()
	held, _ := s.holder.Held()
	s.mu.Unlock()
	for _, slot := range held {
		if ctx.Err() != nil {
			return
		}
		s.giveUp(ctx, slot)
	}
	s.tell()
}
