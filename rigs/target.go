package rigs

import (
	"encoding/json"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/spf13/cobra"
	"github.com/valyala/fasthttp"

	"chestnutlatch/clock"
	"chestnutlatch/cmdkit"
	"chestnutlatch/fleet"
	"chestnutlatch/guard"
	"chestnutlatch/ident"
	"chestnutlatch/platform"
	"chestnutlatch/setup"
	"chestnutlatch/stand"
)

// announceEvery is the time between two announcements.
const announceEvery = time.Second

// TargetOptions are the flags of `standin target`.
type TargetOptions struct {
	Streams    cmdkit.Streams
	ID         string
	Service    string
	Address    string
	Control    string
	Announce   string
	Adapter    string
	DataCentre string
	CallVia    string
	CallPath   string
	Slots      int
	Work       time.Duration
	ColdFor    time.Duration
	ColdFactor float64
	Seed       uint64
}

// NewCmdTarget returns the `standin target` command.
func NewCmdTarget(s cmdkit.Streams, runF func(*TargetOptions) error) *cobra.Command {
	opts := &TargetOptions{Streams: s}
	cmd := &cobra.Command{
		Use:     "target",
		Short:   "Run a target's stand-in",
		Example: "  standin target --id t1 --service stores --address 127.0.0.1:8001 --control 127.0.0.1:8002",
		Args:    cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			if opts.ID == "" || opts.Service == "" {
				return &cmdkit.FlagError{Flag: "id", Remedy: "give --id and --service"}
			}
			if opts.Adapter != "" && opts.Adapter != setup.AdapterKV {
				return &cmdkit.FlagError{Flag: "adapter", Remedy: "use " + setup.AdapterKV + " or leave it out"}
			}
			if (opts.CallVia == "") != (opts.CallPath == "") || opts.CallVia != "" && opts.Adapter == "" {
				return &cmdkit.FlagError{Flag: "call-through", Remedy: "give it with --call-path and --adapter, or leave both out"}
			}
			if runF != nil {
				return runF(opts)
			}
			return targetRun(opts)
		},
	}
	fl := cmd.Flags()
	fl.StringVar(&opts.ID, "id", "", "target's id")
	fl.StringVar(&opts.Service, "service", "", "target's service")
	fl.StringVar(&opts.Address, "address", "127.0.0.1:8001", "address of the target")
	fl.StringVar(&opts.Control, "control", "127.0.0.1:8002", "address of the switches: PUT /faults, GET /record")
	fl.StringVar(&opts.Announce, "announce", "", "operator address of the daemon beside the target")
	fl.StringVar(&opts.Adapter, "adapter", "", "speak the interface of the platform with this adapter (kv); empty is the product's own")
	fl.StringVar(&opts.DataCentre, "data-centre", "", "data centre named in heartbeats, with --adapter")
	fl.StringVar(&opts.CallVia, "call-through", "", "address of a daemon through which each request calls --call-path, with --adapter")
	fl.StringVar(&opts.CallPath, "call-path", "", "path of the calls; requests for it make none")
	fl.IntVar(&opts.Slots, "slots", 5, "requests served at once")
	fl.DurationVar(&opts.Work, "work", 5*time.Millisecond, "mean service time")
	fl.DurationVar(&opts.ColdFor, "cold", 0, "time after the start in which the target is slow")
	fl.Float64Var(&opts.ColdFactor, "cold-factor", 3, "how many times slower a cold target is")
	fl.Uint64Var(&opts.Seed, "seed", 1, "seed of the service times and faults")
	return cmd
}

func targetRun(opts *TargetOptions) error {
	cfg := stand.TargetConfig{
		ID: ident.Target(opts.ID), Service: ident.Service(opts.Service), Slots: opts.Slots,
		Work: clock.FromDuration(opts.Work), ColdFor: clock.FromDuration(opts.ColdFor),
		ColdFactor: opts.ColdFactor, Seed: opts.Seed,
	}
	tell := announce
	if opts.Adapter != "" {
		cfg.Dialect = platform.Adapter().Dialect
		cfg.CallThrough, cfg.CallPath = opts.CallVia, opts.CallPath
		tell = sendBeats
	}
	t := stand.NewTarget(cfg, clock.NewSystem())
	l, err := net.Listen("tcp", opts.Address)
	if err != nil {
		return errors.Wrap(err, "target address")
	}
	if opts.Announce != "" {
		go tell(opts, t)
	}
	go func() { _ = fasthttp.ListenAndServe(opts.Control, t.Control) }()
	return t.Serve(l)
}

// announce tells the daemon of the target until the process ends.
func announce(opts *TargetOptions, t *stand.Target) {
	for {
		send := fleet.PutJSON
		if t.IsDraining() {
			send = fleet.DeleteJSON
		}
		err := send(opts.Announce, "/v1/targets", struct {
			Target  string `json:"target"`
			Service string `json:"service"`
			Address string `json:"address"`
			Slots   int    `json:"slots"`
		}{opts.ID, opts.Service, opts.Address, opts.Slots})
		if err != nil && !strings.Contains(err.Error(), http.ErrServerClosed.Error()) {
			opts.Streams.Printf("announcement failed: %v", err)
			time.Sleep(announceEvery / 5)
			continue
		}
		time.Sleep(announceEvery)
	}
}

// sendBeats sends heartbeats until the process ends.
func sendBeats(opts *TargetOptions, t *stand.Target) {
	b := guard.Beat{
		Spec: guard.Spec{ID: ident.Target(opts.ID), Service: ident.Service(opts.Service), Address: opts.Address, Slots: opts.Slots},
		Born: clock.NewSystem().Wall(),
	}
	for {
		b.Sequence++
		b.Draining = t.IsDraining()
		path, body, err := platform.WriteBeat(b, ident.DataCentre(opts.DataCentre))
		if err == nil {
			err = fleet.PutJSON(opts.Announce, path, json.RawMessage(body))
		}
		if err != nil {
			opts.Streams.Printf("heartbeat failed: %v", err)
		}
		time.Sleep(announceEvery)
	}
}
