package daemon

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"chestnutlatch/clock"
	"chestnutlatch/ident"
	"chestnutlatch/member"
	"chestnutlatch/store"
	"chestnutlatch/table"
	"chestnutlatch/wire"
)

const (
	// docRetry is the pause after a failed reading or watch, docRetryMost its
	// bound: a daemon that the store refuses must not spend the fleet's calls.
	docRetry     = 250 * time.Millisecond
	docRetryMost = time.Second
	// peerWait is how long a daemon waits for its own watch after it hears of
	// a newer revision, before it takes the configuration from the peer.
	peerWait = 150 * time.Millisecond
	// askEvery is the time between two rounds of questions to daemons of other
	// data centres while the store does not answer.
	askEvery = time.Second
	// askCount is the number of daemons asked in a round.
	askCount = 2
	// snapTimeout bounds the reading of a configuration from a peer.
	snapTimeout = 2 * time.Second
)

// docs keeps the table up to a configuration that the operators hold as one
// document in the store.
type docs struct {
	d     *Daemon
	hints chan string
	// aheadOf is the highest revision that a peer told of.
	aheadOf atomic.Uint64
	// introduced is the failing since which this daemon introduced itself; used
	// by the loop that asks only.
	introduced int64
	// failing is since when the store does not answer, 0 if it does.
	failing atomic.Int64
	// installed is when the configuration in force came.
	installed atomic.Int64
	// endWatch ends the watch under way; nil without one.
	endWatch atomic.Pointer[context.CancelFunc]
}

// errDoubted reports a watch that was given up because other calls to the store
// got no answer.
var errDoubted = errors.New("store does not answer other calls")

// doubt gives up the watch: on a connection that went silent it would hear of
// nothing for its whole time.
func (s *docs) doubt() {
	if end := s.endWatch.Load(); end != nil {
		(*end)()
	}
}

// since returns the time from a noted moment, 0 if none is noted.
func since(now clock.Millis, moment *atomic.Int64) clock.Millis {
	if at := clock.Millis(moment.Load()); at > 0 {
		return now - at
	}
	return 0
}

func newDocs(d *Daemon) *docs {
	return &docs{d: d, hints: make(chan string, hintDepth)}
}

func (s *docs) run(ctx context.Context) {
	go s.followPeers(ctx)
	pause := docRetry
	for ctx.Err() == nil {
		err := s.follow(ctx, func() { pause = docRetry })
		if errors.Is(err, errDoubted) {
			continue
		}
		s.d.storeWord("follow configuration", err)
		var compacted *store.CompactedError
		if errors.As(err, &compacted) {
			continue
		}
		s.failing.CompareAndSwap(0, max(int64(s.d.clk.Now()), 1))
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
		pause = min(2*pause, docRetryMost)
	}
}

// follow reads the document and watches it until the store fails.
func (s *docs) follow(ctx context.Context, well func()) error {
	key := s.d.platform.Document.Key
	call, done := context.WithTimeout(ctx, storeTimeout)
	entries, at, err := s.d.store.List(call, key, "", 1)
	done()
	if err != nil {
		return err
	}
	well()
	s.failing.Store(0)
	s.d.storeWord("follow configuration", nil)
	for _, e := range entries {
		s.take(e)
	}
	watch, end := context.WithCancel(ctx)
	defer end()
	s.endWatch.Store(&end)
	defer s.endWatch.Store(nil)
	err = s.d.store.Watch(watch, key, at, func(ev store.Event) {
		if !ev.Removed {
			s.take(ev.Entry)
		}
	})
	if watch.Err() != nil && ctx.Err() == nil {
		return errDoubted
	}
	return err
}

