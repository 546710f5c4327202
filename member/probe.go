package member

import (
	"sort"

	"chestnutlatch/clock"
	"chestnutlatch/ident"
)

func (v *View) nextSequence() uint64 {
	v.sequence++
	return v.sequence
}

// probeNext pings the next member of the shuffled order.
func (v *View) probeNext(now clock.Millis) []Effect {
	remote := v.rnd.IntN(remotePart) == 0
	for range v.order {
		v.next = (v.next + 1) % len(v.order)
		id := v.order[v.next]
		m := v.members[id].member
		if id == v.self.Instance || !m.IsUp() {
			continue
		}
		if (m.DataCentre != v.self.DataCentre) == remote {
			return v.ping(now, id)
		}
	}
	return v.pingAny(now)
}

// pingAny pings a random live member when the wanted kind has none. Now and
// then it tries a dead one, so that two sides of a healed cut meet again.
func (v *View) pingAny(now clock.Millis) []Effect {
	ids := v.randomPeers(1, func(m *Member) bool { return m.Status != StatusLeft })
	if len(ids) == 0 {
		return nil
	}
	return v.ping(now, ids[0])
}

func (v *View) ping(now clock.Millis, id ident.Instance) []Effect {
	seq := v.nextSequence()
	v.probes[seq] = probe{to: id, sent: now}
	return []Effect{v.sendTo(id, Message{Kind: MessagePing, Sequence: seq})}
}

func (v *View) receiveAck(now clock.Millis, m Message) []Effect {
	if r, ok := v.relays[m.Sequence]; ok {
		delete(v.relays, m.Sequence)
		return []Effect{v.sendAddr(r.to, Message{Kind: MessageAck, Sequence: r.sequence, Subject: m.Sender})}
	}
	p, ok := v.probes[m.Sequence]
	if !ok || p.to != m.Sender && p.to != m.Subject {
		return nil
	}
	delete(v.probes, m.Sequence)
	k := v.members[p.to]
	if k != nil && k.member.Status == StatusSuspect {
		// The member answered; its own refutation will follow.
		k.since = now
	}
	return nil
}

// receiveProbe pings the subject for another member.
func (v *View) receiveProbe(now clock.Millis, from string, m Message) []Effect {
	if _, ok := v.members[m.Subject]; !ok {
		return nil
	}
	seq := v.nextSequence()
	v.relays[seq] = relay{to: from, sequence: m.Sequence, sent: now}
	return []Effect{v.sendTo(m.Subject, Message{Kind: MessagePing, Sequence: seq})}
}

// checkProbes sends overdue probes through other members, and suspects those
// that stay unanswered. Only members of the same data centre are suspected: a
// cut between data centres says nothing about a daemon.
func (v *View) checkProbes(now clock.Millis) []Effect {
	var effects []Effect
	for seq, r := range v.relays {
		if now-r.sent > 4*v.cfg.AckWait {
			delete(v.relays, seq)
		}
	}
	for _, seq := range v.overdue(now) {
		p := v.probes[seq]
		k := v.members[p.to]
		if k == nil || !k.member.IsUp() {
			delete(v.probes, seq)
			continue
		}
		if !p.relayed {
			p.relayed = true
			v.probes[seq] = p
			effects = append(effects, v.probeThrough(p.to, seq)...)
			continue
		}
		if now-p.sent < 3*v.cfg.AckWait {
			continue
		}
		delete(v.probes, seq)
		if k.member.Status == StatusAlive && k.member.DataCentre == v.self.DataCentre {
			effects = append(effects, v.setStatus(now, p.to, StatusSuspect)...)
		}
	}
	return effects
}

// overdue returns the probes past their first wait, in order.
func (v *View) overdue(now clock.Millis) []uint64 {
	var out []uint64
	for seq, p := range v.probes {
		if now-p.sent >= v.cfg.AckWait {
			out = append(out, seq)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i] < out[j] })
	return out
}

func (v *View) probeThrough(id ident.Instance, seq uint64) []Effect {
	var effects []Effect
	relays := v.randomPeers(relayCount, func(m *Member) bool { return m.IsUp() && m.Instance != id })
	for _, r := range relays {
		effects = append(effects, v.sendTo(r, Message{Kind: MessageProbe, Sequence: seq, Subject: id}))
	}
	return effects
}

// randomPeers returns up to n different members that match, self excluded.
func (v *View) randomPeers(n int, match func(*Member) bool) []ident.Instance {
	var out []ident.Instance
	if len(v.order) == 0 {
		return nil
	}
	start := v.rnd.IntN(len(v.order))
	for i := range v.order {
		id := v.order[(start+i)%len(v.order)]
		if id != v.self.Instance && match(v.members[id].member) {
			out = append(out, id)
		}
		if len(out) == n {
			break
		}
	}
	return out
}

func (v *View) sendTo(id ident.Instance, m Message) Effect {
	return v.sendAddr(v.members[id].member.MemberAddress, m)
}

// sendAddr completes a message with the sender and fresh records.
func (v *View) sendAddr(to string, m Message) Effect {
	m.Sender = v.self.Instance
	m.Incarnation = v.self.Incarnation
	m.Revision = v.revision
	if m.Kind != MessageMembers && m.Kind != MessageVitals {
		m.Members = append(m.Members, v.fresh()...)
	}
	return Send{To: to, Message: m}
}

// fresh returns the records passed on least often so far.
func (v *View) fresh() []*Member {
	limit := spreadFactor * digits(len(v.members))
	ids := make([]ident.Instance, 0, len(v.spread))
	for id, n := range v.spread {
		if n >= limit {
			delete(v.spread, id)
			continue
		}
		ids = append(ids, id)
	}
	sort.Slice(ids, func(i, j int) bool {
		if v.spread[ids[i]] != v.spread[ids[j]] {
			return v.spread[ids[i]] < v.spread[ids[j]]
		}
		return ids[i] < ids[j]
	})
	var out []*Member
	for _, id := range ids[:min(len(ids), maxSpread)] {
		v.spread[id]++
		out = append(out, v.members[id].member)
	}
	return out
}

func digits(n int) int {
	d := 1
	for n >= 10 {
		n /= 10
		d++
	}
	return d
}
