// Package entry handles the HTTP requests of callers. For each request it matches
// the route, checks the team's key and rate, chooses a target and forwards the
// request to the guard of that target, locally or on another daemon. The daemon
// calls it from its HTTP server for callers and passes it the guards' load reports.
package entry

import (
	"context"
	"math"
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
	"chestnutlatch/memory"
	"chestnutlatch/meter"
	"chestnutlatch/peers"
	"chestnutlatch/record"
	"chestnutlatch/region"
	"chestnutlatch/table"
	"chestnutlatch/wire"
)

// Fleet provides information about the daemons of the fleet. Its methods are called
// concurrently.
type Fleet interface {
	// Locate returns a member's inner address and incarnation, and whether the
	// member is up. The address of an unknown member is empty.
	Locate(id ident.Instance) (address string, inc ident.Incarnation, up bool)
	// Region returns the region of a member's record, empty if it has none or the
	// member is unknown.
	Region(id ident.Instance) ident.Region
	// Relays returns up to n live members other than the given one, only members in
	// regions that allowed accepts; nil accepts all.
	Relays(n int, except ident.Instance, allowed func(ident.Region) bool) []Peer
	// SlotHolder returns the member that holds a rate slot and its inner address.
	// ok is false if no holder is known.
	SlotHolder(s limit.Slot) (id ident.Instance, address string, ok bool)
	// CheckKeysCurrent returns a refusal while this daemon may have missed the
	// withdrawal of a key, otherwise nil.
	CheckKeysCurrent(now clock.Millis) *fault.Refusal
}

// Peer is a daemon to which a request can be sent.
type Peer struct {
	Instance ident.Instance
	// Address is the inner address.
	Address string
	// Region is that of the member record, which may be empty.
	Region ident.Region
}

// Drawer grants rate tokens from the slots that this daemon holds. It must be safe
// for concurrent use.
type Drawer interface {
	Draw(req *wire.DrawRequest) *wire.DrawReply
}

// Deps holds the dependencies and the configuration of an Entry.
type Deps struct {
	Instance    ident.Instance
	Incarnation ident.Incarnation
	// Region is the region of this daemon.
	Region     ident.Region
	Clock      clock.Clock
	Log        hclog.Logger
	Meter      *meter.Meter
	Table      *table.Table
	Picker     *choose.Picker
	TokenCache *limit.TokenCache
	Guard      *guard.Guard
	Peers      *peers.Pool
	Fleet      Fleet
	Drawer     Drawer
	Pool       *ants.Pool
	// MaxBody is the maximum size of a request body, in bytes.
	MaxBody int
	// Memory counts the request bodies that are held; nil means that they are not
	// limited.
	Memory *memory.Account
	// Dialect names the headers that callers use. The zero value stands for
	// guard.DefaultDialect.
	Dialect guard.Dialect
	// Service is the service of the local target. Requests of callers that send
	// their own attempt IDs name it as their origin.
	Service ident.Service
	// Shares limits the requests of callers that send their own attempt IDs to
	// this data centre's share of the teams' rates. If it is nil, such requests
	// are not limited. Requests of other callers take tokens drawn from rate
	// slots.
	Shares Admitter
	// LogSample logs one in LogSample successful requests at info level; 0 logs
	// none.
	LogSample int
	// Costs holds the weights of the criteria by which a target is chosen.
	Costs choose.Costs
	// Hedge sends an idempotent request to a second target if the answer of the first
	// one is overdue.
	Hedge bool
	// ShedAttempts is the number of targets that a request may try beyond the attempts
	// of its route if as many targets refuse it.
	ShedAttempts int
	// IsEvacuated reports whether a data centre is evacuated; nil stands for the
	// records of Table.
	IsEvacuated func(ident.DataCentre) bool
	// ColdLimit returns the number of requests that a cold target of a service may get in
	// one second; 0 or a nil function means that there is no limit.
	ColdLimit func(ident.Service) int
	// DrainTime is how long a draining target still serves, in milliseconds; its
	// instance stops when another DrainTime has passed. 0 means that daemons do not
	// stop with their targets.
	DrainTime clock.Millis
}

