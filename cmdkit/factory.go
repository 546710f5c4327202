package cmdkit

import (
	"fmt"
	"os"
	"os/user"

	"github.com/spf13/cobra"

	"chestnutlatch/clock"
	"chestnutlatch/store"
)

// StoreEnv is the environment variable that holds the store's address, as
// ip:port. The --store flag overrides it.
const StoreEnv = "CHESTNUTLATCH_STORE"

// Factory holds the dependencies that the commands share. Nothing is opened
// until a command needs it.
type Factory struct {
	Streams Streams
	Clock   clock.Clock
	// Store opens a connection to the platform's store.
	Store func() (store.Store, error)
	// Operator returns the name that the audit trail records for a change.
	Operator func() string
}

// NewFactory returns a Factory that uses the system clock and the store at
// *address. Store reads *address at each call, after the flags are parsed, and
// returns a FlagError if it is empty.
func NewFactory(s Streams, address *string) *Factory {
	return &Factory{
		Streams: s,
		Clock:   clock.NewSystem(),
		Store: func() (store.Store, error) {
			if *address == "" {
				return nil, &FlagError{Flag: "store", Hint: "no store address: pass the store's ip:port or set " + StoreEnv}
			}
			return store.Dial(*address)
		},
		Operator: operatorName,
	}
}

// operatorName returns user@host. The user is "unknown" if it cannot be looked
// up, and the host is empty if the system does not report one.
func operatorName() string {
	host, _ := os.Hostname()
	if u, err := user.Current(); err == nil {
		return u.Username + "@" + host
	}
	return "unknown@" + host
}

// FlagError reports a missing or invalid flag.
type FlagError struct {
	// Flag is the flag's name without the leading dashes.
	Flag string
	// Hint says what is wrong and how to correct it.
	Hint string
}

// Error returns the flag's name and how to correct it.
func (e *FlagError) Error() string {
	return fmt.Sprintf("--%s: %s", e.Flag, e.Hint)
}

// NotInForceError reports a change that was written to the store but was not in
// force in every data centre before the wait ended.
type NotInForceError struct {
	Revision    uint64
	DataCentres []string
}

// Error returns the revision and the data centres where it is not in force.
func (e *NotInForceError) Error() string {
	return fmt.Sprintf("revision %d was written but is not yet in force in data centres %v: run `chestnutlatch status` to follow its progress", e.Revision, e.DataCentres)
}

// AddJSONFlag adds a --json flag, which sets *enabled, to a command.
func AddJSONFlag(cmd *cobra.Command, enabled *bool) {
	cmd.Flags().BoolVar(enabled, "json", false, "print the output as JSON")
}
