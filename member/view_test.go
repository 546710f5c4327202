package member

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"chestnutlatch/clock"
	"chestnutlatch/ident"
)

// net is a few views that exchange messages over links that can be cut in one
// direction. Every message takes one step of 10 ms.
type net struct {
	now    clock.Millis
	rnd    *rand.Rand
	views  []*View
	paused map[int]bool
	// cut holds the directed links that lose everything.
	cut      map[[2]int]bool
	loss     float64
	inFlight []delivery
	// suspicions counts the reports of suspects, over all views.
	suspicions int
	// superseded holds the views that must stop.
	superseded map[int]bool
	sent       int
}

type delivery struct {
	from, to int
	msg      Message
}

const (
	step    = 10 * clock.Millisecond
	perDC   = 4
	dcCount = 3
)

func name(i int) ident.Instance { return ident.Instance(fmt.Sprintf("n%02d", i)) }

func address(i int) string { return fmt.Sprint(i) }

func newNet(seed uint64) *net {
	n := &net{
		rnd: rand.New(rand.NewPCG(seed, 1)), paused: map[int]bool{}, cut: map[[2]int]bool{}, superseded: map[int]bool{},
	}
	for i := range perDC * dcCount {
		n.views = append(n.views, nil)
		n.boot(i, 1)
	}
	return n
}

// boot starts a daemon that knows the first member of each data centre.
func (n *net) boot(i int, inc ident.Incarnation) {
	n.views[i] = New(DefaultConfig(), n.record(i, inc), rand.New(rand.NewPCG(uint64(i), uint64(inc))), n.now)
	var contacts []*Member
	for dc := range dcCount {
		r := n.record(dc*perDC, 1)
		contacts = append(contacts, &r)
	}
	n.carry(i, n.views[i].Join(n.now, contacts))
}

func (n *net) record(i int, inc ident.Incarnation) Member {
	return Member{
		Instance: name(i), Incarnation: inc, Version: 1, DataCentre: ident.DataCentre(fmt.Sprint("dc", i/perDC)),
		Region: ident.Region(fmt.Sprint("r", i/perDC)), MemberAddress: address(i),
	}
}

func (n *net) carry(i int, effects []Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case Send:
			var to int
			if _, err := fmt.Sscan(e.To, &to); err == nil {
				n.sent++
				n.inFlight = append(n.inFlight, delivery{from: i, to: to, msg: e.Message})
			}
		case Changed:
			if e.Member.Status == StatusSuspect {
				n.suspicions++
			}
		case Superseded:
			n.superseded[i] = true
		case Behind:
		}
	}
}

func (n *net) run(span clock.Millis) {
	for end := n.now + span; n.now < end; {
		n.now += step
		batch := n.inFlight
		n.inFlight = nil
		for _, d := range batch {
			if n.cut[[2]int{d.from, d.to}] || n.paused[d.to] || n.rnd.Float64() < n.loss {
				continue
			}
			// Messages cross the wire encoded.
			b, err := Encode(d.msg)
			if err != nil {
				panic(err)
			}
			m, err := Decode(b)
			if err != nil {
				panic(err)
			}
			n.carry(d.to, n.views[d.to].Receive(n.now, address(d.from), m))
		}
		for i, v := range n.views {
			if !n.paused[i] {
				n.carry(i, v.Tick(n.now))
			}
		}
	}
}

// wrong lists the views, of those that run, that do not see a member as wanted.
func (n *net) wrong(id int, up bool) []int {
	var out []int
	for i, v := range n.views {
		m, ok := v.Get(name(id))
		if i != id && !n.paused[i] && (ok && m.IsUp()) != up {
			out = append(out, i)
		}
	}
	return out
}

func (n *net) wantAll(t *testing.T, up bool, ids ...int) {
	t.Helper()
	for _, id := range ids {
		if w := n.wrong(id, up); len(w) > 0 {
			t.Errorf("at %d ms views %v do not see %s up=%v", n.now, w, name(id), up)
		}
	}
}

var everyone = []int{0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11}

func (n *net) cutBetween(a, b []int, both bool) {
	for _, i := range a {
		for _, j := range b {
			n.cut[[2]int{i, j}] = true
			if both {
				n.cut[[2]int{j, i}] = true
			}
		}
	}
}

