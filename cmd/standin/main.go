// Command standin runs the stand-ins for the platform and the targets, the
// load tool and the demonstration.
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
