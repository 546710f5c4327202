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

// drawTimeout bounds one draw, so that another slot can be tried in time.
const drawTimeout = 150 * time.Millisecond

// errNotHolder reports a daemon that does not hold the slot it was asked for.
var errNotHolder = errors.New("instance does not hold the rate slot")

// takeToken spends one token of the team's rate, or says why not.
func (e *Entry) takeToken(ctx context.Context, team record.Team) *fault.Refusal {
	a := limit.Allowance{Rate: team.Rate, Burst: team.Burst}
	var tried []limit.Slot
	answered := false
	for {
		switch d := e.Purse.Take(e.Clock.Now(), team.ID, a, tried).(type) {
		case limit.Admit:
			e.prefetch(team.ID, d.Prefetch)
			return nil
		case limit.Wait:
			if len(tried) > 0 && !answered {
				return fault.NotRun(fault.RateUnavailable,
					"the holders of team %s's rate cannot be reached: repeat after the given time", team.ID).After(d.After)
			}
			return fault.NotRun(fault.OverRate, "team %s is over its rate of %d/s and burst of %d: wait as told, or ask for a higher rate",
				team.ID, team.Rate, team.Burst).After(d.After)
		case limit.Draw:
			// Each slot is asked once for a request; a team over its rate
			// must not turn every request into a stream of draws.
			tried = append(tried, d.Slot)
			if e.draw(ctx, team.ID, d) == nil {
				answered = true
			}
		}
	}
}

// prefetch draws in the background.
func (e *Entry) prefetch(team ident.Team, d limit.Draw) {
	if d.Want == 0 {
		return
	}
	err := e.Pool.Submit(func() { _ = e.draw(context.Background(), team, d) })
	if err != nil {
		e.Purse.Failed(team, d.Slot)
	}
}

// draw takes tokens from the holder of a slot into the purse.
func (e *Entry) draw(ctx context.Context, team ident.Team, d limit.Draw) error {
	e.Meter.Draws.Inc()
	asked := e.Clock.Now()
	req := &wire.DrawRequest{
		Slot:  uint32(d.Slot),
		Items: []*wire.DrawItem{{Team: string(team), Want: d.Want}},
	}
	reply, err := e.askHolder(ctx, d.Slot, req)
	if err == nil && (!reply.GetHoldsSlot() || len(reply.GetItems()) != 1) {
		err = errNotHolder
	}
	if err != nil {
		e.Meter.DrawsFailed.Inc()
		e.Purse.Failed(team, d.Slot)
		return err
	}
	g := reply.GetItems()[0]
	e.Purse.Granted(asked, team, d.Slot, limit.Grant{
		Tokens:     g.GetTokens(),
		TTL:        clock.Millis(g.GetTtlMs()),
		RetryAfter: clock.Millis(g.GetRetryAfterMs()),
		Rich:       g.GetRich(),
	})
	return nil
}

func (e *Entry) askHolder(ctx context.Context, slot limit.Slot, req *wire.DrawRequest) (*wire.DrawReply, error) {
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
