package limit

import (
	"math"
	"math/rand/v2"
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
const slackPart = 0.8

// startPart is the part of its capacity that a bucket starts with, so that
// daemons that start again do not grant a burst twice.
const startPart = 0.25

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
	// asked counts this daemon's own requests, the older ones for less, until
	// used, when the bucket was last drawn from.
	asked float64
	used  clock.Millis
}

const (
	// askedSpan is how long a request counts in a share's asked, in
	// milliseconds: long against the gaps of a rush, short against its length.
	askedSpan = clock.Second
	// unheard is how long the others do not know what a daemon admitted, in
	// milliseconds: two messages, since one may be lost.
	unheard = 200 * clock.Millisecond
	// senderLife is how long a daemon counts after its last message, in
	// milliseconds; without news it sends one each half second.
	senderLife = 3 * clock.Second
)

// rivals is about the number of requests of the team that the data centre's
// daemons decide on before they hear of each other, this one included. They
// come to all daemons alike.
func (s *Shares) rivals(now clock.Millis, b *share) float64 {
	return 1 + b.recent(now)*float64(s.heardSenders(now))*float64(unheard)/float64(askedSpan)
}

// heardSenders counts the other daemons that are heard.
func (s *Shares) heardSenders(now clock.Millis) int {
	n := 0
	for _, p := range s.senders {
		if now-p.at <= senderLife {
			n++
		}
	}
	return n
}

// recent is about the number of own requests in the last askedSpan.
func (b *share) recent(now clock.Millis) float64 {
	return b.asked * math.Exp(-float64(max(now-b.used, 0))/float64(askedSpan))
}

// ask counts an own request.
func (b *share) ask(now clock.Millis) {
	b.asked = b.recent(now) + 1
	b.used = now
}

// sender is what another daemon of the data centre has told.
type sender struct {
	inc ident.Incarnation
	// at is when it was last heard.
	at     clock.Millis
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
	// limits looks up what is in force for a team.
	limits func(ident.Team) (record.Team, bool)
	// began is when this daemon started.
	began clock.Millis
	rnd   *rand.Rand
}

// NewShares returns shares with buckets that fill from now on, whenever their
// teams first ask here. The limits in force are looked up for teams of which
// other daemons tell.
func NewShares(now clock.Millis, rnd *rand.Rand, cfg ShareConfig, limits func(ident.Team) (record.Team, bool)) *Shares {
	return &Shares{
		cfg: cfg, teams: map[ident.Team]*share{}, senders: map[ident.Instance]*sender{}, limits: limits, began: now, rnd: rnd,
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
		b = &share{level: max(s.capacity(t)*startPart, 1), at: s.began}
		s.teams[t.ID] = b
	}
	b.level += float64(max(now-b.at, 0)) / float64(clock.Second) * s.rate(t)
	b.level = min(b.level, s.capacity(t))
	b.at = max(b.at, now)
	return b
}

// Taking is what was decided about one request, and on what grounds.
type Taking struct {
	OK bool
	// Wait is how long the team should wait, in milliseconds, if not OK.
	Wait clock.Millis
	// Level is what the data centre's bucket held, in requests, and Rivals the
	// number of requests that its daemons were about to decide on.
	Level  float64
	Rivals float64
}

// Take spends one request of a team, or says how long the team should wait.
func (s *Shares) Take(now clock.Millis, t record.Team) Taking {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := s.refill(now, t)
	d := Taking{Level: b.level, Rivals: s.rivals(now, b)}
	b.ask(now)
	// Of requests that would empty the bucket several times over before the
	// daemons hear of each other, about as many are admitted as it holds.
	if b.level >= 1 && s.rnd.Float64()*d.Rivals < b.level {
		b.level--
		b.spent++
		d.OK = true
		return d
	}
	missing := 1 - b.level
	if missing <= 0 {
		// What is left goes to others; the next one comes after it.
		missing = 1
	}
	d.Wait = clock.Millis(missing/max(s.rate(t), minRate)*float64(clock.Second)) + 1
	return d
}

// ShareStats tells how the data centre's buckets stand.
type ShareStats struct {
	// Teams counts the buckets.
	Teams int
	// Senders counts the other daemons that are heard.
	Senders int
}

// Stats returns how the buckets stand.
func (s *Shares) Stats(now clock.Millis) ShareStats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return ShareStats{Teams: len(s.teams), Senders: s.heardSenders(now)}
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
	if p != nil {
		p.at = now
	}
	if p == nil || p.inc != inc {
		fresh := p != nil
		p = &sender{inc: inc, at: now, counts: map[ident.Team]uint64{}}
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
		if t, ok := s.limits(x.Team); ok && t.Rate > 0 {
			s.refill(now, t).level -= float64(more)
		}
	}
}
