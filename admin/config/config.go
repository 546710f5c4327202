// Package config implements the `config` command: applying and exporting
// records, listing the history, writing snapshots and checking a daemon's
// settings file.
package config

import (
	"github.com/spf13/cobra"

	"chestnutlatch/cmdkit"
)

// NewCmdConfig returns the `config` command with its subcommands.
func NewCmdConfig(f *cmdkit.Factory) *cobra.Command {
	cmd := &cobra.Command{
		Use:   "config COMMAND",
		Short: "Apply, export and inspect the configuration",
		Example: `  chestnutlatch config apply -f records.json
  chestnutlatch config history --limit 20`,
	}
	cmd.AddCommand(NewCmdApply(f, nil), NewCmdExport(f, nil), NewCmdHistory(f, nil), NewCmdSnapshot(f, nil), NewCmdCheck(f, nil))
	return cmd
}
