package record

import (
	"fmt"
	"strings"

	"chestnutlatch/ident"
)

// Problem is one invalid field of a record.
type Problem struct {
	Field string
	// Value is the field's value as text.
	Value string
	// Remedy is what the operator must enter instead.
	Remedy string
}

// InvalidError reports all invalid fields of one record.
type InvalidError struct {
	Kind     Kind
	ID       string
	Problems []Problem
}

// Error lists the invalid fields, each with its value and remedy.
func (e *InvalidError) Error() string {
	parts := make([]string, 0, len(e.Problems))
	for _, p := range e.Problems {
		parts = append(parts, fmt.Sprintf("%s is %q: %s", p.Field, p.Value, p.Remedy))
	}
	return fmt.Sprintf("%s %q is invalid: %s", e.Kind, e.ID, strings.Join(parts, "; "))
}

// maxAttempts limits the attempts of one request. More attempts would only
// multiply the load on a failing service.
const maxAttempts = 16

// checker collects the problems of one record.
type checker struct {
	problems []Problem
}

// require adds a problem unless ok.
func (c *checker) require(ok bool, field string, value any, remedy string) {
	if !ok {
		c.problems = append(c.problems, Problem{Field: field, Value: fmt.Sprint(value), Remedy: remedy})
	}
}

// Check validates the fields of a body. It returns nil or an *InvalidError that
// lists all invalid fields. It does not look at other records, for example at
// whether the team of a key exists.
func Check(b Body) error {
	c := &checker{}
	c.require(isValidID(IDOf(b)), "id", IDOf(b), "use 1 to 64 of a-z, A-Z, 0-9, '.', '_' and '-'")
	switch b := b.(type) {
	case Team:
		checkTeam(c, b)
	case Key:
		c.require(isValidID(string(b.Team)), "team", b.Team, "enter the id of an existing team")
		c.require(b.Hash != [32]byte{}, "hash", "", "enter the SHA-256 of the key as 64 hex digits")
	case Route:
		checkRoute(c, b)
	case Target:
	case DataCentre:
	case Service:
		c.require(b.FloorPercent >= 1 && b.FloorPercent <= 100, "floor_percent", b.FloorPercent, "use 1 to 100")
		c.require(b.ColdStart >= 0 && b.ColdStart <= MaxColdStart, "cold_start_ms", int64(b.ColdStart), "use 0 to 600000")
		c.require(b.ColdRate <= MaxRate, "cold_rate", b.ColdRate, "use 0 to 1000000 requests per second")
	}
	if len(c.problems) == 0 {
		return nil
	}
	return &InvalidError{Kind: KindOf(b), ID: IDOf(b), Problems: c.problems}
}

func checkTeam(c *checker, t Team) {
	c.require(t.Rate >= 1 && t.Rate <= MaxRate, "rate", t.Rate, "use 1 to 1000000 requests per second")
	c.require(t.Burst >= MinBurst && t.Burst <= MaxRate, "burst", t.Burst, "use 2 to 1000000 requests")
	c.require(t.Burst >= t.Rate/BurstDivisor, "burst", t.Burst, "use at least a tenth of the rate, so that tokens do not expire on their way between regions")
	c.require(t.Weight >= 1 && t.Weight <= 1000, "weight", t.Weight, "use 1 to 1000")
	checkRegions(c, t.Regions)
}

func checkRoute(c *checker, r Route) {
	c.require(strings.HasPrefix(r.Prefix, "/"), "prefix", r.Prefix, "start the prefix with '/'")
	c.require(len(r.Prefix) <= 1024, "prefix", len(r.Prefix), "use at most 1024 bytes")
	c.require(r.Host == strings.ToLower(r.Host) && !strings.ContainsAny(r.Host, ":/ "), "host", r.Host,
		"use a lower-case host name without a port, or leave it empty for every host")
	c.require(len(r.Split) > 0 || isValidID(string(r.Service)), "service", r.Service, "enter the id of the service that handles the route")
	for _, p := range r.Split {
		c.require(isValidID(string(p.Service)) && p.Weight >= 1 && p.Weight <= MaxRate, "split", p, "enter a service id and a weight of 1 to 1000000 for each service")
	}
	c.require(r.Attempts <= maxAttempts, "attempts", r.Attempts, "use at most 16")
	c.require(r.Objective >= 0 && r.Objective <= 600_000, "objective_ms", int64(r.Objective), "use at most 600000")
	c.require(r.Priority >= ident.PriorityLow && r.Priority <= ident.PriorityHigh, "priority", int(r.Priority), "use low, normal or high")
	c.require(r.Timeout >= 1 && r.Timeout <= 600_000, "timeout_ms", int64(r.Timeout), "use 1 to 600000")
	c.require(!r.OneTime || !r.Open, "access", "open", "a one-time action needs a team: use a keyed route")
	checkRegions(c, r.Regions)
}

func checkRegions(c *checker, regions []ident.Region) {
	c.require(len(regions) <= MaxRegions, "regions", len(regions), "use at most 64 regions")
	for _, r := range regions {
		c.require(isValidID(string(r)), "regions", r, "enter the names of regions, or nothing to allow all")
	}
}

// isValidID reports whether s has 1 to MaxIDBytes characters and only those that
// an id may contain.
func isValidID(s string) bool {
	if s == "" || len(s) > MaxIDBytes {
		return false
	}
	for _, r := range s {
		ok := r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9' || r == '.' || r == '_' || r == '-'
		if !ok {
			return false
		}
	}
	return true
}
