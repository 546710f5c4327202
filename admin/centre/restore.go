package centre

import (
	"github.com/spf13/cobra"

	"chestnutlatch/cmdkit"
)

// NewCmdRestore returns the `centre restore` command. If runF is not nil, it is called
// with the parsed options instead of running the command.
func NewCmdRestore(f *cmdkit.Factory, runF func(*EvacuateOptions) error) *cobra.Command {
	return newSetEvacuatedCmd(&EvacuateOptions{Factory: f}, "restore", "Send requests to an evacuated data centre again", runF)
}
