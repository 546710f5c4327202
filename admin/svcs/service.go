// Package svcs implements the `service` command, which sets the minimum share
// of each service's targets that stays selectable.
package svcs

import (
	"fmt"

	"github.com/spf13/cobra"

	"chestnutlatch/cmdkit"
	"chestnutlatch/record"
)

var tableHeader = []string{"id", "floor_percent", "cold_start_ms", "cold_rate"}

func tableRow(b record.Body) []string {
	s, _ := b.(record.Service)
	return []string{string(s.ID), fmt.Sprint(s.FloorPercent), fmt.Sprint(int64(s.ColdStart)), fmt.Sprint(s.ColdRate)}
}

// NewCmdService returns the `service` command with its subcommands.
func NewCmdService(f *cmdkit.Factory) *cobra.Command {
	cmd := &cobra.Command{
		Use:     "service COMMAND",
		Short:   "Manage the minimum share of selectable targets of each service",
		Example: "  chestnutlatch service set stores --floor 60",
	}
	cmd.AddCommand(newCmdList(f), newCmdGet(f), NewCmdSet(f, nil))
	return cmd
}
