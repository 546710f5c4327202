package record

import (
	"fmt"
	"strings"

	"chestnutlatch/ident"
)

// Problem is one fault of a record, with its remedy.
type Problem struct {
	Field  string
	Value  string
	Remedy string
}

// InvalidError lists every fault of one record.
type InvalidError struct {
	Kind     Kind
	ID       string
	Problems []Problem
}

// Error lists the faults.
func (e *InvalidError) Error() string {
	parts := make([]string, 0, len(e.Problems))
	for _, p := range e.Problems {
		parts = append(parts, fmt.Sprintf("%s is %q: %s", p.Field, p.Value, p.Remedy))
	}
	return fmt.Sprintf("%s %q is refused: %s", e.Kind, e.ID, strings.Join(parts, "; "))
}

// maxAttempts bounds the targets of one request: more would only multiply the
// load of a failing service.
const maxAttempts = 16

type checker struct {
	problems []Problem
}

func (c *checker) want(ok bool, field string, value any, remedy string) {
	if !ok {
		c.problems = append(c.problems, Problem{Field: field, Value: fmt.Sprint(value), Remedy: remedy})
	}
}

// Check returns an InvalidError that lists every fault of the body, or nil.
func Check(b Body) error {
	c := &checker{}
	c.want(isID(IDOf(b)), "id", IDOf(b), "use 1 to 64 of a-z, A-Z, 0-9, '.', '_' and '-'")
	switch b := b.(type) {
	case Team:
		checkTeam(c, b)
	case Key:
		c.want(isID(string(b.Team)), "team", b.Team, "name an existing team")
		c.want(b.Hash != [32]byte{}, "hash", "", "give the SHA-256 of the key in hex")
	case Route:
		checkRoute(c, b)
	case Target:
	case Service:
		c.want(b.FloorPercent >= 1 && b.FloorPercent <= 100, "floor_percent", b.FloorPercent, "use 1 to 100")
	}
	if len(c.problems) == 0 {
		return nil
	}
	return &InvalidError{Kind: KindOf(b), ID: IDOf(b), Problems: c.problems}
}

func checkTeam(c *checker, t Team) {
	c.want(t.Rate >= 1 && t.Rate <= MaxRate, "rate", t.Rate, "use 1 to 1000000 requests per second")
	c.want(t.Burst >= MinBurst && t.Burst <= MaxRate, "burst", t.Burst, "use 2 to 1000000 requests")
	c.want(t.Burst >= t.Rate/BurstPart, "burst", t.Burst, "use at least a tenth of the rate: a token needs time to travel")
	c.want(t.Weight >= 1 && t.Weight <= 1000, "weight", t.Weight, "use 1 to 1000")
}

func checkRoute(c *checker, r Route) {
	c.want(strings.HasPrefix(r.Prefix, "/"), "prefix", r.Prefix, "start it with '/'")
	c.want(len(r.Prefix) <= 1024, "prefix", len(r.Prefix), "use at most 1024 bytes")
	c.want(r.Host == strings.ToLower(r.Host) && !strings.ContainsAny(r.Host, ":/ "), "host", r.Host,
		"use a lower-case host name without a port, or leave it empty for every host")
	c.want(len(r.Split) > 0 || isID(string(r.Service)), "service", r.Service, "name the service of the targets")
	for _, p := range r.Split {
		c.want(isID(string(p.Service)) && p.Weight >= 1 && p.Weight <= MaxRate, "split", p, "name a service and give a weight of at least 1")
	}
	c.want(r.Attempts <= maxAttempts, "attempts", r.Attempts, "use at most 16")
	c.want(r.Objective >= 0 && r.Objective <= 600_000, "objective_ms", int64(r.Objective), "use at most 600000")
	c.want(r.Priority >= ident.PriorityLow && r.Priority <= ident.PriorityHigh, "priority", int(r.Priority), "use low, normal or high")
	c.want(r.Timeout >= 1 && r.Timeout <= 600_000, "timeout_ms", int64(r.Timeout), "use 1 to 600000")
	c.want(!r.OneTime || !r.Open, "access", "open", "a one-time action needs a team: use a keyed route")
}

func isID(s string) bool {
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
