package limit

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"

	"chestnutlatch/clock"
	"chestnutlatch/ident"
	"chestnutlatch/record"
)

// sharers are the daemons of several data centres that share one team's rate.
type sharers struct {
	cfg ShareConfig
	// dcs holds the daemons by data centre.
	dcs [][]*Shares
}

func newSharers(cfg ShareConfig, daemons int, team record.Team) *sharers {
	s := &sharers{cfg: cfg}
	for range cfg.Parts {
		var dc []*Shares
		for range daemons {
			dc = append(dc, NewShares(0, rand.New(rand.NewPCG(uint64(len(s.dcs)), uint64(len(dc)))), cfg, only(team)))
		}
		s.dcs = append(s.dcs, dc)
	}
	return s
}

// only is a table of one team.
func only(team record.Team) func(ident.Team) (record.Team, bool) {
	return func(id ident.Team) (record.Team, bool) { return team, id == team.ID }
}

// tell lets the daemons of a data centre hear one of them.
func (s *sharers) tell(now clock.Millis, dc, from int) {
	spent := s.dcs[dc][from].Spent()
	for i, d := range s.dcs[dc] {
		if i != from {
			d.Heard(now, ident.Instance(fmt.Sprint(from)), 1, spent)
		}
	}
}

// tellAll lets all daemons hear those of their data centre.
func (s *sharers) tellAll(now clock.Millis) {
	for dc := range s.dcs {
		for from := range s.dcs[dc] {
			s.tell(now, dc, from)
		}
	}
}

// TestSharesKeepTheTeamsBound floods every daemon, with messages each 100 to
// 250 ms of which some are lost, and counts what all admit together in every
// window.
func TestSharesKeepTheTeamsBound(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		team := record.Team{
			ID: "t", Rate: uint32(rapid.IntRange(5, 60).Draw(rt, "rate")), Burst: uint32(rapid.IntRange(5, 60).Draw(rt, "burst")),
		}
		cfg := ShareConfig{Parts: 6, Window: 5 * clock.Second, Overshoot: 0.1, Slack: 20}
		s := newSharers(cfg, rapid.IntRange(1, 15).Draw(rt, "daemons"), team)
		demand := rapid.Float64Range(0.2, 7.5).Draw(rt, "demand") * float64(team.Rate)
		lost := rapid.Float64Range(0, 0.3).Draw(rt, "lost")
		period := clock.Millis(rapid.IntRange(10, 25).Draw(rt, "period")) * 10
		rnd := rand.New(rand.NewPCG(rapid.Uint64().Draw(rt, "seed"), 1))
		var admitted []clock.Millis
		const step = 10
		perStep := demand * step / 1000
		for now := clock.Millis(1); now < 20_000; now += step {
			for arrivals := perStep; arrivals > 0; arrivals-- {
				if arrivals < 1 && rnd.Float64() > arrivals {
					break
				}
				dc := rnd.IntN(len(s.dcs))
				if s.dcs[dc][rnd.IntN(len(s.dcs[dc]))].Take(now, team).OK {
					admitted = append(admitted, now)
				}
			}
			for dc := range s.dcs {
				for from := range s.dcs[dc] {
					phase := clock.Millis(from*step) % period
					if now%period == phase+1 && rnd.Float64() >= lost {
						s.tell(now, dc, from)
					}
				}
			}
		}
		bound := (float64(team.Rate)*5+float64(team.Burst))*(1+cfg.Overshoot) + cfg.Slack
		first := 0
		for last, at := range admitted {
			for at-admitted[first] > cfg.Window {
				first++
			}
			if n := last - first + 1; float64(n) > bound {
				rt.Fatalf("%d requests in 5 s until %d ms, bound is %.0f", n, at, bound)
			}
		}
	})
}

// TestSharesServeATeamWithinItsRate asks for two thirds of the rate, spread
// evenly: nearly nothing is refused once the buckets have filled.
func TestSharesServeATeamWithinItsRate(t *testing.T) {
	team := record.Team{ID: "t", Rate: 26, Burst: 26}
	s := newSharers(ShareConfig{Parts: 6, Window: 5 * clock.Second, Overshoot: 0.1, Slack: 20}, 6, team)
	rnd := rand.New(rand.NewPCG(1, 2))
	asked, refused := 0, 0
	for now := clock.Millis(1); now < 120_000; now += 10 {
		if rnd.Float64() < 26.0/1.6/100 {
			asked++
			dc := rnd.IntN(6)
			if !s.dcs[dc][rnd.IntN(6)].Take(now, team).OK {
				refused++
			}
		}
		if now%100 == 1 {
			s.tellAll(now)
		}
	}
	if refused*100 > asked {
		t.Errorf("%d of %d requests within the rate were refused", refused, asked)
	}
}

// TestSharesServeASmallTeamThatComesSeldom covers many small teams: each daemon
// sees one of them a few times a minute, from 8 s after its start on, and the
// team asks for half of its rate.
func TestSharesServeASmallTeamThatComesSeldom(t *testing.T) {
	const dcs, daemons = 6, 13
	team := record.Team{ID: "t", Rate: 5, Burst: 5}
	asked, refused := 0, 0
	for seed := range uint64(20) {
		s := newSharers(ShareConfig{Parts: dcs, Window: 5 * clock.Second, Overshoot: 0.1, Slack: 20}, daemons, team)
		rnd := rand.New(rand.NewPCG(seed, 3))
		for now := clock.Millis(8001); now < 40_000; now += 10 {
			if rnd.Float64() < 2.5/100 {
				asked++
				if !s.dcs[rnd.IntN(dcs)][rnd.IntN(daemons)].Take(now, team).OK {
					refused++
				}
			}
			if now%100 == 1 {
				s.tellAll(now)
			}
		}
	}
	if refused*100 > asked {
		t.Errorf("%d of %d requests within the rate were refused", refused, asked)
	}
}

func TestSharesWaitUntilTheNextRequest(t *testing.T) {
	team := record.Team{ID: "t", Rate: 10, Burst: 2}
	s := NewShares(0, rand.New(rand.NewPCG(1, 1)), ShareConfig{Parts: 1, Window: 5 * clock.Second}, only(team))
	now := clock.Millis(1)
	var wait clock.Millis
	for d := (Taking{OK: true}); d.OK; {
		d = s.Take(now, team)
		wait = d.Wait
	}
	if s.Take(now+wait-2, team).OK {
		t.Error("a request was admitted before the time told")
	}
	if !s.Take(now+wait, team).OK {
		t.Error("a request was refused after the time told")
	}
}

// TestGoneDaemonsAreNoRivals covers a data centre whose instances are replaced:
// those that are gone decide on no requests any more.
func TestGoneDaemonsAreNoRivals(t *testing.T) {
	team := record.Team{ID: "t", Rate: 60, Burst: 60}
	s := NewShares(0, rand.New(rand.NewPCG(1, 1)), ShareConfig{Parts: 1, Window: 5 * clock.Second}, only(team))
	for i := range 30 {
		s.Heard(0, ident.Instance(fmt.Sprint(i)), 1, nil)
	}
	refused := 0
	for now := clock.Millis(10_000); now < 15_000; now += 20 {
		if !s.Take(now, team).OK {
			refused++
		}
	}
	if refused > 0 {
		t.Errorf("%d requests within the rate are refused", refused)
	}
}
