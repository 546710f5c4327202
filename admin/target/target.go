// Package target is the `target` command.
package target

import (
	"strconv"

	"github.com/spf13/cobra"

	"chestnutlatch/cmdkit"
	"chestnutlatch/record"
)

var head = []string{"id", "drain"}

func row(b record.Body) []string {
	t, _ := b.(record.Target)
	return []string{string(t.ID), strconv.FormatBool(t.Drain)}
}

// NewCmdTarget returns the `target` command.
func NewCmdTarget(f *cmdkit.Factory) *cobra.Command {
	cmd := &cobra.Command{
		Use:     "target COMMAND",
		Short:   "Drain targets and take them back",
		Example: "  chestnutlatch target drain stores-03",
	}
	cmd.AddCommand(newCmdList(f), newCmdGet(f), NewCmdDrain(f, nil), NewCmdRestore(f, nil))
	return cmd
}
