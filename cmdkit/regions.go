package cmdkit

import (
	"strings"

	"github.com/spf13/cobra"

	"chestnutlatch/ident"
)

// RegionsFlagName is the name of the flag that sets a list of allowed regions.
const RegionsFlagName = "regions"

// RegionsFlag is the value of the --regions flag of `route set` and `team set`.
type RegionsFlag struct {
	text string
}

// AddFlag registers the flag on a command.
func (f *RegionsFlag) AddFlag(cmd *cobra.Command) {
	cmd.Flags().StringVar(&f.text, RegionsFlagName, "", "comma-separated regions in which the requests may be served; empty allows all")
}

// Regions returns the regions in the order in which they were entered, each once, and nil
// for an empty value.
func (f *RegionsFlag) Regions() []ident.Region {
	if strings.TrimSpace(f.text) == "" {
		return nil
	}
	var out []ident.Region
	seen := map[ident.Region]bool{}
	for _, name := range strings.Split(f.text, ",") {
		r := ident.Region(strings.TrimSpace(name))
		if !seen[r] {
			seen[r] = true
			out = append(out, r)
		}
	}
	return out
}

// AppendRegions appends the column of a record's allowed regions to its row. A record
// without a list has no such column.
func AppendRegions(row []string, regions []ident.Region) []string {
	if len(regions) == 0 {
		return row
	}
	names := make([]string, 0, len(regions))
	for _, r := range regions {
		names = append(names, string(r))
	}
	return append(row, strings.Join(names, ","))
}
