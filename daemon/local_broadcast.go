package daemon

import (
	"context"
	"net"
	"strconv"
	"time"

	"google.golang.org/protobuf/proto"

	"chestnutlatch/choose"
	"chestnutlatch/clock"
	"chestnutlatch/ident"
	"chestnutlatch/limit"
	"chestnutlatch/member"
	"chestnutlatch/wire"
)

const (
	// broadcastTick is the time between two checks for changed state. It is
	// short, so that other daemons soon count what this one has admitted.
	broadcastTick = 100 * time.Millisecond
	// maxBroadcastInterval is the time after which unchanged state is sent again.
	maxBroadcastInterval = 500 * clock.Millisecond
)

// localBroadcast sends this daemon's state to the other daemons of its data
// centre, where bandwidth is free, and applies theirs: admitted requests, retry
// counts, target load, the configuration revision and evacuations.
type localBroadcast struct {
	d    *Daemon
	conn net.PacketConn
	// sendRequests triggers a check for changed state before the next tick.
	sendRequests chan struct{}
	sequence     uint64
	lastKey      string
	sentAt       clock.Millis
	// seen is used by the reading goroutine only.
	seen seenBroadcasts
}

// seenBroadcasts decides which messages of other daemons are applied: each once, and
// none of an incarnation that has been replaced.
type seenBroadcasts struct {
	senders map[ident.Instance]*seenSender
	// sweptAt is when silent senders were last dropped.
	sweptAt clock.Millis
}

// seenSender is the state of one sender.
type seenSender struct {
	incarnation ident.Incarnation
	// sequence is that of the last message applied.
	sequence uint64
	// lastSeen is when it arrived.
	lastSeen clock.Millis
	// replaced is the incarnation before the present one; 0 if none is known.
	// Incarnations of one instance are not ordered, because the clocks that they
	// are read from may step.
	replaced ident.Incarnation
}

// senderSilence is the time without a message after which a sender is dropped.
const senderSilence = 2 * clock.Minute

// accept reports whether a message is applied. listed is the incarnation of the sender
// in this daemon's list of members, 0 if it is not listed. A late datagram of an
// earlier incarnation would otherwise look like a restart, after which all that the
// sender has admitted is counted again.
func (s *seenBroadcasts) accept(now clock.Millis, from ident.Instance, inc ident.Incarnation, sequence uint64, listed ident.Incarnation) bool {
	s.dropSilent(now)
	e := s.senders[from]
	switch {
	case e == nil:
		e = &seenSender{incarnation: inc}
		s.senders[from] = e
	case e.incarnation == inc && sequence <= e.sequence:
		return false
	case e.incarnation != inc && e.replaced == inc && listed != inc:
		return false
	case e.incarnation != inc:
		e.incarnation, e.replaced = inc, e.incarnation
	}
	e.sequence, e.lastSeen = sequence, now
	return true
}

func (s *seenBroadcasts) dropSilent(now clock.Millis) {
	if now-s.sweptAt < senderSilence {
		return
	}
	s.sweptAt = now
	for id, e := range s.senders {
		if now-e.lastSeen > senderSilence {
			delete(s.senders, id)
		}
	}
}

func newLocalBroadcast(d *Daemon) *localBroadcast {
	return &localBroadcast{d: d, sendRequests: make(chan struct{}, 1), seen: seenBroadcasts{senders: map[ident.Instance]*seenSender{}}}
}

// requestSend triggers a check for changed state at once. It does not block.
func (bc *localBroadcast) requestSend() {
	select {
	case bc.sendRequests <- struct{}{}:
	default:
	}
}

func (bc *localBroadcast) start(ctx context.Context, conn net.PacketConn) {
	bc.conn = conn
	go bc.read()
	go func() {
		tick := time.NewTicker(broadcastTick)
		defer tick.Stop()
		defer conn.Close()
		for {
			select {
			case <-ctx.Done():
				return
			case <-tick.C:
			case <-bc.sendRequests:
			}
			bc.broadcast(bc.d.clk.Now())
		}
	}()
}

// broadcast sends this daemon's state if its changeKey differs from that of the
// last message or if maxBroadcastInterval has passed.
func (bc *localBroadcast) broadcast(now clock.Millis) {
	msg := &wire.Near{
		Sender: string(bc.d.instance), Incarnation: uint64(bc.d.incarnation), Revision: uint64(bc.d.table.Revision()),
		Loads: bc.d.guard.LoadReports(now), InnerAddress: bc.d.cfg.InnerAddress, StoreEra: uint64(bc.d.storeEra()),
	}
	msg.Evacuations = bc.d.evacuations.toWire(now, maxBroadcastEvacuations)
	msg.StoreLost = bc.d.documentSyncer.role != nil && bc.d.documentSyncer.failingSince.Load() > 0
	if age, ok := bc.d.documentSyncer.freshness.age(now); ok {
		msg.RevisionAgeMs = uint64(age) + 1
	}
	for _, s := range bc.d.shares.AdmittedCounts(now) {
		msg.Spends = append(msg.Spends, &wire.TeamSpend{Team: string(s.Team), Count: s.Count, IsLow: s.IsLow, LevelMilli: levelMilli(s)})
	}
	for _, c := range bc.d.picker.RetryCounts() {
		msg.Retries = append(msg.Retries, &wire.ServiceRetries{Service: string(c.Service), Requests: c.Requests, Retries: c.Retries})
	}
	key := bc.changeKey(msg)
	if key == bc.lastKey && now-bc.sentAt < maxBroadcastInterval {
		return
	}
	bc.lastKey, bc.sentAt = key, now
	bc.sequence++
	msg.Sequence = bc.sequence
	b, err := proto.Marshal(msg)
	if err != nil {
		bc.d.log.Error("failed to encode local state broadcast", "error", err)
		return
	}
	for _, m := range bc.d.roster.others(func(m *member.Member) bool { return m.DataCentre == bc.d.cfg.DataCentre }) {
		bc.send(m.MemberAddress, b)
	}
}

