// Package centre implements the `centre` command, which evacuates and restores data
// centres.
package centre

import (
	"strconv"

	"github.com/spf13/cobra"

	"chestnutlatch/cmdkit"
	"chestnutlatch/record"
)

var tableHeader = []string{"id", "evacuated"}

func tableRow(b record.Body) []string {
	c, _ := b.(record.DataCentre)
	return []string{string(c.ID), strconv.FormatBool(c.Evacuated)}
}

// NewCmdCentre returns the `centre` command with its subcommands.
func NewCmdCentre(f *cmdkit.Factory) *cobra.Command {
	cmd := &cobra.Command{
		Use:     "centre COMMAND",
		Short:   "Evacuate and restore data centres",
		Example: "  chestnutlatch centre evacuate north-1",
	}
	cmd.AddCommand(newCmdList(f), newCmdGet(f), NewCmdEvacuate(f, nil), NewCmdRestore(f, nil))
	return cmd
}
