package member

import (
	"math/rand/v2"
	"sort"

	"chestnutlatch/clock"
	"chestnutlatch/ident"
)

const (
	// relayCount is the number of members asked to probe on our behalf.
	relayCount = 3
	// remotePart sends one probe in remotePart to another data centre.
	remotePart = 4
	// spreadFactor times the decimal digits of the fleet's size is how often
	// a change is passed on.
	spreadFactor = 3
	// maxSpread bounds the records in one probe.
	maxSpread = 4
)

// known is a member with what this daemon knows of it locally.
type known struct {
	member *Member
	// since is when this content was first seen here.
	since clock.Millis
	// heard is when the member itself was last heard.
	heard clock.Millis
	// revision is the configuration revision the member last told.
	revision ident.Revision
}

// probe is a ping that waits for its ack.
type probe struct {
	to      ident.Instance
	sent    clock.Millis
	relayed bool
}

// relay is a ping made on behalf of another member.
type relay struct {
	to       string
	sequence uint64
	sent     clock.Millis
}

// View is one daemon's picture of the fleet. It is not safe for concurrent
// use.
type View struct {
	cfg  Config
	rnd  *rand.Rand
	self *Member
	// members holds every known record, self included.
	members map[ident.Instance]*known
	// order holds the ids of members, shuffled; next walks through it.
	order    []ident.Instance
	next     int
	sequence uint64
	probes   map[uint64]probe
	relays   map[uint64]relay
	// spread counts how often each fresh record was passed on.
	spread     map[ident.Instance]int
	revision   ident.Revision
	nextProbe  clock.Millis
	nextDigest clock.Millis
	nextReport clock.Millis
	nextScan   clock.Millis
}

// New returns a view that knows only its own daemon.
func New(cfg Config, self Member, rnd *rand.Rand, now clock.Millis) *View {
	v := &View{
		cfg: cfg, rnd: rnd, self: &self,
		members: map[ident.Instance]*known{},
		probes:  map[uint64]probe{},
		relays:  map[uint64]relay{},
		spread:  map[ident.Instance]int{},
	}
	v.store(&self, now, true)
	return v
}

// Self returns the daemon's own record.
func (v *View) Self() *Member { return v.self }

// Get returns a member's record.
func (v *View) Get(id ident.Instance) (*Member, bool) {
	k, ok := v.members[id]
	if !ok {
		return nil, false
	}
	return k.member, true
}

// Members returns all records, sorted by instance.
func (v *View) Members() []*Member {
	out := make([]*Member, 0, len(v.members))
	for _, k := range v.members {
		out = append(out, k.member)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Instance < out[j].Instance })
	return out
}

// LowestRevision returns the lowest configuration revision among the live
// members of this data centre that were heard since the given time, and the
// number of live members that were not.
func (v *View) LowestRevision(since clock.Millis) (lowest ident.Revision, silent int) {
	lowest = v.revision
	for id, k := range v.members {
		if id == v.self.Instance || !k.member.IsUp() || k.member.DataCentre != v.self.DataCentre {
			continue
		}
		if k.heard < since {
			silent++
			continue
		}
		lowest = min(lowest, k.revision)
	}
	return lowest, silent
}

// SetRevision sets the configuration revision told to peers.
func (v *View) SetRevision(r ident.Revision) { v.revision = r }

// Vitals returns a message with vitals for a member, if it is known.
func (v *View) Vitals(to ident.Instance, vitals []Vital) []Effect {
	if _, ok := v.members[to]; !ok || to == v.self.Instance {
		return nil
	}
	return []Effect{v.sendTo(to, Message{Kind: MessageVitals, Vitals: vitals})}
}

// Update changes the daemon's own record.
func (v *View) Update(now clock.Millis, fn func(*Member)) []Effect {
	next := *v.self
	fn(&next)
	next.Version++
	v.self = &next
	v.store(v.self, now, true)
	return []Effect{Changed{Member: v.self}}
}

// Leave tells the fleet that this daemon stops as planned.
func (v *View) Leave(now clock.Millis) []Effect {
	effects := v.Update(now, func(m *Member) { m.Status = StatusLeft })
	for _, id := range v.randomPeers(2*relayCount, func(m *Member) bool { return m.IsUp() }) {
		effects = append(effects, v.sendTo(id, Message{Kind: MessagePing, Sequence: v.nextSequence()}))
	}
	return effects
}

// Join adds records from the first contact.
func (v *View) Join(now clock.Millis, members []*Member) []Effect {
	return v.merge(now, members, false)
}

// Tick does what is due: probes, time-outs, digests and forgetting.
func (v *View) Tick(now clock.Millis) []Effect {
	effects := v.checkProbes(now)
	if now >= v.nextScan {
		v.nextScan = now + v.cfg.ProbeEvery
		effects = append(effects, v.checkSuspects(now)...)
	}
	if now >= v.nextProbe {
		v.nextProbe = now + v.cfg.ProbeEvery
		effects = append(effects, v.probeNext(now)...)
	}
	if now >= v.nextDigest {
		v.nextDigest = now + v.cfg.DigestEvery/2 + clock.Millis(v.rnd.Int64N(int64(v.cfg.DigestEvery)))
		effects = append(effects, v.sendDigest()...)
	}
	if now >= v.nextReport {
		v.nextReport = now + v.cfg.ReportEvery
		effects = append(effects, v.PingReporters()...)
	}
	return effects
}

