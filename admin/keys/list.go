package keys

import (
	"chestnutlatch/cmdkit"
	"chestnutlatch/record"

	"github.com/spf13/cobra"
)

func newCmdList(f *cmdkit.Factory) *cobra.Command {
	return cmdkit.NewListCmd(&cmdkit.ReadOptions{Factory: f, Kind: record.KindKey, Head: head, Row: row}, nil)
}
