package daemon

import (
	"context"
	"encoding/json"

	"github.com/go-faster/errors"

	"chestnutlatch/limit"
	"chestnutlatch/store"
)

// readFormerClaims reads all claims and records the unreleased ones of an earlier
// incarnation in formerlyHeld. It reports whether the store could be read.
func (s *rateSlots) readFormerClaims(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
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
	s.formerlyHeld = map[limit.Slot]bool{}
	for slot := range limit.Slot(s.d.cfg.RateSlots) {
		c, found := claims[SlotKey(slot)]
		if found && s.holder.IsEarlierIncarnation(c) && !c.Released {
			s.formerlyHeld[slot] = true
		}
	}
	return true
}

// claimSlot reads the claim of a slot and writes this daemon's claim over it if
// the holder allows it. It reports whether a claim was written or, if none was to be
// written, whether the slot was lost.
func (s *rateSlots) claimSlot(ctx context.Context, slot limit.Slot) bool {
	sentAt := s.d.clk.Now()
	c, rev, found, err := s.readClaim(ctx, slot)
	if err != nil {
		return false
	}
	s.mu.Lock()
	lost := s.holder.Observe(sentAt, slot, c, found)
	next, write := s.holder.NextClaim(s.d.clk.Now(), slot, s.preferred[slot])
	if found && !s.holder.IsEarlierIncarnation(c) {
		// This incarnation or another daemon has taken the slot over.
		delete(s.formerlyHeld, slot)
	}
	s.mu.Unlock()
	if !write {
		return lost
	}
	return s.writeClaim(ctx, slot, rev, next)
}

// releaseSlot writes a released claim if this daemon holds the slot. It reports
// whether the holder released it.
func (s *rateSlots) releaseSlot(ctx context.Context, slot limit.Slot) bool {
	sentAt := s.d.clk.Now()
	current, rev, found, err := s.readClaim(ctx, slot)
	if err != nil {
		return false
	}
	s.mu.Lock()
	c, ok := s.holder.Release(sentAt, slot, current, found)
	delete(s.misplacedSince, slot)
	s.mu.Unlock()
	if !ok {
		return false
	}
	s.d.allocator.DropSlot(slot)
	s.writeClaim(ctx, slot, rev, c)
	return true
}

func (s *rateSlots) readClaim(ctx context.Context, slot limit.Slot) (limit.Claim, store.Revision, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
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
		return c, e.Revision, true, errors.Wrapf(err, "decode the claim of rate slot %d", slot)
	}
	return c, e.Revision, true, nil
}

func (s *rateSlots) writeClaim(ctx context.Context, slot limit.Slot, rev store.Revision, c limit.Claim) bool {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	value, err := json.Marshal(c)
	if err != nil {
		return false
	}
	sentAt := s.d.clk.Now()
	if _, err := s.d.store.Swap(ctx, SlotKey(slot), rev, value, store.NoLease); err != nil {
		s.d.log.Debug("failed to write the claim of a rate slot", "slot", uint32(slot), "error", err)
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.holder.RecordWrite(sentAt, slot, c, s.d.clk.Now())
	return true
}