// Receive handles one message; from is the address it came from.
func (v *View) Receive(now clock.Millis, from string, m Message) []Effect {
	if m.Sender == v.self.Instance {
		return nil
	}
	// Records that mend a difference are known elsewhere; only news spreads.
	effects := v.merge(now, m.Members, m.Kind != MessageMembers)
	effects = append(effects, v.hear(now, m)...)
	switch m.Kind {
	case MessagePing:
		ack := Message{Kind: MessageAck, Sequence: m.Sequence}
		effects = append(effects, v.sendAddr(from, ack))
	case MessageAck:
		effects = append(effects, v.receiveAck(now, m)...)
	case MessageProbe:
		effects = append(effects, v.receiveProbe(now, from, m)...)
	case MessageDigest:
		effects = append(effects, v.answerDigest(from, m)...)
	case MessageMembers, MessageVitals:
	}
	return effects
}

// hear notes that the sender itself is heard.
func (v *View) hear(now clock.Millis, m Message) []Effect {
	k := v.members[m.Sender]
	if k == nil || k.member.Incarnation != m.Incarnation {
		return nil
	}
	k.heard = now
	k.revision = max(k.revision, m.Revision)
	if m.Revision > v.revision {
		return []Effect{Behind{Peer: m.Sender, Revision: m.Revision}}
	}
	return nil
}

// merge takes in records that are newer than the known ones.
func (v *View) merge(now clock.Millis, members []*Member, spread bool) []Effect {
	var effects []Effect
	for _, m := range members {
		if m.Instance == v.self.Instance {
			effects = append(effects, v.refute(now, m)...)
			continue
		}
		k := v.members[m.Instance]
		if k == nil && !m.IsUp() {
			continue
		}
		if k != nil && !m.Newer(k.member) {
			continue
		}
		v.store(m, now, spread)
		effects = append(effects, Changed{Member: m})
	}
	return effects
}

// refute answers a wrong record of this daemon with a newer one.
func (v *View) refute(now clock.Millis, m *Member) []Effect {
	if m.Incarnation > v.self.Incarnation {
		return []Effect{Superseded{Incarnation: m.Incarnation}}
	}
	if m.Incarnation < v.self.Incarnation || !m.Newer(v.self) || v.self.Status == StatusLeft {
		return nil
	}
	return v.Update(now, func(s *Member) { s.Version = m.Version })
}

// store puts a record into the view and, if it is news, marks it for
// spreading.
func (v *View) store(m *Member, now clock.Millis, spread bool) {
	k := v.members[m.Instance]
	if k == nil {
		k = &known{heard: now}
		v.members[m.Instance] = k
		v.insertOrder(m.Instance)
	}
	if k.member != nil && k.member.Incarnation != m.Incarnation {
		k.revision = 0
		k.heard = now
	}
	k.member = m
	k.since = now
	if spread {
		v.spread[m.Instance] = 0
	}
}

func (v *View) insertOrder(id ident.Instance) {
	v.order = append(v.order, id)
	i := v.rnd.IntN(len(v.order))
	last := len(v.order) - 1
	v.order[i], v.order[last] = v.order[last], v.order[i]
}

// setStatus changes another member's status as seen from here.
func (v *View) setStatus(now clock.Millis, id ident.Instance, s Status) []Effect {
	next := *v.members[id].member
	next.Status = s
	v.store(&next, now, true)
	return []Effect{Changed{Member: &next}}
}

// checkSuspects ends the time of suspects and forgets old records.
func (v *View) checkSuspects(now clock.Millis) []Effect {
	var effects []Effect
	for id, k := range v.members {
		age := now - k.since
		switch {
		case k.member.Status == StatusSuspect && age >= v.cfg.SuspectFor:
			effects = append(effects, v.setStatus(now, id, StatusDead)...)
		case !k.member.IsUp() && age >= v.cfg.ForgetAfter && id != v.self.Instance:
			effects = append(effects, Forgot{Member: k.member})
			v.forget(id)
		}
	}
	return effects
}

func (v *View) forget(id ident.Instance) {
	delete(v.members, id)
	delete(v.spread, id)
	for i, o := range v.order {
		if o == id {
			v.order = append(v.order[:i], v.order[i+1:]...)
			return
		}
	}
}

// Push returns pings to n random live members, so that what is new spreads
// without waiting for the next probe.
func (v *View) Push(n int) []Effect {
	var effects []Effect
	for _, id := range v.randomPeers(n, (*Member).IsUp) {
		effects = append(effects, v.sendTo(id, Message{Kind: MessagePing, Sequence: v.nextSequence()}))
	}
	return effects
}

// Nearby returns the live peers in random order, those of the own data centre
// first, so that what is asked of a peer is spread over the fleet.
func (v *View) Nearby() []*Member {
	var near, far []*Member
	for _, m := range v.Members() {
		switch {
		case m.Instance == v.self.Instance || !m.IsUp():
		case m.DataCentre == v.self.DataCentre:
			near = append(near, m)
		default:
			far = append(far, m)
		}
	}
	for _, group := range [][]*Member{near, far} {
		v.rnd.Shuffle(len(group), func(i, j int) { group[i], group[j] = group[j], group[i] })
	}
	return append(near, far...)
}

// Peers returns up to n random live members other than the given one.
func (v *View) Peers(n int, except ident.Instance) []*Member {
	var out []*Member
	ids := v.randomPeers(n, func(m *Member) bool { return m.Status == StatusAlive && m.Instance != except })
	for _, id := range ids {
		out = append(out, v.members[id].member)
	}
	return out
}
