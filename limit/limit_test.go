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

// exactBucket is the oracle: one bucket for the whole fleet. In any window it
// passes at most burst + rate x window.
type exactBucket struct {
	level float64
	at    clock.Millis
	a     Allowance
}

func (b *exactBucket) spend(now clock.Millis) bool {
	b.level = min(float64(b.a.Burst), b.level+float64(now-b.at)*float64(b.a.Rate)/1000)
	b.at = now
	b.level--
	return b.level >= -1e-6
}

// node is one daemon: holder, allocator and entry, with a clock of its own.
type node struct {
	name   ident.Instance
	inc    ident.Incarnation
	offset clock.Millis
	holder *Holder
	alloc  *Allocator
	purse  *Purse
	paused bool
}

// draw is a draw on its way: to the holder, or back with its grant.
type draw struct {
	from  *node
	asked clock.Millis
	slot  Slot
	want  uint32
	back  bool
	grant Grant
}

// pendingWrite is a claim whose write is on its way to the store.
type pendingWrite struct {
	n     *node
	asked clock.Millis
	slot  Slot
	rev   int
	c     Claim
}

// fleet is a few nodes, a store with compare-and-swap, and a network that
// delays and loses.
type fleet struct {
	now    clock.Millis
	a      Allowance
	oracle exactBucket
	nodes  []*node
	claims [testSlots]Claim
	revs   [testSlots]int
	outage bool
	draws  []draw
	writes []pendingWrite
}

func newFleet(t *rapid.T) *fleet {
	burst := rapid.SampledFrom([]uint32{2, 3, 4, 8, 12, 60, 100}).Draw(t, "burst")
	rate := max(burst*rapid.SampledFrom([]uint32{1, 5, 10, 30, 100}).Draw(t, "rate")/10, 1)
	f := &fleet{a: Allowance{Rate: rate, Burst: burst}}
	f.oracle = exactBucket{level: float64(burst), a: f.a}
	for i := range 3 {
		n := &node{name: ident.Instance(fmt.Sprint("n", i)), offset: clock.Millis(i * 12_345)}
		f.nodes = append(f.nodes, n)
		f.boot(n)
	}
	return f
}

func (f *fleet) boot(n *node) {
	n.inc++
	n.paused = false
	n.holder = NewHolder(HolderConfig{
		Instance: n.name, Incarnation: n.inc, Lease: testLease, ClockError: clock.Second, PauseLimit: 3 * clock.Second,
	}, f.local(n))
	n.alloc = NewAllocator(testSlots)
	n.purse = NewPurse(testSlots, func(Slot) int { return 0 })
}

func (f *fleet) local(n *node) clock.Millis { return f.now + n.offset }

// some returns a node that runs.
func (f *fleet) some(t *rapid.T) *node {
	n := f.nodes[rapid.IntRange(0, len(f.nodes)-1).Draw(t, "node")]
	if n.paused {
		t.Skip("paused")
	}
	return n
}

func (f *fleet) pass(t *rapid.T) {
	span := rapid.SampledFrom([]clock.Millis{1, 50, 200, 700, 900, 2500, 60_000, 130_000, 700_000}).Draw(t, "span")
	// Nodes that run tick at least every second.
	for span > 0 {
		step := min(span, clock.Second)
		span -= step
		f.now += step
		for _, n := range f.nodes {
			if !n.paused {
				n.holder.Tick(f.local(n))
			}
		}
	}
}

func (f *fleet) pause(t *rapid.T) { f.some(t).paused = true }
func (f *fleet) wake(t *rapid.T)  { f.nodes[rapid.IntRange(0, 2).Draw(t, "node")].paused = false }
func (f *fleet) store(*rapid.T)   { f.outage = !f.outage }
func (f *fleet) restart(t *rapid.T) {
	n := f.nodes[rapid.IntRange(0, 2).Draw(t, "node")]
	f.boot(n)
	var left []draw
	for _, d := range f.draws {
		if d.from != n {
			left = append(left, d)
		}
	}
	f.draws = left
	var writes []pendingWrite
	for _, w := range f.writes {
		if w.n != n {
			writes = append(writes, w)
		}
	}
	f.writes = writes
}

