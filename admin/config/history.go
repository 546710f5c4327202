package config

import (
	"context"
	"fmt"
	"time"

	"github.com/spf13/cobra"

	"chestnutlatch/cmdkit"
	"chestnutlatch/config"
	"chestnutlatch/ident"
)

// HistoryOptions are the dependencies and flags of `config history`.
type HistoryOptions struct {
	Factory *cmdkit.Factory
	JSON    bool
	After   uint64
	Limit   int
}

// NewCmdHistory returns the `config history` command.
func NewCmdHistory(f *cmdkit.Factory, runF func(*HistoryOptions) error) *cobra.Command {
	opts := &HistoryOptions{Factory: f}
	cmd := &cobra.Command{
		Use:     "history",
		Short:   "List the accepted changes",
		Example: "  chestnutlatch config history --after 100 --limit 20",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if runF != nil {
				return runF(opts)
			}
			return HistoryRun(cmd.Context(), opts)
		},
	}
	cmdkit.AddJSON(cmd, &opts.JSON)
	cmd.Flags().Uint64Var(&opts.After, "after", 0, "revision after which to start")
	cmd.Flags().IntVar(&opts.Limit, "limit", 0, "most changes to list; 0 lists all")
	return cmd
}

// HistoryRun lists the accepted changes.
func HistoryRun(ctx context.Context, opts *HistoryOptions) error {
	st, err := opts.Factory.Store()
	if err != nil {
		return err
	}
	changes, err := config.Read(ctx, st, ident.Revision(opts.After), opts.Limit)
	if err != nil {
		return err
	}
	if opts.JSON {
		return opts.Factory.Streams.JSON(changes)
	}
	var rows [][]string
	for _, c := range changes {
		at := time.UnixMilli(int64(c.At)).UTC().Format(time.RFC3339)
		for _, it := range c.Items {
			what := "set"
			if len(it.After) == 0 {
				what = "removed"
			}
			rows = append(rows, []string{fmt.Sprint(uint64(c.Revision)), at, c.Who, what, it.Kind.String(), it.ID})
		}
	}
	return opts.Factory.Streams.Table([]string{"revision", "at", "who", "what", "kind", "id"}, rows)
}
