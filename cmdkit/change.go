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
	callTimeout = 30 * time.Second
	pollEvery   = 100 * time.Millisecond
	// snapshotEvery is the number of log entries after which a writing
	// command folds the log into a snapshot.
	snapshotEvery = 500
	// staleReport is the age at which a data centre's report no longer
	// counts, in milliseconds: a data centre that is gone must not hold up
	// every command for ever.
	staleReport = clock.Hour
)

// WriteOptions are the flags of every writing command.
type WriteOptions struct {
	DryRun bool
	Wait   time.Duration
	Schema int
}

// AddFlags adds the flags to a command.
func (o *WriteOptions) AddFlags(cmd *cobra.Command) {
	cmd.Flags().BoolVar(&o.DryRun, "dry-run", false, "check and show the change without writing it")
	cmd.Flags().DurationVar(&o.Wait, "wait", 4*time.Second, "how long to wait until the change is in force everywhere; 0 does not wait")
	cmd.Flags().IntVar(&o.Schema, "schema", 0, "schema version to write, 1 or 2 (default: that of the stored record, else 2)")
}

// Edit is a change under way: the loaded configuration and the items so far.
type Edit struct {
	f     *Factory
	opts  WriteOptions
	st    store.Store
	state *config.State
	items []record.Item
}

// NewEdit loads the configuration.
func NewEdit(ctx context.Context, f *Factory, opts WriteOptions) (*Edit, error) {
	if opts.Schema != 0 && opts.Schema != int(record.SchemaFirst) && opts.Schema != int(record.SchemaCurrent) {
		return nil, &FlagError{Flag: "schema", Remedy: "use 1 or 2"}
	}
	st, err := f.Store()
	if err != nil {
		return nil, err
	}
	ctx, done := context.WithTimeout(ctx, callTimeout)
	defer done()
	state, err := config.Load(ctx, st)
	if err != nil {
		return nil, err
	}
	return &Edit{f: f, opts: opts, st: st, state: state}, nil
}

// State returns the loaded configuration.
func (e *Edit) State() *config.State { return e.state }

// Current returns the typed form of a stored record, if there is one.
func (e *Edit) Current(k record.Kind, id string) (record.Body, bool, error) {
	it, ok := e.state.Get(k, id)
	if !ok {
		return nil, false, nil
	}
	b, err := record.Decode(k, id, it.Record)
	return b, true, err
}

// Put adds a checked record to the change. Fields of the stored record that
// this program does not know stay.
func (e *Edit) Put(b record.Body) error {
	if err := record.Check(b); err != nil {
		return err
	}
	if err := e.checkLinks(b); err != nil {
		return err
	}
	k, id := record.KindOf(b), record.IDOf(b)
	old, _ := e.state.Get(k, id)
	raw, err := record.Encode(b, e.schema(old.Record), old.Record)
	if err != nil {
		return err
	}
	e.items = append(e.items, record.Item{Kind: k, ID: id, After: raw})
	return nil
}

// PutRaw adds a record as written by an operator. Fields it leaves out stay
// as stored, unless it is in another schema version.
func (e *Edit) PutRaw(k record.Kind, id string, raw json.RawMessage) error {
	old, _ := e.state.Get(k, id)
	merged, err := record.Merge(sameSchema(old.Record, raw), raw)
	if err != nil {
		return errors.Wrapf(err, "%s %q", k, id)
	}
	b, err := record.Decode(k, id, merged)
	if err != nil {
		return err
	}
	if err := e.checkLinks(b); err != nil {
		return err
	}
	if string(merged) == string(old.Record) {
		return nil
	}
	e.items = append(e.items, record.Item{Kind: k, ID: id, After: merged})
	return nil
}

func sameSchema(old, fresh json.RawMessage) json.RawMessage {
	if len(old) == 0 {
		return nil
	}
	a, err1 := record.SchemaOf(old)
	b, err2 := record.SchemaOf(fresh)
	if err1 != nil || err2 != nil || a != b {
		return nil
	}
	return old
}

