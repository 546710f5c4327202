package daemon

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"chestnutlatch/choose"
	"chestnutlatch/clock"
	"chestnutlatch/entry"
	"chestnutlatch/fault"
	"chestnutlatch/ident"
	"chestnutlatch/limit"
	"chestnutlatch/member"
)

const (
	memberTick = 50 * time.Millisecond
	// maxDatagram is the size of the read buffer for datagrams, in bytes.
	maxDatagram = 64 << 10
	// isolationTimeout is how long a daemon accepts keys without contact with any
	// peer or the store, or while it lacks a revision that a peer has reported.
	isolationTimeout = 3 * clock.Second
	// neighborCount is the number of guards that receive a target's statistics.
	neighborCount = 3
	// pushCount is the number of random peers that are pinged at once about a
	// change.
	pushCount = 4
)

// members runs the gossip membership over UDP. From its view it maintains the
// picker's candidates, the holders of rate slots, and whether this daemon's
// configuration may be outdated. It is safe for concurrent use.
type members struct {
	d *Daemon

	mu   sync.RWMutex
	view *member.View
	conn net.PacketConn
	// holders maps each claimed slot to the claim with the highest term.
	holders map[limit.Slot]slotHolder
	// lastReceived is when the last valid datagram arrived. behindSince is when a
	// peer first reported a revision that this daemon still lacks, or 0.
	lastReceived clock.Millis
	behindSince  clock.Millis
	// highestPeerRevision is the highest revision reported by a peer.
	highestPeerRevision ident.Revision
}

type slotHolder struct {
	instance ident.Instance
	term     uint64
}

func newMembers(d *Daemon, rnd *rand.Rand) *members {
	self := member.Member{
		Instance: d.instance, Incarnation: d.incarnation, Version: 1,
		DataCentre: d.cfg.DataCentre, Region: d.cfg.Region,
		InnerAddress: d.cfg.InnerAddress, MemberAddress: d.cfg.MemberAddress,
	}
	return &members{
		d:       d,
		view:    member.New(member.DefaultConfig(), self, rnd, d.clk.Now()),
		holders: map[limit.Slot]slotHolder{},
	}
}

func (m *members) start(ctx context.Context, conn net.PacketConn) {
	m.mu.Lock()
	m.conn = conn
	m.mu.Unlock()
	go m.read(conn)
	go m.tick(ctx)
	go func() {
		<-ctx.Done()
		_ = conn.Close()
	}()
}

func (m *members) read(conn net.PacketConn) {
	buf := make([]byte, maxDatagram)
	for {
		n, from, err := conn.ReadFrom(buf)
		if err != nil {
			return
		}
		m.receive(buf[:n], from.String())
	}
}

func (m *members) receive(signed []byte, from string) {
	body, err := member.Verify([]byte(m.d.cfg.FleetSecret), signed)
	if err != nil {
		m.d.log.Debug("datagram refused: authentication failed", "from", from, "error", err)
		return
	}
	msg, err := member.Decode(body)
	if err != nil {
		m.d.log.Debug("datagram refused: cannot be decoded", "from", from, "error", err)
		return
	}
	m.d.meter.DatagramsIn.Inc()
	now := m.d.clk.Now()
	m.d.peerStats.add(now, msg.TargetStats)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lastReceived = now
	m.applyEffects(m.view.Receive(now, from, msg))
}

func (m *members) tick(ctx context.Context) {
	runEvery(ctx, memberTick, func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		m.applyEffects(m.view.Tick(m.d.clk.Now()))
	})
}

// applyEffects carries out the effects that the view returns. The caller holds
// mu.
func (m *members) applyEffects(effects []member.Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case member.Send:
			m.send(e)
		case member.Changed:
			m.applyMember(e.Member)
		case member.Removed:
			m.removeMember(e.Member)
		case member.ConfigBehind:
			m.highestPeerRevision = max(m.highestPeerRevision, e.Revision)
			if m.behindSince == 0 {
				m.behindSince = m.d.clk.Now()
			}
			m.d.logSyncer.requestPull(e.Peer)
		case member.Superseded:
			m.d.supersedeOnce.Do(func() { close(m.d.superseded) })
		}
	}
}

