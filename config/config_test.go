package config

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"

	"github.com/go-faster/errors"
	"pgregory.net/rapid"

	"chestnutlatch/clock"
	"chestnutlatch/ident"
	"chestnutlatch/record"
	"chestnutlatch/stand"
	"chestnutlatch/store"
)

func teamRecord(rate int) json.RawMessage {
	return json.RawMessage(fmt.Sprintf(`{"schema":2,"limit":{"rate_per_second":%d,"burst":1000},"weight":1,"later_field":%d}`, rate, rate))
}

func set(id string, rate int) record.Change {
	return record.Change{ID: fmt.Sprint("c-", id, "-", rate), Who: "op", Items: []record.Item{
		{Kind: record.KindTeam, ID: id, After: teamRecord(rate)},
	}}
}

// operator is one operator with a loaded configuration, which may be stale.
type operator struct {
	state *State
}

// desk is a few operators at one store that loses answers and goes away.
type desk struct {
	mem  *stand.Memory
	ops  []*operator
	rate int
	// accepted holds the changes that an operator was told are written.
	accepted map[string]bool
	head     ident.Revision
	outage   bool
}

func (d *desk) load(t *rapid.T) {
	s, err := Load(context.Background(), d.mem)
	if err == nil {
		d.ops[rapid.IntRange(0, len(d.ops)-1).Draw(t, "operator")].state = s
	}
}

func (d *desk) commit(t *rapid.T) {
	op := d.ops[rapid.IntRange(0, len(d.ops)-1).Draw(t, "operator")]
	d.rate++
	c := set(rapid.SampledFrom([]string{"x", "y"}).Draw(t, "team"), d.rate)
	written, err := Commit(context.Background(), d.mem, op.state, c)
	var race *RaceError
	if err == nil {
		d.accepted[written.ID] = true
	} else if errors.As(err, &race) && !race.Theirs.Touches(race.Mine) {
		t.Fatalf("a race with a change of other records: %v", err)
	}
}

func (d *desk) faults(t *rapid.T) {
	d.outage = rapid.Bool().Draw(t, "outage")
	d.mem.SetFaults(stand.StoreFaults{Outage: d.outage, LostAnswers: rapid.Bool().Draw(t, "lost answers")})
}

func (d *desk) snapshot(t *rapid.T) {
	s, err := Load(context.Background(), d.mem)
	if err != nil {
		t.Skip("store away")
	}
	_ = WriteSnapshot(context.Background(), d.mem, s)
}

// check reads the log in full and folds it in the simplest way.
func (d *desk) check(t *rapid.T) {
	if d.outage {
		return
	}
	changes, err := Read(context.Background(), d.mem, 0, 0)
	if err != nil {
		t.Fatal(err)
	}
	naive := map[string]json.RawMessage{}
	seen := map[string]int{}
	for i, c := range changes {
		if c.Revision != ident.Revision(i+1) {
			t.Fatalf("log entry %d has revision %d", i+1, c.Revision)
		}
		seen[c.ID]++
		for _, it := range c.Items {
			if string(it.Before) != string(naive[it.ID]) {
				t.Fatalf("revision %d was made from %s, the record was %s", c.Revision, it.Before, naive[it.ID])
			}
			naive[it.ID] = it.After
		}
	}
	for id := range d.accepted {
		if seen[id] != 1 {
			t.Fatalf("accepted change %s stands %d times in the log", id, seen[id])
		}
	}
	if ident.Revision(len(changes)) < d.head {
		t.Fatalf("log shrank from %d to %d", d.head, len(changes))
	}
	d.head = ident.Revision(len(changes))
	s, err := Load(context.Background(), d.mem)
	if err != nil {
		t.Fatal(err)
	}
	for id, want := range naive {
		if got, _ := s.Get(record.KindTeam, id); string(got.Record) != string(want) {
			t.Fatalf("team %s is %s, the log says %s", id, got.Record, want)
		}
	}
}

func TestOperatorsRace(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := &desk{mem: stand.NewMemory(clock.NewManual(0)), accepted: map[string]bool{}}
		for range 3 {
			d.ops = append(d.ops, &operator{state: NewState()})
		}
		t.Repeat(map[string]func(*rapid.T){
			"load": d.load, "commit": d.commit, "commit2": d.commit, "faults": d.faults, "snapshot": d.snapshot, "": d.check,
		})
	})
}

func TestLostAnswerIsReadBack(t *testing.T) {
	mem := stand.NewMemory(clock.NewManual(0))
	mem.SetFaults(stand.StoreFaults{LostAnswers: true})
	c, err := Commit(context.Background(), mem, NewState(), set("x", 1))
	if err != nil || c.Revision != 1 {
		t.Fatalf("Commit() = revision %d, %v; the write took effect", c.Revision, err)
	}
	if _, rev, _ := mem.List(context.Background(), LogPrefix, "", 0); rev != 1 {
		t.Errorf("store is at revision %d, want one write", rev)
	}
}

func TestRaceShowsBothVersions(t *testing.T) {
	mem := stand.NewMemory(clock.NewManual(0))
	mine := NewState()
	if _, err := Commit(context.Background(), mem, NewState(), set("x", 1)); err != nil {
		t.Fatal(err)
	}
	_, err := Commit(context.Background(), mem, mine, set("x", 2))
	var race *RaceError
	if !errors.As(err, &race) || string(race.Mine.Items[0].After) != string(teamRecord(2)) ||
		string(race.Theirs.Items[0].After) != string(teamRecord(1)) {
		t.Errorf("Commit() = %v, want both versions", err)
	}
	if _, err := Commit(context.Background(), mem, mine, set("y", 3)); err != nil {
		t.Errorf("a change of another record fails: %v", err)
	}
}

func TestUnavailableStoreIsSaid(t *testing.T) {
	mem := stand.NewMemory(clock.NewManual(0))
	mem.SetFaults(stand.StoreFaults{Outage: true})
	_, err := Commit(context.Background(), mem, NewState(), set("x", 1))
	var away *store.UnavailableError
	if !errors.As(err, &away) {
		t.Errorf("Commit() = %v, want an UnavailableError", err)
	}
}
