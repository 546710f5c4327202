// Package audit implements the `audit` command, which prints the configuration
// changes with the operator who made each and the records before and after.
package audit

import (
	"context"
	"fmt"
	"time"

	"github.com/go-faster/errors"
	"github.com/spf13/cobra"

	"chestnutlatch/cmdkit"
	"chestnutlatch/config"
	"chestnutlatch/record"
)

// Options holds the dependencies and flags of `audit`. An empty filter matches
// everything.
type Options struct {
	Factory *cmdkit.Factory
	JSON    bool
	Kind    string
	ID      string
	// Who is the operator as recorded, such as user@host.
	Who string
}

// NewCmdAudit returns the `audit` command. If runF is not nil, it is called
// with the parsed options instead of running the command.
func NewCmdAudit(f *cmdkit.Factory, runF func(*Options) error) *cobra.Command {
	opts := &Options{Factory: f}
	cmd := &cobra.Command{
		Use:   "audit",
		Short: "Show who changed which records, with the content before and after",
		Example: `  chestnutlatch audit --kind key
  chestnutlatch audit --kind team --id fundi --json`,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if runF != nil {
				return runF(opts)
			}
			return auditRun(cmd.Context(), opts)
		},
	}
	cmdkit.AddJSONFlag(cmd, &opts.JSON)
	flags := cmd.Flags()
	flags.StringVar(&opts.Kind, "kind", "", "show only records of this kind")
	flags.StringVar(&opts.ID, "id", "", "show only the record with this id")
	flags.StringVar(&opts.Who, "who", "", "show only changes by this operator")
	return cmd
}

func auditRun(ctx context.Context, opts *Options) error {
	if _, err := record.KindString(opts.Kind); opts.Kind != "" && err != nil {
		return &cmdkit.FlagError{Flag: "kind", Hint: "unknown kind: use team, key, route, target, service or data_centre"}
	}
	st, err := opts.Factory.Store()
	if err != nil {
		return err
	}
	changes, err := config.ReadChanges(ctx, st, 0, 0)
	if err != nil {
		return errors.Wrap(err, "cannot read the audit trail")
	}
	changes = opts.filter(changes)
	if opts.JSON {
		return opts.Factory.Streams.JSON(changes)
	}
	for _, c := range changes {
		at := time.UnixMilli(int64(c.At)).UTC().Format(time.RFC3339)
		fmt.Fprintf(opts.Factory.Streams.Out, "revision %d  %s  %s  change %s\n", c.Revision, at, c.Author, c.ID)
		for _, it := range c.Items {
			fmt.Fprintf(opts.Factory.Streams.Out, "  %s %s\n    before: %s\n    after:  %s\n", it.Kind, it.ID, it.Before, it.After)
		}
	}
	return nil
}

// filter returns the changes that match the flags, each with only its matching
// items. The result is never nil, so that JSON output is a list.
func (o *Options) filter(changes []record.Change) []record.Change {
	out := []record.Change{}
	for _, c := range changes {
		if o.Who != "" && c.Author != o.Who {
			continue
		}
		var items []record.Item
		for _, it := range c.Items {
			if (o.Kind == "" || it.Kind.String() == o.Kind) && (o.ID == "" || it.ID == o.ID) {
				items = append(items, it)
			}
		}
		if len(items) > 0 {
			c.Items = items
			out = append(out, c)
		}
	}
	return out
}
