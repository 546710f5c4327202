package limit

import (
	"math"
	"math/rand/v2"
	"sync"

	"chestnutlatch/clock"
	"chestnutlatch/ident"
	"chestnutlatch/record"
)

// ShareConfig sets each data centre's share of the teams' rates and the excess
// that is allowed.
type ShareConfig struct {
	// DataCentres is the number of data centres that share the rates equally. A
	// value below 1 counts as 1.
	DataCentres int
	// Window is the span over which a team's excess is bounded, in
	// milliseconds.
	Window clock.Millis
	// A team may exceed its rate and burst in a window by the fraction Overshoot
	// of the window's requests plus Slack requests.
	Overshoot float64
	Slack     float64
}

// excessInCapacity is the fraction of the allowed excess that is added to the
// capacity of the buckets. The rest covers what several daemons admit before
// they have each other's counts.
const excessInCapacity = 0.8

// initialLevel is the fraction of its capacity that a new bucket starts with.
// With full buckets, daemons that restart would grant a burst twice.
const initialLevel = 0.25

// learnTime is how long after its start a limiter applies the levels that other daemons
// report, in milliseconds.
const learnTime = 3 * clock.Second

// silentStart is how long a limiter that has heard of no other daemon admits nothing after
// its start, in milliseconds. Daemons send a message at least every half second.
const silentStart = 600 * clock.Millisecond

// AdmittedCount is the number of a team's requests that one daemon has admitted
// since it started.
type AdmittedCount struct {
	Team  ident.Team
	Count uint64
	// IsLow is true if the bucket holds less than a new one would, and the daemon has run
	// for long enough to know. Level is then what it holds, in requests; it can be
	// negative.
	IsLow bool
	Level float64
}

// shareBucket is one daemon's copy of the data centre's token bucket for one
// team.
type shareBucket struct {
	// level is in requests; the admissions of other daemons can make it
	// negative.
	level      float64
	lastRefill clock.Millis
	// admitted counts the requests that this daemon has admitted.
	admitted uint64
	// decayedRequests counts the requests to this daemon, with weights that
	// decay exponentially, as of lastRequest.
	decayedRequests float64
	lastRequest     clock.Millis
}

const (
	// requestDecay is the time constant of decayedRequests, in milliseconds:
	// long compared with the gaps in a traffic surge, short compared with the
	// surge.
	requestDecay = clock.Second
	// reportDelay is the time after which the other daemons have a daemon's
	// counts, in milliseconds. It covers two messages, since one may be lost.
	reportDelay = 200 * clock.Millisecond
	// peerTimeout is how long a daemon counts as live after its last message, in
	// milliseconds. A daemon without changes sends a message every half second.
	peerTimeout = 3 * clock.Second
)

// competingRequests estimates the number of the team's requests that the data
// centre's daemons decide on before they have each other's counts, this request
// included. It assumes that the team's requests are spread evenly over the
// daemons.
func (s *ShareLimiter) competingRequests(now clock.Millis, b *shareBucket) float64 {
	return 1 + b.recentRequests(now)*float64(s.livePeers(now))*float64(reportDelay)/float64(requestDecay)
}

// livePeers counts the other daemons that sent a message within peerTimeout.
func (s *ShareLimiter) livePeers(now clock.Millis) int {
	n := 0
	for _, p := range s.peers {
		if now-p.lastReport <= peerTimeout {
			n++
		}
	}
	return n
}

// recentRequests estimates the number of requests to this daemon in the last
// requestDecay.
func (b *shareBucket) recentRequests(now clock.Millis) float64 {
	return b.decayedRequests * math.Exp(-float64(max(now-b.lastRequest, 0))/float64(requestDecay))
}

// countRequest counts a request to this daemon.
func (b *shareBucket) countRequest(now clock.Millis) {
	b.decayedRequests = b.recentRequests(now) + 1
	b.lastRequest = now
}

// peer holds the last counts of another daemon of the data centre.
type peer struct {
	incarnation ident.Incarnation
	// lastReport is when its last message arrived.
	lastReport clock.Millis
	counts     map[ident.Team]uint64
}

// ShareLimiter admits requests against the data centre's share of each team's
// rate. The daemons of a data centre send each other what they admitted, and
// each keeps a copy of the same buckets. It is safe for concurrent use.
type ShareLimiter struct {
	cfg ShareConfig

	mu      sync.Mutex
	buckets map[ident.Team]*shareBucket
	peers   map[ident.Instance]*peer
	// teamLimits returns the rate and burst in force for a team, and false for
	// an unknown team.
	teamLimits func(ident.Team) (record.Team, bool)
	// started is when the limiter was created.
	started clock.Millis
	// learned is true if the levels of another daemon were applied after the start.
	learned bool
	rnd     *rand.Rand
}

