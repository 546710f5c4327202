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

// announceInterval is the time between two announcements or heartbeats to the
// daemon.
const announceInterval = time.Second

// TargetOptions are the flags of `standin target`.
type TargetOptions struct {
	Streams         cmdkit.Streams
	ID              string
	Service         string
	Address         string
	Control         string
	Announce        string
	Adapter         string
	DataCentre      string
	CallAddress     string
	CallPath        string
	Slots           int
	MeanServiceTime time.Duration
	ColdDuration    time.Duration
	ColdFactor      float64
	Seed            uint64
}

// NewCmdTarget returns the `standin target` command.
func NewCmdTarget(s cmdkit.Streams, runF func(*TargetOptions) error) *cobra.Command {
	opts := &TargetOptions{Streams: s}
	cmd := &cobra.Command{
		Use:     "target",
		Short:   "Run a stand-in of a target",
		Example: "  standin target --id t1 --service stores --address 127.0.0.1:8001 --control 127.0.0.1:8002",
		Args:    cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			if opts.ID == "" || opts.Service == "" {
				return &cmdkit.FlagError{Flag: "id", Hint: "set both --id and --service"}
			}
			if opts.Adapter != "" && opts.Adapter != setup.AdapterKV {
				return &cmdkit.FlagError{Flag: "adapter", Hint: "use " + setup.AdapterKV + " or leave it out"}
			}
			if (opts.CallAddress == "") != (opts.CallPath == "") || opts.CallAddress != "" && opts.Adapter == "" {
				return &cmdkit.FlagError{Flag: "call-through", Hint: "set it together with --call-path and --adapter, or leave both out"}
			}
			if runF != nil {
				return runF(opts)
			}
			return targetRun(opts)
		},
	}
	fl := cmd.Flags()
	fl.StringVar(&opts.ID, "id", "", "id of the target")
	fl.StringVar(&opts.Service, "service", "", "service of the target")
	fl.StringVar(&opts.Address, "address", "127.0.0.1:8001", "address of the target")
	fl.StringVar(&opts.Control, "control", "127.0.0.1:8002", "address of the control endpoints: PUT /faults, GET /record")
	fl.StringVar(&opts.Announce, "announce", "", "operator address of the daemon beside the target")
	fl.StringVar(&opts.Adapter, "adapter", "", "use the platform interface of this adapter (kv) instead of the product's own")
	fl.StringVar(&opts.DataCentre, "data-centre", "", "data centre to report in heartbeats, with --adapter")
	fl.StringVar(&opts.CallAddress, "call-through", "", "address of a daemon through which the target calls --call-path during each request, with --adapter")
	fl.StringVar(&opts.CallPath, "call-path", "", "path of these calls; requests whose path begins with it make no call")
	fl.IntVar(&opts.Slots, "slots", 5, "number of requests served at once")
	fl.DurationVar(&opts.MeanServiceTime, "work", 5*time.Millisecond, "mean service time")
	fl.DurationVar(&opts.ColdDuration, "cold", 0, "time after the start in which the target is cold, and slower")
	fl.Float64Var(&opts.ColdFactor, "cold-factor", 3, "factor by which the service time of a cold target is multiplied")
	fl.Uint64Var(&opts.Seed, "seed", 1, "seed of the random service times and faults")
	return cmd
}

// targetRun serves the target and its control endpoints, and reports to the daemon
// if one is given.
func targetRun(opts *TargetOptions) error {
	cfg := stand.TargetConfig{
		ID: ident.Target(opts.ID), Service: ident.Service(opts.Service), Slots: opts.Slots,
		MeanServiceTime: clock.FromDuration(opts.MeanServiceTime), ColdDuration: clock.FromDuration(opts.ColdDuration),
		ColdFactor: opts.ColdFactor, Seed: opts.Seed,
	}
	report := announceToDaemon
	if opts.Adapter != "" {
		cfg.Dialect = platform.Adapter().Dialect
		cfg.CallAddress, cfg.CallPath = opts.CallAddress, opts.CallPath
		report = sendHeartbeats
	}
	t := stand.NewTarget(cfg, clock.NewSystem())
	l, err := net.Listen("tcp", opts.Address)
	if err != nil {
		return errors.Wrap(err, "listen on the target address")
	}
	if opts.Announce != "" {
		go report(opts, t)
	}
	go func() { _ = fasthttp.ListenAndServe(opts.Control, t.Control) }()
	return t.Serve(l)
}

// announceToDaemon announces the target to its daemon, or removes it while the
// target is draining, until the process ends.
func announceToDaemon(opts *TargetOptions, t *stand.Target) {
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
			opts.Streams.Printf("announcement to the daemon failed, will retry: %v", err)
			time.Sleep(announceInterval / 5)
			continue
		}
		time.Sleep(announceInterval)
	}
}

// sendHeartbeats sends the platform's heartbeats to the daemon until the process
// ends.
func sendHeartbeats(opts *TargetOptions, t *stand.Target) {
	heartbeat := guard.Heartbeat{
		Spec:      guard.TargetSpec{ID: ident.Target(opts.ID), Service: ident.Service(opts.Service), Address: opts.Address, Slots: opts.Slots},
		StartedAt: clock.NewSystem().Wall(),
	}
	for {
		heartbeat.Sequence++
		heartbeat.Draining = t.IsDraining()
		path, body, err := platform.EncodeHeartbeat(heartbeat, ident.DataCentre(opts.DataCentre))
		if err == nil {
			err = fleet.PutJSON(opts.Announce, path, json.RawMessage(body))
		}
		if err != nil {
			opts.Streams.Printf("heartbeat to the daemon failed, will retry: %v", err)
		}
		time.Sleep(announceInterval)
	}
}
