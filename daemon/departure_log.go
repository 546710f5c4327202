package daemon

import (
	"context"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"google.golang.org/protobuf/proto"

	"chestnutlatch/clock"
	"chestnutlatch/depart"
	"chestnutlatch/guard"
	"chestnutlatch/ident"
	"chestnutlatch/member"
	"chestnutlatch/store"
	"chestnutlatch/wire"
)

const (
	// DeparturesPrefix is the store prefix of the departures, one key per instance. It
	// begins with fleetListPrefix, so that the listing of daemons returns them.
	DeparturesPrefix = "fleet_departures/"
	// departureLease is how long the key lives after its last write. Late heartbeats
	// arrive within seconds, and a process is restarted within seconds.
	departureLease = 2 * clock.Minute
	// departureSaveTimeout limits how long an acknowledgement waits for the store, and
	// departureOwnSaveTime how much of that this daemon tries alone before it asks peers. A
	// target waits for one second.
	departureSaveTimeout = 600 * time.Millisecond
	departureOwnSaveTime = 200 * time.Millisecond
	// departurePeerSaveTime is how long one peer may take for that before the next one is
	// asked.
	departurePeerSaveTime = 200 * time.Millisecond
	// departureLoadWait is how long a heartbeat waits for the departures of the previous
	// process, and how long that process's peers are asked for them once the store has been
	// read.
	departureLoadWait = 800 * time.Millisecond
	// departureAskInterval is the time between two attempts to ask the peers.
	departureAskInterval = 100 * time.Millisecond
	// departureRetryInterval is the time between two attempts to save departures that
	// could not be saved.
	departureRetryInterval = time.Second
)

// departureLog keeps the departures of the local targets in the store and at peers, so that
// they bind the next process on this instance too, and holds those of peers. It is safe for
// concurrent use.
type departureLog struct {
	d *Daemon
	// held has the departures of other instances.
	held *depart.Ledger
	// loaded is closed when the departures of the previous process are applied.
	loaded chan struct{}
	// listed is closed when the first listing of daemons is applied.
	listed     chan struct{}
	endListing func()

	// saveAttempts counts the calls of saveThroughPeers.
	saveAttempts atomic.Uint32

	// kept is the highest count of the guard's departures that bind the next process.
	kept atomic.Uint64

	// mu is held during the store calls.
	mu sync.Mutex
	// revision is that of the key when it was last read or written; 0 if it does not
	// exist.
	revision store.Revision
	// unsaved is true if the store lacks departures.
	unsaved atomic.Bool
}

func newDepartureLog(d *Daemon) *departureLog {
	l := &departureLog{d: d, held: depart.NewLedger(), loaded: make(chan struct{}), listed: make(chan struct{})}
	l.endListing = sync.OnceFunc(func() { close(l.listed) })
	return l
}

// run applies the departures of the previous process and retries failed saves until ctx
// ends.
func (l *departureLog) run(ctx context.Context) {
	go l.load(ctx)
	runEvery(ctx, departureRetryInterval, func() {
		if l.unsaved.Load() {
			l.mu.Lock()
			defer l.mu.Unlock()
			l.saveLocked(ctx)
		}
	})
}

// load asks the peers that may hold departures of the previous process for them. They are
// known when enough of the peers have answered and the list of peers no longer grows, as it
// does while this daemon learns it without the store. Peers that have not read the store
// since their start do not count: if all processes ended at once, only the store knows.
// Once the store has been read, which has all departures that were acknowledged, load stops
// after departureLoadWait.
func (l *departureLog) load(ctx context.Context) {
	defer close(l.loaded)
	var answered sync.Map
	var listedAt time.Time
	for lastCount := 0; ctx.Err() == nil; sleep(ctx, departureAskInterval) {
		if isClosed(l.listed) && listedAt.IsZero() {
			listedAt = time.Now()
		}
		count := l.d.roster.count()
		peers := l.holders()
		isEnough := l.askPeers(ctx, peers, &answered)
		isListed := !listedAt.IsZero()
		if isEnough && (isListed || count == lastCount) || isListed && (len(peers) == 0 || time.Since(listedAt) > departureLoadWait) {
			l.d.log.Info("departures of the previous process are known", "store_read", isListed, "peers", len(peers), "enough_answered", isEnough)
			return
		}
		lastCount = count
	}
}

