// Package keys is the `key` command.
package keys

import (
	"encoding/hex"

	"github.com/spf13/cobra"

	"chestnutlatch/cmdkit"
	"chestnutlatch/record"
)

var head = []string{"id", "team", "hash"}

func row(b record.Body) []string {
	k, _ := b.(record.Key)
	return []string{string(k.ID), string(k.Team), hex.EncodeToString(k.Hash[:])}
}

// NewCmdKey returns the `key` command.
func NewCmdKey(f *cmdkit.Factory) *cobra.Command {
	cmd := &cobra.Command{
		Use:   "key COMMAND",
		Short: "Issue and withdraw callers' keys",
		Example: `  chestnutlatch key issue --team fundi
  chestnutlatch key withdraw 3f9a0c1d2e4b5a67`,
	}
	cmd.AddCommand(newCmdList(f), newCmdGet(f), NewCmdIssue(f, nil), newCmdWithdraw(f))
	return cmd
}
