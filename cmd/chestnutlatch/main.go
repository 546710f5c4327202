// Command chestnutlatch is the daemon and the operators' command line.
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

// Exit codes of the program.
const (
	exitOK = iota
	exitError
	exitUsage
	exitRace
	exitNotYet
)

func main() {
	err := admin.NewCmdRoot(cmdkit.SystemStreams()).ExecuteContext(context.Background())
	if err != nil {
		fmt.Fprintln(os.Stderr, "chestnutlatch:", err)
	}
	os.Exit(exitCode(err))
}

func exitCode(err error) int {
	var flag *cmdkit.FlagError
	var race *config.RaceError
	var notYet *cmdkit.NotYetError
	switch {
	case err == nil:
		return exitOK
	case errors.As(err, &flag):
		return exitUsage
	case errors.As(err, &race):
		return exitRace
	case errors.As(err, &notYet):
		return exitNotYet
	default:
		return exitError
	}
}
