// Package record defines the operators' configuration records: teams, keys,
// routes, targets and services. It validates them and converts them between
// their typed form, the JSON of the store and the compact form that daemons
// keep and send to each other.
//
// A stored record is a JSON object with snake_case fields and a schema version.
// Versions 1 and 2 can be read and may be mixed. Fields unknown to this program
// are preserved when a record is rewritten.
package record

import (
	"chestnutlatch/clock"
	"chestnutlatch/ident"
)

//go:generate enumer -type=Kind -transform=snake -json -text -trimprefix=Kind -output=record_enumer.go

// Kind is the type of a record.
type Kind int

// Record kinds.
const (
	KindTeam Kind = iota
	KindKey
	KindRoute
	KindTarget
	KindService
	KindDataCentre
)

// KindCount is the number of record kinds.
const KindCount = int(KindDataCentre) + 1

// Schema is the version of a record's JSON schema.
type Schema int

// Supported schema versions.
const (
	SchemaFirst   Schema = 1
	SchemaCurrent Schema = 2
)

// Limits on records.
const (
	// MinBurst is the smallest allowed burst, in requests. A burst of 1 leaves
	// no room for the time between granting and spending a token.
	MinBurst = 2
	// BurstDivisor sets the minimum burst of a team: its rate per second divided
	// by BurstDivisor. A token then stays valid for longer than a call between
	// regions takes.
	BurstDivisor = 10
	// MaxIDBytes is the maximum length of an id, in bytes.
	MaxIDBytes = 64
	// MaxRate is the maximum rate of a team, in requests per second. Bursts and
	// the weights of a split have the same maximum.
	MaxRate = 1_000_000
	// MaxRegions is the maximum number of allowed regions in one record.
	MaxRegions = 64
	// MaxColdStart is the maximum time that a target is cold after its start.
	MaxColdStart = 10 * clock.Minute
	// DefaultTimeout is the timeout of a route whose record has none.
	DefaultTimeout = 10 * clock.Second
	// DefaultFloorPercent is the Service.FloorPercent of a service for which
	// none is configured.
	DefaultFloorPercent = 50
)

// Body is the typed form of a record: Team, Key, Route, Target, Service or
// DataCentre. Check
// enforces the ranges given for their fields.
type Body interface {
	kind() Kind
}

// Team is a customer with one rate limit across the whole fleet.
type Team struct {
	ID ident.Team
	// Rate is the rate limit in requests per second, 1 to MaxRate.
	Rate uint32
	// Burst is the burst limit in requests, MinBurst to MaxRate and at least
	// Rate/BurstDivisor.
	Burst uint32
	// Weight is the team's share of a fully loaded target, relative to the
	// weights of the other teams, 1 to 1000.
	Weight uint32
	// Rank takes precedence over the priority of the route at a fully loaded
	// target. 0 is the highest rank.
	Rank uint32
	// Regions are the regions in which the team's requests may be served; empty
	// means all.
	Regions []ident.Region
}

// WeightedService is one of the services between which a route splits its
// requests.
type WeightedService struct {
	Service ident.Service
	// Weight is the service's share of the requests, relative to the weights of
	// the other services, 1 to MaxRate.
	Weight uint32
}

// Key is an API key of a team. Only its hash is stored.
type Key struct {
	ID   ident.Key
	Team ident.Team
	// Hash is the SHA-256 of the key; all zero bytes are invalid.
	Hash [32]byte
}

// Route maps a host and path prefix to a service.
type Route struct {
	ID ident.Route
	// Host is a lower-case host name without a port; empty matches every host.
	Host string
	// Prefix is the path prefix; it starts with a slash and has at most 1024
	// bytes.
	Prefix string
	// Service handles the requests unless Split is set.
	Service ident.Service
	// Priority orders the route's requests at a fully loaded target. It is one
	// of PriorityLow, PriorityNormal and PriorityHigh.
	Priority ident.Priority
	// OneTime marks requests that must run at most once. It requires a keyed
	// route.
	OneTime bool
	// Open marks a route that needs no key.
	Open bool
	// Timeout is the time limit of a request, 1 to 600,000 ms.
	Timeout clock.Millis
	// Attempts is the maximum number of targets that one request may reach, at
	// most 16; 0 means the default of package entry. It applies only to callers
	// that send attempt IDs.
	Attempts uint32
	// Objective is the response time that the caller aims for, at most
	// 600,000 ms; 0 means Timeout. A later response is worth less to the caller.
	Objective clock.Millis
	// Split lists the services between which requests are split; if it is not
	// empty, it replaces Service.
	Split []WeightedService
	// Regions are the regions in which the requests may be served; empty means
	// all.
	Regions []ident.Region
}

// Target holds the operators' settings of one target.
type Target struct {
	ID ident.Target
	// Drain stops new requests to the target.
	Drain bool
}

// Service holds the operators' settings of one service.
type Service struct {
	ID ident.Service
	// FloorPercent is the minimum percentage, 1 to 100, of the service's targets
	// that stay selectable even if the failure detector marks them as failing.
	FloorPercent uint32
	// ColdStart is how long a target is cold after its start, at most
	// MaxColdStart.
	ColdStart clock.Millis
	// ColdRate is the number of requests per second that a cold target tolerates,
	// at most MaxRate; 0 means that cold targets have no limit.
	ColdRate uint32
}

// DataCentre holds the operators' settings of one data centre.
type DataCentre struct {
	ID ident.DataCentre
	// Evacuated stops new requests to all targets of the data centre.
	Evacuated bool
}

func (Team) kind() Kind       { return KindTeam }
func (Key) kind() Kind        { return KindKey }
func (Route) kind() Kind      { return KindRoute }
func (Target) kind() Kind     { return KindTarget }
func (Service) kind() Kind    { return KindService }
func (DataCentre) kind() Kind { return KindDataCentre }

// CallerLimits holds the operators' limits on callers. They belong to a
// configuration document but are not a record. A field of 0 means that the
// daemon's own limit applies.
type CallerLimits struct {
	// MaxHeaderBytes is the maximum size of the request line and headers, in
	// bytes.
	MaxHeaderBytes int
	// MaxBodyBytes is the maximum size of a request body, in bytes.
	MaxBodyBytes int
	// HeaderTimeout is the time limit for reading the request line and headers,
	// in milliseconds from the first byte.
	HeaderTimeout clock.Millis
	// IdleTimeout is how long a connection may be idle between two requests, in
	// milliseconds.
	IdleTimeout clock.Millis
}

// KindOf returns the kind of a body, which must not be nil.
func KindOf(b Body) Kind {
	return b.kind()
}

// IDOf returns the id of a body, or an empty string for nil.
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
	case DataCentre:
		return string(b.ID)
	default:
		return ""
	}
}
