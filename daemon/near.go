package daemon

import (
	"context"
	"net"
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
	// nearTick is the least time between two messages to the data centre, so
	// that what one daemon admits is soon known to the others.
	nearTick = 100 * time.Millisecond
	// nearEvery is the time between two messages without news.
	nearEvery = 500 * clock.Millisecond
)

// near tells the other daemons of the data centre, where bytes cost nothing,
// what this one admitted, how its targets fare and which configuration it has.
type near struct {
	d    *Daemon
	conn net.PacketConn
	// woken asks for a message at once.
	woken    chan struct{}
	sequence uint64
	last     string
	sent     clock.Millis
	// seen holds the last sequence of each sender, by its incarnation; used by
	// the reading loop only.
	seen map[ident.Instance]seenNear
}

type seenNear struct {
	inc      ident.Incarnation
	sequence uint64
}

func newNear(d *Daemon) *near {
	return &near{d: d, woken: make(chan struct{}, 1), seen: map[ident.Instance]seenNear{}}
}

// wake sends news at once. It does not wait.
func (n *near) wake() {
	select {
	case n.woken <- struct{}{}:
	default:
	}
}

func (n *near) start(ctx context.Context, conn net.PacketConn) {
	n.conn = conn
	go n.read()
	go func() {
		tick := time.NewTicker(nearTick)
		defer tick.Stop()
		defer conn.Close()
		for {
			select {
			case <-ctx.Done():
				return
			case <-tick.C:
			case <-n.woken:
			}
			n.tell(n.d.clk.Now())
		}
	}()
}

// tell sends this daemon's state if it changed or is due.
func (n *near) tell(now clock.Millis) {
	msg := &wire.Near{
		Sender: string(n.d.instance), Incarnation: uint64(n.d.incarnation), Revision: uint64(n.d.table.Revision()),
		Loads: n.d.guard.Reports(now), InnerAddress: n.d.cfg.InnerAddress,
	}
	for _, s := range n.d.shares.Spent() {
		msg.Spends = append(msg.Spends, &wire.TeamSpend{Team: string(s.Team), Count: s.Count})
	}
	for _, c := range n.d.picker.RetryCounts() {
		msg.Retries = append(msg.Retries, &wire.ServiceRetries{Service: string(c.Service), Requests: c.Requests, Retries: c.Retries})
	}
	news := n.news(msg)
	if news == n.last && now-n.sent < nearEvery {
		return
	}
	n.last, n.sent = news, now
	n.sequence++
	msg.Sequence = n.sequence
	b, err := proto.Marshal(msg)
	if err != nil {
		n.d.log.Error("message to the data centre not encoded", "error", err)
		return
	}
	for _, m := range n.d.roster.others(func(m *member.Member) bool { return m.DataCentre == n.d.cfg.DataCentre }) {
		n.send(m.MemberAddress, b)
	}
}

// news is the part of a message whose change is worth a message of its own.
func (n *near) news(msg *wire.Near) string {
	var key []byte
	for _, s := range msg.GetSpends() {
		key = appendNumber(key, s.GetCount())
	}
	for _, c := range msg.GetRetries() {
		key = appendNumber(key, c.GetRetries())
	}
	key = appendNumber(key, msg.GetRevision())
	for _, l := range msg.GetLoads() {
		key = appendNumber(key, uint64(l.GetState()))
		key = appendNumber(key, uint64(l.GetInFlight()+l.GetQueued()))
		key = appendNumber(key, uint64(l.GetSuspicion()/suspicionStep))
	}
	return string(key)
}

// suspicionStep is the change of a suspicion, in thousandths, that is news.
const suspicionStep = 100

func appendNumber(b []byte, v uint64) []byte {
	for ; v >= 0x80; v >>= 7 {
		b = append(b, byte(v)|0x80)
	}
	return append(b, byte(v))
}

func (n *near) send(address string, b []byte) {
	to, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return
	}
	if _, err := n.conn.WriteTo(b, to); err != nil {
		n.d.log.Debug("message to the data centre not sent", "to", address, "error", err)
		return
	}
	n.d.meter.DatagramsOut.Inc()
	n.d.meter.BytesOut.Add(len(b))
}

func (n *near) read() {
	buf := make([]byte, maxDatagram)
	for {
		size, _, err := n.conn.ReadFrom(buf)
		if err != nil {
			return
		}
		var msg wire.Near
		if err := proto.Unmarshal(buf[:size], &msg); err != nil {
			n.d.meter.Dropped.Inc()
			n.d.log.Debug("message of the data centre cannot be read", "error", err)
			continue
		}
		n.take(n.d.clk.Now(), &msg)
	}
}

// take takes in a message. One that was overtaken says nothing.
func (n *near) take(now clock.Millis, msg *wire.Near) {
	n.d.meter.DatagramsIn.Inc()
	from := ident.Instance(msg.GetSender())
	inc := ident.Incarnation(msg.GetIncarnation())
	if was := n.seen[from]; was.inc == inc && msg.GetSequence() <= was.sequence || from == n.d.instance {
		return
	}
	n.seen[from] = seenNear{inc, msg.GetSequence()}
	spends := make([]limit.Spend, 0, len(msg.GetSpends()))
	for _, s := range msg.GetSpends() {
		spends = append(spends, limit.Spend{Team: ident.Team(s.GetTeam()), Count: s.GetCount()})
	}
	n.d.shares.Heard(now, from, inc, spends)
	for _, c := range msg.GetRetries() {
		n.d.picker.HeardRetries(now, from, inc, choose.RetryCount{
			Service: ident.Service(c.GetService()), Requests: c.GetRequests(), Retries: c.GetRetries(),
		})
	}
	for _, l := range msg.GetLoads() {
		n.d.entry.TakeReport(now, ident.Service(l.GetService()), l)
	}
	if ident.Revision(msg.GetRevision()) > n.d.table.Revision() {
		n.d.docs.hint(msg.GetInnerAddress(), ident.Revision(msg.GetRevision()))
	}
}
