package limit

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"chestnutlatch/clock"
	"chestnutlatch/ident"
)

const (
	testSlots = 3
	testLease = 2 * clock.Minute
	testTeam  = ident.Team("team")
)

// exactBucket is the test oracle: one bucket for the whole fleet. It admits at
// most burst + rate x window in any window.
type exactBucket struct {
	level      float64
	lastRefill clock.Millis
	allowance  Allowance
}

// spend takes one token and reports whether the bucket had it.
func (b *exactBucket) spend(now clock.Millis) bool {
	b.level = min(float64(b.allowance.Burst), b.level+float64(now-b.lastRefill)*float64(b.allowance.Rate)/1000)
	b.lastRefill = now
	b.level--
	return b.level >= -1e-6
}

// node is one daemon: holder, allocator and token cache, with its own clock.
type node struct {
	instance    ident.Instance
	incarnation ident.Incarnation
	clockOffset clock.Millis
	holder      *Holder
	allocator   *Allocator
	cache       *TokenCache
	paused      bool
}

// pendingDraw is a draw in transit: a request to a holder, or a reply with its
// grant.
type pendingDraw struct {
	from   *node
	sentAt clock.Millis
	slot   Slot
	want   uint32
	// replied is set on the reply of a holder.
	replied bool
	grant   Grant
}

// pendingWrite is a claim whose write is in transit to the store.
type pendingWrite struct {
	from     *node
	sentAt   clock.Millis
	slot     Slot
	revision int
	claim    Claim
}

// testFleet is a fleet of a few nodes with one team, a store with
// compare-and-swap, and a network that delays, reorders and loses messages.
type testFleet struct {
	now       clock.Millis
	allowance Allowance
	oracle    exactBucket
	nodes     []*node
	claims    [testSlots]Claim
	// revisions counts the writes of each slot's claim.
	revisions [testSlots]int
	outage    bool
	draws     []pendingDraw
	writes    []pendingWrite
}

func newTestFleet(t *rapid.T) *testFleet {
	burst := rapid.SampledFrom([]uint32{2, 3, 4, 8, 12, 60, 100}).Draw(t, "burst")
	rate := max(burst*rapid.SampledFrom([]uint32{1, 5, 10, 30, 100}).Draw(t, "rate")/10, 1)
	f := &testFleet{allowance: Allowance{Rate: rate, Burst: burst}}
	f.oracle = exactBucket{level: float64(burst), allowance: f.allowance}
	for i := range 3 {
		n := &node{instance: ident.Instance(fmt.Sprint("n", i)), clockOffset: clock.Millis(i * 12_345)}
		f.nodes = append(f.nodes, n)
		f.startNode(n)
	}
	return f
}

// startNode starts a node with a new incarnation and empty state.
func (f *testFleet) startNode(n *node) {
	n.incarnation++
	n.paused = false
	n.holder = NewHolder(HolderConfig{
		Instance: n.instance, Incarnation: n.incarnation, Lease: testLease, ClockError: clock.Second, PauseLimit: 3 * clock.Second,
	}, f.localTime(n))
	n.allocator = NewAllocator(testSlots)
	n.cache = NewTokenCache(testSlots, func(Slot) int { return 0 })
}

// localTime returns a node's clock.
func (f *testFleet) localTime(n *node) clock.Millis { return f.now + n.clockOffset }

// runningNode returns a random node, or skips the action if that one is paused.
func (f *testFleet) runningNode(t *rapid.T) *node {
	n := f.nodes[rapid.IntRange(0, len(f.nodes)-1).Draw(t, "node")]
	if n.paused {
		t.Skip("paused")
	}
	return n
}

// passTime advances the time. Running nodes tick at least every second.
func (f *testFleet) passTime(t *rapid.T) {
	span := rapid.SampledFrom([]clock.Millis{1, 50, 200, 700, 900, 2500, 60_000, 130_000, 700_000}).Draw(t, "span")
	for span > 0 {
		step := min(span, clock.Second)
		span -= step
		f.now += step
		for _, n := range f.nodes {
			if !n.paused {
				n.holder.Tick(f.localTime(n))
			}
		}
	}
}

// pause stops a node without notice; its state stays.
func (f *testFleet) pause(t *rapid.T) { f.runningNode(t).paused = true }

// resume lets a paused node go on.
func (f *testFleet) resume(t *rapid.T) { f.nodes[rapid.IntRange(0, 2).Draw(t, "node")].paused = false }

// toggleOutage starts or ends an outage of the store.
func (f *testFleet) toggleOutage(*rapid.T) { f.outage = !f.outage }

