package daemon

import (
	"context"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"chestnutlatch/choose"
	"chestnutlatch/clock"
	"chestnutlatch/entry"
	"chestnutlatch/fault"
	"chestnutlatch/ident"
	"chestnutlatch/limit"
	"chestnutlatch/member"
	"chestnutlatch/roster"
	"chestnutlatch/store"
	"chestnutlatch/wire"
)

const (
	// RosterPrefix is the store prefix of the daemons' keys, one per instance.
	RosterPrefix = "fleet/"
	// maxListedDaemons is the maximum number of keys read in a listing.
	maxListedDaemons = 10_000
	// listInterval is the time between two listings; startupListInterval applies
	// during the first startupListSpan after the start.
	listInterval        = time.Second
	startupListInterval = 400 * time.Millisecond
	startupListSpan     = 5 * clock.Second
	// keyLeaseTime is how long a daemon's key lives without renewal. It is renewed
	// three times in that span.
	keyLeaseTime     = 6 * clock.Second
	keyRenewInterval = keyLeaseTime / 3
	// keyCheckInterval is the time between two checks whether this daemon's key
	// must be written or renewed.
	keyCheckInterval = 250 * time.Millisecond
	// storeRetryInterval is the minimum time before a failed call is retried.
	storeRetryInterval = 500 * clock.Millisecond
	// maxWriteAgainDelay is the maximum delay before the key is written again after a
	// restore of the store. The delay is drawn by each daemon.
	maxWriteAgainDelay = 500 * time.Millisecond
	// firstHeartbeatWait is how long after its start a daemon waits for a target's
	// first heartbeat before it writes its key without targets.
	firstHeartbeatWait = 2 * clock.Second
	// peerCallTimeout limits a ping to a peer and the removal of this daemon's key.
	peerCallTimeout = 400 * time.Millisecond
)

// rosterFleet implements fleet by leased keys in the store: each daemon writes
// its own key and lists those of the others. It is safe for concurrent use.
type rosterFleet struct {
	d *Daemon

	mu   sync.RWMutex
	list *roster.Roster
	self member.Member
	// keyOutdated is set while this daemon's key must be written.
	keyOutdated bool
	rnd         *rand.Rand
	// oddKeys holds the revisions of the keys in the last listing that could not be
	// decoded. Only run uses it.
	oddKeys map[string]store.Revision
	// introducing is true while introduceIfAlone calls a peer.
	introducing atomic.Bool

	// keyMu protects key and keyRemoved. It is held during the store calls that
	// change this daemon's key.
	keyMu sync.Mutex
	key   memberKey
	// keyRemoved is set at shutdown. The key is not written again.
	keyRemoved bool
}

// memberKey is the state of this daemon's key in the store. A zero lease or
// revision means that the key must be written.
type memberKey struct {
	lease    store.LeaseID
	revision store.Revision
	// renewedAt is when the lease was last granted or renewed. failedAt is when
	// the last store call failed, or 0 if it succeeded.
	renewedAt clock.Millis
	failedAt  clock.Millis
	// notBefore is when the key may be written after a restore of the store.
	notBefore clock.Millis
}

func newRosterFleet(d *Daemon, rnd *rand.Rand) *rosterFleet {
	return &rosterFleet{
		d: d, list: roster.New(), rnd: rnd,
		self: member.Member{
			Instance: d.instance, Incarnation: d.incarnation, Version: 1,
			DataCentre: d.cfg.DataCentre, Region: d.cfg.Region, InnerAddress: d.cfg.InnerAddress, MemberAddress: d.cfg.MemberAddress,
		},
	}
}

func (f *rosterFleet) run(ctx context.Context) {
	go f.maintainKey(ctx)
	first, fresh := true, true
	for ctx.Err() == nil {
		err := f.readList(ctx, fresh, first)
		first = first && err != nil
		// A stale read may come from a replica that is still in the old era.
		fresh = first || isOldEra(err)
		wait := listInterval
		if f.d.clk.Now() < startupListSpan {
			wait = startupListInterval
		}
		select {
		case <-ctx.Done():
		case <-time.After(wait):
		}
	}
}

