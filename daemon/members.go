package daemon

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"chestnutlatch/choose"
	"chestnutlatch/clock"
	"chestnutlatch/fault"
	"chestnutlatch/ident"
	"chestnutlatch/limit"
	"chestnutlatch/member"
)

const (
	memberTick = 50 * time.Millisecond
	// maxDatagram is the largest datagram that is read.
	maxDatagram = 64 << 10
	// isolatedAfter is how long a daemon without any news trusts its keys.
	isolatedAfter = 3 * clock.Second
	// kinCount is the number of guards told of a target.
	kinCount = 3
	// pushCount is the number of peers told at once of a new revision.
	pushCount = 4
)

// members runs the membership view and keeps what follows from it: the
// picker's candidates, the holders of rate slots, and this daemon's trust in
// its own configuration.
type members struct {
	d *Daemon

	mu   sync.RWMutex
	view *member.View
	conn net.PacketConn
	// holders maps each claimed slot to the claim with the highest term.
	holders map[limit.Slot]holderOf
	// heard is when any peer was last heard; behind is when a peer first told
	// of a revision that this daemon still lacks, or 0.
	heard  clock.Millis
	behind clock.Millis
	// ahead is the highest revision that a peer told of.
	ahead ident.Revision
}

type holderOf struct {
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
		holders: map[limit.Slot]holderOf{},
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

func (m *members) receive(sealed []byte, from string) {
	body, err := member.Open([]byte(m.d.cfg.FleetSecret), sealed)
	if err != nil {
		m.d.log.Debug("datagram refused", "from", from, "error", err)
		return
	}
	msg, err := member.Decode(body)
	if err != nil {
		m.d.log.Debug("datagram refused", "from", from, "error", err)
		return
	}
	m.d.meter.DatagramsIn.Inc()
	now := m.d.clk.Now()
	m.d.vitals.take(now, msg.Vitals)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.heard = now
	m.carryOut(m.view.Receive(now, from, msg))
}

func (m *members) tick(ctx context.Context) {
	every(ctx, memberTick, func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		m.carryOut(m.view.Tick(m.d.clk.Now()))
	})
}

// carryOut does what the view asks for. The caller holds mu.
func (m *members) carryOut(effects []member.Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case member.Send:
			m.send(e)
		case member.Changed:
			m.takeMember(e.Member)
		case member.Forgot:
			m.forget(e.Member)
		case member.Behind:
			m.ahead = max(m.ahead, e.Revision)
			if m.behind == 0 {
				m.behind = m.d.clk.Now()
			}
			m.d.syncer.hint(e.Peer)
		case member.Superseded:
			m.d.once.Do(func() { close(m.d.superseded) })
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
	sealed := member.Seal([]byte(m.d.cfg.FleetSecret), body)
	if _, err := m.conn.WriteTo(sealed, to); err != nil {
		m.d.log.Debug("datagram not sent", "to", e.To, "error", err)
		return
	}
	m.d.meter.DatagramsOut.Inc()
	m.d.meter.BytesOut.Add(len(sealed))
}

// takeMember brings the picker and the slot holders up to a record.
func (m *members) takeMember(r *member.Member) {
	for _, t := range r.Targets {
		m.d.picker.Put(t.Service, choose.Candidate{
			Target: t.ID, Instance: r.Instance, Address: r.InnerAddress,
			DataCentre: r.DataCentre, Region: r.Region, State: t.State, Slots: t.Slots, Up: r.IsUp(),
		})
	}
	m.d.picker.Keep(r.Instance, targetIDs(r))
	for _, c := range r.Slots {
		if h, ok := m.holders[c.Slot]; !ok || c.Term >= h.term {
			m.holders[c.Slot] = holderOf{instance: r.Instance, term: c.Term}
		}
	}
	if r.Instance != m.d.instance {
		m.d.log.Debug("member changed", "instance", r.Instance, "status", r.Status, "version", r.Version)
	}
}