func (m *members) send(e member.Send) {
	to, err := net.ResolveUDPAddr("udp", e.To)
	if err != nil || m.conn == nil {
		return
	}
	body, err := member.Encode(e.Message)
	if err != nil {
		return
	}
	signed := member.Sign([]byte(m.d.cfg.FleetSecret), body)
	if _, err := m.conn.WriteTo(signed, to); err != nil {
		m.d.log.Debug("failed to send datagram", "to", e.To, "error", err)
		return
	}
	m.d.meter.DatagramsOut.Inc()
	m.d.meter.BytesOut.Add(len(signed))
}

// applyMember updates the picker and the slot holders from a member record. The
// caller holds mu.
func (m *members) applyMember(r *member.Member) {
	for _, t := range r.Targets {
		m.d.picker.Put(t.Service, choose.Candidate{
			Target: t.ID, Instance: r.Instance, Address: r.InnerAddress,
			DataCentre: r.DataCentre, Region: r.Region, State: t.State, Slots: t.Slots, Up: r.IsUp(),
		})
	}
	m.d.picker.RetainTargets(r.Instance, targetIDs(r))
	for _, c := range r.SlotClaims {
		if h, ok := m.holders[c.Slot]; !ok || c.Term >= h.term {
			m.holders[c.Slot] = slotHolder{instance: r.Instance, term: c.Term}
		}
	}
	if r.Instance != m.d.instance {
		m.d.log.Debug("member record updated", "instance", r.Instance, "status", r.Status, "version", r.Version)
	}
}

// removeMember drops all state of a member that is no longer part of the fleet.
// Instances that are replaced under new names would otherwise leak it. The
// caller holds mu.
func (m *members) removeMember(r *member.Member) {
	m.d.picker.RemoveInstance(r.Instance)
	m.d.peers.Remove(r.InnerAddress)
	for slot, h := range m.holders {
		if h.instance == r.Instance {
			delete(m.holders, slot)
		}
	}
}

func targetIDs(r *member.Member) map[ident.Target]bool {
	out := make(map[ident.Target]bool, len(r.Targets))
	for _, t := range r.Targets {
		out[t.ID] = true
	}
	return out
}

func (m *members) count() int {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return len(m.view.Members())
}

// allMembers implements fleet.
func (m *members) allMembers() []*member.Member {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.view.Members()
}

// peersLocalFirst returns the live peers, those of this data centre first.
func (m *members) peersLocalFirst() []*member.Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.view.PeersLocalFirst()
}

// join merges member records that were read from the store.
func (m *members) join(records []*member.Member) {
	m.mu.Lock()
	defer m.mu.Unlock()
	effects := m.view.Join(m.d.clk.Now(), records)
	m.applyEffects(effects)
	if len(effects) > 0 {
		m.applyEffects(m.view.PushChanges(pushCount))
	}
}

// sendDigests sends a membership digest to each seed address.
func (m *members) sendDigests(seeds []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, s := range seeds {
		m.applyEffects([]member.Effect{m.view.SendDigestTo(s)})
	}
}

func (m *members) setTargets(targets []member.Target) {
	m.update(func(r *member.Member) { r.Targets = targets })
}

func (m *members) setSlots(claims []member.SlotClaim) {
	m.update(func(r *member.Member) { r.SlotClaims = claims })
}

func (m *members) update(fn func(*member.Member)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.d.clk.Now()
	m.applyEffects(m.view.Update(now, fn))
	m.applyEffects(m.view.PushChanges(pushCount))
}