// changeKey encodes the parts of a message whose change causes a broadcast before
// maxBroadcastInterval has passed.
func (bc *localBroadcast) changeKey(msg *wire.Near) string {
	var key []byte
	for _, s := range msg.GetSpends() {
		key = appendVarint(key, s.GetCount())
	}
	for _, c := range msg.GetRetries() {
		key = appendVarint(key, c.GetRetries())
	}
	key = appendVarint(key, msg.GetRevision())
	key = appendVarint(key, msg.GetStoreEra())
	key = strconv.AppendBool(key, msg.GetStoreLost())
	key = appendVarint(key, bc.d.documentSyncer.checks.Load())
	for _, e := range msg.GetEvacuations() {
		key = append(key, e.GetDataCentre()...)
		key = strconv.AppendBool(key, e.GetEvacuated())
		key = appendVarint(key, e.GetRevision())
	}
	for _, l := range msg.GetLoads() {
		key = appendVarint(key, uint64(l.GetState()))
		key = appendVarint(key, uint64(l.GetInFlight()+l.GetQueued()))
		key = appendVarint(key, uint64(l.GetSuspicion()/suspicionStep))
		key = appendVarint(key, uint64((l.GetColdUsed()+coldUsedStep-1)/coldUsedStep))
		key = appendVarint(key, uint64(l.GetShed()/shedStep))
	}
	return string(key)
}

// suspicionStep and coldUsedStep are the steps, in thousandths, in which changeKey rounds
// a suspicion and the used part of a cold target's limit.
const (
	suspicionStep = 100
	coldUsedStep  = 250
)

// levelMilli returns the level of a low bucket in thousandths of a request, 0 otherwise.
func levelMilli(c limit.AdmittedCount) int64 {
	if !c.IsLow {
		return 0
	}
	return int64(c.Level * ident.PerMille)
}

// shedStep is the step, in thousandths, in which changeKey rounds the share of refused
// requests.
const shedStep = 250

func appendVarint(b []byte, v uint64) []byte {
	for ; v >= 0x80; v >>= 7 {
		b = append(b, byte(v)|0x80)
	}
	return append(b, byte(v))
}

func (bc *localBroadcast) send(address string, b []byte) {
	to, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return
	}
	if _, err := bc.conn.WriteTo(b, to); err != nil {
		bc.d.log.Debug("failed to send local state broadcast", "to", address, "error", err)
		return
	}
	bc.d.meter.DatagramsOut.Inc()
	bc.d.meter.BytesOut.Add(len(b))
}

func (bc *localBroadcast) read() {
	buf := make([]byte, maxDatagram)
	for {
		size, _, err := bc.conn.ReadFrom(buf)
		if err != nil {
			return
		}
		var msg wire.Near
		if err := proto.Unmarshal(buf[:size], &msg); err != nil {
			bc.d.meter.Dropped.Inc()
			bc.d.log.Debug("failed to decode local state broadcast", "error", err)
			continue
		}
		bc.apply(bc.d.clk.Now(), &msg)
	}
}

// apply handles a broadcast message. It ignores this daemon's own messages and those
// that seenBroadcasts does not accept.
func (bc *localBroadcast) apply(now clock.Millis, msg *wire.Near) {
	bc.d.meter.DatagramsIn.Inc()
	from := ident.Instance(msg.GetSender())
	inc := ident.Incarnation(msg.GetIncarnation())
	if from == bc.d.instance {
		return
	}
	_, listed, _ := bc.d.roster.Locate(from)
	if !bc.seen.accept(now, from, inc, msg.GetSequence(), listed) {
		bc.d.meter.Dropped.Inc()
		return
	}
	if role := bc.d.documentSyncer.role; role != nil {
		role.noteBroadcast(now, from, msg.GetStoreLost())
	}
	bc.d.checkReportedEra(msg.GetStoreEra())
	bc.d.roster.introduceIfAlone(msg.GetInnerAddress())
	spends := make([]limit.AdmittedCount, 0, len(msg.GetSpends()))
	for _, s := range msg.GetSpends() {
		spends = append(spends, limit.AdmittedCount{
			Team: ident.Team(s.GetTeam()), Count: s.GetCount(), IsLow: s.GetIsLow(), Level: float64(s.GetLevelMilli()) / ident.PerMille,
		})
	}
	bc.d.shares.ApplyPeerCounts(now, from, inc, spends)
	for _, c := range msg.GetRetries() {
		bc.d.picker.ApplyPeerRetries(now, from, inc, choose.RetryCount{
			Service: ident.Service(c.GetService()), Requests: c.GetRequests(), Retries: c.GetRetries(),
		})
	}
	for _, l := range msg.GetLoads() {
		bc.d.entry.ApplyLoadReport(now, ident.Service(l.GetService()), l)
	}
	// The evacuations come before the configuration and its confirmation, which are about
	// them too.
	bc.d.evacuations.merge(now, msg.GetEvacuations())
	switch age := msg.GetRevisionAgeMs(); {
	case ident.Revision(msg.GetRevision()) > bc.d.table.Revision():
		bc.d.documentSyncer.requestPull(msg.GetInnerAddress(), ident.Revision(msg.GetRevision()))
	case age > 0:
		bc.d.documentSyncer.freshness.confirm(now - clock.Millis(age))
	}
}