func (f *fleet) sweep(t *rapid.T) {
	n := f.some(t)
	n.alloc.Sweep(f.local(n))
	n.purse.Sweep(f.local(n))
}

// claim reads a slot and sends a write if the holder wants one.
func (f *fleet) claim(t *rapid.T) {
	n := f.some(t)
	slot := Slot(rapid.IntRange(0, testSlots-1).Draw(t, "slot"))
	if f.outage {
		t.Skip("store away")
	}
	asked := f.local(n)
	n.holder.Observe(asked, slot, f.claims[slot], f.revs[slot] > 0)
	if c, ok := n.holder.Next(asked, slot, rapid.Bool().Draw(t, "preferred")); ok {
		f.writes = append(f.writes, pendingWrite{n: n, asked: asked, slot: slot, rev: f.revs[slot], c: c})
	}
}

func (f *fleet) release(t *rapid.T) {
	n := f.some(t)
	slots, _ := n.holder.Held()
	if f.outage {
		t.Skip("store away")
	}
	if len(slots) == 0 {
		t.Skip("holds nothing")
	}
	slot := slots[0]
	c, ok := n.holder.Release(f.local(n), slot, f.claims[slot], f.revs[slot] > 0)
	if !ok {
		return
	}
	n.alloc.Forget(slot)
	f.writes = append(f.writes, pendingWrite{n: n, asked: f.local(n), slot: slot, rev: f.revs[slot], c: c})
}

// write lands at the store; its answer may be lost.
func (f *fleet) write(t *rapid.T) {
	if len(f.writes) == 0 || f.outage {
		t.Skip("no write can land")
	}
	i := rapid.IntRange(0, len(f.writes)-1).Draw(t, "write")
	w := f.writes[i]
	f.writes = append(f.writes[:i], f.writes[i+1:]...)
	if f.revs[w.slot] != w.rev {
		return
	}
	f.claims[w.slot] = w.c
	f.revs[w.slot]++
	if !w.n.paused && rapid.IntRange(0, 3).Draw(t, "answer lost") > 0 {
		w.n.holder.Wrote(w.asked, w.slot, w.c, f.local(w.n))
	}
}

// request asks an entry to admit one request.
func (f *fleet) request(t *rapid.T) {
	n := f.some(t)
	for range rapid.IntRange(1, 8).Draw(t, "requests") {
		switch d := n.purse.Take(f.local(n), testTeam, f.a, nil).(type) {
		case Admit:
			if !f.oracle.spend(f.now) {
				t.Fatalf("at %d ms: more admitted than burst %d + rate %d/s x window allows", f.now, f.a.Burst, f.a.Rate)
			}
			if d.Prefetch.Want > 0 {
				f.ask(n, d.Prefetch)
			}
		case Draw:
			d.Want = rapid.Uint32Range(1, 40).Draw(t, "want")
			f.ask(n, d)
			return
		case Wait:
			return
		}
	}
}

func (f *fleet) ask(n *node, d Draw) {
	f.draws = append(f.draws, draw{from: n, asked: f.local(n), slot: d.Slot, want: d.Want})
}

// deliver moves one draw on: to any node, which grants if it holds the slot,
// or back to the entry.
func (f *fleet) deliver(t *rapid.T) {
	if len(f.draws) == 0 {
		t.Skip("no draw")
	}
	i := rapid.IntRange(0, len(f.draws)-1).Draw(t, "draw")
	d := f.draws[i]
	f.draws = append(f.draws[:i], f.draws[i+1:]...)
	if d.back {
		if !d.from.paused {
			d.from.purse.Granted(d.asked, testTeam, d.slot, d.grant)
		}
		return
	}
	n := f.some(t)
	now := f.local(n)
	if since, ok := n.holder.Authority(now, d.slot); ok {
		d.grant = n.alloc.Grant(now, since, d.slot, testTeam, f.a, d.want)
		d.back = true
		f.draws = append(f.draws, d)
	}
}

