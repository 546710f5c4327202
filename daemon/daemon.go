// Package daemon implements the process that runs beside each target instance.
// It connects the packages that make decisions, such as limit, choose and guard,
// to sockets, peers and the store. The serve command creates a Daemon from
// settings and runs it.
package daemon

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"math"
	mrand "math/rand/v2"
	"sync"
	"sync/atomic"
	"syscall"
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
	"chestnutlatch/memory"
	"chestnutlatch/meter"
	"chestnutlatch/once"
	"chestnutlatch/peers"
	"chestnutlatch/setup"
	"chestnutlatch/store"
	"chestnutlatch/table"
)

const (
	// poolSize is the maximum number of goroutines for exchanges and background
	// calls.
	poolSize = 4096
	// incarnationBits is the number of random low bits of an incarnation, which
	// distinguish two starts in one millisecond.
	incarnationBits   = 12
	ticketSecretBytes = 32
	// maxClockDrift is the maximum drift between two clocks during one rate lease.
	maxClockDrift = clock.Minute
	// answerMemoryPart is the part of memory_limit_mb that large answers may fill while
	// they are read. Buffers that grow take several times as much.
	answerMemoryPart = 8
	// missedHeartbeats is the number of heartbeat intervals after which a target
	// without a heartbeat expires. Heartbeats may arrive seconds late.
	missedHeartbeats = 6
	// attemptRetention is how long a one-time request is remembered after its
	// deadline. Its copies do not arrive later: connections do not survive a
	// network partition for longer.
	attemptRetention = 30 * clock.Second
	// pauseLimit is the gap between ticks after which the process counts as paused.
	pauseLimit = 3 * clock.Second
)

// Daemon is one process of the fleet. Run may be called once.
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
	tokenCache  *limit.TokenCache
	allocator   *limit.Allocator
	guard       *guard.Guard
	entry       *entry.Entry
	peers       *peers.Pool
	pool        *ants.Pool
	peerStats   *peerStats
	memory      *memory.Account
	// callerBuffers counts the connections of callers and the buffers of their heads.
	callerBuffers *callerBuffers

	// fleet is members, or roster on a platform. On a platform, members, rateSlots
	// and logSyncer exist but are not started.
	fleet     fleet
	members   *members
	rateSlots *rateSlots
	logSyncer *logSyncer

	// platform is nil if the daemon uses the product's own interface, with the
	// gossip membership and the log of changes. The fields from roster to shares
	// are used on a platform only.
	platform       *Platform
	roster         *rosterFleet
	departures     *departureLog
	documentSyncer *documentSyncer
	localBroadcast *localBroadcast
	loadSummary    *loadSummary
	shares         *limit.ShareLimiter
	storeState     storeState
	evacuations    *evacuations
	eraReports     eraReports
	// liveSettings holds the settings that were last loaded.
	liveSettings atomic.Pointer[setup.Settings]
	// stopping is set when a planned stop begins.
	stopping atomic.Bool

	inner   *grpc.Server
	callers *fasthttp.Server
	// callerConns holds the connections of callers; it is set by start.
	callerConns *callerListener
	operator    *fasthttp.Server
	ready       *fasthttp.Server
	announce    *fasthttp.Server
	// superseded is closed when a newer incarnation runs on this instance.
	superseded    chan struct{}
	supersedeOnce sync.Once
}

// fleet is the daemon's view of the fleet's members. Its implementations are
// members (gossip) and rosterFleet (keys in the store).
type fleet interface {
	entry.Fleet
	// count returns the number of members.
	count() int
	// allMembers returns the records of all members, including this daemon's.
	allMembers() []*member.Member
	// setTargets publishes the local targets.
	setTargets(targets []member.Target)
	// sendTargetStats sends statistics of the local targets to other guards.
	sendTargetStats(list []member.TargetStats)
	// announceShutdown removes this daemon from the fleet.
	announceShutdown()
}

// New returns a daemon with the product's own interface. It opens no sockets
// before Run. It fails, for example, if the TLS files of the settings cannot be
// loaded.
func New(cfg *setup.Settings, clk clock.Clock, log hclog.Logger, st store.Store) (*Daemon, error) {
	return NewWithPlatform(nil, cfg, clk, log, st)
}

