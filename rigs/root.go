// Package rigs holds the commands of the stand-in program.
package rigs

import (
	"github.com/spf13/cobra"

	"chestnutlatch/cmdkit"
)

// NewCmdRoot returns the stand-in program's root command.
func NewCmdRoot(s cmdkit.Streams) *cobra.Command {
	cmd := &cobra.Command{
		Use:           "standin COMMAND",
		Short:         "Stand-ins for the platform and the targets, and a load tool",
		SilenceErrors: true,
		SilenceUsage:  true,
	}
	cmd.SetOut(s.Out)
	cmd.SetErr(s.Err)
	cmd.AddCommand(
		NewCmdStore(s, nil), NewCmdKV(s, nil), NewCmdTarget(s, nil), NewCmdLoad(s, nil),
		NewCmdDemo(s, nil), NewCmdTrial(s), NewCmdFill(s, nil),
	)
	return cmd
}
