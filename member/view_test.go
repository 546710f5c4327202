package member

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	"chestnutlatch/clock"
	"chestnutlatch/ident"
)

// testCluster runs dcCount data centres of perDC views each. The views exchange
// messages over simulated links, which can be blocked in one direction. Every message
// takes one step of 10 ms.
type testCluster struct {
	now   clock.Millis
	rnd   *rand.Rand
	views []*View
	// pausedViews holds the views that neither receive nor tick.
	pausedViews map[int]bool
	// blockedLinks holds the links, from sender to receiver, that lose all
	// messages.
	blockedLinks map[[2]int]bool
	// loss is the probability that a message is lost on any link.
	loss     float64
	inFlight []sentMessage
	// suspicions counts the changes to suspect, over all views.
	suspicions int
	// superseded holds the views that must stop.
	superseded map[int]bool
	sent       int
}

type sentMessage struct {
	from, to int
	msg      Message
}

const (
	stepTime = 10 * clock.Millisecond
	perDC    = 4
	dcCount  = 3
)

func instanceName(i int) ident.Instance { return ident.Instance(fmt.Sprintf("n%02d", i)) }

func memberAddress(i int) string { return fmt.Sprint(i) }

func newTestCluster(seed uint64) *testCluster {
	c := &testCluster{
		rnd: rand.New(rand.NewPCG(seed, 1)), pausedViews: map[int]bool{}, blockedLinks: map[[2]int]bool{}, superseded: map[int]bool{},
	}
	for i := range perDC * dcCount {
		c.views = append(c.views, nil)
		c.startView(i, 1)
	}
	return c
}

// startView adds view i or replaces it. The new view joins with the record of the first
// member of each data centre.
func (c *testCluster) startView(i int, inc ident.Incarnation) {
	c.views[i] = New(DefaultConfig(), c.newRecord(i, inc), rand.New(rand.NewPCG(uint64(i), uint64(inc))), c.now)
	var contacts []*Member
	for dc := range dcCount {
		r := c.newRecord(dc*perDC, 1)
		contacts = append(contacts, &r)
	}
	c.applyEffects(i, c.views[i].Join(c.now, contacts))
}

func (c *testCluster) newRecord(i int, inc ident.Incarnation) Member {
	return Member{
		Instance: instanceName(i), Incarnation: inc, Version: 1, DataCentre: ident.DataCentre(fmt.Sprint("dc", i/perDC)),
		Region: ident.Region(fmt.Sprint("r", i/perDC)), MemberAddress: memberAddress(i),
	}
}

// applyEffects queues the messages of view i and counts its other effects.
func (c *testCluster) applyEffects(i int, effects []Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case Send:
			var to int
			if _, err := fmt.Sscan(e.To, &to); err == nil {
				c.sent++
				c.inFlight = append(c.inFlight, sentMessage{from: i, to: to, msg: e.Message})
			}
		case Changed:
			if e.Member.Status == StatusSuspect {
				c.suspicions++
			}
		case Superseded:
			c.superseded[i] = true
		case ConfigBehind:
		}
	}
}

// run simulates the cluster for a duration.
func (c *testCluster) run(duration clock.Millis) {
	for end := c.now + duration; c.now < end; {
		c.now += stepTime
		batch := c.inFlight
		c.inFlight = nil
		for _, d := range batch {
			if c.blockedLinks[[2]int{d.from, d.to}] || c.pausedViews[d.to] || c.rnd.Float64() < c.loss {
				continue
			}
			// Encode and decode each message as the daemons do.
			b, err := Encode(d.msg)
			if err != nil {
				panic(err)
			}
			m, err := Decode(b)
			if err != nil {
				panic(err)
			}
			c.applyEffects(d.to, c.views[d.to].Receive(c.now, memberAddress(d.from), m))
		}
		for i, v := range c.views {
			if !c.pausedViews[i] {
				c.applyEffects(i, v.Tick(c.now))
			}
		}
	}
}