// readList reads the keys and load summaries and applies them, and passes the
// current retry limits to the picker. fresh excludes stale reads; the first listing uses
// it, so that a restarted daemon sees the current fleet at once, and applies the
// departures of the previous process.
func (f *rosterFleet) readList(ctx context.Context, fresh, first bool) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	list := f.d.store.ListStale
	if fresh {
		list = f.d.store.List
	}
	entries, revision, err := list(ctx, fleetListPrefix, "", maxListedDaemons)
	f.d.recordStoreCall("list daemons", err)
	if err != nil {
		return err
	}
	if first {
		f.d.departures.applyListing(entries)
	}
	found := make([]roster.ListedMember, 0, len(entries))
	odd := map[string]store.Revision{}
	now := f.d.clk.Now()
	for _, e := range entries {
		switch {
		case strings.HasPrefix(e.Key, LoadSummaryPrefix):
			f.d.loadSummary.apply(now, e)
			continue
		case strings.HasPrefix(e.Key, DeparturesPrefix):
			// Each daemon uses its own departures only.
			continue
		}
		m, err := member.DecodeMember(e.Value)
		if err != nil || m.Instance == "" || RosterPrefix+string(m.Instance) != e.Key {
			odd[e.Key] = e.Revision
			if f.oddKeys[e.Key] != e.Revision {
				f.d.log.Warn("key of a daemon cannot be decoded: ignoring the daemon", "key", e.Key, "key_revision", uint64(e.Revision), "error", err)
			}
			continue
		}
		found = append(found, roster.ListedMember{Member: *m, Revision: e.Revision})
	}
	f.oddKeys = odd
	f.mu.Lock()
	change := f.list.ApplyListing(now, found, revision)
	f.mu.Unlock()
	f.applyChange(change)
	f.d.departures.endListing()
	f.d.picker.SetRetryLimits(retryBudget(f.d.liveSettings.Load().Retries, f.d.liveSettings.Load().Rates.DataCentres))
	return nil
}

// applyChange updates the picker and the peer pool from a change of the list and
// pings the daemons whose keys are missing.
func (f *rosterFleet) applyChange(c roster.Change) {
	for i := range c.Updated {
		// This daemon's own record is newer than the one in the store.
		if c.Updated[i].Instance != f.d.instance {
			f.updateCandidates(&c.Updated[i])
		}
	}
	for _, id := range c.Joined {
		f.d.log.Info("daemon joined", "member", id)
	}
	for i := range c.Removed {
		m := &c.Removed[i]
		f.d.log.Info("daemon gone", "member", m.Instance)
		f.d.picker.RemoveInstance(m.Instance)
		f.d.peers.Remove(m.InnerAddress)
	}
	for i := range c.Missing {
		go f.confirmAlive(c.Missing[i])
	}
}

// updateCandidates replaces a member's targets in the picker.
func (f *rosterFleet) updateCandidates(m *member.Member) {
	for _, t := range m.Targets {
		f.d.picker.Put(t.Service, choose.Candidate{
			Target: t.ID, Instance: m.Instance, Address: m.InnerAddress,
			DataCentre: m.DataCentre, Region: m.Region, State: t.State, Slots: t.Slots, Up: true, Local: m.Instance == f.d.instance,
		})
	}
	f.d.picker.RetainTargets(m.Instance, targetIDs(m))
	f.d.log.Debug("daemon record updated", "member", m.Instance, "targets", len(m.Targets), "version", m.Version)
}

// confirmAlive pings a daemon whose key is missing and records its reply.
func (f *rosterFleet) confirmAlive(m member.Member) {
	if m.Instance == f.d.instance {
		return
	}
	reply, err := f.ping(m.InnerAddress, &wire.PingRequest{})
	if err != nil {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.list.RecordReply(f.d.clk.Now(), m.Instance, ident.Incarnation(reply.GetIncarnation()))
}

func (f *rosterFleet) ping(address string, req *wire.PingRequest) (*wire.PingReply, error) {
	client, err := f.d.peers.Get(address)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), peerCallTimeout)
	defer cancel()
	reply, err := client.Ping(ctx, req)
	if err == nil {
		f.d.checkReportedEra(reply.GetStoreEra())
	}
	return reply, err
}

// introduce sends this daemon's record to a peer and adds the members in its
// reply. It replaces the listing while the store is unavailable.
func (f *rosterFleet) introduce(address string) (*wire.PingReply, error) {
	f.mu.RLock()
	self, err := member.EncodeMember(&f.self)
	f.mu.RUnlock()
	if err != nil {
		return nil, err
	}
	req := f.d.evacuations.pingRequest()
	req.Self = self
	reply, err := f.ping(address, req)
	if err != nil {
		return nil, err
	}
	for _, b := range reply.GetMembers() {
		f.addFromPeer(b)
	}
	return reply, nil
}

// introduceIfAlone introduces this daemon to a peer that it has heard, if it knows no other
// daemon: it has just started, and the store may not answer for long. It does not block.
func (f *rosterFleet) introduceIfAlone(address string) {
	isKnown := func(*member.Member) bool { return true }
	if address == "" || len(f.others(isKnown)) > 0 || !f.introducing.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer f.introducing.Store(false)
		if _, err := f.introduce(address); err != nil {
			f.d.log.Debug("failed to learn the fleet from a peer", "address", address, "error", err)
		}
	}()
}

