package cmdkit

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"time"

	"github.com/go-faster/errors"
	"github.com/spf13/cobra"

	"chestnutlatch/clock"
	"chestnutlatch/config"
	"chestnutlatch/daemon"
	"chestnutlatch/ident"
	"chestnutlatch/record"
	"chestnutlatch/store"
)

const (
	// callTimeout limits the reading of the configuration, and separately the
	// writing of a change with its snapshot.
	callTimeout        = 30 * time.Second
	reportPollInterval = 100 * time.Millisecond
	// snapshotInterval is the number of revisions between two snapshots that
	// writing commands make.
	snapshotInterval = 500
	// maxReportAge is the age, in milliseconds, above which a data centre's
	// report is ignored. Without this limit, a data centre that was shut down
	// would make every command wait.
	maxReportAge = clock.Hour
)

// WriteOptions holds the flags of every command that changes records.
type WriteOptions struct {
	DryRun bool
	// Wait limits the wait until the change is in force in every data centre.
	// 0 or less does not wait.
	Wait time.Duration
	// Schema is the schema version to write. 0 keeps the version of the stored
	// record; a new record gets the current version.
	Schema int
}

// AddFlags registers the flags on a command.
func (o *WriteOptions) AddFlags(cmd *cobra.Command) {
	cmd.Flags().BoolVar(&o.DryRun, "dry-run", false, "validate and print the change without writing it")
	cmd.Flags().DurationVar(&o.Wait, "wait", 4*time.Second, "maximum time to wait for the change to be in force in every data centre; 0 does not wait")
	cmd.Flags().IntVar(&o.Schema, "schema", 0, "schema version to write, 1 or 2 (default: the version of the stored record, or 2 for a new record)")
}

// Edit collects the items of one configuration change and writes them together.
// It is not safe for concurrent use.
type Edit struct {
	factory *Factory
	opts    WriteOptions
	store   store.Store
	state   *config.State
	items   []record.Item
}

// NewEdit loads the current configuration and returns an empty change to it. It
// returns a FlagError for an unsupported schema version.
func NewEdit(ctx context.Context, f *Factory, opts WriteOptions) (*Edit, error) {
	if opts.Schema != 0 && opts.Schema != int(record.SchemaFirst) && opts.Schema != int(record.SchemaCurrent) {
		return nil, &FlagError{Flag: "schema", Hint: "unsupported schema version: use 1 or 2"}
	}
	st, err := f.Store()
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	state, err := config.Load(ctx, st)
	if err != nil {
		return nil, err
	}
	return &Edit{factory: f, opts: opts, store: st, state: state}, nil
}

// State returns the loaded configuration. Items added to the change are not
// part of it until Commit.
func (e *Edit) State() *config.State { return e.state }

// Current returns a decoded record of the loaded configuration. The bool reports
// whether the record exists, also when it cannot be decoded.
func (e *Edit) Current(k record.Kind, id string) (record.Body, bool, error) {
	it, ok := e.state.Get(k, id)
	if !ok {
		return nil, false, nil
	}
	body, err := record.Decode(k, id, it.Record)
	return body, true, err
}

// Put validates a record and adds it to the change. Fields of the stored record
// that are unknown to this program are kept.
func (e *Edit) Put(b record.Body) error {
	if err := record.Check(b); err != nil {
		return err
	}
	if err := e.checkConsistency(b); err != nil {
		return err
	}
	k, id := record.KindOf(b), record.IDOf(b)
	old, _ := e.state.Get(k, id)
	raw, err := record.Encode(b, e.schemaFor(old.Record), old.Record)
	if err != nil {
		return err
	}
	e.items = append(e.items, record.Item{Kind: k, ID: id, After: raw})
	return nil
}

// PutRaw validates a record from an operator's JSON and adds it to the change.
// Fields that the JSON omits keep their stored values, unless the stored record
// has a different schema version. A record that would not change is not added.
// The record keeps the schema version in its JSON; WriteOptions.Schema has no
// effect.
func (e *Edit) PutRaw(k record.Kind, id string, raw json.RawMessage) error {
	old, _ := e.state.Get(k, id)
	merged, err := record.MergeFields(mergeBase(old.Record, raw), raw)
	if err != nil {
		return errors.Wrapf(err, "%s %q", k, id)
	}
	b, err := record.Decode(k, id, merged)
	if err != nil {
		return err
	}
	if err := e.checkConsistency(b); err != nil {
		return err
	}
	if string(merged) == string(old.Record) {
		return nil
	}
	e.items = append(e.items, record.Item{Kind: k, ID: id, After: merged})
	return nil
}

// mergeBase returns old if both records have the same schema version, and nil
// otherwise.
func mergeBase(old, fresh json.RawMessage) json.RawMessage {
	if len(old) == 0 {
		return nil
	}
	oldSchema, oldErr := record.SchemaOf(old)
	freshSchema, freshErr := record.SchemaOf(fresh)
	if oldErr != nil || freshErr != nil || oldSchema != freshSchema {
		return nil
	}
	return old
}

