package member

import (
	"math/rand/v2"
	"sort"

	"chestnutlatch/clock"
	"chestnutlatch/ident"
)

const (
	// indirectProbeCount is the number of members asked to ping a member that
	// did not answer.
	indirectProbeCount = 3
	// On average, one in probesPerRemoteProbe probes goes to another data
	// centre.
	probesPerRemoteProbe = 4
	// transmitFactor times the number of decimal digits of the fleet's size is how
	// often a changed record is sent.
	transmitFactor = 3
	// maxGossipRecords is the largest number of gossiped records in one message.
	maxGossipRecords = 4
)

// memberState is a member's record with local observations.
type memberState struct {
	member *Member
	// changedAt is when this record was stored here, or when a suspect last
	// answered a ping.
	changedAt clock.Millis
	// lastSeen is when the last message from the member itself arrived, or when
	// its present incarnation was added.
	lastSeen clock.Millis
	// revision is the highest configuration revision the member has sent in its
	// present incarnation.
	revision ident.Revision
}

// probe is a ping that awaits its ack.
type probe struct {
	to     ident.Instance
	sentAt clock.Millis
	// indirect is set once indirect probes have been sent.
	indirect bool
}

// relayedPing is a ping sent on behalf of another member.
type relayedPing struct {
	// requester is the address that the ack is forwarded to.
	requester string
	// sequence is the requester's own number for the probe.
	sequence uint64
	sentAt   clock.Millis
}

// View is one daemon's list of the fleet's members and their states. It is not safe
// for concurrent use.
type View struct {
	cfg  Config
	rnd  *rand.Rand
	self *Member
	// members holds every known record, including this daemon's own.
	members map[ident.Instance]*memberState
	// probeOrder holds the ids of members, shuffled. probeIndex is the position
	// of the last probe.
	probeOrder   []ident.Instance
	probeIndex   int
	sequence     uint64
	probes       map[uint64]probe
	relayedPings map[uint64]relayedPing
	// transmits counts how often each changed record was sent. Records without
	// an entry are not gossiped.
	transmits  map[ident.Instance]int
	revision   ident.Revision
	nextProbe  clock.Millis
	nextDigest clock.Millis
	nextReport clock.Millis
	nextExpiry clock.Millis
}

// New returns a view that holds only the daemon's own record. rnd must not be shared
// with other goroutines.
func New(cfg Config, self Member, rnd *rand.Rand, now clock.Millis) *View {
	v := &View{
		cfg: cfg, rnd: rnd, self: &self,
		members:      map[ident.Instance]*memberState{},
		probes:       map[uint64]probe{},
		relayedPings: map[uint64]relayedPing{},
		transmits:    map[ident.Instance]int{},
	}
	v.putRecord(&self, now, true)
	return v
}

// Self returns the daemon's own record.
func (v *View) Self() *Member { return v.self }

// Get returns a member's record. It returns false if the member is unknown.
func (v *View) Get(id ident.Instance) (*Member, bool) {
	state, ok := v.members[id]
	if !ok {
		return nil, false
	}
	return state.member, true
}

// Members returns all records, dead and left ones included, sorted by instance.
func (v *View) Members() []*Member {
	out := make([]*Member, 0, len(v.members))
	for _, state := range v.members {
		out = append(out, state.member)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Instance < out[j].Instance })
	return out
}

// LowestRevision returns the lowest configuration revision among this daemon and
// the live members of its data centre that were seen since the given time, and the
// number of live members of that data centre that were not.
func (v *View) LowestRevision(since clock.Millis) (lowest ident.Revision, silent int) {
	lowest = v.revision
	for id, state := range v.members {
		if id == v.self.Instance || !state.member.IsUp() || state.member.DataCentre != v.self.DataCentre {
			continue
		}
		if state.lastSeen < since {
			silent++
			continue
		}
		lowest = min(lowest, state.revision)
	}
	return lowest, silent
}

// SetRevision sets the configuration revision that is sent to peers.
func (v *View) SetRevision(r ident.Revision) { v.revision = r }

// SendTargetStats returns a message with target statistics to a member, or nothing if
// the member is unknown or this daemon itself.
func (v *View) SendTargetStats(to ident.Instance, stats []TargetStats) []Effect {
	if _, ok := v.members[to]; !ok || to == v.self.Instance {
		return nil
	}
	return []Effect{v.sendTo(to, Message{Kind: MessageVitals, TargetStats: stats})}
}