// sendTargetStats implements fleet. It sends the statistics of the local targets
// to the guards of their ring neighbours.
func (m *members) sendTargetStats(list []member.TargetStats) {
	byNeighbor := map[ident.Instance][]member.TargetStats{}
	for _, v := range list {
		for _, neighbor := range m.d.picker.RingNeighbors(v.Service, v.Target, neighborCount) {
			byNeighbor[neighbor] = append(byNeighbor[neighbor], v)
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for neighbor, stats := range byNeighbor {
		m.applyEffects(m.view.SendTargetStats(neighbor, stats))
	}
}

// setRevision announces a new revision in force to peers at once.
func (m *members) setRevision(r ident.Revision) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.view.SetRevision(r)
	if r >= m.highestPeerRevision {
		m.behindSince = 0
	}
	m.applyEffects(m.view.PushChanges(pushCount))
	m.applyEffects(m.view.PingReporters())
}

func (m *members) announceShutdown() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.applyEffects(m.view.Leave(m.d.clk.Now()))
}

// unreachableDataCentres returns the data centres from which no message has
// arrived for some time.
func (m *members) unreachableDataCentres(now clock.Millis) map[ident.DataCentre]bool {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.view.UnreachableDataCentres(now)
}

// Locate implements entry.Fleet.
func (m *members) Locate(id ident.Instance) (address string, inc ident.Incarnation, up bool) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	r, ok := m.view.Get(id)
	if !ok {
		return "", 0, false
	}
	return r.InnerAddress, r.Incarnation, r.IsUp()
}

// Region implements entry.Fleet.
func (m *members) Region(id ident.Instance) ident.Region {
	m.mu.RLock()
	defer m.mu.RUnlock()
	r, ok := m.view.Get(id)
	if !ok {
		return ""
	}
	return r.Region
}

// Relays implements entry.Fleet.
func (m *members) Relays(n int, except ident.Instance, allowed func(ident.Region) bool) []entry.Peer {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []entry.Peer
	for _, r := range m.view.RandomPeers(n, except, allowed) {
		out = append(out, entry.Peer{Instance: r.Instance, Address: r.InnerAddress, Region: r.Region})
	}
	return out
}

// SlotHolder implements entry.Fleet.
func (m *members) SlotHolder(s limit.Slot) (id ident.Instance, address string, ok bool) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	h, ok := m.holders[s]
	if !ok {
		return "", "", false
	}
	r, ok := m.view.Get(h.instance)
	if !ok {
		return "", "", false
	}
	return h.instance, r.InnerAddress, true
}

// knownSlots returns the number of rate slots whose holder is known here.
func (m *members) knownSlots() int {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return len(m.holders)
}

// slotDistance ranks the holder of a rate slot by distance: 0 is this daemon,
// 1 its data centre, 2 its region, farthestRank any other or unknown holder.
func (m *members) slotDistance(s limit.Slot) int {
	m.mu.RLock()
	defer m.mu.RUnlock()
	h, ok := m.holders[s]
	if !ok {
		return farthestRank
	}
	r, ok := m.view.Get(h.instance)
	switch {
	case !ok:
		return farthestRank
	case r.Instance == m.d.instance:
		return 0
	case r.DataCentre == m.d.cfg.DataCentre:
		return 1
	case r.Region == m.d.cfg.Region:
		return 2
	default:
		return farthestRank
	}
}

// farthestRank is the rank of a holder in another region or an unknown holder.
const farthestRank = 3

// CheckKeysCurrent implements entry.Fleet. A daemon that has lost contact with its
// peers and the store, or that cannot fetch a reported revision, may have missed
// the withdrawal of a key.
func (m *members) CheckKeysCurrent(now clock.Millis) *fault.Refusal {
	m.mu.RLock()
	lastReceived, behindSince := m.lastReceived, m.behindSince
	m.mu.RUnlock()
	if behindSince > 0 && now-behindSince > isolationTimeout {
		return fault.NotRun(fault.NotReady,
			"daemon cannot fetch the newest configuration: send the request to another daemon").WithRetryAfter(clock.Second)
	}
	if now-max(lastReceived, m.d.logSyncer.lastStoreReply()) > isolationTimeout {
		return fault.NotRun(fault.NotReady,
			"daemon is cut off from its peers and the store: send the request to another daemon").WithRetryAfter(clock.Second)
	}
	return nil
}

// rank returns this daemon's rank, from 0, among the live members of its data
// centre by hash. The lowest ranks watch the store and write the report.
func (m *members) rank() int {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.view.Rank()
}
