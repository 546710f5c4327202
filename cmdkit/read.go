package cmdkit

import (
	"context"

	"github.com/go-faster/errors"
	"github.com/spf13/cobra"

	"chestnutlatch/config"
	"chestnutlatch/record"
)

// ReadOptions are the dependencies and flags of a reading command.
type ReadOptions struct {
	Factory *Factory
	JSON    bool
	Kind    record.Kind
	ID      string
	Head    []string
	// Row writes a record's columns.
	Row func(record.Body) []string
}

// Load reads the configuration from the store.
func Load(ctx context.Context, f *Factory) (*config.State, error) {
	st, err := f.Store()
	if err != nil {
		return nil, err
	}
	ctx, done := context.WithTimeout(ctx, callTimeout)
	defer done()
	return config.Load(ctx, st)
}

// NewListCmd returns the list command of a kind of record.
func NewListCmd(opts *ReadOptions, runF func(*ReadOptions) error) *cobra.Command {
	cmd := &cobra.Command{
		Use:     "list",
		Short:   "List " + opts.Kind.String() + " records",
		Example: "  chestnutlatch " + opts.Kind.String() + " list --json",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if runF != nil {
				return runF(opts)
			}
			return ListRun(cmd.Context(), opts)
		},
	}
	AddJSON(cmd, &opts.JSON)
	return cmd
}

// ListRun lists the records of a kind.
func ListRun(ctx context.Context, opts *ReadOptions) error {
	state, err := Load(ctx, opts.Factory)
	if err != nil {
		return err
	}
	items := state.List(opts.Kind)
	if opts.JSON {
		return opts.Factory.Streams.JSON(items)
	}
	var rows [][]string
	for _, it := range items {
		body, err := record.Decode(it.Kind, it.ID, it.Record)
		if err != nil {
			rows = append(rows, []string{it.ID, "unreadable: " + err.Error()})
			continue
		}
		rows = append(rows, opts.Row(body))
	}
	return opts.Factory.Streams.Table(opts.Head, rows)
}

// NewGetCmd returns the get command of a kind of record.
func NewGetCmd(opts *ReadOptions, runF func(*ReadOptions) error) *cobra.Command {
	cmd := &cobra.Command{
		Use:     "get ID",
		Short:   "Show one " + opts.Kind.String() + " record",
		Example: "  chestnutlatch " + opts.Kind.String() + " get ID --json",
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			opts.ID = args[0]
			if runF != nil {
				return runF(opts)
			}
			return GetRun(cmd.Context(), opts)
		},
	}
	AddJSON(cmd, &opts.JSON)
	return cmd
}

// GetRun shows one record.
func GetRun(ctx context.Context, opts *ReadOptions) error {
	state, err := Load(ctx, opts.Factory)
	if err != nil {
		return err
	}
	it, ok := state.Get(opts.Kind, opts.ID)
	if !ok {
		return errors.Errorf("%s %q does not exist: look at `chestnutlatch %s list`", opts.Kind, opts.ID, opts.Kind)
	}
	if opts.JSON {
		return opts.Factory.Streams.JSON(it)
	}
	body, err := record.Decode(it.Kind, it.ID, it.Record)
	if err != nil {
		return err
	}
	return opts.Factory.Streams.Table(opts.Head, [][]string{opts.Row(body)})
}

// NewRemoveCmd returns a command that removes one record.
func NewRemoveCmd(f *Factory, k record.Kind, verb, short string, runF func(*RemoveOptions) error) *cobra.Command {
	opts := &RemoveOptions{Factory: f, Kind: k}
	cmd := &cobra.Command{
		Use:     verb + " ID",
		Short:   short,
		Example: "  chestnutlatch " + k.String() + " " + verb + " ID",
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			opts.ID = args[0]
			if runF != nil {
				return runF(opts)
			}
			return RemoveRun(cmd.Context(), opts)
		},
	}
	opts.Write.AddFlags(cmd)
	return cmd
}

// RemoveOptions are the dependencies and flags of a removing command.
type RemoveOptions struct {
	Factory *Factory
	Write   WriteOptions
	Kind    record.Kind
	ID      string
}

// RemoveRun removes one record. A team goes only after its keys.
func RemoveRun(ctx context.Context, opts *RemoveOptions) error {
	e, err := NewEdit(ctx, opts.Factory, opts.Write)
	if err != nil {
		return err
	}
	if opts.Kind == record.KindTeam {
		for _, it := range e.State().List(record.KindKey) {
			body, err := record.Decode(it.Kind, it.ID, it.Record)
			if k, ok := body.(record.Key); err == nil && ok && string(k.Team) == opts.ID {
				return errors.Errorf("team %q has key %q: withdraw its keys first", opts.ID, it.ID)
			}
		}
	}
	if err := e.Remove(opts.Kind, opts.ID); err != nil {
		return err
	}
	return e.Commit(ctx)
}
