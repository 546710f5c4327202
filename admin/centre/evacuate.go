package centre

import (
	"context"

	"github.com/spf13/cobra"

	"chestnutlatch/cmdkit"
	"chestnutlatch/ident"
	"chestnutlatch/record"
)

// EvacuateOptions holds the dependencies and flags of `centre evacuate` and `centre
// restore`.
type EvacuateOptions struct {
	Factory *cmdkit.Factory
	Write   cmdkit.WriteOptions
	Name    string
	// Evacuate is true for `centre evacuate` and false for `centre restore`.
	Evacuate bool
}

// NewCmdEvacuate returns the `centre evacuate` command. If runF is not nil, it is called
// with the parsed options instead of running the command.
func NewCmdEvacuate(f *cmdkit.Factory, runF func(*EvacuateOptions) error) *cobra.Command {
	return newSetEvacuatedCmd(&EvacuateOptions{Factory: f, Evacuate: true}, "evacuate", "Stop sending new requests to the targets of a data centre", runF)
}

func newSetEvacuatedCmd(opts *EvacuateOptions, verb, short string, runF func(*EvacuateOptions) error) *cobra.Command {
	cmd := &cobra.Command{
		Use:     verb + " NAME",
		Short:   short,
		Example: "  chestnutlatch centre " + verb + " north-1",
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			opts.Name = args[0]
			if runF != nil {
				return runF(opts)
			}
			return evacuateRun(cmd.Context(), opts)
		},
	}
	opts.Write.AddFlags(cmd)
	return cmd
}

func evacuateRun(ctx context.Context, opts *EvacuateOptions) error {
	edit, err := cmdkit.NewEdit(ctx, opts.Factory, opts.Write)
	if err != nil {
		return err
	}
	if err := edit.Put(record.DataCentre{ID: ident.DataCentre(opts.Name), Evacuated: opts.Evacuate}); err != nil {
		return err
	}
	return edit.Commit(ctx)
}