// NewWithPlatform returns a daemon for a platform. If p is nil, the daemon has the
// product's own interface, as with New.
func NewWithPlatform(p *Platform, cfg *setup.Settings, clk clock.Clock, log hclog.Logger, st store.Store) (*Daemon, error) {
	creds, err := innerCredentials(cfg)
	if err != nil {
		return nil, err
	}
	pool, err := ants.NewPool(poolSize, ants.WithNonblocking(true))
	if err != nil {
		return nil, errors.Wrap(err, "create worker pool")
	}
	seed, secret, err := randomSeedAndSecret()
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
		peers:       peers.New(creds, cfg.FleetSecret, clk, log.Named("peers")),
		pool:        pool,
		peerStats:   newPeerStats(),
		memory:      newAccount(cfg),
		superseded:  make(chan struct{}),
		platform:    p,
	}
	d.evacuations = newEvacuations(d)
	if s, ok := st.(store.CallSource); ok {
		s.OnCall(d.meter.CountStoreRequest)
	}
	d.liveSettings.Store(cfg)
	d.guard = d.newGuard(secret)
	d.members = newMembers(d, rnd)
	d.fleet = d.members
	if p != nil {
		d.initPlatform(rnd)
	}
	d.tokenCache = limit.NewTokenCache(cfg.RateSlots, d.members.slotDistance)
	d.rateSlots = newRateSlots(d)
	d.logSyncer = newLogSyncer(d)
	d.entry = d.newEntry()
	d.inner = grpc.NewServer(append(peers.ServerOptions(creds, cfg.FleetSecret), peers.CheckBodies(bodyMemory{d}, cfg.FleetSecret), peers.HoldReplies(bodyMemory{d}))...)
	registerInner(d)
	d.callers = d.newCallers()
	d.operator = newServer(d.handleOperator)
	d.registerGauges()
	return d, nil
}

// initPlatform creates the components that replace the gossip membership, the
// log of changes and the rate slots on a platform.
func (d *Daemon) initPlatform(rnd *mrand.Rand) {
	d.roster = newRosterFleet(d, rnd)
	d.fleet = d.roster
	d.departures = newDepartureLog(d)
	d.documentSyncer = newDocumentSyncer(d, mrand.New(mrand.NewPCG(rnd.Uint64(), rnd.Uint64())))
	d.localBroadcast = newLocalBroadcast(d)
	d.loadSummary = newLoadSummary(d)
	d.shares = limit.NewShareLimiter(d.clk.Now(), mrand.New(mrand.NewPCG(rnd.Uint64(), rnd.Uint64())), shareConfig(d.cfg), d.table.Team)
	d.ready = newServer(d.serveReadiness)
	d.announce = newServer(d.serveAnnouncements)
}

func randomSeedAndSecret() (seed uint64, secret []byte, err error) {
	secret = make([]byte, ticketSecretBytes)
	if _, err := rand.Read(secret); err != nil {
		return 0, nil, errors.Wrap(err, "read random bytes")
	}
	var b [8]byte
	if _, err := rand.Read(b[:]); err != nil {
		return 0, nil, errors.Wrap(err, "read random bytes")
	}
	return binary.LittleEndian.Uint64(b[:]), secret, nil
}

// newAccount returns the account of the bodies that a daemon holds.
func newAccount(cfg *setup.Settings) *memory.Account {
	limit, reserve := cfg.BodyMemory()
	sender := max((limit-reserve)*int64(cfg.BodySenderPercent)/100, cfg.LargestBodyBuffers())
	return memory.New(memory.Config{
		Limit: limit, Reserve: reserve, AddressLimit: sender, TeamLimit: sender, Window: cfg.BodyWindow, MinBytes: int64(cfg.BodyMinBytes),
		AnswerLimit: max(int64(cfg.MemoryLimitMB)<<20/answerMemoryPart, guard.LargestAnswerMemory(cfg.MaxAnswerBytes)),
	})
}

func (d *Daemon) newGuard(secret []byte) *guard.Guard {
	tickets := once.NewTicketTable(once.TicketConfig{
		Instance: d.instance, Incarnation: d.incarnation, Secret: secret,
		TTL: d.cfg.TicketTTL, MaxTickets: d.cfg.MaxTickets, MaxCachedBytes: d.cfg.MaxKeptAnswerBytes,
	})
	cfg := guard.Config{QueueLimit: d.cfg.QueueLimit, MaxAnswerBytes: d.cfg.MaxAnswerBytes, Incarnation: d.incarnation, Region: d.cfg.Region, DataCentre: d.cfg.DataCentre}
	deps := guard.Deps{
		Clock: d.clk, Log: d.log.Named("guard"), Peers: d.peerStats, Pool: d.pool, Tickets: tickets, IsDrained: d.table.Draining,
		IsEvacuated: d.isEvacuated, ColdLimits: d.table.ColdLimits,
		Meter: d.meter, Memory: d.memory,
	}
	cfg.ColdOvershoot, cfg.ColdSlack = d.cfg.Cold.Overshoot, d.cfg.Cold.Slack
	if d.platform != nil {
		cfg.ShedIsNoFailure = d.cfg.ShedIsNoFailure
		cfg.HeartbeatInterval = d.cfg.HeartbeatInterval
		cfg.Dialect = d.platform.Dialect
		cfg.AnnounceTTL = d.cfg.HeartbeatInterval * missedHeartbeats
		cfg.SuspectThreshold = choose.SuspectThreshold
		cfg.KeepAlive = true
		deps.Attempts = once.NewAttemptTable(once.AttemptConfig{
			Retention: attemptRetention, MaxAttempts: d.cfg.MaxTickets, MaxCachedBytes: d.cfg.MaxKeptAnswerBytes,
		})
	}
	g := guard.New(cfg, deps)
	for _, t := range d.cfg.Targets {
		g.Add(guard.TargetSpec{ID: t.ID, Service: t.Service, Address: t.Address, Slots: t.Slots})
	}
	return g
}

