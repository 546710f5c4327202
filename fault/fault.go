// Package fault defines the refusals that a caller or an operator can see. Each
// has a kind with a stable name, an outcome that says whether the action may
// have run, and a message with the cause and the remedy.
package fault

import (
	"fmt"

	"chestnutlatch/clock"
	"chestnutlatch/ident"
)

//go:generate enumer -type=Kind -transform=snake -output=fault_enumer.go

// Kind is the reason for a refusal. Its text is stable.
type Kind int

// Kinds of refusals.
const (
	UnknownKey Kind = iota
	NoRoute
	Malformed
	TooLarge
	OverRate
	// RateUnavailable: no daemon that grants the team's rate can be reached.
	RateUnavailable
	NoCapacity
	// QueueFull: the target's queue is full, the wait for a slot would be too
	// long, or the daemon is busy.
	QueueFull
	DeadlineExceeded
	TargetFailed
	// HalfAnswer: the target's answer broke off or is not valid.
	HalfAnswer
	AnswerTooLarge
	// PathFailed: the daemon of the target or of the ticket cannot be reached,
	// or the request did not arrive there.
	PathFailed
	// Draining: the daemon or the target accepts no new requests, or the target
	// is no longer there.
	Draining
	TicketRequired
	TicketInvalid
	TicketExpired
	// TicketVoid: the ticket was withdrawn before its action ran.
	TicketVoid
	// TicketTableFull: the daemon's table of tickets or of one-time actions is
	// full.
	TicketTableFull
	// HomeGone: the home daemon of the ticket or attempt has ended.
	HomeGone
	// AnswerDropped: the action ran, but its answer is no longer kept.
	AnswerDropped
	NotReady
	Canceled
	// Suspect: the target probably fails.
	Suspect
	// Shed: the target refused the request.
	Shed
	// SlowRequest: the request did not arrive in time.
	SlowRequest
	// NoRegion: the allowed regions of the route and the team leave no target.
	NoRegion
	// Cold: the target is cold and has received all that it tolerates.
	Cold
	// Evacuated: the target's data centre is evacuated.
	Evacuated
	// NoMemory: the daemon has no memory for the body of the request.
	NoMemory
)

// statuses maps each kind to its HTTP status code.
var statuses = map[Kind]int{
	UnknownKey:       401,
	NoRoute:          404,
	Malformed:        400,
	TooLarge:         413,
	OverRate:         429,
	RateUnavailable:  503,
	NoCapacity:       503,
	QueueFull:        503,
	DeadlineExceeded: 504,
	TargetFailed:     502,
	HalfAnswer:       502,
	AnswerTooLarge:   502,
	PathFailed:       503,
	Draining:         503,
	TicketRequired:   428,
	TicketInvalid:    400,
	TicketExpired:    409,
	TicketVoid:       409,
	TicketTableFull:  503,
	HomeGone:         503,
	AnswerDropped:    409,
	NotReady:         503,
	Canceled:         499,
	Suspect:          503,
	Shed:             503,
	SlowRequest:      408,
	NoRegion:         503,
	Cold:             503,
	Evacuated:        503,
	NoMemory:         503,
}

// Refusal is the error reply to a request that was not served.
type Refusal struct {
	Kind Kind
	// Outcome says whether the action may have run.
	Outcome ident.Outcome
	// Message states the cause and the remedy.
	Message string
	// RetryAfter is how long the caller should wait before a retry, in
	// milliseconds; 0 means that no time is given.
	RetryAfter clock.Millis
}

// Error returns the kind, the outcome and the message as one line.
func (r *Refusal) Error() string {
	return fmt.Sprintf("%s (%s): %s", r.Kind, r.Outcome, r.Message)
}

// Status returns the HTTP status code of the refusal, or 500 for a kind without
// one.
func (r *Refusal) Status() int {
	if status, ok := statuses[r.Kind]; ok {
		return status
	}
	return 500
}

// NotRun returns a refusal for an action that has not run and will not run. The
// message is formatted as by fmt.Sprintf.
func NotRun(k Kind, format string, args ...any) *Refusal {
	return &Refusal{Kind: k, Outcome: ident.OutcomeNotRun, Message: fmt.Sprintf(format, args...)}
}

// Unknown returns a refusal for an action that may have run. The message is
// formatted as by fmt.Sprintf.
func Unknown(k Kind, format string, args ...any) *Refusal {
	return &Refusal{Kind: k, Outcome: ident.OutcomeUnknown, Message: fmt.Sprintf(format, args...)}
}

// WithRetryAfter sets RetryAfter, in milliseconds, and returns the same refusal.
func (r *Refusal) WithRetryAfter(wait clock.Millis) *Refusal {
	r.RetryAfter = wait
	return r
}
