// Package config reads and writes the configuration log in the store. Each
// accepted change is one key whose name is its revision, written only if that
// key is absent; so revisions are dense, the order is total, and a change and
// its audit entry are one write.
package config

import (
	"context"
	"encoding/json"
	"fmt"
	"sort"

	"github.com/go-faster/errors"

	"chestnutlatch/ident"
	"chestnutlatch/record"
	"chestnutlatch/store"
)

// LogPrefix is the store prefix of the log.
const LogPrefix = "config/log/"

// pageLimit is the number of log entries read in one call.
const pageLimit = 500

// commitTries bounds the positions that one commit tries in a race.
const commitTries = 64

// LogKey returns the store key of a revision.
func LogKey(rev ident.Revision) string {
	return fmt.Sprintf("%s%016x", LogPrefix, uint64(rev))
}

// Item is one record with the revision of its last change.
type Item struct {
	Kind     record.Kind     `json:"kind"`
	ID       string          `json:"id"`
	Record   json.RawMessage `json:"record"`
	Revision ident.Revision  `json:"revision"`
}

type itemKey struct {
	kind record.Kind
	id   string
}

// State is the folded configuration at one revision.
type State struct {
	Revision ident.Revision
	items    map[itemKey]Item
}

// NewState returns the empty configuration.
func NewState() *State {
	return &State{items: map[itemKey]Item{}}
}

// Get returns a record.
func (s *State) Get(k record.Kind, id string) (Item, bool) {
	it, ok := s.items[itemKey{k, id}]
	return it, ok
}

// List returns the records of a kind, sorted by id.
func (s *State) List(k record.Kind) []Item {
	var out []Item
	for key, it := range s.items {
		if key.kind == k {
			out = append(out, it)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	return out
}

// Apply folds the next change into the state.
func (s *State) Apply(c record.Change) error {
	if c.Revision != s.Revision+1 {
		return errors.Errorf("change %d does not follow revision %d: read the log again", c.Revision, s.Revision)
	}
	for _, it := range c.Items {
		key := itemKey{it.Kind, it.ID}
		if len(it.After) == 0 {
			delete(s.items, key)
			continue
		}
		s.items[key] = Item{Kind: it.Kind, ID: it.ID, Record: it.After, Revision: c.Revision}
	}
	s.Revision = c.Revision
	return nil
}

// Load reads the newest snapshot and the log behind it.
func Load(ctx context.Context, st store.Store) (*State, error) {
	s, err := loadSnapshot(ctx, st)
	if err != nil {
		return nil, err
	}
	changes, err := Read(ctx, st, s.Revision, 0)
	if err != nil {
		return nil, err
	}
	for _, c := range changes {
		if err := s.Apply(c); err != nil {
			return nil, err
		}
	}
	return s, nil
}

// Read returns the changes after a revision, at most limit of them; 0 means
// all.
func Read(ctx context.Context, st store.Store, after ident.Revision, limit int) ([]record.Change, error) {
	var out []record.Change
	last := LogKey(after)
	for limit == 0 || len(out) < limit {
		entries, _, err := st.List(ctx, LogPrefix, last, pageLimit)
		if err != nil {
			return nil, err
		}
		for _, e := range entries {
			c, err := record.DecodeChange(e.Value)
			if err != nil {
				return nil, errors.Wrapf(err, "store key %q", e.Key)
			}
			out = append(out, c)
			last = e.Key
		}
		if len(entries) < pageLimit {
			break
		}
	}
	if limit > 0 && len(out) > limit {
		out = out[:limit]
	}
	return out, nil
}

// RaceError reports that another operator changed the same record first.
type RaceError struct {
	Mine   record.Change
	Theirs record.Change
}

// Error shows both versions of each record in common.
func (e *RaceError) Error() string {
	msg := fmt.Sprintf("%s changed the same record first, at revision %d: look at both versions and repeat the command",
		e.Theirs.Who, e.Theirs.Revision)
	for _, mine := range e.Mine.Items {
		for _, theirs := range e.Theirs.Items {
			if mine.Kind == theirs.Kind && mine.ID == theirs.ID {
				msg += fmt.Sprintf("\n  %s %s\n    yours:  %s\n    theirs: %s",
					mine.Kind, mine.ID, shown(mine.After), shown(theirs.After))
			}
		}
	}
	return msg
}

func shown(raw json.RawMessage) string {
	if len(raw) == 0 {
		return "(removed)"
	}
	return string(raw)
}

// Commit appends a change behind the state's revision and folds it in. The
// change's Revision and the items' Before are set here. When another change
// took the position, the commit moves on, unless that change touched the same
// record: then it fails with a RaceError. After a lost answer the position is
// read back before anything is tried again.
func Commit(ctx context.Context, st store.Store, s *State, c record.Change) (record.Change, error) {
	for range commitTries {
		c.Revision = s.Revision + 1
		for i := range c.Items {
			old, _ := s.Get(c.Items[i].Kind, c.Items[i].ID)
			c.Items[i].Before = old.Record
		}
		winner, err := appendChange(ctx, st, c)
		if err != nil {
			return c, err
		}
		if err := s.Apply(winner); err != nil {
			return c, err
		}
		if winner.ID == c.ID {
			return winner, nil
		}
		if winner.Touches(c) {
			return c, &RaceError{Mine: c, Theirs: winner}
		}
	}
	return c, errors.Errorf("log position was lost %d times in a row: repeat the command", commitTries)
}

// appendChange writes the change at its position and returns the change that
// stands there afterwards.
func appendChange(ctx context.Context, st store.Store, c record.Change) (record.Change, error) {
	value, err := record.EncodeChange(c)
	if err != nil {
		return c, err
	}
	if len(value) > store.MaxValueBytes {
		return c, errors.Errorf("change of %d bytes is over the store's limit of %d: split it into smaller ones",
			len(value), store.MaxValueBytes)
	}
	key := LogKey(c.Revision)
	_, err = st.Swap(ctx, key, store.Absent, value, store.NoLease)
	if err == nil {
		return c, nil
	}
	var conflict *store.ConflictError
	if errors.As(err, &conflict) {
		return record.DecodeChange(conflict.Current.Value)
	}
	return readBack(ctx, st, key, c, err)
}

// readBack settles a write whose answer was lost.
func readBack(ctx context.Context, st store.Store, key string, c record.Change, cause error) (record.Change, error) {
	e, err := st.Get(ctx, key)
	if err == nil {
		return record.DecodeChange(e.Value)
	}
	if store.IsNotFound(err) {
		return c, errors.Wrapf(cause, "change %s was not written when looked up; "+
			"it may still arrive, so look at `chestnutlatch audit` before repeating", c.ID)
	}
	return c, errors.Wrapf(cause, "it is not known whether change %s was written; "+
		"look at `chestnutlatch audit` when the store answers again", c.ID)
}