// restart starts a node with empty state. Its draws and writes in transit are lost.
func (f *testFleet) restart(t *rapid.T) {
	n := f.nodes[rapid.IntRange(0, 2).Draw(t, "node")]
	f.startNode(n)
	var draws []pendingDraw
	for _, d := range f.draws {
		if d.from != n {
			draws = append(draws, d)
		}
	}
	f.draws = draws
	var writes []pendingWrite
	for _, w := range f.writes {
		if w.from != n {
			writes = append(writes, w)
		}
	}
	f.writes = writes
}

// sweep drops idle buckets and cached tokens of a node.
func (f *testFleet) sweep(t *rapid.T) {
	n := f.runningNode(t)
	n.allocator.Sweep(f.localTime(n))
	n.cache.Sweep(f.localTime(n))
}

// claim reads a slot's claim and sends a write if the holder returns one.
func (f *testFleet) claim(t *rapid.T) {
	n := f.runningNode(t)
	slot := Slot(rapid.IntRange(0, testSlots-1).Draw(t, "slot"))
	if f.outage {
		t.Skip("store outage")
	}
	sentAt := f.localTime(n)
	n.holder.Observe(sentAt, slot, f.claims[slot], f.revisions[slot] > 0)
	if c, ok := n.holder.NextClaim(sentAt, slot, rapid.Bool().Draw(t, "preferred")); ok {
		f.writes = append(f.writes, pendingWrite{from: n, sentAt: sentAt, slot: slot, revision: f.revisions[slot], claim: c})
	}
}

// release releases a held slot and sends the write.
func (f *testFleet) release(t *rapid.T) {
	n := f.runningNode(t)
	slots, _ := n.holder.Held()
	if f.outage {
		t.Skip("store outage")
	}
	if len(slots) == 0 {
		t.Skip("node holds no slot")
	}
	slot := slots[0]
	c, ok := n.holder.Release(f.localTime(n), slot, f.claims[slot], f.revisions[slot] > 0)
	if !ok {
		return
	}
	n.allocator.DropSlot(slot)
	f.writes = append(f.writes, pendingWrite{from: n, sentAt: f.localTime(n), slot: slot, revision: f.revisions[slot], claim: c})
}

// deliverWrite applies one write at the store, if the claim has not changed since
// the read. The reply may be lost.
func (f *testFleet) deliverWrite(t *rapid.T) {
	if len(f.writes) == 0 || f.outage {
		t.Skip("no write in transit, or store outage")
	}
	i := rapid.IntRange(0, len(f.writes)-1).Draw(t, "write")
	w := f.writes[i]
	f.writes = append(f.writes[:i], f.writes[i+1:]...)
	if f.revisions[w.slot] != w.revision {
		return
	}
	f.claims[w.slot] = w.claim
	f.revisions[w.slot]++
	if !w.from.paused && rapid.IntRange(0, 3).Draw(t, "reply lost if 0") > 0 {
		w.from.holder.RecordWrite(w.sentAt, w.slot, w.claim, f.localTime(w.from))
	}
}

// request sends a few requests to one node, until one needs a draw or is refused.
func (f *testFleet) request(t *rapid.T) {
	n := f.runningNode(t)
	for range rapid.IntRange(1, 8).Draw(t, "requests") {
		switch d := n.cache.Take(f.localTime(n), testTeam, f.allowance, nil).(type) {
		case Admit:
			if !f.oracle.spend(f.now) {
				t.Fatalf("at %d ms: more requests admitted than burst %d + rate %d/s x window", f.now, f.allowance.Burst, f.allowance.Rate)
			}
			if d.Prefetch.Want > 0 {
				f.sendDraw(n, d.Prefetch)
			}
		case Draw:
			d.Want = rapid.Uint32Range(1, 40).Draw(t, "want")
			f.sendDraw(n, d)
			return
		case Refuse:
			return
		}
	}
}

func (f *testFleet) sendDraw(n *node, d Draw) {
	f.draws = append(f.draws, pendingDraw{from: n, sentAt: f.localTime(n), slot: d.Slot, want: d.Want})
}

// deliverDraw delivers one message of a draw: the request to any node, which
// grants if it holds the slot, or the reply to the node that draws.
func (f *testFleet) deliverDraw(t *rapid.T) {
	if len(f.draws) == 0 {
		t.Skip("no draw in transit")
	}
	i := rapid.IntRange(0, len(f.draws)-1).Draw(t, "draw")
	d := f.draws[i]
	f.draws = append(f.draws[:i], f.draws[i+1:]...)
	if d.replied {
		if !d.from.paused {
			d.from.cache.AddGrant(d.sentAt, testTeam, d.slot, d.grant)
		}
		return
	}
	n := f.runningNode(t)
	now := f.localTime(n)
	if since, ok := n.holder.GrantingSince(now, d.slot); ok {
		d.grant = n.allocator.Grant(now, since, d.slot, testTeam, f.allowance, d.want)
		d.replied = true
		f.draws = append(f.draws, d)
	}
}