func (d *Daemon) newEntry() *entry.Entry {
	deps := entry.Deps{
		Instance: d.instance, Incarnation: d.incarnation, Region: d.cfg.Region,
		Clock: d.clk, Log: d.log.Named("entry"), Meter: d.meter,
		Table: d.table, Picker: d.picker, TokenCache: d.tokenCache, Guard: d.guard,
		Peers: d.peers, Fleet: d.fleet, Drawer: d.rateSlots, Pool: d.pool,
		MaxBody: d.cfg.MaxRequestBytes, Memory: d.memory, Costs: choose.DefaultCosts(), LogSample: d.cfg.LogSample,
		IsEvacuated: d.isEvacuated,
		ColdLimit: func(s ident.Service) int {
			_, rate := d.table.ColdLimits(s)
			return limit.ColdLimit(rate, d.cfg.Cold.Overshoot, d.cfg.Cold.Slack)
		},
	}
	if d.platform != nil {
		deps.Dialect = d.platform.Dialect
		deps.Service = d.cfg.Service
		deps.Shares = d.shares
		deps.DrainTime = d.cfg.DrainTime
		deps.Costs.SilentAfter = d.cfg.SilentAfter
		deps.Hedge = d.cfg.Hedge
		deps.ShedAttempts = d.cfg.Retries.ShedAttempts
	}
	return entry.New(deps)
}

// newServer returns an HTTP server that passes request bodies to its handler as they
// were sent.
func newServer(handler fasthttp.RequestHandler) *fasthttp.Server {
	return &fasthttp.Server{
		Handler:               handler,
		Name:                  "chestnutlatch",
		NoDefaultServerHeader: true,
		// A parsed form has no raw body: PostBody encodes the form again, with other
		// bytes, and a form that cannot be parsed is refused.
		DisablePreParseMultipartForm: true,
	}
}

func (d *Daemon) newCallers() *fasthttp.Server {
	s := newServer(d.handle)
	s.HeaderReceived = d.requestLimits
	s.ErrorHandler = d.entry.OnError
	s.NoDefaultContentType = d.platform != nil
	s.NoDefaultDate = d.platform != nil
	maxCallers := d.maxCallers()
	d.callerBuffers = d.newCallerBuffers(maxCallers)
	s.ReadBufferSize = d.callerBuffers.readBuffer
	s.StreamRequestBody = true
	s.Concurrency = maxCallers
	// A connection on which nothing has arrived then has no read buffer.
	s.ReduceMemoryUsage = true
	s.CloseOnShutdown = true
	s.Logger = serverLogger{d.log}
	return s
}

// newCallerBuffers returns the count of callers' buffers. A sixteenth of maxCallers is left
// to new connections while idle ones end.
func (d *Daemon) newCallerBuffers(maxCallers int) *callerBuffers {
	b := &callerBuffers{readBuffer: plainHeaderBytes, meter: d.meter}
	if d.platform != nil {
		b.readBuffer = platformHeaderBytes
	}
	if d.cfg.CallerCert == "" {
		b.refusal = d.entry.NoMemoryAnswer()
	}
	b.conns = memory.NewConns(memory.ConnConfig{
		MaxConns: maxCallers - maxCallers/16, Limit: d.cfg.CallerBufferMemory(), Window: d.cfg.BodyWindow, MinBytes: int64(d.cfg.BodyMinBytes),
	})
	return b
}

// maxCallers returns the maximum number of callers' connections: max_callers, or less if
// the process may not open enough descriptors for them and for everything else.
func (d *Daemon) maxCallers() int {
	var files syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &files); err != nil {
		d.log.Warn("cannot read the limit of descriptors, using max_callers as it is", "error", err)
		return d.cfg.MaxCallers
	}
	allowed := callersForFiles(files.Cur)
	if allowed < d.cfg.MaxCallers {
		d.log.Warn("max_callers is reduced to what the limit of descriptors allows", "max_callers", d.cfg.MaxCallers, "used", allowed, "descriptors", files.Cur)
	}
	return min(allowed, d.cfg.MaxCallers)
}

