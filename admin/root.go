// Package admin assembles the chestnutlatch command line from its subcommands.
package admin

import (
	"os"

	"github.com/spf13/cobra"

	"chestnutlatch/admin/audit"
	"chestnutlatch/admin/centre"
	"chestnutlatch/admin/config"
	"chestnutlatch/admin/explain"
	"chestnutlatch/admin/keys"
	"chestnutlatch/admin/route"
	"chestnutlatch/admin/serve"
	"chestnutlatch/admin/status"
	"chestnutlatch/admin/svcs"
	"chestnutlatch/admin/target"
	"chestnutlatch/admin/team"
	"chestnutlatch/cmdkit"
)

// NewCmdRoot returns the root command. The --store flag defaults to the
// environment variable cmdkit.StoreEnv. Invalid flags are reported as
// *cmdkit.FlagError.
func NewCmdRoot(s cmdkit.Streams) *cobra.Command {
	var address string
	f := cmdkit.NewFactory(s, &address)
	cmd := &cobra.Command{
		Use:   "chestnutlatch COMMAND",
		Short: "Proxy daemon that routes around failing targets, and its operator commands",
		Example: `  chestnutlatch serve --config daemon.ini
  chestnutlatch team set fundi --rate 50 --burst 100
  chestnutlatch status`,
		SilenceErrors: true,
		SilenceUsage:  true,
	}
	cmd.SetOut(s.Out)
	cmd.SetErr(s.Err)
	cmd.SetFlagErrorFunc(func(_ *cobra.Command, err error) error {
		return &cmdkit.FlagError{Flag: "help", Hint: err.Error() + "; run the command with --help for usage"}
	})
	cmd.PersistentFlags().StringVar(&address, "store", os.Getenv(cmdkit.StoreEnv), "address of the platform's store as ip:port")
	cmd.AddCommand(
		serve.NewCmdServe(f, nil),
		route.NewCmdRoute(f),
		team.NewCmdTeam(f),
		keys.NewCmdKey(f),
		target.NewCmdTarget(f),
		svcs.NewCmdService(f),
		centre.NewCmdCentre(f),
		config.NewCmdConfig(f),
		audit.NewCmdAudit(f, nil),
		status.NewCmdStatus(f, nil),
		explain.NewCmdExplain(f, nil),
	)
	return cmd
}
