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
	// watcherCount is the number of daemons in a data centre that watch the store.
	watcherCount = 2
	// pullLimit is the maximum number of changes in one reply of a peer.
	pullLimit = 256
	syncTick  = time.Second
	// storeTimeout limits one call to the store.
	storeTimeout = 2 * time.Second
	// loadTimeout limits the transfer of a whole configuration from the store or a
	// peer.
	loadTimeout = 30 * time.Second
	pullTimeout = 2 * time.Second
	// logPageSize is the number of log entries read in one store call.
	logPageSize = 16
	// maxPullRequests is the number of peers that can be queued for a pull.
	maxPullRequests = 16
	// contactInterval is the time between two reads of the contact members by
	// the daemon with rank 0.
	contactInterval = 10 * clock.Second
)

// logSyncer keeps the table up to date with the change log: from the store if
// this daemon is one of the watchers, otherwise from peers.
type logSyncer struct {
	d            *Daemon
	pullRequests chan ident.Instance
	// storeReplyAt is when the store last replied, in milliseconds.
	storeReplyAt atomic.Int64
	// contactsReadAt is when the contact members were last read.
	contactsReadAt clock.Millis
	// watching is set while a watch runs.
	watching atomic.Bool
}

func newLogSyncer(d *Daemon) *logSyncer {
	s := &logSyncer{d: d, pullRequests: make(chan ident.Instance, maxPullRequests)}
	s.storeReplyAt.Store(int64(-clock.Hour))
	return s
}

func (s *logSyncer) lastStoreReply() clock.Millis {
	return clock.Millis(s.storeReplyAt.Load())
}

func (s *logSyncer) noteStoreReply() {
	s.storeReplyAt.Store(int64(s.d.clk.Now()))
}

// requestPull queues a pull from a peer that has a newer configuration. It does
// not block; a full queue drops the request.
func (s *logSyncer) requestPull(peer ident.Instance) {
	select {
	case s.pullRequests <- peer:
	default:
	}
}

func (s *logSyncer) run(ctx context.Context) {
	s.bootstrap(ctx)
	tick := time.NewTicker(syncTick)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case peer := <-s.pullRequests:
			s.pullFrom(ctx, peer)
		case <-tick.C:
			s.startWatch(ctx)
			s.findPeers(ctx)
		}
	}
}

// findPeers sends digests to the seeds and reads the contact members from the
// store, at each call while this daemon has no peers. The daemon with rank 0 also
// does so every contactInterval, so that the two sides of a partitioned fleet find
// each other again.
func (s *logSyncer) findPeers(ctx context.Context) {
	now := s.d.clk.Now()
	wait := contactInterval
	if s.d.members.count() < 2 {
		wait = 0
	} else if s.d.members.rank() != 0 {
		return
	}
	if now-s.contactsReadAt < wait {
		return
	}
	s.contactsReadAt = now
	s.d.members.sendDigests(s.d.cfg.Seeds)
	records, err := readContacts(ctx, s.d.store)
	if err != nil {
		s.d.log.Debug("failed to read the contact members from the store", "error", err)
		return
	}
	s.noteStoreReply()
	s.d.members.join(records)
}