func TestViews(t *testing.T) {
	dc0, others := everyone[:perDC], everyone[perDC:]
	tests := []struct {
		name string
		do   func(t *testing.T, n *net)
	}{
		{"everyone finds everyone", func(t *testing.T, n *net) { n.wantAll(t, true, everyone...) }},
		{"with a tenth of the datagrams lost", func(t *testing.T, n *net) {
			n.loss = 0.1
			n.run(60 * clock.Second)
			n.wantAll(t, true, everyone...)
		}},
		{"a killed daemon is dead within 10 s", func(t *testing.T, n *net) {
			n.paused[5] = true
			n.run(10 * clock.Second)
			n.wantAll(t, false, 5)
			n.wantAll(t, true, 0, 1, 2, 3, 4, 6, 7, 8, 9, 10, 11)
		}},
		{"a paused daemon refutes its death", func(t *testing.T, n *net) {
			n.paused[5] = true
			n.run(60 * clock.Second)
			n.paused[5] = false
			n.run(30 * clock.Second)
			n.wantAll(t, true, everyone...)
		}},
		{"a cut between data centres kills nobody", func(t *testing.T, n *net) {
			n.cutBetween(dc0, others, true)
			n.run(60 * clock.Second)
			n.wantAll(t, true, everyone...)
		}},
		{"a one-way link kills nobody", func(t *testing.T, n *net) {
			n.cut[[2]int{5, 6}] = true
			n.suspicions = 0
			n.run(60 * clock.Second)
			n.wantAll(t, true, everyone...)
			if n.suspicions > 0 {
				t.Errorf("%d suspicions, though others reach both ends", n.suspicions)
			}
		}},
		{"a daemon that is heard by nobody is dead", func(t *testing.T, n *net) {
			n.cutBetween([]int{5}, []int{0, 1, 2, 3, 4, 6, 7, 8, 9, 10, 11}, false)
			n.run(15 * clock.Second)
			n.wantAll(t, false, 5)
		}},
		{"a new incarnation replaces the old", func(t *testing.T, n *net) {
			n.boot(5, 2)
			n.run(15 * clock.Second)
			for i, v := range n.views {
				if m, ok := v.Get(name(5)); !ok || m.Incarnation != 2 {
					t.Errorf("view %d has %+v", i, m)
				}
			}
		}},
		{"the former self must stop", func(t *testing.T, n *net) {
			old := n.views[5]
			n.boot(5, 2)
			n.run(15 * clock.Second)
			m, _ := n.views[6].Get(name(5))
			effects := old.Receive(n.now, address(6), Message{Kind: MessagePing, Sender: name(6), Incarnation: 1, Members: []*Member{m}})
			found := false
			for _, e := range effects {
				_, ok := e.(Superseded)
				found = found || ok
			}
			if !found {
				t.Error("the old incarnation goes on")
			}
		}},
		{"a planned stop is known within 2 s", func(t *testing.T, n *net) {
			n.carry(5, n.views[5].Leave(n.now))
			n.run(20 * clock.Millisecond)
			n.paused[5] = true
			n.run(2 * clock.Second)
			n.wantAll(t, false, 5)
		}},
		{"a change of targets is known within 2 s", func(t *testing.T, n *net) {
			n.carry(5, n.views[5].Update(n.now, func(m *Member) { m.Targets = []Target{{ID: "x", State: ident.TargetSick}} }))
			n.carry(5, n.views[5].Push(4))
			n.run(2 * clock.Second)
			for i, v := range n.views {
				if m, _ := v.Get(name(5)); len(m.Targets) != 1 {
					t.Errorf("view %d has no news", i)
				}
			}
		}},
		{"a data centre that fails whole is dark, and lit again", func(t *testing.T, n *net) {
			for _, i := range dc0 {
				n.paused[i] = true
			}
			n.run(5 * clock.Minute)
			for _, i := range others {
				if d := n.views[i].Dark(n.now); !d["dc0"] || d["dc1"] || d["dc2"] {
					t.Errorf("view %d finds dark %v", i, d)
				}
			}
			for _, i := range dc0 {
				n.paused[i] = false
			}
			n.run(2 * clock.Minute)
			for i, v := range n.views {
				if v.Dark(n.now)["dc0"] {
					t.Errorf("view %d still finds it dark", i)
				}
			}
		}},
		{"both sides of a long cut meet again", func(t *testing.T, n *net) {
			n.cutBetween([]int{0, 1}, []int{2, 3, 4, 5, 6, 7, 8, 9, 10, 11}, true)
			n.run(120 * clock.Second)
			n.cut = map[[2]int]bool{}
			n.run(120 * clock.Second)
			n.wantAll(t, true, everyone...)
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			n := newNet(20261204)
			n.run(20 * clock.Second)
			tt.do(t, n)
			if len(n.superseded) > 0 {
				t.Errorf("views %v were told to stop", n.superseded)
			}
		})
	}
}

func TestRanksAgree(t *testing.T) {
	n := newNet(1)
	n.run(20 * clock.Second)
	for dc := range dcCount {
		seen := map[int]bool{}
		for i := dc * perDC; i < (dc+1)*perDC; i++ {
			seen[n.views[i].Rank()] = true
		}
		if len(seen) != perDC || !seen[0] {
			t.Errorf("data centre %d has ranks %v", dc, seen)
		}
	}
}

func TestNearbySpreadsOverTheDataCentre(t *testing.T) {
	n := newNet(1)
	n.run(20 * clock.Second)
	n.views[0].members[name(3)].member.Status = StatusDead
	first := map[ident.Instance]bool{}
	for range 50 {
		list := n.views[0].Nearby()
		if len(list) != perDC*dcCount-2 {
			t.Fatalf("%d peers, want all live ones but itself", len(list))
		}
		first[list[0].Instance] = true
	}
	if len(first) != 2 || !first[name(1)] || !first[name(2)] {
		t.Errorf("the first peer is one of %v, want both live ones of the data centre", first)
	}
}

func TestSealedDatagrams(t *testing.T) {
	sealed := Seal([]byte("fleet"), []byte("hello"))
	if b, err := Open([]byte("fleet"), sealed); err != nil || string(b) != "hello" {
		t.Errorf("Open() = %q, %v", b, err)
	}
	for name, bad := range map[string][]byte{"short": sealed[:10], "changed": append(append([]byte{}, sealed[:len(sealed)-1]...), 'x')} {
		if _, err := Open([]byte("fleet"), bad); err == nil {
			t.Errorf("%s datagram is accepted", name)
		}
	}
	if _, err := Open([]byte("other"), sealed); err == nil {
		t.Error("a datagram of another fleet is accepted")
	}
}

// FuzzReceive feeds datagrams of any content to a view, as an attacker with the
// fleet's secret could.
func FuzzReceive(f *testing.F) {
	good, err := Encode(Message{Kind: MessageDigest, Sender: "x", Buckets: make([]uint64, bucketCount), Members: []*Member{{Instance: "x"}}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(good)
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