// addFromPeer adds a member record received from a peer, if it is valid and new.
func (f *rosterFleet) addFromPeer(encoded []byte) {
	m, err := member.DecodeMember(encoded)
	if err != nil || m.Instance == "" || m.Instance == f.d.instance {
		return
	}
	f.mu.Lock()
	added := f.list.ApplyPeerRecord(f.d.clk.Now(), *m)
	f.mu.Unlock()
	if added {
		f.d.log.Info("daemon learned from a peer", "member", m.Instance, "targets", len(m.Targets))
		f.updateCandidates(m)
	}
}

// handleIntroduction adds the record of a peer that introduces itself and returns
// the encoded records of all members.
func (f *rosterFleet) handleIntroduction(self []byte) [][]byte {
	f.addFromPeer(self)
	var out [][]byte
	for _, m := range f.allMembers() {
		if b, err := member.EncodeMember(m); err == nil {
			out = append(out, b)
		}
	}
	return out
}

func (f *rosterFleet) selfRecord() member.Member {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.self
}

// setTargets implements fleet. The record is written to the store by maintainKey.
func (f *rosterFleet) setTargets(targets []member.Target) {
	f.mu.Lock()
	f.self.Targets = targets
	f.keyOutdated = true
	self := f.self
	f.mu.Unlock()
	// The local picker is updated directly, without waiting for the store.
	f.updateCandidates(&self)
}

// sendTargetStats implements fleet. It does nothing: on a platform, guards use
// the results of their own requests only.
func (f *rosterFleet) sendTargetStats([]member.TargetStats) {}

// announceShutdown implements fleet. It removes this daemon's key, so that the
// others need not detect its absence.
func (f *rosterFleet) announceShutdown() {
	f.keyMu.Lock()
	defer f.keyMu.Unlock()
	f.keyRemoved = true
	f.removeKey(context.Background())
}

// count implements fleet.
func (f *rosterFleet) count() int {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return len(f.list.Members())
}

// others returns the records of the other daemons for which match is true.
func (f *rosterFleet) others(match func(*member.Member) bool) []member.Member {
	f.mu.RLock()
	defer f.mu.RUnlock()
	var out []member.Member
	for _, m := range f.list.Members() {
		if m.Instance != f.d.instance && match(&m) {
			out = append(out, m)
		}
	}
	return out
}

// isFirst reports whether this daemon has the lowest instance name in its data centre.
// Two daemons may report it while their lists differ.
func (f *rosterFleet) isFirst() bool {
	others := f.others(func(m *member.Member) bool { return m.DataCentre == f.d.cfg.DataCentre })
	return len(others) == 0 || f.d.instance < others[0].Instance
}

// isNeighbour reports whether a daemon is on the list and in this data centre.
func (f *rosterFleet) isNeighbour(id ident.Instance) bool {
	f.mu.RLock()
	defer f.mu.RUnlock()
	m, ok := f.list.Get(id)
	return ok && m.DataCentre == f.d.cfg.DataCentre
}

// allMembers implements fleet. This daemon's own record comes first.
func (f *rosterFleet) allMembers() []*member.Member {
	self := f.selfRecord()
	out := []*member.Member{&self}
	for _, m := range f.others(func(*member.Member) bool { return true }) {
		out = append(out, &m)
	}
	return out
}

// shuffle puts a list into random order.
func (f *rosterFleet) shuffle(list []member.Member) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.rnd.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
}

// Locate implements entry.Fleet.
func (f *rosterFleet) Locate(id ident.Instance) (address string, inc ident.Incarnation, up bool) {
	f.mu.RLock()
	defer f.mu.RUnlock()
	m, ok := f.list.Get(id)
	return m.InnerAddress, m.Incarnation, ok
}

// Region implements entry.Fleet.
func (f *rosterFleet) Region(id ident.Instance) ident.Region {
	f.mu.RLock()
	defer f.mu.RUnlock()
	m, _ := f.list.Get(id)
	return m.Region
}

// Relays implements entry.Fleet. It returns none.
func (f *rosterFleet) Relays(int, ident.Instance, func(ident.Region) bool) []entry.Peer { return nil }

// SlotHolder implements entry.Fleet. It finds none: on a platform, rates are
// shared without slots.
func (f *rosterFleet) SlotHolder(limit.Slot) (id ident.Instance, address string, ok bool) {
	return "", "", false
}

// CheckKeysCurrent implements entry.Fleet. It never refuses: on a platform, an
// isolated daemon continues to serve with its last configuration.
func (f *rosterFleet) CheckKeysCurrent(clock.Millis) *fault.Refusal { return nil }
