package table

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed and the length of the property-based tests to make
// every run repeatable. Flags on the command line take precedence.
func TestMain(m *testing.M) {
	defaults := map[string]string{"rapid.seed": "20261204", "rapid.checks": "400", "rapid.steps": "60", "rapid.nofailfile": "true"}
	for name, value := range defaults {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	flag.Parse()
	os.Exit(m.Run())
}