// viewsNotSeeing lists the running views that do not see the member as up or, if up is
// false, as down.
func (c *testCluster) viewsNotSeeing(id int, up bool) []int {
	var out []int
	for i, v := range c.views {
		m, ok := v.Get(instanceName(id))
		if i != id && !c.pausedViews[i] && (ok && m.IsUp()) != up {
			out = append(out, i)
		}
	}
	return out
}

// checkAll fails the test unless all running views see the members as up or down.
func (c *testCluster) checkAll(t *testing.T, up bool, ids ...int) {
	t.Helper()
	for _, id := range ids {
		if wrong := c.viewsNotSeeing(id, up); len(wrong) > 0 {
			t.Errorf("at %d ms views %v do not see %s up=%v", c.now, wrong, instanceName(id), up)
		}
	}
}

var allViews = []int{0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11}

// blockLinks blocks the links between two groups of views, in both directions or
// only towards the second group.
func (c *testCluster) blockLinks(senders, receivers []int, both bool) {
	for _, i := range senders {
		for _, j := range receivers {
			c.blockedLinks[[2]int{i, j}] = true
			if both {
				c.blockedLinks[[2]int{j, i}] = true
			}
		}
	}
}

func TestView(t *testing.T) {
	dc0, others := allViews[:perDC], allViews[perDC:]
	tests := []struct {
		name string
		run  func(t *testing.T, c *testCluster)
	}{
		{"all views find all members", func(t *testing.T, c *testCluster) { c.checkAll(t, true, allViews...) }},
		{"loss of a tenth of the datagrams marks no member dead", func(t *testing.T, c *testCluster) {
			c.loss = 0.1
			c.run(60 * clock.Second)
			c.checkAll(t, true, allViews...)
		}},
		{"stopped daemon is dead within 10 s", func(t *testing.T, c *testCluster) {
			c.pausedViews[5] = true
			c.run(10 * clock.Second)
			c.checkAll(t, false, 5)
			c.checkAll(t, true, 0, 1, 2, 3, 4, 6, 7, 8, 9, 10, 11)
		}},
		{"paused daemon refutes its death", func(t *testing.T, c *testCluster) {
			c.pausedViews[5] = true
			c.run(60 * clock.Second)
			c.pausedViews[5] = false
			c.run(30 * clock.Second)
			c.checkAll(t, true, allViews...)
		}},
		{"partition between data centres marks no member dead", func(t *testing.T, c *testCluster) {
			c.blockLinks(dc0, others, true)
			c.run(60 * clock.Second)
			c.checkAll(t, true, allViews...)
		}},
		{"one-way link failure marks no member dead", func(t *testing.T, c *testCluster) {
			c.blockedLinks[[2]int{5, 6}] = true
			c.suspicions = 0
			c.run(60 * clock.Second)
			c.checkAll(t, true, allViews...)
			if c.suspicions > 0 {
				t.Errorf("%d suspicions, though other members reach both ends of the link", c.suspicions)
			}
		}},
		{"daemon whose messages are all lost is dead", func(t *testing.T, c *testCluster) {
			c.blockLinks([]int{5}, []int{0, 1, 2, 3, 4, 6, 7, 8, 9, 10, 11}, false)
			c.run(15 * clock.Second)
			c.checkAll(t, false, 5)
		}},
		{"new incarnation replaces the old one", func(t *testing.T, c *testCluster) {
			c.startView(5, 2)
			c.run(15 * clock.Second)
			for i, v := range c.views {
				if m, ok := v.Get(instanceName(5)); !ok || m.Incarnation != 2 {
					t.Errorf("view %d has %+v", i, m)
				}
			}
		}},
		{"old incarnation is superseded", func(t *testing.T, c *testCluster) {
			old := c.views[5]
			c.startView(5, 2)
			c.run(15 * clock.Second)
			m, _ := c.views[6].Get(instanceName(5))
			effects := old.Receive(c.now, memberAddress(6), Message{Kind: MessagePing, Sender: instanceName(6), Incarnation: 1, Members: []*Member{m}})
			found := false
			for _, e := range effects {
				_, ok := e.(Superseded)
				found = found || ok
			}
			if !found {
				t.Error("the old incarnation was not superseded")
			}
		}},
		{"planned shutdown is seen within 2 s", func(t *testing.T, c *testCluster) {
			c.applyEffects(5, c.views[5].Leave(c.now))
			c.run(20 * clock.Millisecond)
			c.pausedViews[5] = true
			c.run(2 * clock.Second)
			c.checkAll(t, false, 5)
		}},
		{"change of targets is seen within 2 s", func(t *testing.T, c *testCluster) {
			c.applyEffects(5, c.views[5].Update(c.now, func(m *Member) { m.Targets = []Target{{ID: "x", State: ident.TargetSick}} }))
			c.applyEffects(5, c.views[5].PushChanges(4))
			c.run(2 * clock.Second)
			for i, v := range c.views {
				if m, _ := v.Get(instanceName(5)); len(m.Targets) != 1 {
					t.Errorf("view %d does not have the new target", i)
				}
			}
		}},
		{"failed data centre is unreachable until it recovers", func(t *testing.T, c *testCluster) {
			for _, i := range dc0 {
				c.pausedViews[i] = true
			}
			c.run(5 * clock.Minute)
			for _, i := range others {
				if u := c.views[i].UnreachableDataCentres(c.now); !u["dc0"] || u["dc1"] || u["dc2"] {
					t.Errorf("view %d: unreachable data centres are %v, want only dc0", i, u)
				}
			}
			for _, i := range dc0 {
				c.pausedViews[i] = false
			}
			c.run(2 * clock.Minute)
			for i, v := range c.views {
				if v.UnreachableDataCentres(c.now)["dc0"] {
					t.Errorf("view %d: dc0 is still unreachable after its recovery", i)
				}
			}
		}},
		{"sides of a long partition find each other again", func(t *testing.T, c *testCluster) {
			c.blockLinks([]int{0, 1}, []int{2, 3, 4, 5, 6, 7, 8, 9, 10, 11}, true)
			c.run(120 * clock.Second)
			c.blockedLinks = map[[2]int]bool{}
			c.run(120 * clock.Second)
			c.checkAll(t, true, allViews...)
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := newTestCluster(20261204)
			c.run(20 * clock.Second)
			tt.run(t, c)
			if len(c.superseded) > 0 {
				t.Errorf("views %v were superseded", c.superseded)
			}
		})
	}
}

