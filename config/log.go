// Package config reads and writes the configuration log and its snapshots in the
// store. Each accepted change is stored under a key that contains its revision
// and is written only if that key does not exist. Revisions therefore have no
// gaps, changes have a total order, and a change and its audit entry are written
// together. Operators' commands commit changes; daemons and commands load them.
// The package also defines the configuration document, which the operators of a
// platform store as one value instead of a log.
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

// LogPrefix is the prefix of the store keys of the log.
const LogPrefix = "config/log/"

// logPageSize is the number of log entries to read in one store call.
const logPageSize = 500

// maxCommitAttempts limits the log positions that one commit tries while other
// operators commit at the same time.
const maxCommitAttempts = 64

// LogKey returns the store key of the change with the given revision.
func LogKey(rev ident.Revision) string {
	return fmt.Sprintf("%s%016x", LogPrefix, uint64(rev))
}

// Item is a stored record and the revision of its last change.
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

// State is the configuration at one revision: the result of applying all changes
// up to that revision. It is not safe for concurrent use.
type State struct {
	// Revision is that of the last change applied, 0 if there is none.
	Revision ident.Revision
	items    map[itemKey]Item
}

// NewState returns the empty configuration.
func NewState() *State {
	return &State{items: map[itemKey]Item{}}
}

// Get returns a record and whether it exists.
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

// Apply applies the next change. It fails if the change is not the one after the
// state's revision.
func (s *State) Apply(c record.Change) error {
	if c.Revision != s.Revision+1 {
		return errors.Errorf("change %d does not follow revision %d: load the configuration again", c.Revision, s.Revision)
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

// Load reads the newest snapshot and applies the log entries after it.
func Load(ctx context.Context, st store.Store) (*State, error) {
	s, err := loadSnapshot(ctx, st)
	if err != nil {
		return nil, err
	}
	changes, err := ReadChanges(ctx, st, s.Revision, 0)
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

// ReadChanges returns the changes after a revision in order, at most limit of
// them; a limit of 0 means all.
func ReadChanges(ctx context.Context, st store.Store, after ident.Revision, limit int) ([]record.Change, error) {
	var out []record.Change
	last := LogKey(after)
	for limit == 0 || len(out) < limit {
		entries, _, err := st.List(ctx, LogPrefix, last, logPageSize)
		if err != nil {
			return nil, err
		}
		for _, e := range entries {
			c, err := record.DecodeChange(e.Value)
			if err != nil {
				return nil, errors.Wrapf(err, "read log entry at store key %q", e.Key)
			}
			out = append(out, c)
			last = e.Key
		}
		if len(entries) < logPageSize {
			break
		}
	}
	if limit > 0 && len(out) > limit {
		out = out[:limit]
	}
	return out, nil
}

// RaceError reports that another operator's change of the same record was
// committed first.
type RaceError struct {
	// Mine is the change that was not committed.
	Mine record.Change
	// Theirs is the change that was committed first.
	Theirs record.Change
}

// Error shows both versions of each record that both changes contain.
func (e *RaceError) Error() string {
	msg := fmt.Sprintf("%s changed the same record first, at revision %d: compare both versions and repeat the command",
		e.Theirs.Author, e.Theirs.Revision)
	for _, mine := range e.Mine.Items {
		for _, theirs := range e.Theirs.Items {
			if mine.Kind == theirs.Kind && mine.ID == theirs.ID {
				msg += fmt.Sprintf("\n  %s %s\n    yours:  %s\n    theirs: %s",
					mine.Kind, mine.ID, formatRecord(mine.After), formatRecord(theirs.After))
			}
		}
	}
	return msg
}

// formatRecord returns the JSON of a record, or a note that it is removed.
func formatRecord(raw json.RawMessage) string {
	if len(raw) == 0 {
		return "(removed)"
	}
	return string(raw)
}

// Commit appends a change to the log after the state's revision, applies it to
// the state and returns it with its Revision and the Before of its items set. If
// another change already has that log position, Commit applies that change and
// tries the next position, but returns a *RaceError if both changes have a record
// in common. If the reply to a write is lost, Commit reads the position back
// before it continues. If the outcome stays unknown, the error wraps the
// store's error.
func Commit(ctx context.Context, st store.Store, s *State, c record.Change) (record.Change, error) {
	for range maxCommitAttempts {
		c.Revision = s.Revision + 1
		for i := range c.Items {
			current, _ := s.Get(c.Items[i].Kind, c.Items[i].ID)
			c.Items[i].Before = current.Record
		}
		stored, err := appendChange(ctx, st, c)
		if err != nil {
			return c, err
		}
		if err := s.Apply(stored); err != nil {
			return c, err
		}
		if stored.ID == c.ID {
			return stored, nil
		}
		if stored.Overlaps(c) {
			return c, &RaceError{Mine: c, Theirs: stored}
		}
	}
	return c, errors.Errorf("other changes took the next log position %d times in a row: repeat the command", maxCommitAttempts)
}

// appendChange writes the change to its log position unless the position is
// taken. It returns the change that is stored there afterwards.
func appendChange(ctx context.Context, st store.Store, c record.Change) (record.Change, error) {
	value, err := record.EncodeChange(c)
	if err != nil {
		return c, err
	}
	if len(value) > store.MaxValueBytes {
		return c, errors.Errorf("change has %d bytes, the store accepts at most %d: split it into smaller changes",
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
	return resolveUnknownWrite(ctx, st, key, c, err)
}

// resolveUnknownWrite reads a log position after a write with an unknown outcome
// and returns the change that is stored there. If the position is empty or cannot
// be read, it returns an error that wraps the cause of the failed write.
func resolveUnknownWrite(ctx context.Context, st store.Store, key string, c record.Change, cause error) (record.Change, error) {
	e, err := st.Get(ctx, key)
	if err == nil {
		return record.DecodeChange(e.Value)
	}
	if store.IsNotFound(err) {
		return c, errors.Wrapf(cause, "change %s is not in the log, but the store may still write it; "+
			"check `chestnutlatch audit` before you repeat the command", c.ID)
	}
	return c, errors.Wrapf(cause, "it is not known whether change %s was written; "+
		"check `chestnutlatch audit` when the store is available again", c.ID)
}
