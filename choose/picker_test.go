package choose

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"chestnutlatch/clock"
	"chestnutlatch/ident"
)

const testService = ident.Service("svc")

// model is what the oracle knows of a target.
type model struct {
	c       Candidate
	drained bool
}

// machine drives a picker and keeps the model beside it.
type machine struct {
	p       *Picker
	now     clock.Millis
	targets map[ident.Target]*model
	floor   uint32
}

func (m *machine) want() Want {
	return Want{Service: testService, FloorPercent: m.floor, IsDrained: func(id ident.Target) bool { return m.targets[id].drained }}
}

func (m *machine) put(t *rapid.T) {
	i := rapid.IntRange(0, 11).Draw(t, "target")
	c := Candidate{
		Target: ident.Target(fmt.Sprint("t", i)), Instance: ident.Instance(fmt.Sprint("i", i/2)),
		DataCentre: ident.DataCentre(fmt.Sprint("dc", i%3)), Region: ident.Region(fmt.Sprint("r", i%2)),
		Slots: 2, Up: rapid.IntRange(0, 4).Draw(t, "down") > 0,
		State: rapid.SampledFrom([]ident.TargetState{
			ident.TargetWell, ident.TargetCold, ident.TargetSick, ident.TargetDraining,
		}).Draw(t, "state"),
	}
	m.p.Put(testService, c)
	old := m.targets[c.Target]
	m.targets[c.Target] = &model{c: c, drained: old != nil && old.drained}
}

func (m *machine) some(t *rapid.T) *model {
	if len(m.targets) == 0 {
		t.Skip("no target")
	}
	var ids []ident.Target
	for i := range 12 {
		id := ident.Target(fmt.Sprint("t", i))
		if m.targets[id] != nil {
			ids = append(ids, id)
		}
	}
	return m.targets[rapid.SampledFrom(ids).Draw(t, "target")]
}

func (m *machine) report(t *rapid.T) {
	x := m.some(t)
	x.c.State = rapid.SampledFrom([]ident.TargetState{ident.TargetWell, ident.TargetSick, ident.TargetCold}).Draw(t, "state")
	m.p.Put(testService, x.c)
	m.p.Report(m.now, testService, x.c.Target, Load{State: x.c.State, InFlight: rapid.IntRange(0, 4).Draw(t, "busy")})
}

func (m *machine) drain(t *rapid.T) {
	x := m.some(t)
	x.drained = !x.drained
}

func (m *machine) fail(t *rapid.T) {
	m.p.PathFailed(m.now, m.some(t).c.Instance)
}

func (m *machine) works(t *rapid.T) {
	m.p.PathWorks(m.some(t).c.Instance)
}

func (m *machine) pass(t *rapid.T) {
	m.now += clock.Millis(rapid.IntRange(1, 5000).Draw(t, "millis"))
}

func (m *machine) pick(t *rapid.T) {
	c, ok := m.p.Pick(m.now, m.want())
	if !ok {
		return
	}
	x := m.targets[c.Target]
	if !x.c.Up || x.drained || x.c.State == ident.TargetDraining {
		t.Fatalf("picked %s, which takes no work", c.Target)
	}
	if rapid.Bool().Draw(t, "done") {
		m.p.Done(testService, c.Target)
	}
}

func (m *machine) check(t *rapid.T) {
	chosen, total := m.p.Selectable(m.now, m.want())
	got := map[ident.Target]bool{}
	for _, id := range chosen {
		got[id] = true
	}
	eligible, healthy := 0, 0
	for id, x := range m.targets {
		if !x.c.Up || x.drained || x.c.State == ident.TargetDraining {
			if got[id] {
				t.Fatalf("%s is selectable and takes no work", id)
			}
			continue
		}
		eligible++
		if x.c.State != ident.TargetSick && !m.p.IsPathBad(m.now, x.c.Instance) {
			healthy++
			if !got[id] {
				t.Fatalf("%s is healthy and not selectable", id)
			}
		}
	}
	floor := (eligible*int(m.floor) + 99) / 100
	if total != eligible || len(chosen) != max(healthy, floor) {
		t.Fatalf("%d of %d selectable with %d healthy, want at least the floor of %d and no other", len(chosen), total, healthy, floor)
	}
}

func TestFloorHoldsAtEveryStep(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &machine{
			p: New("dc0", "r0", 1), targets: map[ident.Target]*model{},
			floor: uint32(rapid.IntRange(1, 100).Draw(t, "floor")),
		}
		t.Repeat(map[string]func(*rapid.T){
			"put": m.put, "report": m.report, "drain": m.drain, "fail": m.fail, "works": m.works,
			"pass": m.pass, "pick": m.pick, "": m.check,
		})
	})
}

func TestNearestWithRoomFirst(t *testing.T) {
	p := New("dc0", "r0", 1)
	for i, dc := range []ident.DataCentre{"dc0", "dc1", "dc2"} {
		region := ident.Region("r0")
		if i == 2 {
			region = "r1"
		}
		p.Put(testService, Candidate{Target: ident.Target(dc), Instance: ident.Instance(dc), DataCentre: dc, Region: region, Slots: 1, Up: true})
	}
	for _, want := range []ident.Target{"dc0", "dc1", "dc2"} {
		if c, _ := p.Pick(1, Want{Service: testService, FloorPercent: 50}); c.Target != want {
			t.Errorf("picked %s, want %s: the nearer ones are full", c.Target, want)
		}
	}
}

func TestRetriesStayUnderBudget(t *testing.T) {
	p := New("dc0", "r0", 1)
	retries := 0
	const requests = 10_000
	for i := range requests {
		now := clock.Millis(i)
		p.CountRequest(now, testService)
		for p.MayRetry(now, testService) {
			retries++
		}
	}
	const seconds = requests / 1000
	if most := requests/10 + 1*seconds + 20; retries > most {
		t.Errorf("%d retries for %d requests, want at most %d", retries, requests, most)
	}
}

func TestPathPenaltyGrowsAndEnds(t *testing.T) {
	p := New("dc0", "r0", 1)
	now := clock.Millis(1)
	for i, want := range []clock.Millis{250, 500, 1000, 2000, 4000, 8000, 15000, 15000} {
		p.PathFailed(now, "i")
		if !p.IsPathBad(now+want-1, "i") || p.IsPathBad(now+want, "i") {
			t.Errorf("failure %d: path is not avoided for exactly %d ms", i, want)
		}
		now += want
	}
	p.PathWorks("i")
	if p.IsPathBad(now, "i") {
		t.Error("a path that works is still avoided")
	}
}

func TestKinFormARing(t *testing.T) {
	p := New("dc0", "r0", 1)
	const size = 7
	for i := range size {
		p.Put(testService, Candidate{
			Target: ident.Target(fmt.Sprint("t", i)), Instance: ident.Instance(fmt.Sprint("i", i)), Slots: 1, Up: i != 3,
		})
	}
	heard := map[ident.Instance]int{}
	for i := range size {
		for _, kin := range p.Kin(testService, ident.Target(fmt.Sprint("t", i)), 3) {
			if kin == ident.Instance(fmt.Sprint("i", i)) || kin == "i3" {
				t.Errorf("t%d tells %s", i, kin)
			}
			if i != 3 {
				heard[kin]++
			}
		}
	}
	for i := range size {
		if want := 3; i != 3 && heard[ident.Instance(fmt.Sprint("i", i))] != want {
			t.Errorf("i%d hears of %d targets, want %d", i, heard[ident.Instance(fmt.Sprint("i", i))], want)
		}
	}
}
