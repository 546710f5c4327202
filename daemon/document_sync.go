package daemon

import (
	"context"
	"math/rand/v2"
	"net"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"chestnutlatch/clock"
	"chestnutlatch/evac"
	"chestnutlatch/ident"
	"chestnutlatch/member"
	"chestnutlatch/store"
	"chestnutlatch/table"
	"chestnutlatch/wire"
)

const (
	// minFollowRetry is the first pause after a failed read or watch. The pause
	// doubles up to maxFollowRetry, so that a daemon whose calls the store
	// refuses does not use up the fleet's call limit.
	minFollowRetry = 250 * time.Millisecond
	maxFollowRetry = time.Second
	// watchHeadStart is how long a daemon waits for its own watch when a peer
	// reports a newer revision, before it fetches it from the peer.
	watchHeadStart = 150 * time.Millisecond
	// peerPollInterval is the time between two polls of daemons in other data
	// centres while the store is unavailable.
	peerPollInterval = time.Second
	// peerPollCount is the number of daemons asked in one poll.
	peerPollCount = 2
	// watchLagLimit is how long the watch may take to deliver a configuration that
	// this daemon already has from elsewhere. It is then started again.
	watchLagLimit = time.Second
	// watchRestartPause is how long a watch is given after it was started again because of
	// an evacuation. A peer may claim one that the store lacks.
	watchRestartPause = 4 * clock.Second
	// snapshotTimeout limits the transfer of a configuration from a peer on a
	// platform.
	snapshotTimeout = 2 * time.Second
	// maxOperatorKeys is the maximum number of operators' keys in a listing.
	maxOperatorKeys = 10_000
	// confirmationLimit is how long the configuration and the evacuations may be without
	// a confirmation before peers in other data centres are polled. Checks confirm them
	// more often; a store that does not respond is noticed too late for the time limit of
	// an evacuation.
	confirmationLimit = 2 * clock.Second
)

// documentSyncer keeps the table up to date with the configuration that
// operators store as one document, and the evacuations with their keys. It watches them,
// checks regularly that the watch has missed nothing, and fetches newer revisions from
// peers if the watch is slow or the store is unavailable.
type documentSyncer struct {
	d            *Daemon
	pullRequests chan string
	freshness    *revisionFreshness
	// checks counts the successful checks of this daemon. They are broadcast at once.
	checks atomic.Uint64
	// lastKeyRevision is the highest revision of the document's key that was decoded.
	lastKeyRevision atomic.Uint64
	// watchedRevision is the highest configuration revision that the watch, or the read
	// before it, has delivered.
	watchedRevision atomic.Uint64
	// highestPeerRevision is the highest revision reported by a peer.
	highestPeerRevision atomic.Uint64
	// introducedDuring is the failingSince of the outage in which this daemon
	// introduced itself to peers. Only pullFromPeers's goroutine uses it.
	introducedDuring int64
	// failingSince is when the configuration could first not be followed, in
	// milliseconds of the daemon's clock; 0 while it can be.
	failingSince atomic.Int64
	// installedAt is when the current configuration was installed; 0 without one.
	installedAt atomic.Int64
	// evacuationMissedSince is the time from which watchLagLimit is measured if the watch
	// has missed an evacuation or its end; 0 if it has not. Only the goroutine of the checks
	// uses it.
	evacuationMissedSince clock.Millis
	// role decides whether this daemon watches; nil if all daemons do.
	role *watchRole
	// watching is whether this daemon watches, or is about to.
	watching atomic.Bool
	// cancelWatch cancels the running watch, or the wait in place of one; nil if none runs.
	cancelWatch atomic.Pointer[context.CancelFunc]
}

// errWatchAbandoned means that the watch was canceled because another store call
// failed.
var errWatchAbandoned = errors.New("watch canceled: the store is unavailable for other calls")

// abandonWatch cancels the running watch. On a dead connection the watch would
// otherwise deliver no changes until it times out.
func (s *documentSyncer) abandonWatch() {
	if cancel := s.cancelWatch.Load(); cancel != nil {
		(*cancel)()
	}
}

// elapsedSince returns the time since a timestamp in milliseconds of the daemon's
// clock, or 0 if the timestamp is 0.
func elapsedSince(now clock.Millis, timestamp *atomic.Int64) clock.Millis {
	if at := clock.Millis(timestamp.Load()); at > 0 {
		return now - at
	}
	return 0
}

