package route

import (
	"github.com/spf13/cobra"

	"chestnutlatch/cmdkit"
	"chestnutlatch/record"
)

func newCmdDelete(f *cmdkit.Factory) *cobra.Command {
	return cmdkit.NewRemoveCmd(f, record.KindRoute, "delete", "Delete a route", nil)
}
