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

// teamRecord returns a team record with a field unknown to the program.
func teamRecord(rate int) json.RawMessage {
	return json.RawMessage(fmt.Sprintf(`{"schema":2,"limit":{"rate_per_second":%d,"burst":1000},"weight":1,"later_field":%d}`, rate, rate))
}

// teamChange returns a change that sets the rate of one team.
func teamChange(id string, rate int) record.Change {
	return record.Change{ID: fmt.Sprint("c-", id, "-", rate), Author: "op", Items: []record.Item{
		{Kind: record.KindTeam, ID: id, After: teamRecord(rate)},
	}}
}

// operator holds the configuration that one operator has loaded. It may be out of
// date.
type operator struct {
	state *State
}

// commitModel simulates operators that commit to one store, which has outages and
// loses replies.
type commitModel struct {
	store     *stand.MemoryStore
	operators []*operator
	lastRate  int
	// accepted holds the ids of the changes for which Commit succeeded.
	accepted  map[string]bool
	logLength ident.Revision
	outage    bool
}

func (m *commitModel) load(t *rapid.T) {
	s, err := Load(context.Background(), m.store)
	if err == nil {
		m.operators[rapid.IntRange(0, len(m.operators)-1).Draw(t, "operator")].state = s
	}
}

func (m *commitModel) commit(t *rapid.T) {
	op := m.operators[rapid.IntRange(0, len(m.operators)-1).Draw(t, "operator")]
	m.lastRate++
	c := teamChange(rapid.SampledFrom([]string{"x", "y"}).Draw(t, "team"), m.lastRate)
	written, err := Commit(context.Background(), m.store, op.state, c)
	var race *RaceError
	if err == nil {
		m.accepted[written.ID] = true
	} else if errors.As(err, &race) && !race.Theirs.Overlaps(race.Mine) {
		t.Fatalf("conflict between changes without a common record: %v", err)
	}
}

func (m *commitModel) faults(t *rapid.T) {
	m.outage = rapid.Bool().Draw(t, "outage")
	m.store.SetFaults(stand.StoreFaults{Outage: m.outage, LostAnswers: rapid.Bool().Draw(t, "lost answers")})
}

func (m *commitModel) snapshot(t *rapid.T) {
	s, err := Load(context.Background(), m.store)
	if err != nil {
		t.Skip("store unavailable")
	}
	_ = WriteSnapshot(context.Background(), m.store, s)
}

// check reads the whole log and verifies that revisions have no gaps, that each
// change was made from the record before it, that each accepted change is in the
// log once, and that Load returns the same records as the log.
func (m *commitModel) check(t *rapid.T) {
	if m.outage {
		return
	}
	changes, err := ReadChanges(context.Background(), m.store, 0, 0)
	if err != nil {
		t.Fatal(err)
	}
	want := map[string]json.RawMessage{}
	seen := map[string]int{}
	for i, c := range changes {
		if c.Revision != ident.Revision(i+1) {
			t.Fatalf("log entry %d has revision %d", i+1, c.Revision)
		}
		seen[c.ID]++
		for _, it := range c.Items {
			if string(it.Before) != string(want[it.ID]) {
				t.Fatalf("revision %d has Before %s, the record before it was %s", c.Revision, it.Before, want[it.ID])
			}
			want[it.ID] = it.After
		}
	}
	for id := range m.accepted {
		if seen[id] != 1 {
			t.Fatalf("accepted change %s is in the log %d times, want once", id, seen[id])
		}
	}
	if ident.Revision(len(changes)) < m.logLength {
		t.Fatalf("log shrank from %d to %d entries", m.logLength, len(changes))
	}
	m.logLength = ident.Revision(len(changes))
	s, err := Load(context.Background(), m.store)
	if err != nil {
		t.Fatal(err)
	}
	for id, wantRecord := range want {
		if got, _ := s.Get(record.KindTeam, id); string(got.Record) != string(wantRecord) {
			t.Fatalf("Load() has team %s as %s, want %s as in the log", id, got.Record, wantRecord)
		}
	}
}

// TestConcurrentCommits lets three operators commit, load and write snapshots at
// random while the store has outages and loses replies. An accepted change must
// never be lost or written twice.
func TestConcurrentCommits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &commitModel{store: stand.NewMemoryStore(clock.NewManual(0)), accepted: map[string]bool{}}
		for range 3 {
			m.operators = append(m.operators, &operator{state: NewState()})
		}
		t.Repeat(map[string]func(*rapid.T){
			"load": m.load, "commit": m.commit, "commit2": m.commit, "faults": m.faults, "snapshot": m.snapshot, "": m.check,
		})
	})
}

func TestCommitAfterLostAnswer(t *testing.T) {
	mem := stand.NewMemoryStore(clock.NewManual(0))
	mem.SetFaults(stand.StoreFaults{LostAnswers: true})
	c, err := Commit(context.Background(), mem, NewState(), teamChange("x", 1))
	if err != nil || c.Revision != 1 {
		t.Fatalf("Commit() = revision %d, %v; want revision 1, which was written", c.Revision, err)
	}
	if _, rev, _ := mem.List(context.Background(), LogPrefix, "", 0); rev != 1 {
		t.Errorf("store is at revision %d, want 1 after one write", rev)
	}
}

func TestConflictShowsBothVersions(t *testing.T) {
	mem := stand.NewMemoryStore(clock.NewManual(0))
	mine := NewState()
	if _, err := Commit(context.Background(), mem, NewState(), teamChange("x", 1)); err != nil {
		t.Fatal(err)
	}
	_, err := Commit(context.Background(), mem, mine, teamChange("x", 2))
	var race *RaceError
	if !errors.As(err, &race) || string(race.Mine.Items[0].After) != string(teamRecord(2)) ||
		string(race.Theirs.Items[0].After) != string(teamRecord(1)) {
		t.Errorf("Commit() = %v, want a RaceError with both versions", err)
	}
	if _, err := Commit(context.Background(), mem, mine, teamChange("y", 3)); err != nil {
		t.Errorf("Commit() of another record = %v, want no error", err)
	}
}

func TestCommitReportsUnavailableStore(t *testing.T) {
	mem := stand.NewMemoryStore(clock.NewManual(0))
	mem.SetFaults(stand.StoreFaults{Outage: true})
	_, err := Commit(context.Background(), mem, NewState(), teamChange("x", 1))
	var unavailable *store.UnavailableError
	if !errors.As(err, &unavailable) {
		t.Errorf("Commit() = %v, want an UnavailableError", err)
	}
}