// checkConsistency returns an error for a key whose team does not exist, and
// for a route with the same host and prefix as another stored route.
func (e *Edit) checkConsistency(b record.Body) error {
	switch b := b.(type) {
	case record.Key:
		if !e.exists(record.KindTeam, string(b.Team)) {
			return errors.Errorf("team %q does not exist: create it with `chestnutlatch team set %s`", b.Team, b.Team)
		}
	case record.Route:
		for _, it := range e.state.List(record.KindRoute) {
			other, err := record.Decode(record.KindRoute, it.ID, it.Record)
			route, ok := other.(record.Route)
			if err == nil && ok && route.ID != b.ID && route.Host == b.Host && route.Prefix == b.Prefix {
				return errors.Errorf("route %q already has the same host and prefix: change that route or use another prefix", route.ID)
			}
		}
	}
	return nil
}

// exists reports whether a record would exist after the change.
func (e *Edit) exists(k record.Kind, id string) bool {
	for _, it := range e.items {
		if it.Kind == k && it.ID == id {
			return len(it.After) > 0
		}
	}
	_, ok := e.state.Get(k, id)
	return ok
}

// schemaFor returns the schema version in which to write a record: that of the
// --schema flag, that of the stored record, or the current one.
func (e *Edit) schemaFor(old json.RawMessage) record.Schema {
	if e.opts.Schema != 0 {
		return record.Schema(e.opts.Schema)
	}
	if stored, err := record.SchemaOf(old); len(old) > 0 && err == nil {
		return stored
	}
	return record.SchemaCurrent
}

// Remove adds the removal of a record to the change. It fails if the record does
// not exist.
func (e *Edit) Remove(k record.Kind, id string) error {
	if !e.exists(k, id) {
		return errors.Errorf("%s %q does not exist: run the list command to see the existing ids", k, id)
	}
	e.items = append(e.items, record.Item{Kind: k, ID: id})
	return nil
}

// Commit writes the change and, if WriteOptions.Wait is above 0, waits until it is
// in force in every data centre. A dry run only prints the change. Commit returns a
// *NotInForceError if the wait ends first, and a *config.RaceError if another
// operator changed the same record.
func (e *Edit) Commit(ctx context.Context) error {
	if len(e.items) == 0 {
		e.factory.Streams.Printf("no changes")
		return nil
	}
	if e.opts.DryRun {
		return e.printDryRun()
	}
	change := record.Change{ID: newChangeID(), Author: e.factory.Operator(), At: e.factory.Clock.Wall(), Items: e.items}
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	written, err := config.Commit(callCtx, e.store, e.state, change)
	if err != nil {
		return err
	}
	e.factory.Streams.Printf("wrote revision %d", written.Revision)
	e.snapshotIfDue(callCtx)
	if e.opts.Wait <= 0 {
		return nil
	}
	return e.waitInForce(ctx, written.Revision)
}

// snapshotIfDue writes a snapshot at every revision that is a multiple of
// snapshotInterval. A failure is only printed, because the change is already in
// the log.
func (e *Edit) snapshotIfDue(ctx context.Context) {
	if uint64(e.state.Revision)%snapshotInterval != 0 {
		return
	}
	if err := config.WriteSnapshot(ctx, e.store, e.state); err != nil {
		e.factory.Streams.Printf("cannot write snapshot (%v): run `chestnutlatch config snapshot` later", err)
	}
}

// printDryRun prints the records before and after the change as JSON.
func (e *Edit) printDryRun() error {
	for _, it := range e.items {
		old, _ := e.state.Get(it.Kind, it.ID)
		if err := e.factory.Streams.JSON(struct {
			Kind   record.Kind     `json:"kind"`
			ID     string          `json:"id"`
			Before json.RawMessage `json:"before,omitempty"`
			After  json.RawMessage `json:"after,omitempty"`
		}{it.Kind, it.ID, old.Record, it.After}); err != nil {
			return err
		}
	}
	e.factory.Streams.Printf("dry run: no changes were written")
	return nil
}

// waitInForce polls the data centres' reports until the revision is in force in
// all of them or the --wait time is over. It returns nil if the store has no
// report, because then no data centre is behind.
func (e *Edit) waitInForce(ctx context.Context, rev ident.Revision) error {
	ctx, cancel := context.WithTimeout(ctx, e.opts.Wait)
	defer cancel()
	behind := []string{"(reports could not be read)"}
	for {
		if reports, err := daemon.ReadReports(ctx, e.store); err == nil {
			behind = DataCentresBehind(reports, rev, e.factory.Clock.Wall())
		}
		if len(behind) == 0 {
			e.factory.Streams.Printf("revision %d is in force in every data centre", rev)
			return nil
		}
		select {
		case <-ctx.Done():
			return &NotInForceError{Revision: uint64(rev), DataCentres: behind}
		case <-time.After(reportPollInterval):
		}
	}
}

// DataCentresBehind returns the data centres whose report shows a lower revision
// in force or counts silent members. wall is the current wall-clock time; reports
// older than one hour are ignored. A data centre without a report is not returned.
// The result is nil if no data centre is behind.
func DataCentresBehind(reports []daemon.Report, rev ident.Revision, wall clock.Millis) []string {
	var out []string
	for _, r := range reports {
		if wall-r.At <= maxReportAge && (r.InForce < rev || r.Silent > 0) {
			out = append(out, string(r.DataCentre))
		}
	}
	return out
}

// newChangeID returns 24 random hexadecimal digits.
func newChangeID() string {
	var b [12]byte
	// crypto/rand.Read returns no error on the supported systems.
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}