// holders returns the peers that hold the departures of this instance.
func (l *departureLog) holders() []member.Member {
	return depart.Holders(l.d.instance, l.d.cfg.DataCentre, l.d.roster.others(func(*member.Member) bool { return true }))
}

// askPeers asks the peers that are not in answered for departures of this instance, and adds
// those that reply. It reports whether enough of all of them have replied.
func (l *departureLog) askPeers(ctx context.Context, peers []member.Member, answered *sync.Map) bool {
	return l.callPeers(ctx, peers, func(ctx context.Context, m member.Member, client wire.InnerClient) error {
		if _, ok := answered.Load(m.Instance); ok {
			return nil
		}
		reply, err := client.HeldDepartures(ctx, &wire.HeldDeparturesRequest{Instance: string(l.d.instance)})
		if err != nil {
			return err
		}
		if list := departuresFromWire(reply.GetDepartures()); len(list) > 0 {
			l.apply(list, "peer", string(m.Instance))
			l.unsaved.Store(true)
		}
		if reply.GetIncomplete() && !isClosed(l.listed) {
			return errIncompleteDepartures
		}
		answered.Store(m.Instance, true)
		return nil
	})
}

// errIncompleteDepartures reports a peer that may not know all departures, because it has
// not read the store since its start.
var errIncompleteDepartures = errors.New("peer has not read the store since its start")

// callPeers calls peers side by side, each for at most peerCallTimeout, and reports whether
// enough of them have replied. It does not wait for the others then.
func (l *departureLog) callPeers(ctx context.Context, peers []member.Member, call func(context.Context, member.Member, wire.InnerClient) error) bool {
	// The calls may outlast this function, but not the time limit.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), peerCallTimeout)
	time.AfterFunc(peerCallTimeout, cancel)
	results := make(chan error, len(peers))
	for _, m := range peers {
		go func() {
			client, err := l.d.peers.Get(m.InnerAddress)
			if err == nil {
				err = call(ctx, m, client)
			}
			if err != nil {
				l.d.log.Debug("call about departures failed", "member", m.Instance, "error", err)
			}
			results <- err
		}()
	}
	replied := 0
	for range peers {
		if <-results == nil {
			replied++
		}
		if depart.IsEnough(len(peers), replied) {
			return true
		}
	}
	return false
}

func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// awaitLoaded waits for at most departureLoadWait until the departures of the previous
// process are known, and reports whether they are.
func (l *departureLog) awaitLoaded() bool {
	select {
	case <-l.loaded:
	case <-time.After(departureLoadWait):
	}
	return isClosed(l.loaded)
}

// applyListing applies the first listing of daemons that was read without staleness: this
// instance's departures, and those of others, which their next processes may ask for.
func (l *departureLog) applyListing(entries []store.Entry) {
	for _, e := range entries {
		of, ok := strings.CutPrefix(e.Key, DeparturesPrefix)
		switch {
		case !ok:
		case of == string(l.d.instance):
			l.mu.Lock()
			l.applyEntry(e)
			l.mu.Unlock()
		default:
			l.held.Hold(l.d.clk.Now(), ident.Instance(of), l.decode(e))
		}
	}
}

func (l *departureLog) key() string { return DeparturesPrefix + string(l.d.instance) }

// applyEntry applies the departures in the key. The caller holds mu.
func (l *departureLog) applyEntry(e store.Entry) {
	l.revision = max(l.revision, e.Revision)
	if list := l.decode(e); len(list) > 0 {
		l.apply(list, "key_revision", uint64(e.Revision))
	}
}

// decode returns the departures in a key, and none if it cannot be decoded.
func (l *departureLog) decode(e store.Entry) []guard.Departure {
	var msg wire.Departures
	if err := proto.Unmarshal(e.Value, &msg); err != nil {
		l.d.log.Warn("departures in the store cannot be decoded: ignoring them", "key", e.Key, "error", err)
		return nil
	}
	return departuresFromWire(&msg)
}

