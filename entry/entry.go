// Package entry is the part of a daemon that callers talk to. It checks the
// key, finds the route, keeps the team's rate, chooses a target and forwards
// the request to the guard beside it.
package entry

import (
	"context"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/panjf2000/ants/v2"
	"github.com/valyala/fasthttp"

	"chestnutlatch/choose"
	"chestnutlatch/clock"
	"chestnutlatch/fault"
	"chestnutlatch/guard"
	"chestnutlatch/ident"
	"chestnutlatch/limit"
	"chestnutlatch/meter"
	"chestnutlatch/peers"
	"chestnutlatch/record"
	"chestnutlatch/table"
	"chestnutlatch/wire"
)

// Fleet is what an entry asks about the other daemons.
type Fleet interface {
	// Locate returns a member's inner address and incarnation, and whether
	// the member is up.
	Locate(id ident.Instance) (address string, inc ident.Incarnation, up bool)
	// Relays returns the inner addresses of up to n live members other than
	// the given one.
	Relays(n int, except ident.Instance) []string
	// SlotHolder returns the member that holds a rate slot.
	SlotHolder(s limit.Slot) (id ident.Instance, address string, ok bool)
	// Trust returns a refusal while this daemon cannot know whether a key
	// was withdrawn.
	Trust(now clock.Millis) *fault.Refusal
}

// Drawer grants rate tokens from the slots that this daemon holds.
type Drawer interface {
	Draw(req *wire.DrawRequest) *wire.DrawReply
}

// Deps are what an entry works with.
type Deps struct {
	Instance    ident.Instance
	Incarnation ident.Incarnation
	Clock       clock.Clock
	Log         hclog.Logger
	Meter       *meter.Meter
	Table       *table.Table
	Picker      *choose.Picker
	Purse       *limit.Purse
	Guard       *guard.Guard
	Peers       *peers.Pool
	Fleet       Fleet
	Drawer      Drawer
	Pool        *ants.Pool
	// MaxBody bounds the body of a request, in bytes.
	MaxBody int
	// Dialect names the headers of callers; the zero value is the product's
	// own interface.
	Dialect guard.Dialect
	// Service is the service beside this daemon, for calls between services.
	Service ident.Service
	// Shares admits requests against this daemon's part of the teams' rates;
	// nil draws tokens from rate slots.
	Shares Admitter
	// LogSample logs one in so many plain successes; 0 logs none.
	LogSample int
	// Costs weigh the targets of a request.
	Costs choose.Costs
	// LeaveTime is how long a target that leaves still serves, in milliseconds;
	// its instance goes as long after it. 0 means that daemons do not go with
	// their targets.
	LeaveTime clock.Millis
}

// Admitter keeps the teams' rates without a call.
type Admitter interface {
	// Take spends one request, or returns how long the team should wait.
	Take(now clock.Millis, t record.Team) limit.Taking
}

// Entry serves callers. It is safe for concurrent use.
type Entry struct {
	Deps
	link   *link
	splits *choose.Splitter
	sizes  *choose.Sizes
	// base ends when the requests that still wait must be answered.
	base context.Context
	cut  context.CancelFunc
}

// New returns an entry.
func New(d Deps) *Entry {
	if d.Dialect == (guard.Dialect{}) {
		d.Dialect = guard.OwnDialect()
	}
	e := &Entry{Deps: d, splits: choose.NewSplitter(uint64(d.Incarnation)), sizes: choose.NewSizes()}
	e.base, e.cut = context.WithCancel(context.Background())
	e.link = newLink(e.base, d)
	return e
}

// request is one caller's request on its way through the entry.
type request struct {
	route  record.Route
	team   record.Team
	ticket string
	// began is when the request had been read.
	began clock.Millis
	// taking is what the team's share decided; nil if it was not asked.
	taking *limit.Taking
	// unknown tells that an attempt may have reached a target.
	unknown bool
	out     *wire.ForwardRequest
	// trail is what the guards said.
	trail trail
	// deadline is when the caller's time is over.
	deadline clock.Millis
}

// Handle serves one request.
func (e *Entry) Handle(c *fasthttp.RequestCtx) {
	began := time.Now()
	defer func() { e.Meter.Duration.UpdateDuration(began) }()
	if !e.byAttempt() && string(c.Path()) == ticketsPath {
		e.handleTickets(c)
		return
	}
	r, refusal := e.admit(c)
	if refusal == nil {
		refusal = e.serve(c, r)
	}
	if refusal != nil {
		e.refuse(c, refusal)
	} else {
		e.Meter.Served.Inc()
	}
	e.count(c, r, refusal)
	e.logEnd(c, r, refusal, time.Since(began))
}

// count counts the end of a request whose route is known.
func (e *Entry) count(c *fasthttp.RequestCtx, r *request, refusal *fault.Refusal) {
	if r == nil {
		return
	}
	end := meter.EndServed
	switch {
	case refusal != nil:
		end = refusal.Outcome.String()
	case c.Response.StatusCode() >= fasthttp.StatusInternalServerError:
		end = meter.EndFailed
	}
	e.Meter.Ended(kindOf(r.route), end)
}

