package config

import (
	"github.com/spf13/cobra"

	"chestnutlatch/cmdkit"
	"chestnutlatch/setup"
)

// CheckOptions holds the dependencies and the argument of `config check`.
type CheckOptions struct {
	Factory *cmdkit.Factory
	File    string
}

// NewCmdCheck returns the `config check` command. If runF is not nil, it is
// called with the parsed options instead of running the command.
func NewCmdCheck(f *cmdkit.Factory, runF func(*CheckOptions) error) *cobra.Command {
	opts := &CheckOptions{Factory: f}
	return &cobra.Command{
		Use:     "check FILE.ini",
		Short:   "Check a daemon's settings file and list all errors",
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
	opts.Factory.Streams.Printf("settings file %s is valid", opts.File)
	return nil
}