// apply applies departures of the previous process. source is logged.
func (l *departureLog) apply(list []guard.Departure, source ...any) {
	l.d.log.Info("departures of local targets read", append([]any{"count", len(list)}, source...)...)
	if l.d.guard.ApplyDepartures(list) {
		l.d.fleet.setTargets(l.d.guard.Targets())
	}
}

func departuresFromWire(msg *wire.Departures) []guard.Departure {
	var list []guard.Departure
	for _, m := range msg.GetDepartures() {
		list = append(list, guard.Departure{
			Target: ident.Target(m.GetTarget()), StartedAt: clock.Millis(m.GetStartedAtMs()), StartUnknown: m.GetStartUnknown(), Sequence: m.GetSequence(),
		})
	}
	return list
}

func departuresToWire(list []guard.Departure) *wire.Departures {
	msg := &wire.Departures{}
	for _, d := range list {
		msg.Departures = append(msg.Departures, &wire.Departure{
			Target: string(d.Target), StartedAtMs: uint64(d.StartedAt), StartUnknown: d.StartUnknown, Sequence: d.Sequence,
		})
	}
	return msg
}

// keep makes the guard's departures bind the next process, and reports whether they do: the
// store has them, written by this daemon or by a peer. The memory of peers is not enough,
// because all processes may end at once. Peers hold them besides, for a next process that
// starts without the store. keep returns after departureSaveTimeout at the latest.
func (l *departureLog) keep(ctx context.Context) bool {
	count := l.d.guard.DepartureCount()
	if l.kept.Load() >= count {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, departureSaveTimeout)
	defer cancel()
	held := make(chan struct{})
	go func() {
		defer close(held)
		l.holdAtPeers(ctx)
	}()
	if !l.saveInTime(count) && !l.saveThroughPeers(ctx) && l.kept.Load() < count {
		l.d.log.Warn("departure is not acknowledged: the store does not have it")
		return false
	}
	storeMax(&l.kept, count)
	select {
	case <-held:
	case <-ctx.Done():
	}
	return true
}

// saveInTime reports whether this daemon has written the departures up to a count to the
// store within departureOwnSaveTime. A slower write goes on, and the repeated announcement of
// the target finds its result.
func (l *departureLog) saveInTime(count uint64) bool {
	result := make(chan bool, 1)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
		defer cancel()
		l.mu.Lock()
		defer l.mu.Unlock()
		result <- l.kept.Load() >= count || l.saveLocked(ctx)
	}()
	select {
	case isSaved := <-result:
		return isSaved
	case <-time.After(departureOwnSaveTime):
		return false
	}
}

// storeMax stores n if it is higher than the present value.
func storeMax(v *atomic.Uint64, n uint64) {
	for old := v.Load(); old < n && !v.CompareAndSwap(old, n); {
		old = v.Load()
	}
}

// holdAtPeers sends the departures of this instance to the peers that hold them.
func (l *departureLog) holdAtPeers(ctx context.Context) {
	req := l.holdRequest()
	l.callPeers(ctx, l.holders(), func(ctx context.Context, _ member.Member, client wire.InnerClient) error {
		_, err := client.HoldDepartures(ctx, req)
		return err
	})
}

func (l *departureLog) holdRequest() *wire.HoldDeparturesRequest {
	return &wire.HoldDeparturesRequest{Instance: string(l.d.instance), Departures: departuresToWire(l.d.guard.Departures(depart.MaxPerInstance))}
}

// saveThroughPeers asks one after the other of the peers that hold the departures of this
// instance to write them to the store, and reports whether one of them has. Each call begins
// with another peer, so that one that does not answer does not hold up all of them.
func (l *departureLog) saveThroughPeers(ctx context.Context) bool {
	req := l.holdRequest()
	req.Save = true
	peers := l.holders()
	first := int(l.saveAttempts.Add(1))
	for i := range peers {
		if l.saveThrough(ctx, peers[(first+i)%len(peers)], req) {
			return true
		}
	}
	return false
}