// Update applies fn to a copy of the daemon's own record, raises its version and
// stores it in the view. The next messages gossip the change.
func (v *View) Update(now clock.Millis, fn func(*Member)) []Effect {
	next := *v.self
	fn(&next)
	next.Version++
	v.self = &next
	v.putRecord(v.self, now, true)
	return []Effect{Changed{Member: v.self}}
}

// Leave announces a planned shutdown of this daemon: it sets StatusLeft and sends
// the record to random members at once.
func (v *View) Leave(now clock.Millis) []Effect {
	effects := v.Update(now, func(m *Member) { m.Status = StatusLeft })
	for _, id := range v.randomPeerIDs(2*indirectProbeCount, func(m *Member) bool { return m.IsUp() }) {
		effects = append(effects, v.sendTo(id, Message{Kind: MessagePing, Sequence: v.nextSequence()}))
	}
	return effects
}

// Join merges records that the daemon has read from the store. They are not
// gossiped.
func (v *View) Join(now clock.Millis, members []*Member) []Effect {
	return v.merge(now, members, false)
}

// Tick does the work that is due at now: probes and their timeouts, digests, pings
// to reporters, and the expiry of suspects and old records.
func (v *View) Tick(now clock.Millis) []Effect {
	effects := v.checkProbes(now)
	if now >= v.nextExpiry {
		v.nextExpiry = now + v.cfg.ProbeInterval
		effects = append(effects, v.expireMembers(now)...)
	}
	if now >= v.nextProbe {
		v.nextProbe = now + v.cfg.ProbeInterval
		effects = append(effects, v.probeNext(now)...)
	}
	if now >= v.nextDigest {
		v.nextDigest = now + v.cfg.DigestInterval/2 + clock.Millis(v.rnd.Int64N(int64(v.cfg.DigestInterval)))
		effects = append(effects, v.sendRandomDigest()...)
	}
	if now >= v.nextReport {
		v.nextReport = now + v.cfg.ReportInterval
		effects = append(effects, v.PingReporters()...)
	}
	return effects
}

// Receive handles one message. from is the address that it came from and that
// answers are sent to. Messages from this instance itself are ignored.
func (v *View) Receive(now clock.Millis, from string, m Message) []Effect {
	if m.Sender == v.self.Instance {
		return nil
	}
	// MessageMembers records repair a difference and are already known to other
	// members, so they are not gossiped.
	effects := v.merge(now, m.Members, m.Kind != MessageMembers)
	effects = append(effects, v.updateSender(now, m)...)
	switch m.Kind {
	case MessagePing:
		ack := Message{Kind: MessageAck, Sequence: m.Sequence}
		effects = append(effects, v.sendToAddress(from, ack))
	case MessageAck:
		effects = append(effects, v.receiveAck(now, m)...)
	case MessageProbe:
		effects = append(effects, v.receiveProbe(now, from, m)...)
	case MessageDigest:
		effects = append(effects, v.receiveDigest(from, m)...)
	case MessageMembers, MessageVitals:
	}
	return effects
}

// updateSender records when the sender was seen and its configuration revision,
// unless the message is from another incarnation than the known one.
func (v *View) updateSender(now clock.Millis, m Message) []Effect {
	state := v.members[m.Sender]
	if state == nil || state.member.Incarnation != m.Incarnation {
		return nil
	}
	state.lastSeen = now
	state.revision = max(state.revision, m.Revision)
	if m.Revision > v.revision {
		return []Effect{ConfigBehind{Peer: m.Sender, Revision: m.Revision}}
	}
	return nil
}

// merge applies the records that are newer than the known ones. It ignores unknown
// members that are dead or left.
func (v *View) merge(now clock.Millis, members []*Member, gossip bool) []Effect {
	var effects []Effect
	for _, m := range members {
		if m.Instance == v.self.Instance {
			effects = append(effects, v.refute(now, m)...)
			continue
		}
		state := v.members[m.Instance]
		if state == nil && !m.IsUp() {
			continue
		}
		if state != nil && !m.Newer(state.member) {
			continue
		}
		v.putRecord(m, now, gossip)
		effects = append(effects, Changed{Member: m})
	}
	return effects
}