// callersForFiles returns how many descriptors callers may use if the process may open
// files of them. Peers, targets, the store and files keep a quarter, or 256 if that is
// more; callers keep at least one.
func callersForFiles(files uint64) int {
	reserve := max(files/4, 256)
	return int(min(max(files, reserve+1)-reserve, math.MaxInt32))
}

// requestLimits returns the limits for reading a request's body. It is called
// when the request header has been read. The server reads at most one byte of a body
// before it calls the handler: the entry reads the bodies and counts their memory.
func (d *Daemon) requestLimits(*fasthttp.RequestHeader) fasthttp.RequestConfig {
	return fasthttp.RequestConfig{MaxRequestBodySize: 1, ReadTimeout: d.cfg.ReadTimeout.Duration()}
}

// handle serves one request of a caller. During a planned stop it closes the
// connection after the response, so that the caller reconnects elsewhere.
func (d *Daemon) handle(c *fasthttp.RequestCtx) {
	d.entry.Handle(c)
	if d.stopping.Load() {
		c.SetConnectionClose()
	}
}

// serverLogger logs the HTTP server's messages at debug level.
type serverLogger struct {
	log hclog.Logger
}

// Printf implements fasthttp.Logger.
func (l serverLogger) Printf(format string, args ...any) {
	l.log.Debug("HTTP server message", "message", format, "args", len(args))
}

// Run serves until ctx ends, then performs a planned stop: it stops accepting work,
// releases its rate slots and answers the accepted requests, all within
// stop_timeout_ms. It returns an error if an address cannot be listened on, a server
// fails, or a newer process runs with the same instance name.
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
		d.shutDown()
		return nil
	case <-d.superseded:
		return errors.Errorf("a newer process runs as instance %s: give every daemon its own instance name", d.instance)
	case err := <-failed:
		return err
	}
}

// start starts the servers and background loops. The channel receives the error
// of each server that fails.
func (d *Daemon) start(ctx context.Context, l *listeners) <-chan error {
	failed := make(chan error, serverCount)
	run := func(name string, serve func() error) {
		if err := serve(); err != nil {
			failed <- errors.Wrap(err, name)
		}
	}
	go run("inner server", func() error { return d.inner.Serve(l.inner) })
	go run("operator server", func() error { return d.operator.Serve(l.operator) })
	callers := newCallerListener(l.callers, d.clk, d.callerLimits)
	callers.writeTimeout = d.cfg.WriteTimeout.Duration()
	callers.buffers = d.callerBuffers
	d.callerConns = callers
	go run("caller server", func() error {
		if d.cfg.CallerCert != "" {
			return d.callers.ServeTLS(callers, d.cfg.CallerCert, d.cfg.CallerKey)
		}
		return d.callers.Serve(callers)
	})
	go d.tickGuard(ctx)
	go d.refuseWaiting(ctx)
	if d.platform != nil {
		go run("readiness server", func() error { return d.ready.Serve(l.ready) })
		go run("announcement server", func() error { return d.announce.Serve(l.announce) })
		d.followStoreEra(ctx)
		d.localBroadcast.start(ctx, l.members)
		go d.departures.run(ctx)
		go d.roster.run(ctx)
		go d.documentSyncer.run(ctx)
		return failed
	}
	d.members.start(ctx, l.members)
	go d.logSyncer.run(ctx)
	go d.rateSlots.run(ctx)
	go d.runReports(ctx)
	return failed
}

const (
	guardTick       = 100 * time.Millisecond
	targetStatsTick = time.Second
	sweepTick       = 30 * time.Second
)

// tickGuard updates the health of the local targets, publishes changes of their
// state, sends their statistics every targetStatsTick, and sweeps unused rate state.
func (d *Daemon) tickGuard(ctx context.Context) {
	tick := time.NewTicker(guardTick)
	defer tick.Stop()
	sendStats := time.NewTicker(targetStatsTick)
	defer sendStats.Stop()
	sweep := time.NewTicker(sweepTick)
	defer sweep.Stop()
	d.fleet.setTargets(d.guard.Targets())
	for {
		select {
		case <-ctx.Done():
			return
		case <-sweep.C:
			d.allocator.Sweep(d.clk.Now())
			d.tokenCache.Sweep(d.clk.Now())
			d.picker.SweepRetryCounts(d.clk.Now())
			if d.shares != nil {
				d.shares.Sweep(d.clk.Now())
			}
		case <-sendStats.C:
			now := d.clk.Now()
			stats := d.guard.TargetStats(now)
			// Local targets of one service are compared with each other, too.
			d.peerStats.add(now, stats)
			d.fleet.sendTargetStats(stats)
			d.evacuations.logRecorded()
		case <-tick.C:
			d.evacuations.updateGuard()
			if d.guard.Tick(d.clk.Now()) {
				d.fleet.setTargets(d.guard.Targets())
			}
		}
	}
}
