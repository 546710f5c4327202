package guard

import "strings"

// Dialect names the headers that a deployment's callers and targets use. An
// empty name leaves the header out.
type Dialect struct {
	// Attempt names the caller's own id of a request. With it, one-time
	// requests are known by that id and need no ticket; targets echo it.
	Attempt string
	// Timeout carries the time left, in milliseconds.
	Timeout string
	// Team carries the team's name to the target.
	Team string
	// Origin carries the service beside the daemon that took the request.
	Origin string
	// Expect names the target that the request is meant for.
	Expect string
	// NotRun marks a target's refusal of a request that has not run.
	NotRun string
	// Unframed accepts answers that end with their connection.
	Unframed bool
}

// OwnDialect is the product's own interface.
func OwnDialect() Dialect {
	return Dialect{Timeout: TimeoutHeader, Team: TeamHeader}
}

// own returns the headers that the daemon alone may set.
func (d Dialect) own() [4]string {
	return [4]string{d.Timeout, d.Team, d.Origin, d.Expect}
}

// Sets reports whether the daemon alone may set a header.
func (d Dialect) Sets(name string) bool {
	for _, h := range d.own() {
		if h != "" && strings.EqualFold(h, name) {
			return true
		}
	}
	return false
}