// saveThrough reports whether a peer has written the departures to the store within
// departurePeerSaveTime.
func (l *departureLog) saveThrough(ctx context.Context, m member.Member, req *wire.HoldDeparturesRequest) bool {
	ctx, cancel := context.WithTimeout(ctx, departurePeerSaveTime)
	defer cancel()
	client, err := l.d.peers.Get(m.InnerAddress)
	if err != nil {
		l.d.log.Error("cannot ask a peer to save departures", "member", m.Instance, "error", err)
		return false
	}
	reply, err := client.HoldDepartures(ctx, req)
	if err != nil {
		l.d.log.Debug("call about departures failed", "member", m.Instance, "error", err)
	}
	return reply.GetSaved()
}

// saveFor writes the departures that are held of another instance to the store, together
// with those that its key has already, and reports whether that succeeded. It tries only
// while this daemon has the store.
func (l *departureLog) saveFor(ctx context.Context, of ident.Instance) bool {
	if l.d.isStoreLost() {
		return false
	}
	err := l.writeFor(ctx, of)
	if _, isConflict := conflict(err); isConflict {
		err = l.writeFor(ctx, of)
	}
	if ctx.Err() == nil {
		// A call that the peer's time limit has ended says nothing about the store.
		l.d.recordStoreCall("write departures of a peer", err)
	}
	return err == nil
}

func (l *departureLog) writeFor(ctx context.Context, of ident.Instance) error {
	key := DeparturesPrefix + string(of)
	e, err := l.d.store.Get(ctx, key)
	switch {
	case err == nil:
		l.held.Hold(l.d.clk.Now(), of, l.decode(e))
	case !store.IsNotFound(err):
		return err
	}
	lease, err := l.d.store.Grant(ctx, uint32(departureLease))
	if err != nil {
		return err
	}
	value, err := proto.Marshal(departuresToWire(l.held.Held(l.d.clk.Now(), of)))
	if err != nil {
		return errors.Wrap(err, "encode departures")
	}
	_, err = l.d.store.Swap(ctx, key, e.Revision, value, lease)
	return err
}

// saveAgain writes the departures to a store that has come back from an older copy.
// Until then the guard's memory keeps them binding.
func (l *departureLog) saveAgain(ctx context.Context) {
	if len(l.d.guard.Departures(1)) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.saveLocked(ctx)
}

// saveLocked writes the departures to the store and reports whether that succeeded. The
// caller holds mu.
func (l *departureLog) saveLocked(ctx context.Context) bool {
	count := l.d.guard.DepartureCount()
	err := l.write(ctx)
	if err == nil {
		storeMax(&l.kept, count)
	}
	l.d.recordStoreCall("write departures", err)
	if failedBefore := l.unsaved.Swap(err != nil); err != nil && !failedBefore {
		l.d.log.Warn("departures of local targets are not in the store", "error", err)
	}
	return err == nil
}

// write writes the key with a new lease. If the key has another revision than expected,
// it applies the departures there and overwrites it once.
func (l *departureLog) write(ctx context.Context) error {
	lease, err := l.d.store.Grant(ctx, uint32(departureLease))
	if err != nil {
		return err
	}
	rev, err := l.swap(ctx, lease)
	var conflict *store.ConflictError
	if errors.As(err, &conflict) {
		l.revision = conflict.Current.Revision
		if l.revision > 0 {
			l.applyEntry(conflict.Current)
		}
		rev, err = l.swap(ctx, lease)
	}
	if err == nil {
		l.revision = rev
	}
	return err
}

func (l *departureLog) swap(ctx context.Context, lease store.LeaseID) (store.Revision, error) {
	value, err := proto.Marshal(departuresToWire(l.d.guard.Departures(depart.MaxPerInstance)))
	if err != nil {
		return 0, errors.Wrap(err, "encode departures")
	}
	return l.d.store.Swap(ctx, l.key(), l.revision, value, lease)
}
