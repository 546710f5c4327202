package keys

import (
	"chestnutlatch/cmdkit"
	"chestnutlatch/record"

	"github.com/spf13/cobra"
)

func newCmdWithdraw(f *cmdkit.Factory) *cobra.Command {
	return cmdkit.NewRemoveCmd(f, record.KindKey, "withdraw", "Withdraw a key; it stops working within seconds", nil)
}
