package daemon

import (
	"context"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"chestnutlatch/choose"
	"chestnutlatch/clock"
	"chestnutlatch/fault"
	"chestnutlatch/ident"
	"chestnutlatch/limit"
	"chestnutlatch/member"
	"chestnutlatch/roster"
	"chestnutlatch/store"
	"chestnutlatch/wire"
)

const (
	// RosterPrefix is the store prefix of the daemons' own keys.
	RosterPrefix = "fleet/"
	// rosterLimit bounds the daemons that are read.
	rosterLimit = 10_000
	// listEvery is the time between two listings, listSoon that of a daemon
	// that started less than listSoonFor ago.
	listEvery   = time.Second
	listSoon    = 400 * time.Millisecond
	listSoonFor = 5 * clock.Second
	// leaseTime is the life of a daemon's key without renewal; it is renewed
	// three times in that span.
	leaseTime  = 6 * clock.Second
	renewEvery = leaseTime / 3
	// keepTick is the time between two looks at the own key.
	keepTick = 250 * time.Millisecond
	// storeRetry is the least time between two tries after a failed call.
	storeRetry = 500 * clock.Millisecond
	// firstKey is how long a daemon waits for its target's first heartbeat
	// before it announces itself without one.
	firstKey = 2 * clock.Second
	// vouchTimeout bounds the question to a daemon whose key is missing.
	vouchTimeout = 400 * time.Millisecond
)

// rosterFleet is the fleet as the daemons' leased keys in the store show it.
type rosterFleet struct {
	d *Daemon

	mu   sync.RWMutex
	list *roster.Roster
	self member.Member
	// dirty tells that the own key must be written.
	dirty bool
	rnd   *rand.Rand

	// keyMu is held during the calls that change the own key.
	keyMu sync.Mutex
	key   ownKey
	// left tells that the own key was given up.
	left bool
}

type ownKey struct {
	lease    store.LeaseID
	revision store.Revision
	// renewed is when the lease was last renewed, tried when a call last
	// failed.
	renewed clock.Millis
	tried   clock.Millis
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
	go f.keep(ctx)
	fresh := true
	for ctx.Err() == nil {
		if f.read(ctx, fresh) {
			fresh = false
		}
		wait := listEvery
		if f.d.clk.Now() < listSoonFor {
			wait = listSoon
		}
		select {
		case <-ctx.Done():
		case <-time.After(wait):
		}
	}
}

// read takes one listing. The first one is not stale, so that a daemon that
// starts again sees the fleet at once.
func (f *rosterFleet) read(ctx context.Context, fresh bool) bool {
	ctx, done := context.WithTimeout(ctx, storeTimeout)
	defer done()
	list := f.d.store.ListStale
	if fresh {
		list = f.d.store.List
	}
	entries, at, err := list(ctx, fleetPrefix, "", rosterLimit)
	f.d.storeWord("list daemons", err)
	if err != nil {
		return false
	}
	found := make([]roster.Found, 0, len(entries))
	now := f.d.clk.Now()
	for _, e := range entries {
		if strings.HasPrefix(e.Key, DigestPrefix) {
			f.d.digest.take(now, e)
			continue
		}
		m, err := member.DecodeMember(e.Value)
		if err != nil || m.Instance == "" || RosterPrefix+string(m.Instance) != e.Key {
			f.d.log.Warn("daemon's key cannot be read, it is left out", "key", e.Key, "error", err)
			continue
		}
		found = append(found, roster.Found{Member: *m, Revision: e.Revision})
	}
	f.mu.Lock()
	change := f.list.Take(now, found, at)
	f.mu.Unlock()
	f.apply(change)
	f.d.picker.SetRetries(retriesOf(f.d.live.Load().Retries, f.d.live.Load().Rates.Parts))
	return true
}

// apply brings the picker up to a change and asks the missing.
func (f *rosterFleet) apply(c roster.Change) {
	for i := range c.Updated {
		// What this daemon says of itself is newer than the store's.
		if c.Updated[i].Instance != f.d.instance {
			f.put(&c.Updated[i])
		}
	}
	for _, id := range c.Joined {
		f.d.log.Info("daemon joined", "member", id)
	}
	for i := range c.Gone {
		m := &c.Gone[i]
		f.d.log.Info("daemon gone", "member", m.Instance)
		f.d.picker.Forget(m.Instance)
		f.d.peers.Forget(m.InnerAddress)
	}
	for i := range c.Missing {
		go f.vouch(c.Missing[i])
	}
}

