// Package daemon wires the decision packages to sockets and the store. It
// moves bytes; what to do is decided in the other packages.
package daemon

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	mrand "math/rand/v2"
	"sync"
	"sync/atomic"
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
	"chestnutlatch/member"
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
	// beatsMissed is the number of heartbeats after which a target is silent;
	// they may come seconds late.
	beatsMissed = 6
	// keepAttempts is how long a one-time request is remembered after its
	// deadline; copies are not delayed longer than connections live through a
	// cut.
	keepAttempts = 30 * clock.Second
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

	// fleet is members or roster.
	fleet   fleet
	members *members
	slots   *slots
	syncer  *syncer

	// platform is nil where the daemons keep their own membership and the
	// product's own log of changes.
	platform *Platform
	roster   *rosterFleet
	docs     *docs
	near     *near
	digest   *digest
	shares   *limit.Shares
	words    storeWords
	// live holds the settings that Reload may replace.
	live atomic.Pointer[setup.Settings]
	// stopping tells that a planned stop has begun.
	stopping atomic.Bool

	inner    *grpc.Server
	callers  *fasthttp.Server
	operator *fasthttp.Server
	ready    *fasthttp.Server
	announce *fasthttp.Server
	// superseded is closed when a newer incarnation runs on this instance.
	superseded chan struct{}
	once       sync.Once
}

// fleet is what a daemon knows of the others, however it learns it.
type fleet interface {
	entry.Fleet
	count() int
	// known returns all daemons, this one included.
	known() []*member.Member
	setTargets(targets []member.Target)
	tellVitals(list []member.Vital)
	leave()
}

// New returns a daemon that does nothing before Run.
func New(cfg *setup.Settings, clk clock.Clock, log hclog.Logger, st store.Store) (*Daemon, error) {
	return NewOn(nil, cfg, clk, log, st)
}

// NewOn returns a daemon for a platform with an interface of its own; nil
// stands for the product's own interface.
func NewOn(p *Platform, cfg *setup.Settings, clk clock.Clock, log hclog.Logger, st store.Store) (*Daemon, error) {
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
		platform:    p,
	}
	d.live.Store(cfg)
	d.guard = d.newGuard(secret)
	d.members = newMembers(d, rnd)
	d.fleet = d.members
	if p != nil {
		d.settleOn(rnd)
	}
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

// settleOn makes what a daemon on a platform uses in place of the membership,
// the log of changes and the rate slots.
func (d *Daemon) settleOn(rnd *mrand.Rand) {
	d.roster = newRosterFleet(d, rnd)
	d.fleet = d.roster
	d.docs = newDocs(d)
	d.near = newNear(d)
	d.digest = newDigest(d)
	d.shares = limit.NewShares(d.clk.Now(), mrand.New(mrand.NewPCG(rnd.Uint64(), rnd.Uint64())), shareConfig(d.cfg), d.table.Team)
	d.ready = &fasthttp.Server{Handler: d.serveReadiness, NoDefaultServerHeader: true}
	d.announce = &fasthttp.Server{Handler: d.serveAnnouncements, NoDefaultServerHeader: true}
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
	cfg := guard.Config{QueueLimit: d.cfg.QueueLimit, MaxAnswerBytes: d.cfg.MaxAnswerBytes, Incarnation: d.incarnation}
	deps := guard.Deps{
		Clock: d.clk, Log: d.log.Named("guard"), Peers: d.vitals, Pool: d.pool, Home: home, IsDrained: d.table.Draining,
		Meter: d.meter,
	}
	if d.platform != nil {
		cfg.Dialect = d.platform.Dialect
		cfg.AnnounceLife = d.cfg.BeatEvery * beatsMissed
		cfg.RefuseAt = choose.SuspectAt
		cfg.KeepAlive = true
		deps.Attempts = once.NewAttempts(once.AttemptConfig{
			Keep: keepAttempts, MaxOpen: d.cfg.MaxTickets, MaxKeptBytes: d.cfg.KeptBytes,
		})
	}
	g := guard.New(cfg, deps)
	for _, t := range d.cfg.Targets {
		g.Add(guard.Spec{ID: t.ID, Service: t.Service, Address: t.Address, Slots: t.Slots})
	}
	return g
}