func TestRanksAreDistinct(t *testing.T) {
	c := newTestCluster(1)
	c.run(20 * clock.Second)
	for dc := range dcCount {
		seen := map[int]bool{}
		for i := dc * perDC; i < (dc+1)*perDC; i++ {
			seen[c.views[i].Rank()] = true
		}
		if len(seen) != perDC || !seen[0] {
			t.Errorf("data centre %d has ranks %v, want one member for each rank from 0", dc, seen)
		}
	}
}

func TestPeersAreLocalFirstInRandomOrder(t *testing.T) {
	c := newTestCluster(1)
	c.run(20 * clock.Second)
	c.views[0].members[instanceName(3)].member.Status = StatusDead
	first := map[ident.Instance]bool{}
	for range 50 {
		peers := c.views[0].PeersLocalFirst()
		if len(peers) != perDC*dcCount-2 {
			t.Fatalf("%d peers, want all live members except the view's own", len(peers))
		}
		first[peers[0].Instance] = true
	}
	if len(first) != 2 || !first[instanceName(1)] || !first[instanceName(2)] {
		t.Errorf("first peers are %v, want both live peers of the data centre", first)
	}
}

func TestSignedDatagrams(t *testing.T) {
	signed := Sign([]byte("fleet"), []byte("hello"))
	if b, err := Verify([]byte("fleet"), signed); err != nil || string(b) != "hello" {
		t.Errorf("verified datagram is %q, error %v; want the signed payload", b, err)
	}
	for name, bad := range map[string][]byte{"short": signed[:10], "changed": append(append([]byte{}, signed[:len(signed)-1]...), 'x')} {
		if _, err := Verify([]byte("fleet"), bad); err == nil {
			t.Errorf("%s datagram was accepted", name)
		}
	}
	if _, err := Verify([]byte("other"), signed); err == nil {
		t.Error("a datagram of another fleet was accepted")
	}
}