// Admitter enforces the teams' rates without calls to other daemons. It must be
// safe for concurrent use.
type Admitter interface {
	// Take admits one request of a team, or returns how long the team should
	// wait. now is the time on this daemon's clock.
	Take(now clock.Millis, t record.Team) limit.ShareDecision
	// HasTokens reports whether Take may admit a request. It takes nothing.
	HasTokens(now clock.Millis, t record.Team) bool
}

// Entry handles the requests of callers. It is safe for concurrent use.
type Entry struct {
	Deps
	client *guardClient
	splits *choose.Splitter
	sizes  *choose.RouteSizes
	times  *choose.ResponseTimes
	// baseCtx is the parent context of all requests; cancelBase ends them.
	baseCtx    context.Context
	cancelBase context.CancelFunc
	// dispatchCtx ends, by endDispatch, when requests are no longer sent to targets.
	dispatchCtx context.Context
	endDispatch context.CancelFunc
}

// New returns an Entry that uses d.
func New(d Deps) *Entry {
	if d.Dialect == (guard.Dialect{}) {
		d.Dialect = guard.DefaultDialect()
	}
	if d.IsEvacuated == nil {
		d.IsEvacuated = d.Table.EvacuatedByRecord
	}
	if d.Memory == nil {
		d.Memory = memory.New(memory.Config{Limit: math.MaxInt64 / 2})
	}
	e := &Entry{Deps: d, splits: choose.NewSplitter(uint64(d.Incarnation)), sizes: choose.NewRouteSizes(), times: choose.NewResponseTimes()}
	e.baseCtx, e.cancelBase = context.WithCancel(context.Background())
	e.dispatchCtx, e.endDispatch = context.WithCancel(e.baseCtx)
	e.client = newGuardClient(e.baseCtx, d)
	return e
}

// request is the state of one caller's request.
type request struct {
	route record.Route
	team  record.Team
	// regions are the regions in which the request may be served.
	regions region.Policy
	// ticket is the ticket of a one-time action, empty if none was sent.
	ticket string
	// newTicket is the ticket that a refusal carries, empty if it has none.
	newTicket string
	// began is when the request had been read.
	began clock.Millis
	// shareDecision is the decision of the team's rate share; nil if the request
	// was not subject to one.
	shareDecision *limit.ShareDecision
	// outcomeUnknown is true if a guard call failed or was refused with an unknown
	// outcome, so that attempt may have run the request.
	outcomeUnknown bool
	// out is the request that is forwarded to guards.
	out *wire.ForwardRequest
	// trace records the guard calls.
	trace attemptTrace
	// bodyTime is the time for which the entry has read the body.
	bodyTime time.Duration
	// timeout is the caller's time limit, which starts at began.
	timeout clock.Millis
	// deadline is when the caller's time limit ends.
	deadline clock.Millis
}

// Handle serves one request and writes its answer or refusal to c.
func (e *Entry) Handle(c *fasthttp.RequestCtx) {
	began := time.Now()
	defer func() { e.Meter.Duration.UpdateDuration(began) }()
	if !e.usesAttemptIDs() && string(c.Path()) == ticketsPath {
		e.handleTickets(c)
		return
	}
	body := e.newInputBody(c)
	r, refusal := e.admit(c, &body)
	if refusal == nil {
		refusal = e.serve(c, r)
	}
	if refusal == nil {
		refusal = e.holdAnswer(c)
	}
	if r != nil && r.bodyTime > 0 {
		// The time of the request counts from its arrival.
		began = began.Add(r.bodyTime)
	}
	if refusal != nil {
		ticket := ""
		if r != nil {
			ticket = r.newTicket
		}
		e.refuse(c, refusal, ticket)
	} else {
		e.Meter.Served.Inc()
	}
	e.end(c, &body)
	e.countResult(c, r, refusal)
	e.logResult(c, r, refusal, time.Since(began))
}

