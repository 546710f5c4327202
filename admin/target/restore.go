package target

import (
	"github.com/spf13/cobra"

	"chestnutlatch/cmdkit"
)

// NewCmdRestore returns the `target restore` command.
func NewCmdRestore(f *cmdkit.Factory, runF func(*DrainOptions) error) *cobra.Command {
	return newCmd(&DrainOptions{Factory: f}, "restore", "Give a drained target work again", runF)
}
