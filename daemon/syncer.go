package daemon

import (
	"context"
	"io"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"chestnutlatch/clock"
	"chestnutlatch/config"
	"chestnutlatch/ident"
	"chestnutlatch/peers"
	"chestnutlatch/record"
	"chestnutlatch/store"
	"chestnutlatch/table"
	"chestnutlatch/wire"
)

const (
	// watcherCount is the number of daemons of a data centre that watch the
	// store.
	watcherCount = 2
	// pullLimit bounds the changes of one answer.
	pullLimit = 256
	syncTick  = time.Second
	// storeTimeout bounds one call to the store.
	storeTimeout = 2 * time.Second
	// loadTimeout bounds the reading of a whole configuration.
	loadTimeout = 30 * time.Second
	pullTimeout = 2 * time.Second
	// logPage is the number of log entries read in one call.
	logPage = 16
	// hintDepth is the number of peers remembered to pull from.
	hintDepth = 16
	// contactEvery is the time between two readings of the first contacts by
	// a reporter, in milliseconds.
	contactEvery = 10 * clock.Second
)

// syncer keeps the table up to the log: from the store if this daemon is one
// of the watchers, else from peers.
type syncer struct {
	d     *Daemon
	hints chan ident.Instance
	// contact is when the store last answered.
	contact atomic.Int64
	// contacted is when the first contacts were last read.
	contacted clock.Millis
	// watching tells that a watch is under way.
	watching atomic.Bool
}

func newSyncer(d *Daemon) *syncer {
	s := &syncer{d: d, hints: make(chan ident.Instance, hintDepth)}
	s.contact.Store(int64(-clock.Hour))
	return s
}

func (s *syncer) lastContact() clock.Millis {
	return clock.Millis(s.contact.Load())
}

func (s *syncer) touched() {
	s.contact.Store(int64(s.d.clk.Now()))
}

// hint tells that a peer has a newer configuration. It does not wait.
func (s *syncer) hint(peer ident.Instance) {
	select {
	case s.hints <- peer:
	default:
	}
}

func (s *syncer) run(ctx context.Context) {
	s.bootstrap(ctx)
	tick := time.NewTicker(syncTick)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case peer := <-s.hints:
			s.pullFrom(ctx, peer)
		case <-tick.C:
			s.keepWatching(ctx)
			s.findPeers(ctx)
		}
	}
}

// findPeers reads the first contacts again while this daemon knows no peer,
// and now and then on the data centre's reporter, so that two parts of a
// fleet that lost each other meet again.
func (s *syncer) findPeers(ctx context.Context) {
	now := s.d.clk.Now()
	wait := contactEvery
	if s.d.members.count() < 2 {
		wait = 0
	} else if s.d.members.rank() != 0 {
		return
	}
	if now-s.contacted < wait {
		return
	}
	s.contacted = now
	s.d.members.contact(s.d.cfg.Seeds)
	records, err := readContacts(ctx, s.d.store)
	if err != nil {
		s.d.log.Debug("first contacts not read", "error", err)
		return
	}
	s.touched()
	s.d.members.join(records)
}

// bootstrap finds peers and a first configuration, from peers if there are
// any, since a snapshot from the store costs it many reads.
func (s *syncer) bootstrap(ctx context.Context) {
	for ctx.Err() == nil {
		s.d.members.contact(s.d.cfg.Seeds)
		records, err := readContacts(ctx, s.d.store)
		if err == nil {
			s.touched()
			s.d.members.join(records)
		} else {
			s.d.log.Warn("store has no first contact", "error", err)
		}
		if s.snapshotFromPeers(ctx) {
			return
		}
		if err == nil && s.loadFromStore(ctx) {
			return
		}
		select {
		case <-ctx.Done():
		case <-time.After(syncTick):
		}
	}
}

func (s *syncer) loadFromStore(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	b := table.NewBuilder()
	rev, err := config.Stream(ctx, s.d.store, b.AddItem)
	if err != nil {
		s.d.log.Warn("configuration not loaded from the store", "error", err)
		return false
	}
	b.SetRevision(rev)
	s.d.table.Install(b)
	if err := s.readLog(ctx); err != nil {
		s.d.log.Warn("changes not loaded from the store", "error", err)
		return false
	}
	s.loaded("store")
	return true
}

// loaded returns what the loading left over to the system: the memory that a
// daemon may hold is small.
func (s *syncer) loaded(from string) {
	debug.FreeOSMemory()
	s.inForce(from)
}

// readLog applies the changes behind the table's revision.
func (s *syncer) readLog(ctx context.Context) error {
	for {
		entries, _, err := s.d.store.List(ctx, config.LogPrefix, config.LogKey(s.d.table.Revision()), logPage)
		if err != nil {
			return err
		}
		s.touched()
		for _, e := range entries {
			if err := s.d.table.Apply(e.Value); err != nil {
				return err
			}
		}
		if len(entries) < logPage {
			return nil
		}
	}
}

// snapshotFromPeers takes the configuration from the first peer that has one.
func (s *syncer) snapshotFromPeers(ctx context.Context) bool {
	for _, r := range s.d.members.nearby() {
		if err := s.snapshotFrom(ctx, r.InnerAddress); err == nil {
			return true
		}
	}
	return false
}

