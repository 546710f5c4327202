// Package daemon wires the decision packages to sockets and the store. It
// moves bytes; what to do is decided in the other packages.
package daemon

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	mrand "math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/hashicorp/go-hclog"
	"github.com/panjf2000/ants/v2"
	"github.com/valyala/fasthttp"
	"google.golang.org/grpc"

	"chestnutlatch/choose"
	"chestnutlatch/clock"
	"chestnutlatch/entry"
	"chestnutlatch/guard"
	"chestnutlatch/ident"
	"chestnutlatch/limit"
	"chestnutlatch/meter"
	"chestnutlatch/once"
	"chestnutlatch/peers"
	"chestnutlatch/setup"
	"chestnutlatch/store"
	"chestnutlatch/table"
)

const (
	// poolSize bounds the goroutines for exchanges and background calls.
	poolSize = 4096
	// incarnationBits leaves room to tell two starts in one millisecond apart.
	incarnationBits = 12
	secretBytes     = 32
	// clockError bounds the drift of two clocks over one rate lease.
	clockError = clock.Minute
	// hardBodyFactor times max_request_bytes is what is read of a body that is
	// too large, so that its sender gets an answer and not a reset.
	hardBodyFactor = 4
	// pauseLimit is the gap after which a daemon counts as paused.
	pauseLimit = 3 * clock.Second
)

// Daemon is one process of the fleet.
type Daemon struct {
	cfg   *setup.Settings
	clk   clock.Clock
	log   hclog.Logger
	store store.Store

	instance    ident.Instance
	incarnation ident.Incarnation
	meter       *meter.Meter
	table       *table.Table
	picker      *choose.Picker
	purse       *limit.Purse
	allocator   *limit.Allocator
	guard       *guard.Guard
	entry       *entry.Entry
	peers       *peers.Pool
	pool        *ants.Pool
	vitals      *vitals

	members *members
	slots   *slots
	syncer  *syncer

	inner    *grpc.Server
	callers  *fasthttp.Server
	operator *fasthttp.Server
	// superseded is closed when a newer incarnation runs on this instance.
	superseded chan struct{}
	once       sync.Once
}

// New returns a daemon that does nothing before Run.
func New(cfg *setup.Settings, clk clock.Clock, log hclog.Logger, st store.Store) (*Daemon, error) {
	creds, err := innerCredentials(cfg)
	if err != nil {
		return nil, err
	}
	pool, err := ants.NewPool(poolSize, ants.WithNonblocking(true))
	if err != nil {
		return nil, errors.Wrap(err, "create worker pool")
	}
	seed, secret, err := randomness()
	if err != nil {
		return nil, err
	}
	rnd := mrand.New(mrand.NewPCG(seed, uint64(clk.Wall())))
	d := &Daemon{
		cfg: cfg, clk: clk, log: log, store: st,
		instance:    cfg.Instance,
		incarnation: ident.Incarnation(uint64(clk.Wall())<<incarnationBits | rnd.Uint64N(1<<incarnationBits)),
		meter:       meter.New(),
		table:       table.New(),
		picker:      choose.New(cfg.DataCentre, cfg.Region, seed),
		allocator:   limit.NewAllocator(cfg.RateSlots),
		peers:       peers.New(creds, cfg.FleetSecret),
		pool:        pool,
		vitals:      newVitals(),
		superseded:  make(chan struct{}),
	}
	d.guard = d.newGuard(secret)
	d.members = newMembers(d, rnd)
	d.purse = limit.NewPurse(cfg.RateSlots, d.members.slotDistance)
	d.slots = newSlots(d)
	d.syncer = newSyncer(d)
	d.entry = d.newEntry()
	d.inner = grpc.NewServer(peers.ServerOptions(creds, cfg.FleetSecret)...)
	registerInner(d)
	d.callers = d.newCallers()
	d.operator = &fasthttp.Server{Handler: d.operate, Name: "chestnutlatch", NoDefaultServerHeader: true}
	d.registerGauges()
	return d, nil
}

