// Package team implements the `team` command, which manages teams and their
// rate limits.
package team

import (
	"fmt"

	"github.com/spf13/cobra"

	"chestnutlatch/cmdkit"
	"chestnutlatch/record"
)

var tableHeader = []string{"id", "rate", "burst", "weight", "regions"}

func tableRow(b record.Body) []string {
	t, _ := b.(record.Team)
	row := []string{string(t.ID), fmt.Sprint(t.Rate), fmt.Sprint(t.Burst), fmt.Sprint(t.Weight)}
	return cmdkit.AppendRegions(row, t.Regions)
}

// NewCmdTeam returns the `team` command with its subcommands.
func NewCmdTeam(f *cmdkit.Factory) *cobra.Command {
	cmd := &cobra.Command{
		Use:   "team COMMAND",
		Short: "Manage teams and their rate limits",
		Example: `  chestnutlatch team set fundi --rate 50 --burst 100
  chestnutlatch team list`,
	}
	cmd.AddCommand(newCmdList(f), newCmdGet(f), NewCmdSet(f, nil), newCmdDelete(f))
	return cmd
}