func (d *Daemon) newEntry() *entry.Entry {
	deps := entry.Deps{
		Instance: d.instance, Incarnation: d.incarnation,
		Clock: d.clk, Log: d.log.Named("entry"), Meter: d.meter,
		Table: d.table, Picker: d.picker, Purse: d.purse, Guard: d.guard,
		Peers: d.peers, Fleet: d.fleet, Drawer: d.slots, Pool: d.pool,
		MaxBody: d.cfg.MaxRequestBytes, Costs: choose.DefaultCosts(), LogSample: d.cfg.LogSample,
	}
	if d.platform != nil {
		deps.Dialect = d.platform.Dialect
		deps.Service = d.cfg.Service
		deps.Shares = d.shares
		deps.LeaveTime = d.cfg.LeaveTime
	}
	return entry.New(deps)
}

func (d *Daemon) newCallers() *fasthttp.Server {
	head := 0
	if d.platform != nil {
		head = maxHead
	}
	return &fasthttp.Server{
		Handler:               d.handle,
		HeaderReceived:        d.limitsOf,
		ErrorHandler:          d.entry.OnError,
		Name:                  "chestnutlatch",
		NoDefaultServerHeader: true,
		NoDefaultContentType:  d.platform != nil,
		NoDefaultDate:         d.platform != nil,
		ReadBufferSize:        head,
		MaxRequestBodySize:    hardBodyFactor * d.cfg.MaxRequestBytes,
		Concurrency:           d.cfg.MaxCallers,
		CloseOnShutdown:       true,
		Logger:                callerLog{d.log},
	}
}

// limitsOf returns the bounds on the body of a request whose head was read.
func (d *Daemon) limitsOf(*fasthttp.RequestHeader) fasthttp.RequestConfig {
	return fasthttp.RequestConfig{MaxRequestBodySize: d.callerLimits().BodyBytes, ReadTimeout: d.cfg.ReadTimeout.Duration()}
}

// handle serves a caller. During a planned stop it tells callers to connect
// anew.
func (d *Daemon) handle(c *fasthttp.RequestCtx) {
	d.entry.Handle(c)
	if d.stopping.Load() {
		c.SetConnectionClose()
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

// start runs the servers and the loops; the channel tells of a server that
// failed.
func (d *Daemon) start(ctx context.Context, l *listeners) <-chan error {
	failed := make(chan error, serverCount)
	run := func(name string, serve func() error) {
		if err := serve(); err != nil {
			failed <- errors.Wrap(err, name)
		}
	}
	go run("inner server", func() error { return d.inner.Serve(l.inner) })
	go run("operator server", func() error { return d.operator.Serve(l.operator) })
	callers := &callerListener{Listener: l.callers, d: d}
	go run("caller server", func() error {
		if d.cfg.CallerCert != "" {
			return d.callers.ServeTLS(callers, d.cfg.CallerCert, d.cfg.CallerKey)
		}
		return d.callers.Serve(callers)
	})
	go d.tickGuard(ctx)
	if d.platform != nil {
		go run("readiness server", func() error { return d.ready.Serve(l.ready) })
		go run("announcement server", func() error { return d.announce.Serve(l.announce) })
		d.near.start(ctx, l.members)
		go d.roster.run(ctx)
		go d.docs.run(ctx)
		go d.endWaits(ctx)
		return failed
	}
	d.members.start(ctx, l.members)
	go d.syncer.run(ctx)
	go d.slots.run(ctx)
	go d.report(ctx)
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
	d.fleet.setTargets(d.guard.Infos())
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
			d.fleet.tellVitals(own)
		case <-tick.C:
			if d.guard.Tick(d.clk.Now()) {
				d.fleet.setTargets(d.guard.Infos())
			}
		}
	}
}
