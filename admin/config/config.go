// Package config is the `config` command.
package config

import (
	"github.com/spf13/cobra"

	"chestnutlatch/cmdkit"
)

// NewCmdConfig returns the `config` command.
func NewCmdConfig(f *cmdkit.Factory) *cobra.Command {
	cmd := &cobra.Command{
		Use:   "config COMMAND",
		Short: "Apply, export and look back at the configuration",
		Example: `  chestnutlatch config apply -f records.json
  chestnutlatch config history --limit 20`,
	}
	cmd.AddCommand(NewCmdApply(f, nil), NewCmdExport(f, nil), NewCmdHistory(f, nil), NewCmdSnapshot(f, nil), NewCmdCheck(f, nil))
	return cmd
}