func (f *rosterFleet) put(m *member.Member) {
	for _, t := range m.Targets {
		f.d.picker.Put(t.Service, choose.Candidate{
			Target: t.ID, Instance: m.Instance, Address: m.InnerAddress,
			DataCentre: m.DataCentre, Region: m.Region, State: t.State, Slots: t.Slots, Up: true,
		})
	}
	f.d.picker.Keep(m.Instance, targetIDs(m))
	f.d.log.Debug("daemon changed", "member", m.Instance, "targets", len(m.Targets), "version", m.Version)
}

// vouch asks a daemon whose key is missing whether it lives.
func (f *rosterFleet) vouch(m member.Member) {
	if m.Instance == f.d.instance {
		return
	}
	reply, err := f.ping(m.InnerAddress, &wire.PingRequest{})
	if err != nil {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.list.Heard(f.d.clk.Now(), m.Instance, ident.Incarnation(reply.GetIncarnation()))
}

func (f *rosterFleet) ping(address string, req *wire.PingRequest) (*wire.PingReply, error) {
	client, err := f.d.peers.Get(address)
	if err != nil {
		return nil, err
	}
	ctx, done := context.WithTimeout(context.Background(), vouchTimeout)
	defer done()
	return client.Ping(ctx, req)
}

// introduce tells a peer of this daemon and takes in whom the peer knows, while
// the store tells neither.
func (f *rosterFleet) introduce(address string) (*wire.PingReply, error) {
	f.mu.RLock()
	self, err := member.EncodeMember(&f.self)
	f.mu.RUnlock()
	if err != nil {
		return nil, err
	}
	reply, err := f.ping(address, &wire.PingRequest{Self: self})
	if err != nil {
		return nil, err
	}
	for _, b := range reply.GetMembers() {
		f.learn(b)
	}
	return reply, nil
}

// learn takes in a record from a peer.
func (f *rosterFleet) learn(encoded []byte) {
	m, err := member.DecodeMember(encoded)
	if err != nil || m.Instance == "" || m.Instance == f.d.instance {
		return
	}
	f.mu.Lock()
	news := f.list.Learn(f.d.clk.Now(), *m)
	f.mu.Unlock()
	if news {
		f.d.log.Info("daemon learned from a peer", "member", m.Instance, "targets", len(m.Targets))
		f.put(m)
	}
}

// meet answers a peer that introduces itself.
func (f *rosterFleet) meet(self []byte) [][]byte {
	f.learn(self)
	var out [][]byte
	for _, m := range f.known() {
		if b, err := member.EncodeMember(m); err == nil {
			out = append(out, b)
		}
	}
	return out
}

func (f *rosterFleet) own() member.Member {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.self
}

// setTargets implements fleet.
func (f *rosterFleet) setTargets(targets []member.Target) {
	f.mu.Lock()
	f.self.Targets = targets
	f.dirty = true
	self := f.self
	f.mu.Unlock()
	// The own targets need no way through the store.
	f.put(&self)
}

// tellVitals implements fleet. Guards judge by their own requests here.
func (f *rosterFleet) tellVitals([]member.Vital) {}

// leave removes the own key, so that the others need not find out.
func (f *rosterFleet) leave() {
	ctx, done := context.WithTimeout(context.Background(), vouchTimeout)
	defer done()
	f.keyMu.Lock()
	defer f.keyMu.Unlock()
	f.left = true
	if f.key.revision == 0 {
		return
	}
	err := f.d.store.Remove(ctx, RosterPrefix+string(f.d.instance), f.key.revision)
	f.d.storeWord("remove own key", err)
}

// count implements fleet.
func (f *rosterFleet) count() int {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return len(f.list.Members())
}

// others returns the other daemons that match.
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

// known returns this daemon as it knows itself, and the others.
func (f *rosterFleet) known() []*member.Member {
	self := f.own()
	out := []*member.Member{&self}
	for _, m := range f.others(func(*member.Member) bool { return true }) {
		out = append(out, &m)
	}
	return out
}

// shuffle puts daemons into random order.
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

// Relays implements entry.Fleet.
func (f *rosterFleet) Relays(int, ident.Instance) []string { return nil }

// SlotHolder implements entry.Fleet. Rates are shared without slots here.
func (f *rosterFleet) SlotHolder(limit.Slot) (id ident.Instance, address string, ok bool) {
	return "", "", false
}

// Trust implements entry.Fleet. A cut daemon serves on with what it knows.
func (f *rosterFleet) Trust(clock.Millis) *fault.Refusal { return nil }