// TestOutOfRangeFieldsAreRejected covers kinds, statuses, states and versions that no
// daemon sends. A status above the known ones would win over every other one, and a
// version at the end of its range would wrap when its subject refutes it.
func TestOutOfRangeFieldsAreRejected(t *testing.T) {
	valid := Member{Instance: "x", Incarnation: 1, Version: 1, Targets: []Target{{ID: "t", State: ident.TargetDraining, Slots: 4}}}
	tests := map[string]func(m *Message, r *Member){
		"unknown kind":   func(m *Message, _ *Member) { m.Kind = MessageVitals + 1 },
		"unknown status": func(_ *Message, r *Member) { r.Status = StatusLeft + 1 },
		"huge status":    func(_ *Message, r *Member) { r.Status = 1 << 31 },
		"last version":   func(_ *Message, r *Member) { r.Version = math.MaxUint64 },
		"unknown state":  func(_ *Message, r *Member) { r.Targets = []Target{{ID: "t", State: 99}} },
		"huge slots":     func(_ *Message, r *Member) { r.Targets = []Target{{ID: "t", Slots: math.MaxInt32}} },
	}
	for name, change := range tests {
		record := valid
		m := Message{Kind: MessagePing, Sender: "x", Incarnation: 1, Members: []*Member{&record}}
		b, err := Encode(m)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := Decode(b); err != nil {
			t.Fatalf("valid datagram: %v", err)
		}
		change(&m, &record)
		if b, err = Encode(m); err != nil {
			t.Fatal(err)
		}
		if _, err := Decode(b); err == nil {
			t.Errorf("%s: datagram was accepted", name)
		}
		if b, err = EncodeMember(&record); err != nil {
			t.Fatal(err)
		}
		if _, err := DecodeMember(b); err == nil && name != "unknown kind" {
			t.Errorf("%s: record was accepted", name)
		}
	}
}

// TestRefutedVersionDoesNotWrap lets another member claim the highest version for this
// daemon's record.
func TestRefutedVersionDoesNotWrap(t *testing.T) {
	v := New(DefaultConfig(), Member{Instance: "self", Incarnation: 1}, rand.New(rand.NewPCG(1, 1)), 0)
	v.Receive(1, "127.0.0.1:1", Message{Kind: MessagePing, Sender: "x", Incarnation: 1, Members: []*Member{
		{Instance: "self", Incarnation: 1, Version: maxVersion, Status: StatusSuspect},
	}})
	if got := v.Self().Version; got <= maxVersion {
		t.Errorf("version is %d after a record with %d was refuted, want more", got, uint64(maxVersion))
	}
}

// FuzzReceive passes arbitrary datagrams to a view, as an attacker with the fleet's
// secret could send them. No datagram may cause a panic.
func FuzzReceive(f *testing.F) {
	valid, err := Encode(Message{Kind: MessageDigest, Sender: "x", Buckets: make([]uint64, digestBuckets), Members: []*Member{{Instance: "x"}}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(valid)
	f.Add([]byte{0x08, 0x07, 0x3a, 0x00})
	f.Fuzz(func(_ *testing.T, b []byte) {
		m, err := Decode(b)
		if err != nil {
			return
		}
		v := New(DefaultConfig(), Member{Instance: "self", Incarnation: 1}, rand.New(rand.NewPCG(1, 1)), 0)
		v.Receive(1, "127.0.0.1:1", m)
		v.Tick(1000)
		v.Members()
	})
}