// take puts a document in force if it is newer. One that cannot be read
// changes nothing.
func (s *docs) take(e store.Entry) {
	if e.Key != s.d.platform.Document.Key {
		return
	}
	doc, err := s.d.platform.Document.Read(e.Value)
	if err != nil {
		s.d.meter.BadDocuments.Inc()
		s.d.log.Error("configuration refused, the last one stays in force", "key_revision", uint64(e.Revision), "error", err)
		return
	}
	b := table.NewBuilder()
	for _, r := range doc.Records {
		b.Put(r)
	}
	b.SetRevision(doc.Revision)
	b.SetCallerLimits(doc.Limits)
	s.install(b, doc.Revision, "store")
}

func (s *docs) install(b *table.Builder, rev ident.Revision, from string) {
	before := s.d.table.Revision()
	if !s.d.table.Install(b) {
		return
	}
	s.installed.Store(int64(s.d.clk.Now()))
	s.d.log.Info("configuration in force", "revision", uint64(rev), "before", uint64(before), "from", from)
	s.d.near.wake()
}

// hint tells that the daemon at an inner address has a newer revision.
func (s *docs) hint(address string, rev ident.Revision) {
	s.aheadOf.Store(max(s.aheadOf.Load(), uint64(rev)))
	select {
	case s.hints <- address:
	default:
	}
}

// followPeers takes the configuration from peers that have a newer one, and
// asks around while the store does not answer.
func (s *docs) followPeers(ctx context.Context) {
	ask := time.NewTicker(askEvery)
	defer ask.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case address := <-s.hints:
			time.Sleep(peerWait)
			s.pullAhead(ctx, address)
		case <-ask.C:
			if since(s.d.clk.Now(), &s.failing) > clock.FromDuration(docRetryMost) {
				s.askAround(ctx)
			}
		}
	}
}

// askAround asks a few daemons for their revision, and tells them of this one:
// those of other data centres, the own ones tell theirs all the time. A daemon
// that knows none asks the seeds of its settings.
func (s *docs) askAround(ctx context.Context) {
	far := s.d.roster.others(func(m *member.Member) bool { return m.DataCentre != s.d.cfg.DataCentre })
	s.d.roster.shuffle(far)
	var addresses []string
	for _, m := range far[:min(askCount, len(far))] {
		addresses = append(addresses, m.InnerAddress)
	}
	if len(far) == 0 {
		addresses = s.d.seedAddresses()
	}
	ask := s.d.roster.introduce
	if since := s.failing.Load(); len(far) > 0 && s.introduced == since {
		// They know each other: the revision is enough.
		ask = func(address string) (*wire.PingReply, error) { return s.d.roster.ping(address, &wire.PingRequest{}) }
	} else {
		s.introduced = since
	}
	for _, address := range addresses {
		reply, err := ask(address)
		if err != nil {
			s.d.log.Debug("peer not asked", "address", address, "error", err)
			continue
		}
		if ident.Revision(reply.GetRevision()) > s.d.table.Revision() {
			s.pull(ctx, address)
		}
	}
}

// seedAddresses returns the inner addresses of the seeds. Ports are the same on
// every instance.
func (d *Daemon) seedAddresses() []string {
	_, port, err := net.SplitHostPort(d.cfg.InnerAddress)
	if err != nil {
		return nil
	}
	var out []string
	for _, seed := range d.cfg.Seeds {
		if host, _, err := net.SplitHostPort(seed); err == nil && net.JoinHostPort(host, port) != d.cfg.InnerAddress {
			out = append(out, net.JoinHostPort(host, port))
		}
	}
	return out
}

// pullAhead takes the configuration from a peer that is still ahead.
func (s *docs) pullAhead(ctx context.Context, address string) {
	for len(s.hints) > 0 {
		address = <-s.hints
	}
	if s.aheadOf.Load() > uint64(s.d.table.Revision()) {
		s.pull(ctx, address)
	}
}

// pull takes a peer's whole configuration.
func (s *docs) pull(ctx context.Context, address string) {
	ctx, done := context.WithTimeout(ctx, snapTimeout)
	defer done()
	b, err := readSnapshot(ctx, s.d.peers, address)
	if err != nil {
		s.d.log.Debug("configuration not taken from peer", "address", address, "error", err)
		return
	}
	s.install(b, b.Revision(), address)
}
