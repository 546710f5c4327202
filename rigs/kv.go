package rigs

import (
	"context"
	"net"
	"strings"

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
		Short: "Run the stand-in of the platform's store",
		Long: "Run the stand-in of the platform's store, for daemons with the setting adapter = kv.\n\n" +
			"Its switches: PUT /document writes the operator's configuration, PUT /mood?mood=MOOD[&from=IP]\n" +
			"changes how calls are treated (" + strings.Join(kvsrv.MoodStrings(), ", ") + "), PUT /compact drops the\n" +
			"history, PUT /faults, PUT /drop_leases and GET /counts are those of `standin store`.",
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
	cmd.Flags().StringVar(&opts.Control, "control", "127.0.0.1:7001", "address of the switches")
	return cmd
}

func kvRun(opts *KVOptions) error {
	l, err := net.Listen("tcp", opts.Address)
	if err != nil {
		return err
	}
	k := newKVRig()
	go func() {
		if err := fasthttp.ListenAndServe(opts.Control, k.control); err != nil {
			opts.Streams.Printf("switches are not served: %v", err)
		}
	}()
	return k.srv.Serve(l)
}

// kvRig is a store with its switches.
type kvRig struct {
	mem *stand.Memory
	srv *kvsrv.Server
}

func newKVRig() *kvRig {
	mem := stand.NewMemory(clock.NewSystem())
	return &kvRig{mem: mem, srv: kvsrv.New(mem)}
}

func (k *kvRig) control(c *fasthttp.RequestCtx) {
	switch string(c.Path()) {
	case "/document":
		k.putDocument(c)
	case "/mood":
		k.setMood(c)
	case "/compact":
		_, at, err := k.mem.List(c, "", "", 1)
		if err != nil {
			c.Error(err.Error(), fasthttp.StatusServiceUnavailable)
			return
		}
		k.srv.Compact(at)
	default:
		storeControl(k.mem, c)
	}
}

// putDocument writes a configuration, which must be one that daemons accept.
func (k *kvRig) putDocument(c *fasthttp.RequestCtx) {
	source := platform.Adapter().Document
	if _, err := source.Read(c.PostBody()); err != nil {
		c.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	ctx := context.Background()
	e, err := k.mem.Get(ctx, source.Key)
	if err != nil && !store.IsNotFound(err) {
		c.Error(err.Error(), fasthttp.StatusServiceUnavailable)
		return
	}
	if _, err := k.mem.Swap(ctx, source.Key, e.Revision, append([]byte(nil), c.PostBody()...), store.NoLease); err != nil {
		c.Error(err.Error(), fasthttp.StatusServiceUnavailable)
	}
}

func (k *kvRig) setMood(c *fasthttp.RequestCtx) {
	mood, err := kvsrv.MoodString(string(c.QueryArgs().Peek("mood")))
	if err != nil {
		c.Error("use ?mood= with one of "+strings.Join(kvsrv.MoodStrings(), ", "), fasthttp.StatusBadRequest)
		return
	}
	if from := string(c.QueryArgs().Peek("from")); from != "" {
		if net.ParseIP(from) == nil {
			c.Error("from is no IP number: give that of the daemon", fasthttp.StatusBadRequest)
			return
		}
		k.srv.SetMoodOf(from, mood)
		return
	}
	k.srv.SetMood(mood)
}