// NewShareLimiter returns a limiter without buckets. A team's bucket is created at
// the first request to this daemon or the first admission that another daemon
// reports. It is refilled for the time since now, the start of the limiter. rnd is
// used with the limiter's lock held. teamLimits returns the rate and burst in force
// for a team, and false for an unknown team; it is called for the teams in other
// daemons' counts, with the lock held.
func NewShareLimiter(now clock.Millis, rnd *rand.Rand, cfg ShareConfig, teamLimits func(ident.Team) (record.Team, bool)) *ShareLimiter {
	return &ShareLimiter{
		cfg: cfg, buckets: map[ident.Team]*shareBucket{}, peers: map[ident.Instance]*peer{}, teamLimits: teamLimits, started: now, rnd: rnd,
	}
}

// SetConfig replaces the configuration. The buckets keep their levels, up to
// the new capacity.
func (s *ShareLimiter) SetConfig(cfg ShareConfig) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cfg = cfg
}

// rate returns the data centre's share of a team's rate, in requests per
// second.
func (s *ShareLimiter) rate(t record.Team) float64 {
	return float64(t.Rate) / float64(max(s.cfg.DataCentres, 1))
}

// capacity returns the capacity of the data centre's bucket for a team, in
// requests, at least 1.
func (s *ShareLimiter) capacity(t record.Team) float64 {
	excess := s.cfg.Overshoot*(float64(t.Rate)*float64(s.cfg.Window)/float64(clock.Second)+float64(t.Burst)) + s.cfg.Slack
	return max((float64(t.Burst)+excessInCapacity*excess)/float64(max(s.cfg.DataCentres, 1)), 1)
}

// refill returns a team's bucket, filled up to the time now. It creates the
// bucket if there is none.
func (s *ShareLimiter) refill(now clock.Millis, t record.Team) *shareBucket {
	b := s.buckets[t.ID]
	if b == nil {
		b = &shareBucket{level: s.initialLevel(t), lastRefill: s.started}
		s.buckets[t.ID] = b
	}
	b.level += float64(max(now-b.lastRefill, 0)) / float64(clock.Second) * s.rate(t)
	b.level = min(b.level, s.capacity(t))
	b.lastRefill = max(b.lastRefill, now)
	return b
}

// initialLevel returns the level of a new bucket of a team.
func (s *ShareLimiter) initialLevel(t record.Team) float64 { return max(s.capacity(t)*initialLevel, 1) }

// ShareDecision is the decision on one request, with the values that it was
// based on.
type ShareDecision struct {
	// OK reports whether the request is admitted.
	OK bool
	// Wait is how long the team should wait, in milliseconds; 0 if OK.
	Wait clock.Millis
	// Level is what the data centre's bucket held before the decision, in
	// requests. It can be negative.
	Level float64
	// CompetingRequests is the estimated number of the team's requests that the
	// data centre's daemons decide on before they have each other's counts, this
	// one included. It is at least 1.
	CompetingRequests float64
}

// HasTokens reports whether the team's bucket holds a request. It takes nothing.
func (s *ShareLimiter) HasTokens(now clock.Millis, t record.Team) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.refill(now, t).level >= 1
}

// Take admits one request of a team and takes it from the bucket, or returns
// how long the team should wait.
func (s *ShareLimiter) Take(now clock.Millis, t record.Team) ShareDecision {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := s.refill(now, t)
	d := ShareDecision{Level: b.level, CompetingRequests: s.competingRequests(now, b)}
	b.countRequest(now)
	// If the competing requests exceed the level, each is admitted with the
	// probability level/competing, so that about as many are admitted as the
	// bucket holds.
	// After a restart, the data centre's bucket may be empty without this daemon knowing.
	uninformed := now-s.started < silentStart && len(s.peers) == 0
	if !uninformed && b.level >= 1 && s.rnd.Float64()*d.CompetingRequests < b.level {
		b.level--
		b.admitted++
		d.OK = true
		return d
	}
	missing := 1 - b.level
	if missing <= 0 {
		// The competing requests use up the level; the team waits for one more
		// token.
		missing = 1
	}
	d.Wait = clock.Millis(missing/max(s.rate(t), minWaitRate)*float64(clock.Second)) + 1
	if uninformed {
		d.Wait = max(d.Wait, s.started+silentStart-now)
	}
	return d
}

