// Package fault holds the typed errors that a caller or operator can see.
// Every error carries a stable kind and a message that names the remedy.
package fault

import (
	"fmt"

	"chestnutlatch/clock"
	"chestnutlatch/ident"
)

//go:generate enumer -type=Kind -transform=snake -output=fault_enumer.go

// Kind is the stable name of a refusal.
type Kind int

// Kinds of refusals.
const (
	UnknownKey Kind = iota
	NoRoute
	Malformed
	TooLarge
	OverRate
	RateUnavailable
	NoCapacity
	QueueFull
	DeadlineExceeded
	TargetFailed
	HalfAnswer
	AnswerTooLarge
	PathFailed
	Draining
	TicketRequired
	TicketInvalid
	TicketExpired
	TicketVoid
	TicketTableFull
	HomeGone
	AnswerDropped
	NotReady
	Canceled
	Suspect
	Shed
	SlowRequest
)

// statuses maps each kind to its HTTP status.
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
}

// Refusal is the answer to a request that was not served.
type Refusal struct {
	Kind    Kind
	Outcome ident.Outcome
	// Message names the cause and the remedy.
	Message string
	// RetryAfter is how long the caller should wait, in milliseconds; 0 means
	// that waiting does not help.
	RetryAfter clock.Millis
}

// Error returns the kind, the outcome and the message.
func (r *Refusal) Error() string {
	return fmt.Sprintf("%s (%s): %s", r.Kind, r.Outcome, r.Message)
}

// Status returns the HTTP status of the refusal.
func (r *Refusal) Status() int {
	if s, ok := statuses[r.Kind]; ok {
		return s
	}
	return 500
}

// NotRun returns a refusal of an action that has not run and will not run.
func NotRun(k Kind, format string, args ...any) *Refusal {
	return &Refusal{Kind: k, Outcome: ident.OutcomeNotRun, Message: fmt.Sprintf(format, args...)}
}

// Unknown returns a refusal of an action that may have run.
func Unknown(k Kind, format string, args ...any) *Refusal {
	return &Refusal{Kind: k, Outcome: ident.OutcomeUnknown, Message: fmt.Sprintf(format, args...)}
}

// After sets how long the caller should wait and returns the refusal.
func (r *Refusal) After(wait clock.Millis) *Refusal {
	r.RetryAfter = wait
	return r
}