func randomness() (seed uint64, secret []byte, err error) {
	secret = make([]byte, secretBytes)
	if _, err := rand.Read(secret); err != nil {
		return 0, nil, errors.Wrap(err, "read random bytes")
	}
	var b [8]byte
	if _, err := rand.Read(b[:]); err != nil {
		return 0, nil, errors.Wrap(err, "read random bytes")
	}
	return binary.LittleEndian.Uint64(b[:]), secret, nil
}

func (d *Daemon) newGuard(secret []byte) *guard.Guard {
	home := once.New(once.Config{
		Instance: d.instance, Incarnation: d.incarnation, Secret: secret,
		TTL: d.cfg.TicketTTL, MaxOpen: d.cfg.MaxTickets, MaxKeptBytes: d.cfg.KeptBytes,
	})
	g := guard.New(guard.Config{QueueLimit: d.cfg.QueueLimit, MaxAnswerBytes: d.cfg.MaxAnswerBytes},
		guard.Deps{
			Clock: d.clk, Log: d.log.Named("guard"), Peers: d.vitals, Pool: d.pool, Home: home, IsDrained: d.table.Draining,
		})
	for _, t := range d.cfg.Targets {
		g.Add(guard.Spec{ID: t.ID, Service: t.Service, Address: t.Address, Slots: t.Slots})
	}
	return g
}

func (d *Daemon) newEntry() *entry.Entry {
	return entry.New(entry.Deps{
		Instance: d.instance, Incarnation: d.incarnation,
		Clock: d.clk, Log: d.log.Named("entry"), Meter: d.meter,
		Table: d.table, Picker: d.picker, Purse: d.purse, Guard: d.guard,
		Peers: d.peers, Fleet: d.members, Drawer: d.slots, Pool: d.pool,
		MaxBody: d.cfg.MaxRequestBytes,
	})
}

func (d *Daemon) newCallers() *fasthttp.Server {
	return &fasthttp.Server{
		Handler:               d.entry.Handle,
		ErrorHandler:          d.entry.OnError,
		Name:                  "chestnutlatch",
		NoDefaultServerHeader: true,
		MaxRequestBodySize:    hardBodyFactor * d.cfg.MaxRequestBytes,
		ReadTimeout:           d.cfg.ReadTimeout.Duration(),
		IdleTimeout:           time.Minute,
		Concurrency:           d.cfg.MaxCallers,
		CloseOnShutdown:       true,
		Logger:                callerLog{d.log},
	}
}

// callerLog writes the HTTP server's complaints at debug level.
type callerLog struct {
	log hclog.Logger
}

// Printf implements fasthttp.Logger.
func (l callerLog) Printf(format string, args ...any) {
	l.log.Debug("http", "message", format, "args", len(args))
}

func (d *Daemon) registerGauges() {
	d.meter.Gauge("chestnutlatch_config_revision", func() float64 { return float64(d.table.Revision()) })
	d.meter.Gauge("chestnutlatch_config_bytes", func() float64 { return float64(d.table.Bytes()) })
	d.meter.Gauge("chestnutlatch_members", func() float64 { return float64(d.members.count()) })
	d.meter.Gauge("chestnutlatch_targets", func() float64 { return float64(d.picker.Count()) })
	d.meter.Gauge("chestnutlatch_rate_slots_held", func() float64 { return float64(d.slots.count()) })
	d.meter.Gauge("chestnutlatch_tickets_open", func() float64 {
		open, _ := d.guard.TicketStats()
		return float64(open)
	})
}

// Run serves until ctx ends, then stops as planned: no new work, everything
// accepted is answered, rate slots are released.
func (d *Daemon) Run(ctx context.Context) error {
	work, stopWork := context.WithCancel(context.Background())
	defer stopWork()
	listeners, err := d.listen()
	if err != nil {
		return err
	}
	failed := d.start(work, listeners)
	d.log.Info("daemon started", "instance", d.instance, "incarnation", uint64(d.incarnation),
		"data_centre", d.cfg.DataCentre, "caller_address", d.cfg.CallerAddress)
	select {
	case <-ctx.Done():
		d.leave()
		return nil
	case <-d.superseded:
		return errors.Errorf("a newer process runs as instance %s: give every daemon its own instance name", d.instance)
	case err := <-failed:
		return err
	}
}

type listeners struct {
	callers  net.Listener
	inner    net.Listener
	operator net.Listener
	members  net.PacketConn
}