func newDocumentSyncer(d *Daemon, rnd *rand.Rand) *documentSyncer {
	s := &documentSyncer{d: d, pullRequests: make(chan string, maxPullRequests), freshness: newRevisionFreshness(rnd)}
	s.watching.Store(true)
	if d.cfg.Watchers > 0 {
		s.role = newWatchRole(d.instance, d.cfg.Watchers)
	}
	return s
}

func (s *documentSyncer) run(ctx context.Context) {
	go s.pullFromPeers(ctx)
	go runEvery(ctx, freshnessTick, func() {
		s.updateRole(s.d.clk.Now())
		s.checkIfDue(ctx)
		s.restartWatchIfEvacuationMissed(s.d.clk.Now())
	})
	pause := minFollowRetry
	for ctx.Err() == nil {
		err := s.follow(ctx, func() { pause = minFollowRetry })
		if errors.Is(err, errWatchAbandoned) {
			continue
		}
		s.d.recordStoreCall("follow configuration", err)
		var compacted *store.CompactedError
		if errors.As(err, &compacted) {
			continue
		}
		s.failingSince.CompareAndSwap(0, max(int64(s.d.clk.Now()), 1))
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
		pause = min(2*pause, maxFollowRetry)
	}
}

// updateRole decides whether this daemon watches. A change ends the watch or the wait in
// place of one, after which the operators' keys are read again.
func (s *documentSyncer) updateRole(now clock.Millis) {
	if s.role == nil {
		return
	}
	// A broadcast has no room for more evacuations, so this daemon may miss some of them.
	isCut := len(s.d.evacuations.toWire(now, maxBroadcastEvacuations)) == maxBroadcastEvacuations
	watches := s.role.decide(now, s.d.roster.isNeighbour, isCut)
	if s.watching.Swap(watches) == watches {
		return
	}
	s.d.log.Info("role in the watch of the configuration changed", "watches", watches)
	s.abandonWatch()
}

// waitInsteadOfWatch returns when ctx ends, or when the store is in a newer era than the
// revision that was read: that ends watches too.
func (s *documentSyncer) waitInsteadOfWatch(ctx context.Context, revision store.Revision) error {
	tick := time.NewTicker(freshnessTick)
	defer tick.Stop()
	for {
		if s.d.storeEra() > revision.Era() {
			return &store.CompactedError{After: revision}
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
		}
	}
}

// follow reads the operators' keys, calls onSuccess, and watches them until the watch ends
// or is abandoned. A daemon that leaves the watch to others waits instead: the broadcasts
// and the checks of the data centre bring it what changes.
func (s *documentSyncer) follow(ctx context.Context, onSuccess func()) error {
	revision, err := s.readKeys(ctx, true, s.applyWatched)
	if err != nil {
		return err
	}
	onSuccess()
	s.failingSince.Store(0)
	s.d.recordStoreCall("follow configuration", nil)
	watchCtx, cancelWatch := context.WithCancel(ctx)
	defer cancelWatch()
	s.cancelWatch.Store(&cancelWatch)
	defer s.cancelWatch.Store(nil)
	if s.watching.Load() {
		err = s.d.store.Watch(watchCtx, s.d.platform.Document.Prefix, revision, s.applyEvent)
	} else {
		err = s.waitInsteadOfWatch(watchCtx, revision)
	}
	if watchCtx.Err() != nil && ctx.Err() == nil {
		return errWatchAbandoned
	}
	return err
}

// applyEvent applies an event of the watch. Keys other than the document's and those of
// evacuations are ignored.
func (s *documentSyncer) applyEvent(ev store.Event) {
	if dc, ok := s.d.evacuations.parseKey(ev.Entry.Key); ok {
		s.d.evacuations.applyEvent(s.d.clk.Now(), evac.Entry{DataCentre: dc, Evacuated: !ev.Removed, Revision: ev.Entry.Revision})
		return
	}
	if !ev.Removed {
		s.applyWatched(ev.Entry)
	}
}