// claimAll lets every running node claim what it may, without delay. A random
// node is first.
func (f *testFleet) claimAll(t *rapid.T) {
	if f.outage {
		t.Skip("store outage")
	}
	first := rapid.IntRange(0, 2).Draw(t, "first")
	for i := range f.nodes {
		n := f.nodes[(first+i)%len(f.nodes)]
		for slot := range Slot(testSlots) {
			if n.paused {
				continue
			}
			now := f.localTime(n)
			n.holder.Observe(now, slot, f.claims[slot], f.revisions[slot] > 0)
			if c, ok := n.holder.NextClaim(now, slot, true); ok {
				f.claims[slot] = c
				f.revisions[slot]++
				n.holder.RecordWrite(now, slot, c, now)
			}
		}
	}
}

// surge sends up to 100 requests to one node. Each draw gets a grant from any
// running node that may grant from the slot; grants take up to 30 ms.
func (f *testFleet) surge(t *rapid.T) {
	n := f.runningNode(t)
	delay := clock.Millis(rapid.IntRange(0, 30).Draw(t, "delay"))
	for range rapid.IntRange(1, 100).Draw(t, "requests") {
		switch d := n.cache.Take(f.localTime(n), testTeam, f.allowance, nil).(type) {
		case Admit:
			if !f.oracle.spend(f.now) {
				t.Fatalf("at %d ms: more requests admitted than burst %d + rate %d/s x window", f.now, f.allowance.Burst, f.allowance.Rate)
			}
		case Draw:
			sentAt := f.localTime(n)
			g, ok := f.grantNow(d)
			f.now += delay
			if !ok {
				n.cache.DrawFailed(testTeam, d.Slot)
				return
			}
			n.cache.AddGrant(sentAt, testTeam, d.Slot, g)
		case Refuse:
			return
		}
	}
}

// grantNow returns the grant of the first running node that may grant from the
// slot, and false if there is none.
func (f *testFleet) grantNow(d Draw) (Grant, bool) {
	for _, n := range f.nodes {
		if n.paused {
			continue
		}
		now := f.localTime(n)
		if since, ok := n.holder.GrantingSince(now, d.Slot); ok {
			return n.allocator.Grant(now, since, d.Slot, testTeam, f.allowance, 50), true
		}
	}
	return Grant{}, false
}

// drawUnused draws tokens from every slot and leaves them in the cache.
func (f *testFleet) drawUnused(t *rapid.T) {
	n := f.runningNode(t)
	for slot := range Slot(testSlots) {
		d := Draw{Slot: slot, Want: 50}
		sentAt := f.localTime(n)
		n.cache.Take(sentAt, testTeam, f.allowance, []Slot{0, 1, 2})
		if g, ok := f.grantNow(d); ok {
			n.cache.AddGrant(sentAt, testTeam, slot, g)
		}
	}
}

// checkSingleHolder fails if two nodes would grant from one slot now. Paused
// nodes count, since they can resume at any time.
func (f *testFleet) checkSingleHolder(t *rapid.T) {
	for slot := range Slot(testSlots) {
		holders := 0
		for _, n := range f.nodes {
			if _, ok := n.holder.GrantingSince(f.localTime(n), slot); ok {
				holders++
			}
		}
		if holders > 1 {
			t.Fatalf("at %d ms: %d nodes may grant from slot %d, want at most 1", f.now, holders, slot)
		}
	}
}

// TestNoTeamExceedsItsRate runs random actions on a fleet: requests, delayed and
// lost messages, pauses, restarts and store outages. The fleet must never admit
// more than one exact bucket would, and no two nodes may grant from one slot.
func TestNoTeamExceedsItsRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newTestFleet(t)
		t.Repeat(map[string]func(*rapid.T){
			// rapid sorts the actions by name, so another order of the names changes
			// the random runs. Actions that are listed twice run more often.
			"request": f.request, "deliver draw": f.deliverDraw, "pass time": f.passTime, "pass time 2": f.passTime, "claim": f.claim, "write claim": f.deliverWrite,
			"settle claims": f.claimAll, "send surge": f.surge, "send surge 2": f.surge, "draw unused": f.drawUnused,
			"draw unused 2": f.drawUnused, "": f.checkSingleHolder,
			"release": f.release, "pause": f.pause, "wake": f.resume, "restart": f.restart, "store outage": f.toggleOutage, "sweep": f.sweep,
		})
	})
}