func (d *Daemon) listen() (*listeners, error) {
	var l listeners
	var err error
	if l.callers, err = net.Listen("tcp", d.cfg.CallerAddress); err != nil {
		return nil, errors.Wrap(err, "caller_address: free the port or choose another")
	}
	if l.inner, err = net.Listen("tcp", d.cfg.InnerAddress); err != nil {
		return nil, errors.Wrap(err, "inner_address: free the port or choose another")
	}
	if l.operator, err = net.Listen("tcp", d.cfg.OperatorAddress); err != nil {
		return nil, errors.Wrap(err, "operator_address: free the port or choose another")
	}
	if l.members, err = net.ListenPacket("udp", d.cfg.MemberAddress); err != nil {
		return nil, errors.Wrap(err, "member_address: free the port or choose another")
	}
	return &l, nil
}

// start runs the servers and the loops; the channel tells of a server that
// failed.
func (d *Daemon) start(ctx context.Context, l *listeners) <-chan error {
	failed := make(chan error, 3)
	run := func(name string, serve func() error) {
		if err := serve(); err != nil {
			failed <- errors.Wrap(err, name)
		}
	}
	go run("inner server", func() error { return d.inner.Serve(l.inner) })
	go run("operator server", func() error { return d.operator.Serve(l.operator) })
	go run("caller server", func() error {
		if d.cfg.CallerCert != "" {
			return d.callers.ServeTLS(l.callers, d.cfg.CallerCert, d.cfg.CallerKey)
		}
		return d.callers.Serve(l.callers)
	})
	d.members.start(ctx, l.members)
	go d.syncer.run(ctx)
	go d.slots.run(ctx)
	go d.report(ctx)
	go d.tickGuard(ctx)
	return failed
}

const (
	guardTick = 100 * time.Millisecond
	vitalTick = time.Second
	sweepTick = 30 * time.Second
)

// tickGuard judges the targets and tells peers of changes.
func (d *Daemon) tickGuard(ctx context.Context) {
	tick := time.NewTicker(guardTick)
	defer tick.Stop()
	tell := time.NewTicker(vitalTick)
	defer tell.Stop()
	sweep := time.NewTicker(sweepTick)
	defer sweep.Stop()
	d.members.setTargets(d.guard.Infos())
	for {
		select {
		case <-ctx.Done():
			return
		case <-sweep.C:
			d.allocator.Sweep(d.clk.Now())
			d.purse.Sweep(d.clk.Now())
		case <-tell.C:
			now := d.clk.Now()
			own := d.guard.Vitals(now)
			// Local targets of one service are each other's peers, too.
			d.vitals.take(now, own)
			d.members.tellVitals(own)
		case <-tick.C:
			if d.guard.Tick(d.clk.Now()) {
				d.members.setTargets(d.guard.Infos())
			}
		}
	}
}

// leave is the planned stop.
func (d *Daemon) leave() {
	d.log.Info("daemon is stopping", "timeout_ms", int64(d.cfg.StopTimeout))
	ctx, cancel := context.WithTimeout(context.Background(), d.cfg.StopTimeout.Duration())
	defer cancel()
	d.guard.Drain()
	d.members.setTargets(d.guard.Infos())
	d.slots.release(ctx)
	d.settle(ctx)
	if err := d.callers.ShutdownWithContext(ctx); err != nil {
		d.log.Warn("callers were cut off", "error", err)
	}
	for !d.guard.IsIdle() && ctx.Err() == nil {
		time.Sleep(leaveStep)
	}
	d.members.leave()
	d.stopInner(ctx)
	d.log.Info("daemon stopped")
}

const (
	leaveStep = 20 * time.Millisecond
	// settleTime lets peers learn that the targets take no new work before
	// the callers' port closes.
	settleTime = 700 * time.Millisecond
)

func (d *Daemon) settle(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-time.After(settleTime):
	}
}

// stopInner ends the inner server when its calls are done or time is over.
func (d *Daemon) stopInner(ctx context.Context) {
	done := make(chan struct{})
	go func() {
		d.inner.GracefulStop()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
		d.inner.Stop()
	}
	d.peers.Close()
	_ = d.operator.Shutdown()
}