// countResult counts a finished request by route kind and result. It counts nothing
// if r is nil, which means that admit refused the request.
func (e *Entry) countResult(c *fasthttp.RequestCtx, r *request, refusal *fault.Refusal) {
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
	e.Meter.CountRequest(routeKind(r.route), end)
}

func routeKind(r record.Route) meter.RouteKind {
	switch {
	case r.Open:
		return meter.RouteCall
	case r.OneTime:
		return meter.RouteOneTime
	default:
		return meter.RouteIdempotent
	}
}

// CancelRequests cancels all running requests and path probes when the time for a
// planned stop is over. Requests without a ticket that still wait for a slot at a
// local target are refused as not run. The outcome of other forwarded requests is
// unknown.
func (e *Entry) CancelRequests() { e.cancelBase() }

// usesAttemptIDs reports whether callers send their own attempt IDs instead of
// tickets for one-time actions.
func (e *Entry) usesAttemptIDs() bool { return e.Dialect.AttemptID != "" }

// refuse writes and counts a refusal. ticket is a new ticket for the request, or empty.
func (e *Entry) refuse(c *fasthttp.RequestCtx, r *fault.Refusal, ticket string) {
	e.Meter.CountRefusal(r)
	e.writeRefusal(c, r, ticket)
}

// admit checks the request's size, path, key and time limit, reads its body and prepares
// the request that is forwarded to guards. A refused request's body is not read.
func (e *Entry) admit(c *fasthttp.RequestCtx, b *inputBody) (*request, *fault.Refusal) {
	ticket := string(c.Request.Header.Peek(ticketHeader))
	r, refusal := e.checkHead(c, b)
	if refusal != nil {
		return nil, unknownIfTicket(ticket, refusal)
	}
	body, refusal := e.readBody(c, r.team, b)
	if e.isDispatchEnded() {
		refusal = stopRefusal()
	}
	if bodyTime := e.Clock.Now() - r.began; refusal == nil && bodyTime > 0 {
		// The key may have been withdrawn while the body was read, and the time limit
		// counts from its arrival.
		if r, refusal = e.checkHead(c, b); refusal == nil {
			r.bodyTime = bodyTime.Duration()
		}
	}
	if refusal != nil {
		return nil, unknownIfTicket(ticket, refusal)
	}
	if conn, ok := unwrap[interface{ RequestRead() }](c.Conn()); ok {
		conn.RequestRead()
	}
	if r.timeout -= e.Guard.UnreadTime(r.began); r.timeout <= 0 {
		return nil, unknownIfTicket(ticket, fault.NotRun(fault.DeadlineExceeded,
			"this daemon was paused for longer than the request's time limit: repeat the request"))
	}
	r.deadline = r.began + r.timeout
	if r.route.OneTime {
		r.ticket = ticket
	}
	r.out = e.newForwardRequest(c, r, body)
	if e.usesAttemptIDs() {
		r.out.Attempt = string(c.Request.Header.Peek(e.Dialect.AttemptID))
		if !isPrintableASCII(r.out.GetAttempt()) {
			return nil, fault.NotRun(fault.Malformed, "%s has other characters than printable ASCII: send a valid id", e.Dialect.AttemptID)
		}
	}
	return r, nil
}

// isPrintableASCII reports whether s can be an attempt ID. Other bytes cannot be sent to
// another daemon, which would look like a failed path.
func isPrintableASCII(s string) bool {
	for _, b := range []byte(s) {
		if b < ' ' || b > '~' {
			return false
		}
	}
	return true
}