// refute handles a record of this daemon that came from another member. If it is
// newer, for example because a member set it to suspect, this daemon replaces it
// with a still newer version. A daemon that has announced its shutdown does not. A
// record of a newer incarnation means that this process is superseded.
func (v *View) refute(now clock.Millis, m *Member) []Effect {
	if m.Incarnation > v.self.Incarnation {
		return []Effect{Superseded{Incarnation: m.Incarnation}}
	}
	if m.Incarnation < v.self.Incarnation || !m.Newer(v.self) || v.self.Status == StatusLeft {
		return nil
	}
	return v.Update(now, func(self *Member) { self.Version = m.Version })
}

// putRecord puts a record into the view and, if gossip is set, attaches it to the
// next messages.
func (v *View) putRecord(m *Member, now clock.Millis, gossip bool) {
	state := v.members[m.Instance]
	if state == nil {
		state = &memberState{lastSeen: now}
		v.members[m.Instance] = state
		v.addToProbeOrder(m.Instance)
	}
	if state.member != nil && state.member.Incarnation != m.Incarnation {
		state.revision = 0
		state.lastSeen = now
	}
	state.member = m
	state.changedAt = now
	if gossip {
		v.transmits[m.Instance] = 0
	}
}

// addToProbeOrder inserts a member at a random position.
func (v *View) addToProbeOrder(id ident.Instance) {
	v.probeOrder = append(v.probeOrder, id)
	i := v.rnd.IntN(len(v.probeOrder))
	last := len(v.probeOrder) - 1
	v.probeOrder[i], v.probeOrder[last] = v.probeOrder[last], v.probeOrder[i]
}

// setStatus changes another member's status and gossips it.
func (v *View) setStatus(now clock.Millis, id ident.Instance, s Status) []Effect {
	next := *v.members[id].member
	next.Status = s
	v.putRecord(&next, now, true)
	return []Effect{Changed{Member: &next}}
}

// expireMembers declares suspects dead after SuspicionTimeout and removes dead and
// left records after RemoveAfter.
func (v *View) expireMembers(now clock.Millis) []Effect {
	var effects []Effect
	for id, state := range v.members {
		age := now - state.changedAt
		switch {
		case state.member.Status == StatusSuspect && age >= v.cfg.SuspicionTimeout:
			effects = append(effects, v.setStatus(now, id, StatusDead)...)
		case !state.member.IsUp() && age >= v.cfg.RemoveAfter && id != v.self.Instance:
			effects = append(effects, Removed{Member: state.member})
			v.remove(id)
		}
	}
	return effects
}

// remove deletes a member from the view.
func (v *View) remove(id ident.Instance) {
	delete(v.members, id)
	delete(v.transmits, id)
	for i, other := range v.probeOrder {
		if other == id {
			v.probeOrder = append(v.probeOrder[:i], v.probeOrder[i+1:]...)
			return
		}
	}
}

// PushChanges returns pings to up to n random live members; n must be positive.
// They carry changed records and the revision without waiting for the next probe.
func (v *View) PushChanges(n int) []Effect {
	var effects []Effect
	for _, id := range v.randomPeerIDs(n, (*Member).IsUp) {
		effects = append(effects, v.sendTo(id, Message{Kind: MessagePing, Sequence: v.nextSequence()}))
	}
	return effects
}

// PeersLocalFirst returns the live peers, those of this data centre first, each group
// in random order. The order spreads the load of requests to peers.
func (v *View) PeersLocalFirst() []*Member {
	var local, remote []*Member
	for _, m := range v.Members() {
		switch {
		case m.Instance == v.self.Instance || !m.IsUp():
		case m.DataCentre == v.self.DataCentre:
			local = append(local, m)
		default:
			remote = append(remote, m)
		}
	}
	for _, group := range [][]*Member{local, remote} {
		v.rnd.Shuffle(len(group), func(i, j int) { group[i], group[j] = group[j], group[i] })
	}
	return append(local, remote...)
}

// RandomPeers returns up to n random alive members, without this daemon and the given
// one, only members in regions that allowed accepts; nil accepts all. n must be positive.
func (v *View) RandomPeers(n int, exclude ident.Instance, allowed func(ident.Region) bool) []*Member {
	var out []*Member
	ids := v.randomPeerIDs(n, func(m *Member) bool {
		return m.Status == StatusAlive && m.Instance != exclude && (allowed == nil || allowed(m.Region))
	})
	for _, id := range ids {
		out = append(out, v.members[id].member)
	}
	return out
}
