package guard

import (
	"strings"

	"github.com/valyala/fasthttp"
)

// Dialect names the HTTP headers that a deployment's callers and targets use. An
// empty name leaves the header out.
type Dialect struct {
	// AttemptID carries the caller's ID of a request. If it is set, one-time
	// requests are identified by that ID and need no ticket, and targets repeat
	// the ID in their answers.
	AttemptID string
	// Exchange carries an ID of each request that is sent to a target, if AttemptID is
	// empty. A target may repeat it in its answer; once it has done so on a connection,
	// answers without it are not accepted there.
	Exchange string
	// Timeout carries the remaining time of the request, in milliseconds.
	Timeout string
	// Team carries the team's ID to the target.
	Team string
	// OriginService carries the service of the instance whose daemon accepted the
	// request from the caller.
	OriginService string
	// ExpectedTarget carries the ID of the target that the request is meant for.
	ExpectedTarget string
	// NotRun marks an answer by which a target refuses a request without
	// running it.
	NotRun string
	// Signature carries the target's signature. If it is set, a success without exactly one
	// is not passed on.
	Signature string
	// AllowUnframed accepts answers whose body ends when the connection closes.
	AllowUnframed bool
}

// DefaultDialect returns the default headers of chestnutlatch.
func DefaultDialect() Dialect {
	return Dialect{Exchange: ExchangeHeader, Timeout: TimeoutHeader, Team: TeamHeader}
}

// reservedHeaders returns the names of the headers that only the daemon may set.
// Unused ones are empty.
func (d Dialect) reservedHeaders() [5]string {
	return [5]string{d.Exchange, d.Timeout, d.Team, d.OriginService, d.ExpectedTarget}
}

// IsReserved reports whether only the daemon may set a header. Case is ignored.
func (d Dialect) IsReserved(name string) bool {
	for _, reserved := range d.reservedHeaders() {
		if reserved != "" && strings.EqualFold(reserved, name) {
			return true
		}
	}
	return false
}

// lacksID reports whether a request has no attempt ID although callers send them.
func (d Dialect) lacksID(req *fasthttp.Request) bool {
	return d.AttemptID != "" && len(req.Header.Peek(d.AttemptID)) == 0
}
