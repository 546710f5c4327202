// Package record defines the operators' configuration records, their schema
// versions, their checks and their compact form.
//
// A record is stored as JSON in snake case with a schema version. Versions 1
// and 2 are readable side by side; fields that this program does not know
// survive every rewrite.
package record

import (
	"chestnutlatch/clock"
	"chestnutlatch/ident"
)

//go:generate enumer -type=Kind -transform=snake -json -text -trimprefix=Kind -output=record_enumer.go

// Kind tells the records apart.
type Kind int

// Kinds of records.
const (
	KindTeam Kind = iota
	KindKey
	KindRoute
	KindTarget
	KindService
)

// Schema is the version of a record's layout.
type Schema int

// Schema versions that can be read.
const (
	SchemaFirst   Schema = 1
	SchemaCurrent Schema = 2
)

// Limits on records.
const (
	// MinBurst is the smallest burst in requests. A burst of 1 leaves no room
	// for the time between granting and spending a token.
	MinBurst = 2
	// BurstPart is the part of a second's rate that a burst must hold, one in
	// BurstPart, so that a token lives longer than a call between regions.
	BurstPart = 10
	// MaxIDBytes bounds an id's length in bytes.
	MaxIDBytes = 64
	// MaxRate bounds a team's rate in requests per second.
	MaxRate = 1_000_000
	// DefaultTimeout is a route's time limit if the record gives none.
	DefaultTimeout = 10 * clock.Second
	// DefaultFloorPercent is the part of a service's targets that stays
	// selectable whatever the detector says.
	DefaultFloorPercent = 50
)

// Body is the typed content of a record: Team, Key, Route, Target or Service.
type Body interface {
	kind() Kind
}

// Team is a customer with a rate across the whole fleet.
type Team struct {
	ID ident.Team
	// Rate is in requests per second, at least 1.
	Rate uint32
	// Burst is in requests, at least MinBurst.
	Burst uint32
	// Weight is the team's part at a full target against other teams, at
	// least 1.
	Weight uint32
	// Rank goes before the route's priority at a full target; 0 is first.
	Rank uint32
}

// Part is one service of a route whose requests are split.
type Part struct {
	Service ident.Service
	// Weight is the part's share against the others, at least 1.
	Weight uint32
}

// Key is one caller's key, known by its hash only.
type Key struct {
	ID   ident.Key
	Team ident.Team
	// Hash is the SHA-256 of the key.
	Hash [32]byte
}

// Route maps a host and path prefix to a service.
type Route struct {
	ID ident.Route
	// Host is in lower case without a port; empty matches every host.
	Host string
	// Prefix starts with a slash.
	Prefix  string
	Service ident.Service
	// Priority orders this route's requests at a full target.
	Priority ident.Priority
	// OneTime marks actions that run at most once.
	OneTime bool
	// Open marks a route that needs no key.
	Open bool
	// Timeout bounds a request, in milliseconds, at least 1.
	Timeout clock.Millis
	// Attempts is the number of targets that one request may be sent to; 0
	// leaves it to the entry.
	Attempts uint32
	// Objective is the time in which an answer is worth most to the caller,
	// in milliseconds; 0 means the time-out.
	Objective clock.Millis
	// Split replaces Service if it is not empty.
	Split []Part
}

// Target is the operators' word on one target.
type Target struct {
	ID ident.Target
	// Drain stops new work at the target.
	Drain bool
}

// Service holds the operators' settings of one service.
type Service struct {
	ID ident.Service
	// FloorPercent is the part of the service's targets, 1 to 100, that stays
	// selectable whatever the detector says.
	FloorPercent uint32
}

func (Team) kind() Kind    { return KindTeam }
func (Key) kind() Kind     { return KindKey }
func (Route) kind() Kind   { return KindRoute }
func (Target) kind() Kind  { return KindTarget }
func (Service) kind() Kind { return KindService }

// CallerLimits are the operators' bounds on callers. They are part of a
// configuration but no record. A field of 0 leaves the daemon's own bound in
// force.
type CallerLimits struct {
	// HeadBytes and BodyBytes bound a request's head and body.
	HeadBytes int
	BodyBytes int
	// HeadTime bounds the reading of a head, in milliseconds from its first
	// byte.
	HeadTime clock.Millis
	// IdleTime is how long a connection may rest between two requests, in
	// milliseconds.
	IdleTime clock.Millis
}

// KindOf returns the kind of a body.
func KindOf(b Body) Kind {
	return b.kind()
}

// IDOf returns the id of a body.
func IDOf(b Body) string {
	switch b := b.(type) {
	case Team:
		return string(b.ID)
	case Key:
		return string(b.ID)
	case Route:
		return string(b.ID)
	case Target:
		return string(b.ID)
	case Service:
		return string(b.ID)
	default:
		return ""
	}
}
