package limit

import (
	"sync"

	"chestnutlatch/clock"
	"chestnutlatch/ident"
	"chestnutlatch/record"
)

// ShareConfig says which part of each team's rate a data centre has.
type ShareConfig struct {
	// Parts is the number of data centres that share the rates, at least 1.
	Parts int
	// Window is the span over which a team's excess is bounded, in
	// milliseconds.
	Window clock.Millis
	// Overshoot is the part of a window's requests, and Slack the number of
	// requests, that a team may exceed its rate and burst by in a window.
	Overshoot float64
	Slack     float64
}

// slackPart is the part of the allowed excess that the buckets use; the rest
// covers what several daemons admit before they hear of each other.
const slackPart = 0.5

// startPart is the part of its capacity that a bucket starts with, so that
// daemons that start again do not grant a burst twice.
const startPart = 1.0 / 3

// Spend is the number of a team's requests that one daemon has admitted since
// it started.
type Spend struct {
	Team  ident.Team
	Count uint64
}

// share is the data centre's bucket for one team, as one daemon sees it.
type share struct {
	level float64
	at    clock.Millis
	spent uint64
	// used is when the bucket was last drawn from.
	used clock.Millis
}

// sender is what another daemon of the data centre has told.
type sender struct {
	inc    ident.Incarnation
	counts map[ident.Team]uint64
}

// Shares admits requests against the data centre's part of each team's rate.
// The daemons of a data centre tell each other what they admitted; each keeps
// the same buckets. It is safe for concurrent use.
type Shares struct {
	cfg ShareConfig

	mu      sync.Mutex
	teams   map[ident.Team]*share
	senders map[ident.Instance]*sender
	// records are the limits last seen of each team.
	records map[ident.Team]record.Team
}

// NewShares returns shares with buckets that fill from the first request on.
func NewShares(cfg ShareConfig) *Shares {
	return &Shares{
		cfg: cfg, teams: map[ident.Team]*share{}, senders: map[ident.Instance]*sender{},
		records: map[ident.Team]record.Team{},
	}
}

// SetConfig replaces the data centre's part.
func (s *Shares) SetConfig(cfg ShareConfig) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cfg = cfg
}

func (s *Shares) rate(t record.Team) float64 {
	return float64(t.Rate) / float64(max(s.cfg.Parts, 1))
}

func (s *Shares) capacity(t record.Team) float64 {
	excess := s.cfg.Overshoot*(float64(t.Rate)*float64(s.cfg.Window)/float64(clock.Second)+float64(t.Burst)) + s.cfg.Slack
	return max((float64(t.Burst)+slackPart*excess)/float64(max(s.cfg.Parts, 1)), 1)
}

// refill brings a team's bucket up to a time.
func (s *Shares) refill(now clock.Millis, t record.Team) *share {
	b := s.teams[t.ID]
	if b == nil {
		b = &share{level: max(s.capacity(t)*startPart, 1), at: now}
		s.teams[t.ID] = b
	}
	s.records[t.ID] = t
	b.level += float64(max(now-b.at, 0)) / float64(clock.Second) * s.rate(t)
	b.level = min(b.level, s.capacity(t))
	b.at = max(b.at, now)
	return b
}

// Take spends one request of a team, or returns how long the team should wait.
func (s *Shares) Take(now clock.Millis, t record.Team) (wait clock.Millis, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := s.refill(now, t)
	b.used = now
	if b.level >= 1 {
		b.level--
		b.spent++
		return 0, true
	}
	return clock.Millis((1-b.level)/max(s.rate(t), minRate)*float64(clock.Second)) + 1, false
}

// minRate bounds the wait of a team with a very small part, in requests per
// second.
const minRate = 0.1

// Spent returns what this daemon has admitted, for the others.
func (s *Shares) Spent() []Spend {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]Spend, 0, len(s.teams))
	for id, b := range s.teams {
		if b.spent > 0 {
			out = append(out, Spend{Team: id, Count: b.spent})
		}
	}
	return out
}

// Heard takes in what another daemon of the data centre has admitted. What it
// admitted before it was first heard is not counted again.
func (s *Shares) Heard(now clock.Millis, from ident.Instance, inc ident.Incarnation, spends []Spend) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.senders[from]
	if p == nil || p.inc != inc {
		fresh := p != nil
		p = &sender{inc: inc, counts: map[ident.Team]uint64{}}
		s.senders[from] = p
		if !fresh {
			for _, x := range spends {
				p.counts[x.Team] = x.Count
			}
			return
		}
	}
	for _, x := range spends {
		if x.Count <= p.counts[x.Team] {
			continue
		}
		more := x.Count - p.counts[x.Team]
		p.counts[x.Team] = x.Count
		if t, ok := s.records[x.Team]; ok {
			s.refill(now, t).level -= float64(more)
		}
	}
}