// readKeys reads the operators' keys as they are in the store, without the staleness that
// listings allow. It applies the evacuations, passes the document to apply and returns the
// revision of the store. isWatched says that a watch follows.
func (s *documentSyncer) readKeys(ctx context.Context, isWatched bool, apply func(store.Entry)) (store.Revision, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	startedAt := s.d.clk.Now()
	entries, revision, err := s.d.store.List(ctx, s.d.platform.Document.Prefix, "", maxOperatorKeys)
	if err != nil {
		return 0, err
	}
	// The evacuations come first: with the configuration, callers are served.
	s.d.evacuations.applyListing(s.d.clk.Now(), entries, revision, len(entries) < maxOperatorKeys, isWatched)
	for _, e := range entries {
		if e.Key == s.d.platform.Document.Key {
			apply(e)
		}
	}
	s.freshness.confirm(startedAt)
	return revision, nil
}

// checkIfDue reads the operators' keys if no daemon of this data centre has read them
// recently, or if evacuations of an earlier era of the store must be confirmed.
// The answer to a watch may be lost without a sign on the connection, and the watch then
// delivers nothing until it times out. It does nothing while the configuration cannot be
// followed, because run then reads the document.
func (s *documentSyncer) checkIfDue(ctx context.Context) {
	now := s.d.clk.Now()
	if s.failingSince.Load() > 0 || !s.freshness.beginCheck(now, s.d.evacuations.needListing(now, s.d.roster.isFirst), s.d.roster.isFirst) {
		return
	}
	_, err := s.readKeys(ctx, false, func(e store.Entry) {
		if uint64(e.Revision) > s.lastKeyRevision.Load() {
			s.restartWatchIfBehind(ctx, s.applyEntry(e))
		}
	})
	s.d.recordStoreCall("check configuration", err)
	if err == nil {
		s.checks.Add(1)
		s.d.localBroadcast.requestSend()
	}
}

// restartWatchIfBehind starts the watch again unless it delivers a configuration within
// watchLagLimit. It does not block.
func (s *documentSyncer) restartWatchIfBehind(ctx context.Context, rev ident.Revision) {
	time.AfterFunc(watchLagLimit, func() {
		watched := s.watchedRevision.Load()
		if ctx.Err() != nil || !s.watching.Load() || watched >= uint64(rev) {
			return
		}
		s.d.log.Warn("watch of the configuration has missed a change, starting it again", "revision", uint64(rev), "watched", watched)
		s.abandonWatch()
	})
}

// restartWatchIfEvacuationMissed starts the watch again if it has not delivered the
// evacuations in force, which are known from a check or a peer, for watchLagLimit.
func (s *documentSyncer) restartWatchIfEvacuationMissed(now clock.Millis) {
	switch {
	case !s.watching.Load() || !s.d.evacuations.watchMissedChange():
		s.evacuationMissedSince = 0
	case s.evacuationMissedSince == 0:
		s.evacuationMissedSince = now
	case now-s.evacuationMissedSince > clock.FromDuration(watchLagLimit):
		s.evacuationMissedSince = now + watchRestartPause
		s.d.log.Warn("watch of the configuration has missed an evacuation or its end, starting it again")
		s.abandonWatch()
	}
}

// applyWatched applies an entry that the watch, or the read before it, has delivered.
func (s *documentSyncer) applyWatched(e store.Entry) {
	rev := s.applyEntry(e)
	s.watchedRevision.Store(max(s.watchedRevision.Load(), uint64(rev)))
}

// applyEntry installs the configuration of a document if it is newer, and returns its
// revision. An invalid document is logged and changes nothing; its revision is 0.
func (s *documentSyncer) applyEntry(e store.Entry) ident.Revision {
	if e.Key != s.d.platform.Document.Key {
		return 0
	}
	doc, err := s.d.platform.Document.Decode(e.Value)
	s.lastKeyRevision.Store(max(s.lastKeyRevision.Load(), uint64(e.Revision)))
	if err != nil {
		s.d.meter.BadConfigs.Inc()
		s.d.log.Error("configuration refused, the last one stays in force", "key_revision", uint64(e.Revision), "error", err)
		return 0
	}
	b := table.NewBuilder()
	for _, r := range doc.Records {
		b.Put(r)
	}
	b.SetRevision(doc.Revision)
	b.SetCallerLimits(doc.Limits)
	s.install(b, doc.Revision, "store")
	return doc.Revision
}