// forget drops what this daemon holds for a member that will not come back, so
// that instances that are replaced under new names leave nothing behind.
func (m *members) forget(r *member.Member) {
	m.d.picker.Forget(r.Instance)
	m.d.peers.Forget(r.InnerAddress)
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

// known returns all records.
func (m *members) known() []*member.Member {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.view.Members()
}

// nearby returns the live peers, those of the own data centre first.
func (m *members) nearby() []*member.Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.view.Nearby()
}

// join takes in the records of the first contact.
func (m *members) join(records []*member.Member) {
	m.mu.Lock()
	defer m.mu.Unlock()
	effects := m.view.Join(m.d.clk.Now(), records)
	m.carryOut(effects)
	if len(effects) > 0 {
		m.carryOut(m.view.Push(pushCount))
	}
}

// contact sends a digest to the seeds of the settings.
func (m *members) contact(seeds []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, s := range seeds {
		m.carryOut([]member.Effect{m.view.Contact(s)})
	}
}

func (m *members) setTargets(targets []member.Target) {
	m.update(func(r *member.Member) { r.Targets = targets })
}

func (m *members) setSlots(claims []member.SlotClaim) {
	m.update(func(r *member.Member) { r.Slots = claims })
}

func (m *members) update(fn func(*member.Member)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.d.clk.Now()
	m.carryOut(m.view.Update(now, fn))
	m.carryOut(m.view.Push(pushCount))
}

// tellVitals tells the guards of the same services how the local targets fare.
func (m *members) tellVitals(list []member.Vital) {
	byKin := map[ident.Instance][]member.Vital{}
	for _, v := range list {
		for _, kin := range m.d.picker.Kin(v.Service, v.Target, kinCount) {
			byKin[kin] = append(byKin[kin], v)
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for kin, vitals := range byKin {
		m.carryOut(m.view.Vitals(kin, vitals))
	}
}

// setRevision tells the peers at once of a new revision in force.
func (m *members) setRevision(r ident.Revision) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.view.SetRevision(r)
	if r >= m.ahead {
		m.behind = 0
	}
	m.carryOut(m.view.Push(pushCount))
	m.carryOut(m.view.PingReporters())
}

func (m *members) leave() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.carryOut(m.view.Leave(m.d.clk.Now()))
}

// dark returns the data centres that were not heard for long.
func (m *members) dark(now clock.Millis) map[ident.DataCentre]bool {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.view.Dark(now)
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

// Relays implements entry.Fleet.
func (m *members) Relays(n int, except ident.Instance) []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []string
	for _, r := range m.view.Peers(n, except) {
		out = append(out, r.InnerAddress)
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

// slotDistance ranks the holder of a rate slot: this daemon, its data centre,
// its region, elsewhere.
func (m *members) slotDistance(s limit.Slot) int {
	m.mu.RLock()
	defer m.mu.RUnlock()
	h, ok := m.holders[s]
	if !ok {
		return farthest
	}
	r, ok := m.view.Get(h.instance)
	switch {
	case !ok:
		return farthest
	case r.Instance == m.d.instance:
		return 0
	case r.DataCentre == m.d.cfg.DataCentre:
		return 1
	case r.Region == m.d.cfg.Region:
		return 2
	default:
		return farthest
	}
}

// farthest is the rank of a holder in another region.
const farthest = 3

// Trust implements entry.Fleet. A daemon that hears neither peer nor store,
// or that cannot fetch a revision it knows of, may have missed a withdrawal.
func (m *members) Trust(now clock.Millis) *fault.Refusal {
	m.mu.RLock()
	heard, behind := m.heard, m.behind
	m.mu.RUnlock()
	if behind > 0 && now-behind > isolatedAfter {
		return fault.NotRun(fault.NotReady,
			"daemon cannot fetch the newest configuration: send the request to another daemon").After(clock.Second)
	}
	if now-max(heard, m.d.syncer.lastContact()) > isolatedAfter {
		return fault.NotRun(fault.NotReady,
			"daemon is cut off from its peers and the store: send the request to another daemon").After(clock.Second)
	}
	return nil
}

// rank returns this daemon's place among the live members of its data centre
// by hash; the first ones watch the store and report.
func (m *members) rank() int {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.view.Rank()
}
