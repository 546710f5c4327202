package config

import (
	"github.com/spf13/cobra"

	"chestnutlatch/cmdkit"
	"chestnutlatch/setup"
)

// CheckOptions are the dependencies and flags of `config check`.
type CheckOptions struct {
	Factory *cmdkit.Factory
	File    string
}

// NewCmdCheck returns the `config check` command.
func NewCmdCheck(f *cmdkit.Factory, runF func(*CheckOptions) error) *cobra.Command {
	opts := &CheckOptions{Factory: f}
	return &cobra.Command{
		Use:     "check FILE.ini",
		Short:   "Check a daemon's settings file and list every fault",
		Example: "  chestnutlatch config check daemon.ini",
		Args:    cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			opts.File = args[0]
			if runF != nil {
				return runF(opts)
			}
			return checkRun(opts)
		},
	}
}

func checkRun(opts *CheckOptions) error {
	if _, err := setup.Load(opts.File); err != nil {
		return err
	}
	opts.Factory.Streams.Printf("settings file %s is in order", opts.File)
	return nil
}
