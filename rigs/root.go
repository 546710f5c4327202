// Package rigs implements the commands of the standin program: stand-ins for the
// store and for targets, the load generator, the demonstration, and offline trials
// of the decision packages. Package main of cmd/standin calls NewCmdRoot.
package rigs

import (
	"github.com/spf13/cobra"

	"chestnutlatch/cmdkit"
)

// NewCmdRoot returns the root command of the standin program.
func NewCmdRoot(s cmdkit.Streams) *cobra.Command {
	cmd := &cobra.Command{
		Use:           "standin COMMAND",
		Short:         "Stand-ins for the platform and the targets, and a load generator",
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
