// Package ident holds the named types for identifiers, units and the small
// enumerations that several packages share.
package ident

//go:generate enumer -type=Outcome,Priority,TargetState -transform=snake -json -text -trimprefix=Outcome,Priority,Target -output=ident_enumer.go

// Instance names one machine and the daemon on it.
type Instance string

// DataCentre names one data centre.
type DataCentre string

// Region names a group of data centres joined by fast links.
type Region string

// Target names one back end beside a daemon.
type Target string

// Service names a group of interchangeable targets.
type Service string

// Team names one customer.
type Team string

// Route names one route record.
type Route string

// Key names one key record; it is a prefix of the key's hash, never the key.
type Key string

// Incarnation tells two lives of the daemon on one Instance apart. A later
// life has a larger number.
type Incarnation uint64

// Revision is the position of an accepted change in the configuration log.
// Revisions are dense: the change after n is n+1.
type Revision uint64

// Sequence numbers the inner requests of one sender.
type Sequence uint64

// Micros is a span in microseconds, used for latencies only.
type Micros int64

// Permill turns a share into thousandths.
const Permill = 1000

// Outcome says what a refusal knows about the refused action.
type Outcome int

// Outcomes of a refused request.
const (
	// OutcomeNotRun means that the action has not run and will not run.
	OutcomeNotRun Outcome = iota
	// OutcomeUnknown means that the action may have run.
	OutcomeUnknown
)

// Priority orders requests at a full target.
type Priority int

// Priorities, lowest first.
const (
	PriorityLow Priority = iota
	PriorityNormal
	PriorityHigh
	// PriorityUrgent is for calls that work under way waits for.
	PriorityUrgent
)

// TargetState is a guard's judgement of one of its targets.
type TargetState int

// States of a target.
const (
	// TargetWell takes its full share of work.
	TargetWell TargetState = iota
	// TargetCold takes a growing part of its share after a start or a
	// recovery.
	TargetCold
	// TargetSick is ejected: it takes work only to keep the floor.
	TargetSick
	// TargetDraining takes no new work.
	TargetDraining
)
