package rigs

import (
	"context"
	"net"
	"strings"
	"time"

	"github.com/spf13/cobra"
	"github.com/valyala/fasthttp"

	"chestnutlatch/clock"
	"chestnutlatch/cmdkit"
	"chestnutlatch/platform"
	"chestnutlatch/platform/kvsrv"
	"chestnutlatch/stand"
	"chestnutlatch/store"
)

// KVOptions are the flags of `standin kv`.
type KVOptions struct {
	Streams cmdkit.Streams
	Address string
	Control string
}

// NewCmdKV returns the `standin kv` command.
func NewCmdKV(s cmdkit.Streams, runF func(*KVOptions) error) *cobra.Command {
	opts := &KVOptions{Streams: s}
	cmd := &cobra.Command{
		Use:   "kv",
		Short: "Run a stand-in of the platform's store, in memory",
		Long: "Run a stand-in of the platform's store, for daemons with the setting adapter = kv.\n\n" +
			"Its control endpoints: PUT /document writes the operator's configuration, PUT /mood?mood=MOOD[&from=IP]\n" +
			"sets the fault mode of all calls, or of those from IP (" + strings.Join(kvsrv.MoodStrings(), ", ") + "), PUT /compact drops the\n" +
			"event history, PUT /restore?age_ms=N[&again_ms=M] restores a copy that is N ms old and makes the operators'\n" +
			"lost writes again after M ms (500), PUT /faults, PUT /drop_leases and GET /counts are as in `standin store`.",
		Example: "  standin kv --address 127.0.0.1:7000 --control 127.0.0.1:7001\n" +
			"  curl -T document.json http://127.0.0.1:7001/document\n" +
			"  curl -X PUT 'http://127.0.0.1:7001/mood?mood=silent&from=127.0.0.12'",
		Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			if runF != nil {
				return runF(opts)
			}
			return kvRun(opts)
		},
	}
	cmd.Flags().StringVar(&opts.Address, "address", "127.0.0.1:7000", "address of the store")
	cmd.Flags().StringVar(&opts.Control, "control", "127.0.0.1:7001", "address of the control endpoints")
	return cmd
}

func kvRun(opts *KVOptions) error {
	l, err := net.Listen("tcp", opts.Address)
	if err != nil {
		return err
	}
	standIn := newKVStandIn()
	go func() {
		if err := fasthttp.ListenAndServe(opts.Control, standIn.control); err != nil {
			opts.Streams.Printf("control endpoints failed: %v", err)
		}
	}()
	return standIn.server.Serve(l)
}

// kvStandIn is a store in memory, its server and its control endpoints.
type kvStandIn struct {
	memory *stand.MemoryStore
	server *kvsrv.Server
}

func newKVStandIn() *kvStandIn {
	memory := stand.NewMemoryStore(clock.NewSystem())
	return &kvStandIn{memory: memory, server: kvsrv.New(memory)}
}

// control serves the control endpoints.
func (k *kvStandIn) control(c *fasthttp.RequestCtx) {
	switch string(c.Path()) {
	case "/document":
		k.putDocument(c)
	case "/mood":
		k.setFaultMode(c)
	case "/compact":
		_, revision, err := k.memory.List(c, "", "", 1)
		if err != nil {
			c.Error(err.Error(), fasthttp.StatusServiceUnavailable)
			return
		}
		k.server.Compact(revision)
	case "/restore":
		k.restore(c)
	default:
		handleStoreControl(k.memory, c)
	}
}

const (
	// operatorsPrefix is the prefix of the keys that operators write.
	operatorsPrefix = "op/"
	// defaultAgainMillis is the time after which operators write again what a restored
	// copy does not have.
	defaultAgainMillis = 500
)

// restore restores a copy of the store and writes again, later, what the operators had
// written since. Targets write nothing to the store.
func (k *kvStandIn) restore(c *fasthttp.RequestCtx) {
	age, err := c.QueryArgs().GetUint("age_ms")
	if err != nil {
		c.Error("use ?age_ms= with the age of the copy", fasthttp.StatusBadRequest)
		return
	}
	again, err := c.QueryArgs().GetUint("again_ms")
	if err != nil {
		again = defaultAgainMillis
	}
	lost, err := k.server.Restore(clock.Millis(age))
	if err != nil {
		c.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	time.AfterFunc(time.Duration(again)*time.Millisecond, func() {
		// A write that fails for an injected outage is lost, as an operator's would be.
		_ = k.memory.WriteAgain(context.Background(), lost, operatorsPrefix)
	})
}

// putDocument validates the request body as a configuration document, with the
// decoder that daemons use, and writes it to the store.
func (k *kvStandIn) putDocument(c *fasthttp.RequestCtx) {
	source := platform.Adapter().Document
	if _, err := source.Decode(c.PostBody()); err != nil {
		c.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	ctx := context.Background()
	current, err := k.memory.Get(ctx, source.Key)
	if err != nil && !store.IsNotFound(err) {
		c.Error(err.Error(), fasthttp.StatusServiceUnavailable)
		return
	}
	if _, err := k.memory.Swap(ctx, source.Key, current.Revision, append([]byte(nil), c.PostBody()...), store.NoLease); err != nil {
		c.Error(err.Error(), fasthttp.StatusServiceUnavailable)
	}
}

// setFaultMode sets the fault mode of all calls, or of those from one IP address.
func (k *kvStandIn) setFaultMode(c *fasthttp.RequestCtx) {
	mode, err := kvsrv.MoodString(string(c.QueryArgs().Peek("mood")))
	if err != nil {
		c.Error("use ?mood= with one of "+strings.Join(kvsrv.MoodStrings(), ", "), fasthttp.StatusBadRequest)
		return
	}
	if from := string(c.QueryArgs().Peek("from")); from != "" {
		if net.ParseIP(from) == nil {
			c.Error("from is not an IP address: use the address of a daemon", fasthttp.StatusBadRequest)
			return
		}
		k.server.SetClientFaultMode(from, mode)
		return
	}
	k.server.SetFaultMode(mode)
}
