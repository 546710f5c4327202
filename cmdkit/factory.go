package cmdkit

import (
	"fmt"
	"os"
	"os/user"

	"github.com/spf13/cobra"

	"chestnutlatch/clock"
	"chestnutlatch/store"
)

// StoreEnv names the environment variable with the store's address.
const StoreEnv = "CHESTNUTLATCH_STORE"

// Factory builds a command's dependencies when they are needed.
type Factory struct {
	Streams Streams
	Clock   clock.Clock
	// Store opens the platform's store.
	Store func() (store.Store, error)
	// Who names the operator in the audit trail.
	Who func() string
}

// NewFactory returns the factory of the program. address is read when the
// store is first needed.
func NewFactory(s Streams, address *string) *Factory {
	return &Factory{
		Streams: s,
		Clock:   clock.NewSystem(),
		Store: func() (store.Store, error) {
			if *address == "" {
				return nil, &FlagError{Flag: "store", Remedy: "give the store's ip:port, or set " + StoreEnv}
			}
			return store.Dial(*address)
		},
		Who: whoami,
	}
}

func whoami() string {
	host, _ := os.Hostname()
	if u, err := user.Current(); err == nil {
		return u.Username + "@" + host
	}
	return "unknown@" + host
}

// FlagError reports a wrong flag or argument.
type FlagError struct {
	Flag   string
	Remedy string
}

// Error names the flag and the remedy.
func (e *FlagError) Error() string {
	return fmt.Sprintf("--%s: %s", e.Flag, e.Remedy)
}

// NotYetError reports a change that is written and not yet in force in some
// data centres.
type NotYetError struct {
	Revision uint64
	Missing  []string
}

// Error names the data centres.
func (e *NotYetError) Error() string {
	return fmt.Sprintf("revision %d is written, but not yet in force in %v: run `chestnutlatch status` until it is", e.Revision, e.Missing)
}

// AddJSON adds the --json flag of reading commands.
func AddJSON(cmd *cobra.Command, v *bool) {
	cmd.Flags().BoolVar(v, "json", false, "write JSON")
}
