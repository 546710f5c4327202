// Package keys implements the `key` command, which issues and withdraws the API
// keys of teams.
package keys

import (
	"encoding/hex"

	"github.com/spf13/cobra"

	"chestnutlatch/cmdkit"
	"chestnutlatch/record"
)

var tableHeader = []string{"id", "team", "hash"}

func tableRow(b record.Body) []string {
	k, _ := b.(record.Key)
	return []string{string(k.ID), string(k.Team), hex.EncodeToString(k.Hash[:])}
}

// NewCmdKey returns the `key` command with its subcommands.
func NewCmdKey(f *cmdkit.Factory) *cobra.Command {
	cmd := &cobra.Command{
		Use:   "key COMMAND",
		Short: "Issue and withdraw the keys of teams",
		Example: `  chestnutlatch key issue --team fundi
  chestnutlatch key withdraw 3f9a0c1d2e4b5a67`,
	}
	cmd.AddCommand(newCmdList(f), newCmdGet(f), NewCmdIssue(f, nil), newCmdWithdraw(f))
	return cmd
}