// ShareStats counts the teams and daemons that take part in the data centre's
// limits.
type ShareStats struct {
	// Teams is the number of teams with a bucket.
	Teams int
	// Peers is the number of other daemons that sent a message in the last 3 s.
	Peers int
}

// shareIdleTime is the time after which the full bucket of a team without requests and
// the counts of a silent daemon are dropped, in milliseconds. A daemon that returns sets
// a new starting point.
const shareIdleTime = 10 * clock.Minute

// Sweep drops the full buckets of teams that no daemon of the data centre has admitted
// for shareIdleTime, all state of unknown teams, and the counts of daemons that were
// silent for shareIdleTime. A bucket from which this daemon has admitted requests is kept: the other
// daemons have its count, which must not go back.
func (s *ShareLimiter) Sweep(now clock.Millis) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, p := range s.peers {
		if now-p.lastReport > shareIdleTime {
			delete(s.peers, id)
		}
	}
	for team, b := range s.buckets {
		if now-b.lastRefill <= shareIdleTime {
			continue
		}
		t, known := s.teamLimits(team)
		if !known || b.admitted == 0 && s.refill(now, t).level >= s.capacity(t) {
			delete(s.buckets, team)
		}
	}
	for _, p := range s.peers {
		for team := range p.counts {
			if _, known := s.teamLimits(team); !known {
				delete(p.counts, team)
			}
		}
	}
}

// Stats returns the current counts of teams and daemons.
func (s *ShareLimiter) Stats(now clock.Millis) ShareStats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return ShareStats{Teams: len(s.buckets), Peers: s.livePeers(now)}
}

// minWaitRate bounds the wait of a team with a very small share, in requests
// per second.
const minWaitRate = 0.1

// AdmittedCounts returns what this daemon has admitted since it started, for the
// other daemons of the data centre, and the level of its buckets that are low. Teams
// without an admitted request are left out unless their bucket is low; the order is
// undefined.
func (s *ShareLimiter) AdmittedCounts(now clock.Millis) []AdmittedCount {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]AdmittedCount, 0, len(s.buckets))
	for team, b := range s.buckets {
		t, known := s.teamLimits(team)
		isLow := known && t.Rate > 0 && (s.learned || now-s.started > learnTime) && s.refill(now, t).level < s.initialLevel(t)
		if b.admitted > 0 || isLow {
			out = append(out, AdmittedCount{Team: team, Count: b.admitted, IsLow: isLow, Level: b.level})
		}
	}
	return out
}

// ApplyPeerCounts applies the counts of another daemon of the data centre: what
// it admitted since its last message is taken from the buckets. The first message
// of an instance takes nothing: what it admitted earlier does not count. After a
// restart of the instance, with a new incarnation, everything that it has
// admitted is taken.
func (s *ShareLimiter) ApplyPeerCounts(now clock.Millis, from ident.Instance, incarnation ident.Incarnation, counts []AdmittedCount) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.peers[from]
	if p != nil {
		p.lastReport = now
	}
	if p == nil || p.incarnation != incarnation {
		restarted := p != nil
		p = &peer{incarnation: incarnation, lastReport: now, counts: map[ident.Team]uint64{}}
		s.peers[from] = p
		if !restarted {
			for _, c := range counts {
				p.counts[c.Team] = c.Count
			}
			s.learnLevels(now, counts)
			return
		}
	}
	// The reported levels include the counts, which are taken from the buckets first.
	defer s.learnLevels(now, counts)
	for _, c := range counts {
		if c.Count <= p.counts[c.Team] {
			continue
		}
		admitted := c.Count - p.counts[c.Team]
		p.counts[c.Team] = c.Count
		if t, ok := s.teamLimits(c.Team); ok && t.Rate > 0 {
			s.refill(now, t).level -= float64(admitted)
		}
	}
}

// learnLevels lowers the buckets of a limiter that has just started to the levels that
// another daemon of the data centre reports: what the data centre admitted before the start
// is in those. Otherwise each restart would add the initial level to a team's rate.
func (s *ShareLimiter) learnLevels(now clock.Millis, counts []AdmittedCount) {
	if now-s.started > learnTime {
		return
	}
	for _, c := range counts {
		if t, ok := s.teamLimits(c.Team); ok && t.Rate > 0 && c.IsLow {
			b := s.refill(now, t)
			b.level = min(b.level, c.Level)
			s.learned = true
		}
	}
}