func (s *documentSyncer) install(b *table.Builder, rev ident.Revision, from string) {
	before := s.d.table.Revision()
	if !s.d.table.Install(b) {
		return
	}
	s.installedAt.Store(int64(s.d.clk.Now()))
	s.d.log.Info("configuration in force", "revision", uint64(rev), "before", uint64(before), "from", from)
	s.d.localBroadcast.requestSend()
}

// requestPull queues a fetch from the daemon at an inner address, which has
// reported a newer revision. It does not block; a full queue drops the request.
func (s *documentSyncer) requestPull(address string, rev ident.Revision) {
	s.highestPeerRevision.Store(max(s.highestPeerRevision.Load(), uint64(rev)))
	select {
	case s.pullRequests <- address:
	default:
	}
}

// pullFromPeers fetches the configuration from peers that have a newer one, and
// polls peers while the store is unavailable.
func (s *documentSyncer) pullFromPeers(ctx context.Context) {
	poll := time.NewTicker(peerPollInterval)
	defer poll.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case address := <-s.pullRequests:
			if s.watching.Load() {
				time.Sleep(watchHeadStart)
			}
			s.pullIfNewer(ctx, address)
		case <-poll.C:
			now := s.d.clk.Now()
			age, _ := s.freshness.age(now)
			if elapsedSince(now, &s.failingSince) > clock.FromDuration(maxFollowRetry) || age > confirmationLimit {
				s.pollPeers(ctx)
			}
		}
	}
}

// pollPeers asks a few daemons of other data centres for their revision and their
// evacuations, and fetches a newer configuration. Daemons of the own data centre broadcast
// both anyway. Without members in other data centres, it asks the seeds from
// the settings. This daemon introduces itself in the first poll of an outage and
// in every poll of the seeds.
func (s *documentSyncer) pollPeers(ctx context.Context) {
	remote := s.d.roster.others(func(m *member.Member) bool { return m.DataCentre != s.d.cfg.DataCentre })
	s.d.roster.shuffle(remote)
	var addresses []string
	for _, m := range remote[:min(peerPollCount, len(remote))] {
		addresses = append(addresses, m.InnerAddress)
	}
	if len(remote) == 0 {
		addresses = s.d.seedAddresses()
	}
	ask := s.d.roster.introduce
	if outage := s.failingSince.Load(); len(remote) > 0 && s.introducedDuring == outage {
		// Already introduced in this outage: only the revision is needed.
		ask = func(address string) (*wire.PingReply, error) {
			return s.d.roster.ping(address, s.d.evacuations.pingRequest())
		}
	} else {
		s.introducedDuring = outage
	}
	for _, address := range addresses {
		reply, err := ask(address)
		if err != nil {
			s.d.log.Debug("failed to get the configuration revision of a peer", "address", address, "error", err)
			continue
		}
		s.d.evacuations.mergeReply(s.d.clk.Now(), reply)
		if ident.Revision(reply.GetRevision()) > s.d.table.Revision() {
			s.pull(ctx, address)
		}
	}
}

// seedAddresses returns the inner addresses of the seeds, without this daemon's.
// It assumes that every instance uses the same inner port.
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

// pullIfNewer fetches the configuration if a peer has reported a newer revision
// than the one in force. Of several queued peers, it asks the last one.
func (s *documentSyncer) pullIfNewer(ctx context.Context, address string) {
	for len(s.pullRequests) > 0 {
		address = <-s.pullRequests
	}
	if s.highestPeerRevision.Load() > uint64(s.d.table.Revision()) {
		s.pull(ctx, address)
	}
}

// pull fetches a peer's whole configuration and installs it if it is newer.
func (s *documentSyncer) pull(ctx context.Context, address string) {
	if !s.d.evacuations.areKnown() {
		// With the configuration, callers are served.
		reply, err := s.d.roster.ping(address, s.d.evacuations.pingRequest())
		if err != nil {
			s.d.log.Debug("failed to get the evacuations of a peer", "address", address, "error", err)
			return
		}
		s.d.evacuations.mergeReply(s.d.clk.Now(), reply)
	}
	callCtx, cancel := context.WithTimeout(ctx, snapshotTimeout)
	defer cancel()
	b, err := readSnapshot(callCtx, s.d.peers, address)
	if err != nil {
		s.d.log.Debug("failed to fetch the configuration from a peer", "address", address, "error", err)
		return
	}
	s.install(b, b.Revision(), address)
	s.restartWatchIfBehind(ctx, b.Revision())
}
