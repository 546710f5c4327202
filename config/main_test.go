package config

import (
	"flag"
	"os"
	"testing"
)

// TestMain sets a fixed seed and length for the property tests, which makes runs
// repeatable. Flags on the command line override them.
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
