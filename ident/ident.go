// Package ident defines the types for identifiers and units and the small
// enumerations that several packages share, with the limits of their values.
package ident

//go:generate enumer -type=Outcome,Priority,TargetState -transform=snake -json -text -trimprefix=Outcome,Priority,Target -output=ident_enumer.go

// Instance identifies one machine and the daemon that runs on it.
type Instance string

// DataCentre identifies a data centre.
type DataCentre string

// Region identifies a group of data centres that are connected by fast links.
type Region string

// Target identifies one back end that runs beside a daemon.
type Target string

// Service identifies a group of interchangeable targets.
type Service string

// Team identifies a customer, which has one rate across the whole fleet.
type Team string

// Route identifies a route record.
type Route string

// Key identifies a key record. It is a prefix of the key's hash and never
// contains the key itself.
type Key string

// Incarnation distinguishes successive runs of the daemon on one instance. A
// later run has a larger number, unless the wall clock was set back between them.
type Incarnation uint64

// Revision is the position of an accepted change in the configuration log.
// Revisions are dense: the change after n is n+1.
type Revision uint64

// Sequence is the number of an inner request. Each sender counts its own.
type Sequence uint64

// Micros is a duration in microseconds. It is used for latencies only.
type Micros int64

// PerMille is the factor that converts a fraction to thousandths.
const PerMille = 1000

// Outcome says whether a refused action may have run.
type Outcome int

// Outcomes of a refused request.
const (
	// OutcomeNotRun means that the action has not run and will not run.
	OutcomeNotRun Outcome = iota
	// OutcomeUnknown means that the action may have run.
	OutcomeUnknown
)

// Priority orders the requests that wait for a slot at a full target.
type Priority int

// Priorities, lowest first.
const (
	PriorityLow Priority = iota
	PriorityNormal
	PriorityHigh
	// PriorityUrgent is for calls on which requests in progress depend.
	PriorityUrgent
)

// TargetState is the state that a guard assigns to one of its targets.
type TargetState int

// States of a target.
const (
	// TargetWell receives its full share of requests.
	TargetWell TargetState = iota
	// TargetCold has started or recovered recently and receives a growing
	// part of its share.
	TargetCold
	// TargetSick is ejected. It receives requests only if too few other
	// targets are available (the floor).
	TargetSick
	// TargetDraining receives no new requests.
	TargetDraining
)
