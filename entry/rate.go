package entry

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"chestnutlatch/clock"
	"chestnutlatch/fault"
	"chestnutlatch/ident"
	"chestnutlatch/limit"
	"chestnutlatch/record"
	"chestnutlatch/wire"
)

// drawTimeout limits one draw, to leave time to try another slot.
const drawTimeout = 150 * time.Millisecond

// errNotHolder reports that no holder of the requested rate slot is known, or that
// the reply to a draw does not contain exactly one grant from the slot's holder.
var errNotHolder = errors.New("instance does not hold the rate slot")

// takeToken takes one token of the team's rate. It draws tokens from the team's slots
// if none are cached, and returns a refusal if no slot grants one.
func (e *Entry) takeToken(ctx context.Context, team record.Team) *fault.Refusal {
	allowance := limit.Allowance{Rate: team.Rate, Burst: team.Burst}
	var tried []limit.Slot
	answered := false
	for {
		switch d := e.TokenCache.Take(e.Clock.Now(), team.ID, allowance, tried).(type) {
		case limit.Admit:
			e.prefetchTokens(team.ID, d.Prefetch)
			return nil
		case limit.Refuse:
			if len(tried) > 0 && !answered {
				return fault.NotRun(fault.RateUnavailable,
					"the holders of team %s's rate cannot be reached: repeat after the given time", team.ID).WithRetryAfter(d.RetryAfter)
			}
			return fault.NotRun(fault.OverRate, "team %s is over its rate of %d/s and burst of %d: wait as told, or ask for a higher rate",
				team.ID, team.Rate, team.Burst).WithRetryAfter(d.RetryAfter)
		case limit.Draw:
			// Each slot is drawn from at most once per request: a team over
			// its rate must not cause many draws for every request.
			tried = append(tried, d.Slot)
			if e.draw(ctx, team.ID, d) == nil {
				answered = true
			}
		}
	}
}

// prefetchTokens draws tokens in the background. It does nothing if d.Want is 0.
func (e *Entry) prefetchTokens(team ident.Team, d limit.Draw) {
	if d.Want == 0 {
		return
	}
	err := e.Pool.Submit(func() { _ = e.draw(context.Background(), team, d) })
	if err != nil {
		e.TokenCache.DrawFailed(team, d.Slot)
	}
}

// draw requests tokens from the holder of a slot and adds them to the token cache.
func (e *Entry) draw(ctx context.Context, team ident.Team, d limit.Draw) error {
	e.Meter.Draws.Inc()
	requestedAt := e.Clock.Now()
	req := &wire.DrawRequest{
		Slot:  uint32(d.Slot),
		Items: []*wire.DrawItem{{Team: string(team), Want: d.Want}},
	}
	reply, err := e.drawFromHolder(ctx, d.Slot, req)
	if err == nil && (!reply.GetHoldsSlot() || len(reply.GetItems()) != 1) {
		err = errNotHolder
	}
	if err != nil {
		e.Meter.DrawsFailed.Inc()
		e.TokenCache.DrawFailed(team, d.Slot)
		return err
	}
	grant := reply.GetItems()[0]
	e.TokenCache.AddGrant(requestedAt, team, d.Slot, limit.Grant{
		Tokens:     grant.GetTokens(),
		TTL:        clock.Millis(grant.GetTtlMs()),
		RetryAfter: clock.Millis(grant.GetRetryAfterMs()),
		HalfFull:   grant.GetRich(),
	})
	return nil
}

// drawFromHolder sends a draw to the holder of the slot, which may be this daemon.
func (e *Entry) drawFromHolder(ctx context.Context, slot limit.Slot, req *wire.DrawRequest) (*wire.DrawReply, error) {
	id, address, ok := e.Fleet.SlotHolder(slot)
	if !ok {
		return nil, errNotHolder
	}
	if id == e.Instance {
		return e.Drawer.Draw(req), nil
	}
	client, err := e.Peers.Get(address)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, drawTimeout)
	defer cancel()
	return client.Draw(ctx, req)
}
