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

// ApplyOptions holds the dependencies and flags of `config apply`.
type ApplyOptions struct {
	Factory *cmdkit.Factory
	Write   cmdkit.WriteOptions
	// File is the path of the file of records; "-" reads standard input.
	File string
}

// NewCmdApply returns the `config apply` command. If runF is not nil, it is
// called with the parsed options instead of running the command.
func NewCmdApply(f *cmdkit.Factory, runF func(*ApplyOptions) error) *cobra.Command {
	opts := &ApplyOptions{Factory: f}
	cmd := &cobra.Command{
		Use:   "apply -f FILE",
		Short: "Apply a file of records in one change",
		Long: `Apply a file of records in one change: either all of them or none.

The file is a JSON list of objects with the fields "kind", "id" and "record".
An object with "remove": true instead of "record" removes that record. Use -
to read standard input.`,
		Example: "  chestnutlatch config apply -f records.json --dry-run",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if opts.File == "" {
				return &cmdkit.FlagError{Flag: "file", Hint: "no file given: pass the path of a file of records, or - for standard input"}
			}
			if runF != nil {
				return runF(opts)
			}
			return applyRun(cmd.Context(), opts)
		},
	}
	opts.Write.AddFlags(cmd)
	cmd.Flags().StringVarP(&opts.File, "file", "f", "", "file of records, or - for standard input")
	return cmd
}

// fileItem is one record in the file that `config apply` reads and `config
// export` writes.
type fileItem struct {
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
	edit, err := cmdkit.NewEdit(ctx, opts.Factory, opts.Write)
	if err != nil {
		return err
	}
	var itemErrs []error
	for i, it := range items {
		if err := addItem(edit, it); err != nil {
			itemErrs = append(itemErrs, errors.Wrapf(err, "item %d", i+1))
		}
	}
	if len(itemErrs) > 0 {
		return errors.Join(itemErrs...)
	}
	return edit.Commit(ctx)
}

func addItem(edit *cmdkit.Edit, it fileItem) error {
	if it.Remove {
		return edit.Remove(it.Kind, it.ID)
	}
	return edit.PutRaw(it.Kind, it.ID, it.Record)
}

func readItems(opts *ApplyOptions) ([]fileItem, error) {
	var content []byte
	var err error
	if opts.File == "-" {
		content, err = io.ReadAll(opts.Factory.Streams.In)
	} else {
		content, err = os.ReadFile(opts.File)
	}
	if err != nil {
		return nil, errors.Wrap(err, "cannot read the records: check that the file exists and is readable")
	}
	var items []fileItem
	if err := json.Unmarshal(content, &items); err != nil {
		return nil, errors.Wrapf(err, "%s is not a JSON list of records", opts.File)
	}
	return items, nil
}