// settle lets every running node claim what it may, without delay.
func (f *fleet) settle(t *rapid.T) {
	if f.outage {
		t.Skip("store away")
	}
	first := rapid.IntRange(0, 2).Draw(t, "first")
	for i := range f.nodes {
		n := f.nodes[(first+i)%len(f.nodes)]
		for slot := range Slot(testSlots) {
			if n.paused {
				continue
			}
			now := f.local(n)
			n.holder.Observe(now, slot, f.claims[slot], f.revs[slot] > 0)
			if c, ok := n.holder.Next(now, slot, true); ok {
				f.claims[slot] = c
				f.revs[slot]++
				n.holder.Wrote(now, slot, c, now)
			}
		}
	}
}

// rush sends many requests to one entry. Each draw reaches whichever running
// node still grants from the slot; some grants arrive late.
func (f *fleet) rush(t *rapid.T) {
	n := f.some(t)
	late := clock.Millis(rapid.IntRange(0, 30).Draw(t, "late"))
	for range rapid.IntRange(1, 100).Draw(t, "requests") {
		switch d := n.purse.Take(f.local(n), testTeam, f.a, nil).(type) {
		case Admit:
			if !f.oracle.spend(f.now) {
				t.Fatalf("at %d ms: more admitted than burst %d + rate %d/s x window allows", f.now, f.a.Burst, f.a.Rate)
			}
		case Draw:
			asked := f.local(n)
			g, ok := f.grantNow(d)
			f.now += late
			if !ok {
				n.purse.Failed(testTeam, d.Slot)
				return
			}
			n.purse.Granted(asked, testTeam, d.Slot, g)
		case Wait:
			return
		}
	}
}

func (f *fleet) grantNow(d Draw) (Grant, bool) {
	for _, n := range f.nodes {
		if n.paused {
			continue
		}
		now := f.local(n)
		if since, ok := n.holder.Authority(now, d.Slot); ok {
			return n.alloc.Grant(now, since, d.Slot, testTeam, f.a, 50), true
		}
	}
	return Grant{}, false
}

// hoard draws tokens and leaves them in the purse.
func (f *fleet) hoard(t *rapid.T) {
	n := f.some(t)
	for slot := range Slot(testSlots) {
		d := Draw{Slot: slot, Want: 50}
		asked := f.local(n)
		n.purse.Take(asked, testTeam, f.a, []Slot{0, 1, 2})
		if g, ok := f.grantNow(d); ok {
			n.purse.Granted(asked, testTeam, slot, g)
		}
	}
}

// check looks for two nodes that would grant from one slot now. A paused node
// counts: it may wake at any moment.
func (f *fleet) check(t *rapid.T) {
	for slot := range Slot(testSlots) {
		holders := 0
		for _, n := range f.nodes {
			if _, ok := n.holder.Authority(f.local(n), slot); ok {
				holders++
			}
		}
		if holders > 1 {
			t.Fatalf("at %d ms: %d nodes grant from slot %d", f.now, holders, slot)
		}
	}
}

func TestNoTeamExceedsItsRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(t)
		t.Repeat(map[string]func(*rapid.T){
			"request": f.request, "deliver": f.deliver, "pass": f.pass, "pass2": f.pass, "claim": f.claim, "write": f.write,
			"settle": f.settle, "rush": f.rush, "rush2": f.rush, "hoard": f.hoard,
			"hoard2": f.hoard, "": f.check,
			"release": f.release, "pause": f.pause, "wake": f.wake, "restart": f.restart, "store": f.store, "sweep": f.sweep,
		})
	})
}
