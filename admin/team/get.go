package team

import (
	"chestnutlatch/cmdkit"
	"chestnutlatch/record"

	"github.com/spf13/cobra"
)

func newCmdGet(f *cmdkit.Factory) *cobra.Command {
	return cmdkit.NewGetCmd(&cmdkit.ReadOptions{Factory: f, Kind: record.KindTeam, Head: head, Row: row}, nil)
}
