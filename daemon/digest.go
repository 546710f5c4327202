package daemon

import (
	"context"
	"strings"

	"google.golang.org/protobuf/proto"

	"chestnutlatch/clock"
	"chestnutlatch/ident"
	"chestnutlatch/member"
	"chestnutlatch/store"
	"chestnutlatch/wire"
)

const (
	// fleetPrefix covers the daemons' keys and the digests in one listing.
	fleetPrefix = "fleet"
	// DigestPrefix is the store prefix of the data centres' digests.
	DigestPrefix = "fleet_load/"
	// digestEvery is the least time between two digests of a data centre.
	digestEvery = clock.Second
	// digestAge is how old a digest is taken to be when it is first read: half
	// the time between two listings.
	digestAge = 500 * clock.Millisecond
	// digestBusy is the part of the slots in use from which a data centre's
	// load is news for the others.
	digestBusy = 0.75
)

// digest writes one data centre's load for the others: the store is the
// cheapest way between data centres for news that may be a second old.
type digest struct {
	d        *Daemon
	revision store.Revision
	wrote    clock.Millis
	last     string
	// seen holds the revision of each digest that was read.
	seen map[string]store.Revision
}

func newDigest(d *Daemon) *digest {
	return &digest{d: d, seen: map[string]store.Revision{}}
}

// isWriter reports whether this daemon writes its data centre's digest: the
// first one by name. Two writers for a while do no harm.
func (g *digest) isWriter() bool {
	near := g.d.roster.others(func(m *member.Member) bool { return m.DataCentre == g.d.cfg.DataCentre })
	return len(near) == 0 || g.d.instance < near[0].Instance
}

// tell writes the digest if there is news.
func (g *digest) tell(ctx context.Context, now clock.Millis, lease store.LeaseID) {
	if lease == 0 || now-g.wrote < digestEvery || !g.isWriter() {
		return
	}
	msg := &wire.Near{Sender: string(g.d.instance)}
	var news strings.Builder
	for _, r := range g.d.picker.Reports(now, g.d.cfg.DataCentre) {
		msg.Loads = append(msg.Loads, &wire.LoadReport{
			Service: string(r.Service), Target: string(r.Target), State: uint32(r.Load.State),
			InFlight: uint32(r.Load.InFlight), Queued: uint32(r.Load.Queued),
			Suspicion: uint32(r.Load.Suspicion * ident.Permill), AgeMs: uint32(r.Age),
		})
		news.WriteString(r.News(digestBusy))
	}
	if news.String() == g.last {
		return
	}
	value, err := proto.Marshal(msg)
	if err != nil {
		g.d.log.Error("digest not encoded", "error", err)
		return
	}
	ctx, done := context.WithTimeout(ctx, storeTimeout)
	defer done()
	g.wrote = now
	rev, err := g.d.store.Swap(ctx, DigestPrefix+string(g.d.cfg.DataCentre), g.revision, value, lease)
	g.d.storeWord("write digest", err)
	if current, ok := conflict(err); ok {
		g.revision = current
		return
	}
	if err == nil {
		g.revision, g.last = rev, news.String()
	}
}

// take takes in another data centre's digest.
func (g *digest) take(now clock.Millis, e store.Entry) {
	dc := strings.TrimPrefix(e.Key, DigestPrefix)
	if dc == string(g.d.cfg.DataCentre) || g.seen[dc] >= e.Revision {
		return
	}
	var msg wire.Near
	if err := proto.Unmarshal(e.Value, &msg); err != nil {
		g.d.log.Warn("digest cannot be read, it is left out", "key", e.Key, "error", err)
		return
	}
	g.seen[dc] = e.Revision
	for _, l := range msg.GetLoads() {
		g.d.entry.TakeReport(now-digestAge-clock.Millis(l.GetAgeMs()), ident.Service(l.GetService()), l)
	}
}
