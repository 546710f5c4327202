package route

import (
	"chestnutlatch/cmdkit"
	"chestnutlatch/record"

	"github.com/spf13/cobra"
)

func newCmdDelete(f *cmdkit.Factory) *cobra.Command {
	return cmdkit.NewRemoveCmd(f, record.KindRoute, "delete", "Delete a route", nil)
}
