package target

import (
	"github.com/spf13/cobra"

	"chestnutlatch/cmdkit"
)

// NewCmdRestore returns the `target restore` command. If runF is not nil, it is
// called with the parsed options instead of running the command.
func NewCmdRestore(f *cmdkit.Factory, runF func(*DrainOptions) error) *cobra.Command {
	return newSetDrainCmd(&DrainOptions{Factory: f}, "restore", "Send requests to a drained target again", runF)
}
