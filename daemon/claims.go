package daemon

import (
	"context"
	"encoding/json"

	"github.com/go-faster/errors"

	"chestnutlatch/limit"
	"chestnutlatch/store"
)

// recall reads all claims once and notes those of an earlier life.
func (s *slots) recall(ctx context.Context) bool {
	ctx, done := context.WithTimeout(ctx, storeTimeout)
	defer done()
	entries, _, err := s.d.store.List(ctx, SlotPrefix, "", s.d.cfg.RateSlots)
	if err != nil {
		return false
	}
	claims := map[string]limit.Claim{}
	for _, e := range entries {
		var c limit.Claim
		if err := json.Unmarshal(e.Value, &c); err == nil {
			claims[e.Key] = c
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.former = map[limit.Slot]bool{}
	for slot := range limit.Slot(s.d.cfg.RateSlots) {
		c, found := claims[SlotKey(slot)]
		if found && s.holder.IsFormerSelf(c) && !c.Released {
			s.former[slot] = true
		}
	}
	return true
}

// claim reads one slot's record and writes this daemon's claim if it may.
func (s *slots) claim(ctx context.Context, slot limit.Slot) bool {
	asked := s.d.clk.Now()
	c, rev, found, err := s.readClaim(ctx, slot)
	if err != nil {
		return false
	}
	s.mu.Lock()
	lost := s.holder.Observe(asked, slot, c, found)
	next, write := s.holder.Next(s.d.clk.Now(), slot, s.preferred[slot])
	if found && !s.holder.IsFormerSelf(c) {
		// The slot is taken over, by this life or by another daemon.
		delete(s.former, slot)
	}
	s.mu.Unlock()
	if !write {
		return lost
	}
	return s.write(ctx, slot, rev, next)
}

func (s *slots) giveUp(ctx context.Context, slot limit.Slot) bool {
	asked := s.d.clk.Now()
	read, rev, found, err := s.readClaim(ctx, slot)
	if err != nil {
		return false
	}
	s.mu.Lock()
	c, ok := s.holder.Release(asked, slot, read, found)
	delete(s.astray, slot)
	s.mu.Unlock()
	if !ok {
		return false
	}
	s.d.allocator.Forget(slot)
	s.write(ctx, slot, rev, c)
	return true
}

func (s *slots) readClaim(ctx context.Context, slot limit.Slot) (limit.Claim, store.Revision, bool, error) {
	ctx, done := context.WithTimeout(ctx, storeTimeout)
	defer done()
	var c limit.Claim
	e, err := s.d.store.Get(ctx, SlotKey(slot))
	if store.IsNotFound(err) {
		return c, store.Absent, false, nil
	}
	if err != nil {
		return c, 0, false, err
	}
	err = json.Unmarshal(e.Value, &c)
	if err != nil {
		return c, e.Revision, true, errors.Wrapf(err, "rate slot %d", slot)
	}
	return c, e.Revision, true, nil
}

func (s *slots) write(ctx context.Context, slot limit.Slot, rev store.Revision, c limit.Claim) bool {
	ctx, done := context.WithTimeout(ctx, storeTimeout)
	defer done()
	value, err := json.Marshal(c)
	if err != nil {
		return false
	}
	asked := s.d.clk.Now()
	if _, err := s.d.store.Swap(ctx, SlotKey(slot), rev, value, store.NoLease); err != nil {
		s.d.log.Debug("rate slot not written", "slot", uint32(slot), "error", err)
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.holder.Wrote(asked, slot, c, s.d.clk.Now())
	return true
}