func (s *syncer) snapshotFrom(ctx context.Context, address string) error {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	b, err := readSnapshot(ctx, s.d.peers, address)
	if err != nil {
		return err
	}
	if !s.d.table.Install(b) {
		return errors.New("peer's configuration is not newer")
	}
	s.loaded(address)
	return nil
}

// readSnapshot reads a peer's whole configuration.
func readSnapshot(ctx context.Context, pool *peers.Pool, address string) (*table.Builder, error) {
	client, err := pool.Get(address)
	if err != nil {
		return nil, err
	}
	stream, err := client.Snapshot(ctx, &wire.SnapshotRequest{})
	if err != nil {
		return nil, errors.Wrap(err, "snapshot")
	}
	b := table.NewBuilder()
	for {
		chunk, err := stream.Recv()
		if errors.Is(err, io.EOF) {
			return b, nil
		}
		if err != nil {
			return nil, errors.Wrap(err, "snapshot")
		}
		if err := b.Add(ident.Revision(chunk.GetRevision()), chunk.GetRecords()); err != nil {
			return nil, err
		}
		b.SetCallerLimits(limitsFromWire(chunk.GetLimits()))
	}
}

// inForce tells the fleet of the revision now in force.
func (s *syncer) inForce(from string) {
	r := s.d.table.Revision()
	s.d.log.Debug("configuration in force", "revision", uint64(r), "from", from)
	s.d.members.setRevision(r)
}

// pullFrom fetches the changes that a peer has ahead.
func (s *syncer) pullFrom(ctx context.Context, peer ident.Instance) {
	address, _, _ := s.d.members.Locate(peer)
	if address == "" {
		return
	}
	if err := s.pull(ctx, address); err != nil {
		s.d.log.Warn("changes not fetched", "peer", peer, "error", err)
	}
}

func (s *syncer) pull(ctx context.Context, address string) error {
	client, err := s.d.peers.Get(address)
	if err != nil {
		return err
	}
	for {
		have := s.d.table.Revision()
		call, cancel := context.WithTimeout(ctx, pullTimeout)
		reply, err := client.Changes(call, &wire.ChangesRequest{After: uint64(have), Limit: pullLimit})
		cancel()
		if err != nil {
			return errors.Wrap(err, "changes")
		}
		if reply.GetTooOld() {
			return s.snapshotFrom(ctx, address)
		}
		for _, entry := range reply.GetEntries() {
			if err := s.d.table.Apply(entry); err != nil {
				return err
			}
		}
		if s.d.table.Revision() == have {
			return nil
		}
		s.inForce(address)
	}
}

// keepWatching starts a watch when this daemon ranks among the watchers.
func (s *syncer) keepWatching(ctx context.Context) {
	if s.d.members.rank() >= watcherCount || !s.watching.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer s.watching.Store(false)
		if err := s.watch(ctx); err != nil && ctx.Err() == nil {
			s.d.log.Warn("store watch ended", "error", err)
		}
	}()
}

// watch reads what was missed and then follows the log. It ends when this
// daemon no longer ranks among the watchers.
func (s *syncer) watch(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go s.endDemoted(ctx, cancel)
	// Changes between this position and the end of the reading come twice;
	// the table ignores those it has.
	call, done := context.WithTimeout(ctx, storeTimeout)
	_, at, err := s.d.store.List(call, config.LogPrefix, "", 1)
	done()
	if err != nil {
		return err
	}
	before := s.d.table.Revision()
	if err := s.readLog(ctx); err != nil {
		return err
	}
	if s.d.table.Revision() != before {
		s.inForce("store")
	}
	var failed error
	err = s.d.store.Watch(ctx, config.LogPrefix, at, func(ev store.Event) {
		s.touched()
		if ev.Removed || failed != nil {
			return
		}
		if failed = s.apply(ev.Entry.Value); failed != nil {
			cancel()
		}
	})
	if failed != nil {
		return failed
	}
	return err
}

func (s *syncer) endDemoted(ctx context.Context, cancel context.CancelFunc) {
	tick := time.NewTicker(syncTick)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			if s.d.members.rank() >= watcherCount {
				cancel()
				return
			}
			s.probeStore(ctx)
		}
	}
}

// probeStore notes that the store still answers, so that a lone daemon knows
// that it is not cut off.
func (s *syncer) probeStore(ctx context.Context) {
	call, done := context.WithTimeout(ctx, storeTimeout)
	defer done()
	_, err := s.d.store.Get(call, config.LogKey(s.d.table.Revision()))
	if err == nil || store.IsNotFound(err) {
		s.touched()
	}
}

// apply puts one change of the log in force. A gap means that the log was
// trimmed behind a snapshot.
func (s *syncer) apply(value []byte) error {
	c, err := record.DecodeChange(value)
	if err != nil {
		return err
	}
	before := s.d.table.Revision()
	if err := s.d.table.Apply(value); err != nil {
		return err
	}
	if s.d.table.Revision() != before {
		s.d.log.Info("change applied", "revision", uint64(c.Revision), "who", c.Who, "items", len(c.Items))
		s.inForce("store")
	}
	return nil
}