// checkHead checks a request by its head. If its body is not yet there, it also refuses
// the request of a team that is over its rate; the rate is charged later.
func (e *Entry) checkHead(c *fasthttp.RequestCtx, b *inputBody) (*request, *fault.Refusal) {
	now := e.Clock.Now()
	if refusal := e.checkLength(b); refusal != nil {
		return nil, refusal
	}
	if maxHead := e.Table.CallerLimits().MaxHeaderBytes; maxHead > 0 && headSize(c) > maxHead {
		return nil, fault.NotRun(fault.TooLarge,
			"request head has %d bytes, the limit is %d: send fewer or shorter headers", headSize(c), maxHead)
	}
	path, refusal := e.rawPath(c)
	if refusal != nil {
		return nil, refusal
	}
	route, team, refusal := e.authorize(c, path, now)
	if refusal != nil {
		return nil, refusal
	}
	timeout, refusal := e.callerTimeout(c, route.Timeout)
	if refusal != nil {
		return nil, refusal
	}
	regions, refusal := allowedRegions(route, team)
	if refusal != nil {
		return nil, refusal
	}
	r := &request{route: route, team: team, regions: regions, began: now, timeout: timeout}
	if b.unread && e.isLimitedByShare(r) && !e.Shares.HasTokens(now, team) {
		return nil, e.admitByShare(r)
	}
	return r, nil
}

// unknownIfTicket sets the outcome of a refusal to unknown if the request carries a
// ticket: an earlier copy of the action may have run, and only the ticket's home
// daemon has the record.
func unknownIfTicket(ticket string, r *fault.Refusal) *fault.Refusal {
	if ticket != "" {
		r.Outcome = ident.OutcomeUnknown
	}
	return r
}

// authorize returns the route of a path and the team of the request's key. The team
// is empty for open routes, and when callers send attempt IDs and no teams are
// configured.
func (e *Entry) authorize(c *fasthttp.RequestCtx, path string, now clock.Millis) (record.Route, record.Team, *fault.Refusal) {
	if e.Table.Revision() == 0 {
		return record.Route{}, record.Team{}, fault.NotRun(fault.NotReady,
			"daemon has no configuration yet: repeat, or send the request to another daemon").WithRetryAfter(clock.Second)
	}
	route, ok := e.Table.Match(hostOf(c), path)
	if !ok {
		return route, record.Team{}, fault.NotRun(fault.NoRoute, "no route matches this host and path: check the address")
	}
	if route.Open {
		return route, record.Team{}, nil
	}
	if refusal := e.Fleet.CheckKeysCurrent(now); refusal != nil {
		return route, record.Team{}, refusal
	}
	if e.usesAttemptIDs() && !e.Table.HasTeams() {
		return route, record.Team{}, nil
	}
	if len(c.Request.Header.PeekAll(fasthttp.HeaderAuthorization)) > 1 {
		return route, record.Team{}, fault.NotRun(fault.Malformed, "request has more than one Authorization header: send one")
	}
	key := bearerKey(c)
	team, ok := e.Table.TeamByKey(key)
	if key == "" || !ok {
		return route, team, fault.NotRun(fault.UnknownKey,
			"key is missing, unknown or withdrawn: send a valid one as 'Authorization: Bearer KEY'")
	}
	return route, team, nil
}

// serve applies the team's rate, forwards the request and writes the answer. It
// cancels the request at its deadline or when the caller disconnects.
func (e *Entry) serve(c *fasthttp.RequestCtx, r *request) *fault.Refusal {
	ctx, cancel := context.WithTimeout(e.baseCtx, (r.deadline - e.Clock.Now()).Duration())
	defer cancel()
	stop := cancelOnDisconnect(c, cancel)
	defer stop()
	if e.usesAttemptIDs() {
		return e.serveWithAttemptID(ctx, c, r)
	}
	if r.route.OneTime {
		return e.serveOneTime(ctx, c, r)
	}
	if refusal := e.chargeRate(ctx, r); refusal != nil {
		return refusal
	}
	reply, refusal := e.forward(ctx, r)
	if refusal != nil {
		return refusal
	}
	writeAnswer(c, reply.GetAnswer())
	return nil
}

// chargeRate takes one token of the team's rate. Open routes are not limited.
func (e *Entry) chargeRate(ctx context.Context, r *request) *fault.Refusal {
	if r.route.Open {
		return nil
	}
	return e.takeToken(ctx, r.team)
}
