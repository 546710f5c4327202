package centre

import (
	"github.com/spf13/cobra"

	"chestnutlatch/cmdkit"
	"chestnutlatch/record"
)

func newCmdGet(f *cmdkit.Factory) *cobra.Command {
	return cmdkit.NewGetCmd(&cmdkit.ReadOptions{Factory: f, Kind: record.KindDataCentre, Header: tableHeader, Row: tableRow}, nil)
}
