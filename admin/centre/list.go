package centre

import (
	"github.com/spf13/cobra"

	"chestnutlatch/cmdkit"
	"chestnutlatch/record"
)

func newCmdList(f *cmdkit.Factory) *cobra.Command {
	return cmdkit.NewListCmd(&cmdkit.ReadOptions{Factory: f, Kind: record.KindDataCentre, Header: tableHeader, Row: tableRow}, nil)
}
