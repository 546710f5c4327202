// Package target implements the `target` command, which drains and restores
// targets.
package target

import (
	"strconv"

	"github.com/spf13/cobra"

	"chestnutlatch/cmdkit"
	"chestnutlatch/record"
)

var tableHeader = []string{"id", "drain"}

func tableRow(b record.Body) []string {
	t, _ := b.(record.Target)
	return []string{string(t.ID), strconv.FormatBool(t.Drain)}
}

// NewCmdTarget returns the `target` command with its subcommands.
func NewCmdTarget(f *cmdkit.Factory) *cobra.Command {
	cmd := &cobra.Command{
		Use:     "target COMMAND",
		Short:   "Drain and restore targets",
		Example: "  chestnutlatch target drain stores-03",
	}
	cmd.AddCommand(newCmdList(f), newCmdGet(f), NewCmdDrain(f, nil), NewCmdRestore(f, nil))
	return cmd
}
