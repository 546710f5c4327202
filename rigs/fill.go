package rigs

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"

	"github.com/spf13/cobra"

	"chestnutlatch/clock"
	"chestnutlatch/cmdkit"
	"chestnutlatch/config"
	"chestnutlatch/ident"
	"chestnutlatch/record"
	"chestnutlatch/store"
)

// recordsPerChange is the number of records after which a change is committed and
// the next one begun.
const recordsPerChange = 2000

// FillOptions are the flags of `standin fill`.
type FillOptions struct {
	Streams cmdkit.Streams
	Store   string
	Teams   int
	Routes  int
}

// NewCmdFill returns the `standin fill` command.
func NewCmdFill(s cmdkit.Streams, runF func(*FillOptions) error) *cobra.Command {
	opts := &FillOptions{Streams: s}
	cmd := &cobra.Command{
		Use:     "fill --store IP:PORT",
		Short:   "Write many teams, keys and routes to the store, for benchmarks",
		Example: "  standin fill --store 127.0.0.1:7000 --teams 120000 --routes 45000",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if runF != nil {
				return runF(opts)
			}
			return fillRun(cmd.Context(), opts)
		},
	}
	cmd.Flags().StringVar(&opts.Store, "store", "127.0.0.1:7000", "address of the store")
	cmd.Flags().IntVar(&opts.Teams, "teams", 120_000, "number of teams, each with one key")
	cmd.Flags().IntVar(&opts.Routes, "routes", 45_000, "number of routes")
	return cmd
}

// fillRun commits the records in several changes, then writes a snapshot.
func fillRun(ctx context.Context, opts *FillOptions) error {
	st, err := store.Dial(opts.Store)
	if err != nil {
		return err
	}
	state, err := config.Load(ctx, st)
	if err != nil {
		return err
	}
	var items []record.Item
	flush := func() error {
		change := record.Change{
			ID: fmt.Sprintf("fill-%d", state.Revision+1), Author: "standin", At: clock.NewSystem().Wall(), Items: items,
		}
		items = nil
		_, err := config.Commit(ctx, st, state, change)
		return err
	}
	add := func(body record.Body) error {
		encoded, err := record.Encode(body, record.SchemaCurrent, nil)
		if err != nil {
			return err
		}
		items = append(items, record.Item{Kind: record.KindOf(body), ID: record.IDOf(body), After: encoded})
		if len(items) >= recordsPerChange {
			return flush()
		}
		return nil
	}
	for i := range opts.Teams {
		team := ident.Team(fmt.Sprintf("team-%06d", i))
		if err := add(record.Team{ID: team, Rate: 20, Burst: 40, Weight: 1}); err != nil {
			return err
		}
		if err := add(fillKey(team)); err != nil {
			return err
		}
	}
	for i := range opts.Routes {
		if err := add(fillRoute(i)); err != nil {
			return err
		}
	}
	if err := flush(); err != nil {
		return err
	}
	if err := config.WriteSnapshot(ctx, st, state); err != nil {
		return err
	}
	opts.Streams.Printf("wrote revision %d and a snapshot", state.Revision)
	return nil
}

// fillKey returns the record of a team's key. Its hash is derived from the team's
// name, which makes runs repeatable.
func fillKey(team ident.Team) record.Key {
	sum := sha256.Sum256([]byte("key of " + string(team)))
	return record.Key{ID: ident.Key(hex.EncodeToString(sum[:8])), Team: team, Hash: sum}
}

// fillRoute returns the route with number i, to one of 520 services.
func fillRoute(i int) record.Route {
	const services = 520
	return record.Route{
		ID: ident.Route(fmt.Sprintf("route-%05d", i)), Host: fmt.Sprintf("s%d.example.org", i%services),
		Prefix: fmt.Sprintf("/v1/object%d", i), Service: ident.Service(fmt.Sprintf("service-%03d", i%services)),
		Priority: ident.PriorityNormal, Timeout: record.DefaultTimeout,
	}
}
