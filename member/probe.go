package member

import (
	"sort"

	"chestnutlatch/clock"
	"chestnutlatch/ident"
)

// nextSequence returns a sequence number that this view has not used yet.
func (v *View) nextSequence() uint64 {
	v.sequence++
	return v.sequence
}

// probeNext pings the next live member in probe order, from another data centre
// once in probesPerRemoteProbe probes and from this one otherwise.
func (v *View) probeNext(now clock.Millis) []Effect {
	remote := v.rnd.IntN(probesPerRemoteProbe) == 0
	for range v.probeOrder {
		v.probeIndex = (v.probeIndex + 1) % len(v.probeOrder)
		id := v.probeOrder[v.probeIndex]
		m := v.members[id].member
		if id == v.self.Instance || !m.IsUp() {
			continue
		}
		if (m.DataCentre != v.self.DataCentre) == remote {
			return v.ping(now, id)
		}
	}
	return v.pingRandom(now)
}

// pingRandom pings a random member that has not left. probeNext calls it if there is
// no live member in the chosen data centres. Dead members are included: this is how
// the two sides of a healed network partition find each other.
func (v *View) pingRandom(now clock.Millis) []Effect {
	ids := v.randomPeerIDs(1, func(m *Member) bool { return m.Status != StatusLeft })
	if len(ids) == 0 {
		return nil
	}
	return v.ping(now, ids[0])
}

// ping returns a ping to a member and records it as a probe that awaits its ack.
func (v *View) ping(now clock.Millis, id ident.Instance) []Effect {
	seq := v.nextSequence()
	v.probes[seq] = probe{to: id, sentAt: now}
	return []Effect{v.sendTo(id, Message{Kind: MessagePing, Sequence: seq})}
}

// receiveAck forwards the ack of a relayed ping to its requester, or ends one of
// this daemon's own probes.
func (v *View) receiveAck(now clock.Millis, m Message) []Effect {
	if r, ok := v.relayedPings[m.Sequence]; ok {
		delete(v.relayedPings, m.Sequence)
		return []Effect{v.sendToAddress(r.requester, Message{Kind: MessageAck, Sequence: r.sequence, Subject: m.Sender})}
	}
	p, ok := v.probes[m.Sequence]
	if !ok || p.to != m.Sender && p.to != m.Subject {
		return nil
	}
	delete(v.probes, m.Sequence)
	state := v.members[p.to]
	if state != nil && state.member.Status == StatusSuspect {
		// The member is up. Its suspicion timeout starts again, to leave time for
		// its refutation.
		state.changedAt = now
	}
	return nil
}

// receiveProbe pings the subject on behalf of the sender. It ignores an unknown
// subject.
func (v *View) receiveProbe(now clock.Millis, from string, m Message) []Effect {
	if _, ok := v.members[m.Subject]; !ok {
		return nil
	}
	seq := v.nextSequence()
	v.relayedPings[seq] = relayedPing{requester: from, sequence: m.Sequence, sentAt: now}
	return []Effect{v.sendTo(m.Subject, Message{Kind: MessagePing, Sequence: seq})}
}

// checkProbes sends indirect probes for overdue pings and marks members that answer
// neither within three times AckTimeout as suspect. It suspects only members of its
// own data centre: a network partition between data centres does not mean that a
// daemon has failed.
func (v *View) checkProbes(now clock.Millis) []Effect {
	var effects []Effect
	for seq, r := range v.relayedPings {
		if now-r.sentAt > 4*v.cfg.AckTimeout {
			delete(v.relayedPings, seq)
		}
	}
	for _, seq := range v.overdueProbes(now) {
		p := v.probes[seq]
		state := v.members[p.to]
		if state == nil || !state.member.IsUp() {
			delete(v.probes, seq)
			continue
		}
		if !p.indirect {
			p.indirect = true
			v.probes[seq] = p
			effects = append(effects, v.probeIndirectly(p.to, seq)...)
			continue
		}
		if now-p.sentAt < 3*v.cfg.AckTimeout {
			continue
		}
		delete(v.probes, seq)
		if state.member.Status == StatusAlive && state.member.DataCentre == v.self.DataCentre {
			effects = append(effects, v.setStatus(now, p.to, StatusSuspect)...)
		}
	}
	return effects
}

// overdueProbes returns the sequence numbers of the probes without an ack for
// AckTimeout, sorted.
func (v *View) overdueProbes(now clock.Millis) []uint64 {
	var out []uint64
	for seq, p := range v.probes {
		if now-p.sentAt >= v.cfg.AckTimeout {
			out = append(out, seq)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i] < out[j] })
	return out
}

// probeIndirectly asks random members to ping a member.
func (v *View) probeIndirectly(id ident.Instance, seq uint64) []Effect {
	var effects []Effect
	relays := v.randomPeerIDs(indirectProbeCount, func(m *Member) bool { return m.IsUp() && m.Instance != id })
	for _, r := range relays {
		effects = append(effects, v.sendTo(r, Message{Kind: MessageProbe, Sequence: seq, Subject: id}))
	}
	return effects
}

// randomPeerIDs returns up to n different members that match, without this daemon.
// n must be positive. They are consecutive in probe order, from a random position.
func (v *View) randomPeerIDs(n int, match func(*Member) bool) []ident.Instance {
	var out []ident.Instance
	if len(v.probeOrder) == 0 {
		return nil
	}
	start := v.rnd.IntN(len(v.probeOrder))
	for i := range v.probeOrder {
		id := v.probeOrder[(start+i)%len(v.probeOrder)]
		if id != v.self.Instance && match(v.members[id].member) {
			out = append(out, id)
		}
		if len(out) == n {
			break
		}
	}
	return out
}

// sendTo returns a message to a known member.
func (v *View) sendTo(id ident.Instance, m Message) Effect {
	return v.sendToAddress(v.members[id].member.MemberAddress, m)
}

// sendToAddress returns a message to an address. It fills in the sender, its revision
// and, except in MessageMembers and MessageVitals, changed records to gossip.
func (v *View) sendToAddress(to string, m Message) Effect {
	m.Sender = v.self.Instance
	m.Incarnation = v.self.Incarnation
	m.Revision = v.revision
	if m.Kind != MessageMembers && m.Kind != MessageVitals {
		m.Members = append(m.Members, v.recordsToGossip()...)
	}
	return Send{To: to, Message: m}
}

// recordsToGossip returns up to maxGossipRecords changed records, those sent least
// often first. Each record is sent at most transmitFactor times the number of decimal
// digits of the fleet's size.
func (v *View) recordsToGossip() []*Member {
	maxTransmits := transmitFactor * digits(len(v.members))
	ids := make([]ident.Instance, 0, len(v.transmits))
	for id, n := range v.transmits {
		if n >= maxTransmits {
			delete(v.transmits, id)
			continue
		}
		ids = append(ids, id)
	}
	sort.Slice(ids, func(i, j int) bool {
		if v.transmits[ids[i]] != v.transmits[ids[j]] {
			return v.transmits[ids[i]] < v.transmits[ids[j]]
		}
		return ids[i] < ids[j]
	})
	var out []*Member
	for _, id := range ids[:min(len(ids), maxGossipRecords)] {
		v.transmits[id]++
		out = append(out, v.members[id].member)
	}
	return out
}

// digits returns the number of decimal digits of n, at least 1.
func digits(n int) int {
	d := 1
	for n >= 10 {
		n /= 10
		d++
	}
	return d
}
