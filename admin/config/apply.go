package config

import (
	"context"
	"encoding/json"
	"io"
	"os"

	"github.com/go-faster/errors"
	"github.com/spf13/cobra"

	"chestnutlatch/cmdkit"
	"chestnutlatch/record"
)

// ApplyOptions are the dependencies and flags of `config apply`.
type ApplyOptions struct {
	Factory *cmdkit.Factory
	Write   cmdkit.WriteOptions
	File    string
}

// NewCmdApply returns the `config apply` command.
func NewCmdApply(f *cmdkit.Factory, runF func(*ApplyOptions) error) *cobra.Command {
	opts := &ApplyOptions{Factory: f}
	cmd := &cobra.Command{
		Use:   "apply -f FILE",
		Short: "Apply a file of records, all of them or none",
		Long: `Apply a file of records, all of them or none.

The file is a JSON list of {"kind", "id", "record"}. An item with
"remove": true and no record removes it. Use - for standard input.`,
		Example: "  chestnutlatch config apply -f records.json --dry-run",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if opts.File == "" {
				return &cmdkit.FlagError{Flag: "file", Remedy: "name the file of records, or - for standard input"}
			}
			if runF != nil {
				return runF(opts)
			}
			return applyRun(cmd.Context(), opts)
		},
	}
	opts.Write.AddFlags(cmd)
	cmd.Flags().StringVarP(&opts.File, "file", "f", "", "file of records")
	return cmd
}

type applyItem struct {
	Kind   record.Kind     `json:"kind"`
	ID     string          `json:"id"`
	Record json.RawMessage `json:"record"`
	Remove bool            `json:"remove"`
}

func applyRun(ctx context.Context, opts *ApplyOptions) error {
	items, err := readItems(opts)
	if err != nil {
		return err
	}
	e, err := cmdkit.NewEdit(ctx, opts.Factory, opts.Write)
	if err != nil {
		return err
	}
	var faults []error
	for i, it := range items {
		if err := applyOne(e, it); err != nil {
			faults = append(faults, errors.Wrapf(err, "item %d", i+1))
		}
	}
	if len(faults) > 0 {
		return errors.Join(faults...)
	}
	return e.Commit(ctx)
}

func applyOne(e *cmdkit.Edit, it applyItem) error {
	if it.Remove {
		return e.Remove(it.Kind, it.ID)
	}
	return e.PutRaw(it.Kind, it.ID, it.Record)
}

func readItems(opts *ApplyOptions) ([]applyItem, error) {
	var b []byte
	var err error
	if opts.File == "-" {
		b, err = io.ReadAll(opts.Factory.Streams.In)
	} else {
		b, err = os.ReadFile(opts.File)
	}
	if err != nil {
		return nil, errors.Wrap(err, "read records: name a readable file")
	}
	var items []applyItem
	if err := json.Unmarshal(b, &items); err != nil {
		return nil, errors.Wrapf(err, "%s is not a JSON list of records", opts.File)
	}
	return items, nil
}