func kindOf(r record.Route) meter.RouteKind {
	switch {
	case r.Open:
		return meter.RouteCall
	case r.OneTime:
		return meter.RouteOneTime
	default:
		return meter.RouteIdempotent
	}
}

// Cut ends the requests under way, for a planned stop whose time is over. Those
// that wait for a slot are told that they have not run.
func (e *Entry) Cut() { e.cut() }

// byAttempt reports whether callers name their attempts themselves.
func (e *Entry) byAttempt() bool { return e.Dialect.Attempt != "" }

func (e *Entry) refuse(c *fasthttp.RequestCtx, r *fault.Refusal) {
	e.Meter.Refused(r)
	e.writeRefusal(c, r, "")
}

// admit checks route and key and prepares the forward request.
func (e *Entry) admit(c *fasthttp.RequestCtx) (*request, *fault.Refusal) {
	now := e.Clock.Now()
	ticket := string(c.Request.Header.Peek(ticketHeader))
	if n := len(c.PostBody()); n > e.MaxBody {
		return nil, certainOnlyWithout(ticket, fault.NotRun(fault.TooLarge,
			"request body has %d bytes, max_request_bytes is %d: send less", n, e.MaxBody))
	}
	if most := e.Table.CallerLimits().HeadBytes; most > 0 && sizeOfHead(c) > most {
		return nil, certainOnlyWithout(ticket, fault.NotRun(fault.TooLarge,
			"request head has %d bytes, the limit is %d: send fewer or shorter headers", sizeOfHead(c), most))
	}
	path, refusal := e.sentPath(c)
	if refusal != nil {
		return nil, certainOnlyWithout(ticket, refusal)
	}
	route, team, refusal := e.authorize(c, path, now)
	if refusal != nil {
		return nil, certainOnlyWithout(ticket, refusal)
	}
	timeout, refusal := e.timeoutOf(c, route.Timeout)
	if refusal != nil {
		return nil, certainOnlyWithout(ticket, refusal)
	}
	r := &request{route: route, team: team, began: now, deadline: now + timeout}
	if route.OneTime {
		r.ticket = ticket
	}
	r.out = e.toForward(c, r)
	if e.byAttempt() {
		r.out.Attempt = string(c.Request.Header.Peek(e.Dialect.Attempt))
	}
	return r, nil
}

// certainOnlyWithout weakens a refusal of a request that carries a ticket: an
// earlier copy of the action may have run, and only the ticket's home knows.
func certainOnlyWithout(ticket string, r *fault.Refusal) *fault.Refusal {
	if ticket != "" {
		r.Outcome = ident.OutcomeUnknown
	}
	return r
}

// authorize finds the route of a path and the team of the key.
func (e *Entry) authorize(c *fasthttp.RequestCtx, path string, now clock.Millis) (record.Route, record.Team, *fault.Refusal) {
	if e.Table.Revision() == 0 {
		return record.Route{}, record.Team{}, fault.NotRun(fault.NotReady,
			"daemon has no configuration yet: repeat, or send the request to another daemon").After(clock.Second)
	}
	route, ok := e.Table.Match(hostOf(c), path)
	if !ok {
		return route, record.Team{}, fault.NotRun(fault.NoRoute, "no route matches this host and path: check the address")
	}
	if route.Open {
		return route, record.Team{}, nil
	}
	if r := e.Fleet.Trust(now); r != nil {
		return route, record.Team{}, r
	}
	if e.byAttempt() && !e.Table.HasTeams() {
		return route, record.Team{}, nil
	}
	if len(c.Request.Header.PeekAll(fasthttp.HeaderAuthorization)) > 1 {
		return route, record.Team{}, fault.NotRun(fault.Malformed, "request has more than one Authorization header: send one")
	}
	key := keyOf(c)
	team, ok := e.Table.TeamOfKey(key)
	if key == "" || !ok {
		return route, team, fault.NotRun(fault.UnknownKey,
			"key is missing, unknown or withdrawn: send a valid one as 'Authorization: Bearer KEY'")
	}
	return route, team, nil
}

// serve spends the rate and forwards the request.
func (e *Entry) serve(c *fasthttp.RequestCtx, r *request) *fault.Refusal {
	ctx, cancel := context.WithTimeout(e.base, (r.deadline - e.Clock.Now()).Duration())
	defer cancel()
	stop := watchCaller(c, cancel)
	defer stop()
	if e.byAttempt() {
		return e.serveAttempt(ctx, c, r)
	}
	if r.route.OneTime {
		return e.serveOnce(ctx, c, r)
	}
	if refusal := e.spend(ctx, r); refusal != nil {
		return refusal
	}
	reply, refusal := e.forward(ctx, r)
	if refusal != nil {
		return refusal
	}
	writeAnswer(c, reply.GetAnswer())
	return nil
}

// spend takes one token of the team's rate. Open routes have no rate.
func (e *Entry) spend(ctx context.Context, r *request) *fault.Refusal {
	if r.route.Open {
		return nil
	}
	return e.takeToken(ctx, r.team)
}
