package cmdkit

import (
	"context"

	"github.com/go-faster/errors"
	"github.com/spf13/cobra"

	"chestnutlatch/config"
	"chestnutlatch/record"
)

// ReadOptions holds the dependencies and flags of a list or get command.
type ReadOptions struct {
	Factory *Factory
	JSON    bool
	Kind    record.Kind
	// ID is the record to show; list leaves it empty.
	ID string
	// Header holds the column names of the table.
	Header []string
	// Row returns a record's columns, in the order of Header.
	Row func(record.Body) []string
}

// LoadConfig connects to the store and reads the current configuration. The
// reading takes at most 30 seconds.
func LoadConfig(ctx context.Context, f *Factory) (*config.State, error) {
	st, err := f.Store()
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return config.Load(ctx, st)
}

// nounOf returns the command of the records of kind k.
func nounOf(k record.Kind) string {
	if k == record.KindDataCentre {
		return "centre"
	}
	return k.String()
}

// NewListCmd returns the list command for opts.Kind. If runF is not nil, it is
// called with the parsed options instead of calling ListRun.
func NewListCmd(opts *ReadOptions, runF func(*ReadOptions) error) *cobra.Command {
	cmd := &cobra.Command{
		Use:     "list",
		Short:   "List " + opts.Kind.String() + " records",
		Example: "  chestnutlatch " + nounOf(opts.Kind) + " list --json",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if runF != nil {
				return runF(opts)
			}
			return ListRun(cmd.Context(), opts)
		},
	}
	AddJSONFlag(cmd, &opts.JSON)
	return cmd
}

// ListRun prints all records of opts.Kind. In a table, a record that cannot be
// decoded is shown with its error; JSON output contains it as stored.
func ListRun(ctx context.Context, opts *ReadOptions) error {
	state, err := LoadConfig(ctx, opts.Factory)
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
	return opts.Factory.Streams.Table(opts.Header, rows)
}

// NewGetCmd returns the get command for opts.Kind. If runF is not nil, it is
// called with the parsed options instead of calling GetRun.
func NewGetCmd(opts *ReadOptions, runF func(*ReadOptions) error) *cobra.Command {
	cmd := &cobra.Command{
		Use:     "get ID",
		Short:   "Show one " + opts.Kind.String() + " record",
		Example: "  chestnutlatch " + nounOf(opts.Kind) + " get ID --json",
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			opts.ID = args[0]
			if runF != nil {
				return runF(opts)
			}
			return GetRun(cmd.Context(), opts)
		},
	}
	AddJSONFlag(cmd, &opts.JSON)
	return cmd
}

// GetRun prints the record opts.ID. It fails if the record does not exist.
func GetRun(ctx context.Context, opts *ReadOptions) error {
	state, err := LoadConfig(ctx, opts.Factory)
	if err != nil {
		return err
	}
	it, ok := state.Get(opts.Kind, opts.ID)
	if !ok {
		return errors.Errorf("%s %q does not exist: run `chestnutlatch %s list` to see the existing ids", opts.Kind, opts.ID, nounOf(opts.Kind))
	}
	if opts.JSON {
		return opts.Factory.Streams.JSON(it)
	}
	body, err := record.Decode(it.Kind, it.ID, it.Record)
	if err != nil {
		return err
	}
	return opts.Factory.Streams.Table(opts.Header, [][]string{opts.Row(body)})
}

// NewRemoveCmd returns a command, named verb, that removes one record of kind
// k. If runF is not nil, it is called with the parsed options instead of
// calling RemoveRun.
func NewRemoveCmd(f *Factory, k record.Kind, verb, short string, runF func(*RemoveOptions) error) *cobra.Command {
	opts := &RemoveOptions{Factory: f, Kind: k}
	cmd := &cobra.Command{
		Use:     verb + " ID",
		Short:   short,
		Example: "  chestnutlatch " + nounOf(k) + " " + verb + " ID",
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

// RemoveOptions holds the dependencies and flags of a command that removes a
// record.
type RemoveOptions struct {
	Factory *Factory
	Write   WriteOptions
	Kind    record.Kind
	ID      string
}

// RemoveRun removes one record. It refuses to remove a team that still has
// keys.
func RemoveRun(ctx context.Context, opts *RemoveOptions) error {
	edit, err := NewEdit(ctx, opts.Factory, opts.Write)
	if err != nil {
		return err
	}
	if opts.Kind == record.KindTeam {
		for _, it := range edit.State().List(record.KindKey) {
			body, err := record.Decode(it.Kind, it.ID, it.Record)
			if k, ok := body.(record.Key); err == nil && ok && string(k.Team) == opts.ID {
				return errors.Errorf("team %q still has key %q: withdraw its keys first", opts.ID, it.ID)
			}
		}
	}
	if err := edit.Remove(opts.Kind, opts.ID); err != nil {
		return err
	}
	return edit.Commit(ctx)
}
