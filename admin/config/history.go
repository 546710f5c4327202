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

// HistoryOptions holds the dependencies and flags of `config history`.
type HistoryOptions struct {
	Factory *cmdkit.Factory
	JSON    bool
	// After is the revision after which the list starts.
	After uint64
	// Limit is the maximum number of changes to list; 0 lists all.
	Limit int
}

// NewCmdHistory returns the `config history` command. If runF is not nil, it is
// called with the parsed options instead of calling HistoryRun.
func NewCmdHistory(f *cmdkit.Factory, runF func(*HistoryOptions) error) *cobra.Command {
	opts := &HistoryOptions{Factory: f}
	cmd := &cobra.Command{
		Use:     "history",
		Short:   "List the configuration changes",
		Example: "  chestnutlatch config history --after 100 --limit 20",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if runF != nil {
				return runF(opts)
			}
			return HistoryRun(cmd.Context(), opts)
		},
	}
	cmdkit.AddJSONFlag(cmd, &opts.JSON)
	cmd.Flags().Uint64Var(&opts.After, "after", 0, "list only changes after this revision")
	cmd.Flags().IntVar(&opts.Limit, "limit", 0, "maximum number of changes to list; 0 lists all")
	return cmd
}

// HistoryRun prints the changes in the configuration log, oldest first.
func HistoryRun(ctx context.Context, opts *HistoryOptions) error {
	st, err := opts.Factory.Store()
	if err != nil {
		return err
	}
	changes, err := config.ReadChanges(ctx, st, ident.Revision(opts.After), opts.Limit)
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
			action := "set"
			if len(it.After) == 0 {
				action = "removed"
			}
			rows = append(rows, []string{fmt.Sprint(uint64(c.Revision)), at, c.Author, action, it.Kind.String(), it.ID})
		}
	}
	return opts.Factory.Streams.Table([]string{"revision", "at", "who", "what", "kind", "id"}, rows)
}
