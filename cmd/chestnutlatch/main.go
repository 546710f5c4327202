// Command chestnutlatch runs the proxy daemon and the operators' commands.
package main

import (
	"context"
	"fmt"
	"os"

	"github.com/go-faster/errors"

	"chestnutlatch/admin"
	"chestnutlatch/cmdkit"
	"chestnutlatch/config"
)

// Exit codes. exitConflict means that another operator changed the same record
// first; exitNotInForce means that a change was written but is not yet in force
// in every data centre.
const (
	exitOK = iota
	exitError
	exitUsage
	exitConflict
	exitNotInForce
)

func main() {
	err := admin.NewCmdRoot(cmdkit.SystemStreams()).ExecuteContext(context.Background())
	if err != nil {
		fmt.Fprintln(os.Stderr, "chestnutlatch:", err)
	}
	os.Exit(exitCode(err))
}

func exitCode(err error) int {
	var flagErr *cmdkit.FlagError
	var conflict *config.RaceError
	var notInForce *cmdkit.NotInForceError
	switch {
	case err == nil:
		return exitOK
	case errors.As(err, &flagErr):
		return exitUsage
	case errors.As(err, &conflict):
		return exitConflict
	case errors.As(err, &notInForce):
		return exitNotInForce
	default:
		return exitError
	}
}
