// Command standin runs the stand-ins that replace the platform and the targets
// in tests, the load generator and the demonstration.
package main

import (
	"context"
	"fmt"
	"os"

	"chestnutlatch/cmdkit"
	"chestnutlatch/rigs"
)

func main() {
	err := rigs.NewCmdRoot(cmdkit.SystemStreams()).ExecuteContext(context.Background())
	if err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		os.Exit(1)
	}
}
