package keys

import (
	"github.com/spf13/cobra"

	"chestnutlatch/cmdkit"
	"chestnutlatch/record"
)

func newCmdWithdraw(f *cmdkit.Factory) *cobra.Command {
	return cmdkit.NewRemoveCmd(f, record.KindKey, "withdraw", "Withdraw a key, which stops working within seconds", nil)
}
