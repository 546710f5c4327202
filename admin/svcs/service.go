// Package svcs is the `service` command.
package svcs

import (
	"fmt"

	"github.com/spf13/cobra"

	"chestnutlatch/cmdkit"
	"chestnutlatch/record"
)

var head = []string{"id", "floor_percent"}

func row(b record.Body) []string {
	s, _ := b.(record.Service)
	return []string{string(s.ID), fmt.Sprint(s.FloorPercent)}
}

// NewCmdService returns the `service` command.
func NewCmdService(f *cmdkit.Factory) *cobra.Command {
	cmd := &cobra.Command{
		Use:     "service COMMAND",
		Short:   "Manage a service's floor of selectable targets",
		Example: "  chestnutlatch service set stores --floor 60",
	}
	cmd.AddCommand(newCmdList(f), newCmdGet(f), NewCmdSet(f, nil))
	return cmd
}
