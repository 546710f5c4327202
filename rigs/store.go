package rigs

import (
	"encoding/json"
	"net"

	"github.com/spf13/cobra"
	"github.com/valyala/fasthttp"
	"google.golang.org/grpc"

	"chestnutlatch/clock"
	"chestnutlatch/cmdkit"
	"chestnutlatch/kvapi"
	"chestnutlatch/stand"
)

// StoreOptions are the flags of `standin store`.
type StoreOptions struct {
	Streams cmdkit.Streams
	Address string
	Control string
}

// NewCmdStore returns the `standin store` command.
func NewCmdStore(s cmdkit.Streams, runF func(*StoreOptions) error) *cobra.Command {
	opts := &StoreOptions{Streams: s}
	cmd := &cobra.Command{
		Use:     "store",
		Short:   "Run a stand-in of the key-value store, in memory",
		Example: "  standin store --address 127.0.0.1:7000 --control 127.0.0.1:7001",
		Args:    cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			if runF != nil {
				return runF(opts)
			}
			return storeRun(opts)
		},
	}
	cmd.Flags().StringVar(&opts.Address, "address", "127.0.0.1:7000", "address of the store")
	cmd.Flags().StringVar(&opts.Control, "control", "127.0.0.1:7001", "address of the control endpoints: PUT /faults, PUT /drop_leases, GET /counts")
	return cmd
}

func storeRun(opts *StoreOptions) error {
	memory := stand.NewMemoryStore(clock.NewSystem())
	l, err := net.Listen("tcp", opts.Address)
	if err != nil {
		return err
	}
	srv := grpc.NewServer(grpc.MaxRecvMsgSize(4<<20), grpc.MaxSendMsgSize(64<<20))
	kvapi.RegisterKVServer(srv, stand.NewStoreServer(memory))
	go func() {
		_ = fasthttp.ListenAndServe(opts.Control, func(c *fasthttp.RequestCtx) { handleStoreControl(memory, c) })
	}()
	return srv.Serve(l)
}

// handleStoreControl serves the control endpoints of a store: PUT /faults,
// PUT /drop_leases, GET /counts.
func handleStoreControl(memory *stand.MemoryStore, c *fasthttp.RequestCtx) {
	switch string(c.Path()) {
	case "/faults":
		var f stand.StoreFaults
		if err := json.Unmarshal(c.PostBody(), &f); err != nil {
			c.Error(err.Error(), fasthttp.StatusBadRequest)
			return
		}
		memory.SetFaults(f)
	case "/drop_leases":
		memory.DropLeases()
	case "/counts":
		body, err := json.Marshal(memory.Counts())
		if err != nil {
			c.Error(err.Error(), fasthttp.StatusInternalServerError)
			return
		}
		c.SetBody(body)
	default:
		c.Error("use /faults, /drop_leases or /counts", fasthttp.StatusNotFound)
	}
}