// bootstrap finds peers and loads the first configuration. It prefers peers,
// because loading a snapshot from the store takes many reads.
func (s *logSyncer) bootstrap(ctx context.Context) {
	for ctx.Err() == nil {
		s.d.members.sendDigests(s.d.cfg.Seeds)
		records, err := readContacts(ctx, s.d.store)
		if err == nil {
			s.noteStoreReply()
			s.d.members.join(records)
		} else {
			s.d.log.Warn("failed to read the contact members from the store", "error", err)
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

func (s *logSyncer) loadFromStore(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	b := table.NewBuilder()
	rev, err := config.StreamSnapshot(ctx, s.d.store, b.AddItem)
	if err != nil {
		s.d.log.Warn("failed to load the configuration from the store", "error", err)
		return false
	}
	b.SetRevision(rev)
	s.d.table.Install(b)
	if err := s.readLog(ctx); err != nil {
		s.d.log.Warn("failed to read configuration changes from the store", "error", err)
		return false
	}
	s.finishLoad("store")
	return true
}

// finishLoad returns the memory freed after a load to the operating system, since
// a daemon's memory limit is small, and announces the revision.
func (s *logSyncer) finishLoad(from string) {
	debug.FreeOSMemory()
	s.announceRevision(from)
}

// readLog applies the changes in the store that follow the table's revision.
func (s *logSyncer) readLog(ctx context.Context) error {
	for {
		entries, _, err := s.d.store.List(ctx, config.LogPrefix, config.LogKey(s.d.table.Revision()), logPageSize)
		if err != nil {
			return err
		}
		for _, e := range entries {
			if err := s.d.table.Apply(e.Value); err != nil {
				return err
			}
		}
		s.noteStoreReply()
		if len(entries) < logPageSize {
			return nil
		}
	}
}

// snapshotFromPeers loads the configuration from the first peer that has a newer
// one. It reports whether one was loaded.
func (s *logSyncer) snapshotFromPeers(ctx context.Context) bool {
	for _, r := range s.d.members.peersLocalFirst() {
		if err := s.snapshotFrom(ctx, r.InnerAddress); err == nil {
			return true
		}
	}
	return false
}

func (s *logSyncer) snapshotFrom(ctx context.Context, address string) error {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	b, err := readSnapshot(ctx, s.d.peers, address)
	if err != nil {
		return err
	}
	if !s.d.table.Install(b) {
		return errors.New("peer's configuration is not newer")
	}
	s.finishLoad(address)
	return nil
}

// readSnapshot fetches a peer's whole configuration.
func readSnapshot(ctx context.Context, pool *peers.Pool, address string) (*table.Builder, error) {
	client, err := pool.Get(address)
	if err != nil {
		return nil, err
	}
	stream, err := client.Snapshot(ctx, &wire.SnapshotRequest{})
	if err != nil {
		return nil, errors.Wrap(err, "fetch snapshot from peer")
	}
	b := table.NewBuilder()
	for {
		chunk, err := stream.Recv()
		if errors.Is(err, io.EOF) {
			return b, nil
		}
		if err != nil {
			return nil, errors.Wrap(err, "fetch snapshot from peer")
		}
		if err := b.AddChunk(ident.Revision(chunk.GetRevision()), chunk.GetRecords()); err != nil {
			return nil, err
		}
		b.SetCallerLimits(limitsFromWire(chunk.GetLimits()))
	}
}

// announceRevision logs the revision in force and announces it to the fleet.
func (s *logSyncer) announceRevision(from string) {
	r := s.d.table.Revision()
	s.d.log.Debug("configuration in force", "revision", uint64(r), "from", from)
	s.d.members.setRevision(r)
}

// pullFrom fetches the newer changes of a peer, or its snapshot if it no longer
// keeps them.
func (s *logSyncer) pullFrom(ctx context.Context, peer ident.Instance) {
	address, _, _ := s.d.members.Locate(peer)
	if address == "" {
		return
	}
	if err := s.pull(ctx, address); err != nil {
		s.d.log.Warn("failed to fetch configuration changes from a peer", "peer", peer, "error", err)
	}
}

func (s *logSyncer) pull(ctx context.Context, address string) error {
	client, err := s.d.peers.Get(address)
	if err != nil {
		return err
	}
	for {
		have := s.d.table.Revision()
		callCtx, cancel := context.WithTimeout(ctx, pullTimeout)
		reply, err := client.Changes(callCtx, &wire.ChangesRequest{After: uint64(have), Limit: pullLimit})
		cancel()
		if err != nil {
			return errors.Wrap(err, "fetch changes from peer")
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
		s.announceRevision(address)
	}
}

// startWatch starts a watch of the store if this daemon ranks among the watchers
// and no watch runs.
func (s *logSyncer) startWatch(ctx context.Context) {
	if s.d.members.rank() >= watcherCount || !s.watching.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer s.watching.Store(false)
		if err := s.watch(ctx); err != nil && ctx.Err() == nil {
			s.d.log.Warn("watch of the configuration log failed", "error", err)
		}
	}()
}

// watch applies the missed changes and then follows the log. It ends when this
// daemon no longer ranks among the watchers.
func (s *logSyncer) watch(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go s.superviseWatch(ctx, cancel)
	// Changes written between this store revision and the end of readLog are
	// delivered twice. The table ignores those that it has.
	callCtx, cancelCall := context.WithTimeout(ctx, storeTimeout)
	_, revision, err := s.d.store.List(callCtx, config.LogPrefix, "", 1)
	cancelCall()
	if err != nil {
		return err
	}
	before := s.d.table.Revision()
	if err := s.readLog(ctx); err != nil {
		return err
	}
	if s.d.table.Revision() != before {
		s.announceRevision("store")
	}
	var failed error
	err = s.d.store.Watch(ctx, config.LogPrefix, revision, func(ev store.Event) {
		s.noteStoreReply()
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

// superviseWatch probes the store every syncTick. It calls cancel when this daemon no
// longer ranks among the watchers, or when the watch has not delivered a change within
// one syncTick.
func (s *logSyncer) superviseWatch(ctx context.Context, cancel context.CancelFunc) {
	tick := time.NewTicker(syncTick)
	defer tick.Stop()
	var missing ident.Revision
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			if s.d.members.rank() >= watcherCount {
				cancel()
				return
			}
			rev := s.d.table.Revision()
			switch isNewest, ok := s.probeStore(ctx, rev); {
			case !ok || isNewest:
				missing = 0
			case missing == rev+1:
				s.d.log.Warn("watch of the configuration log has missed a change, starting it again", "revision", uint64(missing))
				cancel()
				return
			default:
				missing = rev + 1
			}
		}
	}
}

// probeStore reports whether the log has no change after rev; ok is false if the store
// did not reply. A reply without newer changes is recorded, so that a daemon without
// peers is not treated as isolated.
func (s *logSyncer) probeStore(ctx context.Context, rev ident.Revision) (isNewest, ok bool) {
	callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	entries, _, err := s.d.store.List(callCtx, config.LogPrefix, config.LogKey(rev), 1)
	if err != nil {
		s.d.log.Debug("failed to probe the store", "error", err)
		return false, false
	}
	if len(entries) > 0 {
		return false, true
	}
	s.noteStoreReply()
	return true, true
}

// apply applies one change of the log. A gap in the revisions, which occurs when
// the log was trimmed after a snapshot, is an error.
func (s *logSyncer) apply(value []byte) error {
	c, err := record.DecodeChange(value)
	if err != nil {
		return err
	}
	before := s.d.table.Revision()
	if err := s.d.table.Apply(value); err != nil {
		return err
	}
	if s.d.table.Revision() != before {
		s.d.log.Info("change applied", "revision", uint64(c.Revision), "who", c.Author, "items", len(c.Items))
		s.announceRevision("store")
	}
	return nil
}
