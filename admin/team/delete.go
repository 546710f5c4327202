package team

import (
	"chestnutlatch/cmdkit"
	"chestnutlatch/record"

	"github.com/spf13/cobra"
)

func newCmdDelete(f *cmdkit.Factory) *cobra.Command {
	return cmdkit.NewRemoveCmd(f, record.KindTeam, "delete", "Delete a team that has no keys", nil)
}
