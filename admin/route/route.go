// Package route implements the `route` command, which manages the routes from
// a host and path prefix to a service.
package route

import (
	"fmt"
	"strconv"

	"github.com/spf13/cobra"

	"chestnutlatch/cmdkit"
	"chestnutlatch/record"
)

var tableHeader = []string{"id", "host", "prefix", "service", "priority", "one_time", "open", "timeout_ms", "regions"}

func tableRow(b record.Body) []string {
	r, _ := b.(record.Route)
	row := []string{
		string(r.ID), r.Host, r.Prefix, string(r.Service), r.Priority.String(),
		strconv.FormatBool(r.OneTime), strconv.FormatBool(r.Open), fmt.Sprint(int64(r.Timeout)),
	}
	return cmdkit.AppendRegions(row, r.Regions)
}

// NewCmdRoute returns the `route` command with its subcommands.
func NewCmdRoute(f *cmdkit.Factory) *cobra.Command {
	cmd := &cobra.Command{
		Use:   "route COMMAND",
		Short: "Manage the routes from a host and path prefix to a service",
		Example: `  chestnutlatch route set vouchers --prefix /vouchers --service stores --one-time --priority high
  chestnutlatch route list`,
	}
	cmd.AddCommand(
		newCmdList(f),
		newCmdGet(f),
		NewCmdSet(f, nil),
		newCmdDelete(f),
	)
	return cmd
}