// checkLinks refuses a key without its team and two routes for one match.
func (e *Edit) checkLinks(b record.Body) error {
	switch b := b.(type) {
	case record.Key:
		if !e.has(record.KindTeam, string(b.Team)) {
			return errors.Errorf("team %q does not exist: create it with `chestnutlatch team set %s`", b.Team, b.Team)
		}
	case record.Route:
		for _, it := range e.state.List(record.KindRoute) {
			other, err := record.Decode(record.KindRoute, it.ID, it.Record)
			o, ok := other.(record.Route)
			if err == nil && ok && o.ID != b.ID && o.Host == b.Host && o.Prefix == b.Prefix {
				return errors.Errorf("route %q has the same host and prefix: change that route, or choose another prefix", o.ID)
			}
		}
	}
	return nil
}

func (e *Edit) has(k record.Kind, id string) bool {
	for _, it := range e.items {
		if it.Kind == k && it.ID == id {
			return len(it.After) > 0
		}
	}
	_, ok := e.state.Get(k, id)
	return ok
}

func (e *Edit) schema(old json.RawMessage) record.Schema {
	if e.opts.Schema != 0 {
		return record.Schema(e.opts.Schema)
	}
	if s, err := record.SchemaOf(old); len(old) > 0 && err == nil {
		return s
	}
	return record.SchemaCurrent
}

// Remove adds the removal of a record to the change.
func (e *Edit) Remove(k record.Kind, id string) error {
	if !e.has(k, id) {
		return errors.Errorf("%s %q does not exist: look at the list command", k, id)
	}
	e.items = append(e.items, record.Item{Kind: k, ID: id})
	return nil
}

// Commit writes the change and waits until it is in force everywhere.
func (e *Edit) Commit(ctx context.Context) error {
	if len(e.items) == 0 {
		e.f.Streams.Printf("nothing to change")
		return nil
	}
	if e.opts.DryRun {
		return e.show()
	}
	change := record.Change{ID: newChangeID(), Who: e.f.Who(), At: e.f.Clock.Wall(), Items: e.items}
	call, done := context.WithTimeout(ctx, callTimeout)
	defer done()
	written, err := config.Commit(call, e.st, e.state, change)
	if err != nil {
		return err
	}
	e.f.Streams.Printf("revision %d is written", written.Revision)
	e.fold(call)
	if e.opts.Wait <= 0 {
		return nil
	}
	return e.await(ctx, written.Revision)
}

// fold writes a snapshot now and then. The change stands without it.
func (e *Edit) fold(ctx context.Context) {
	if uint64(e.state.Revision)%snapshotEvery != 0 {
		return
	}
	if err := config.WriteSnapshot(ctx, e.st, e.state); err != nil {
		e.f.Streams.Printf("snapshot was not written (%v): run `chestnutlatch config snapshot` later", err)
	}
}

func (e *Edit) show() error {
	for _, it := range e.items {
		old, _ := e.state.Get(it.Kind, it.ID)
		if err := e.f.Streams.JSON(struct {
			Kind   record.Kind     `json:"kind"`
			ID     string          `json:"id"`
			Before json.RawMessage `json:"before,omitempty"`
			After  json.RawMessage `json:"after,omitempty"`
		}{it.Kind, it.ID, old.Record, it.After}); err != nil {
			return err
		}
	}
	e.f.Streams.Printf("dry run: nothing was written")
	return nil
}

// await polls the data centres' reports until the revision is in force in all
// of them.
func (e *Edit) await(ctx context.Context, rev ident.Revision) error {
	ctx, done := context.WithTimeout(ctx, e.opts.Wait)
	defer done()
	missing := []string{"(no report read)"}
	for {
		if reports, err := daemon.ReadReports(ctx, e.st); err == nil {
			missing = Behind(reports, rev, e.f.Clock.Wall())
		}
		if len(missing) == 0 {
			e.f.Streams.Printf("revision %d is accepted: in force in every data centre", rev)
			return nil
		}
		select {
		case <-ctx.Done():
			return &NotYetError{Revision: uint64(rev), Missing: missing}
		case <-time.After(pollEvery):
		}
	}
}

// Behind names the data centres that have not reported a revision in force.
// Reports older than an hour do not count.
func Behind(reports []daemon.Report, rev ident.Revision, wall clock.Millis) []string {
	var out []string
	for _, r := range reports {
		if wall-r.At <= staleReport && (r.InForce < rev || r.Silent > 0) {
			out = append(out, string(r.DataCentre))
		}
	}
	return out
}

func newChangeID() string {
	var b [12]byte
	// Read never fails on the supported systems.
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}
