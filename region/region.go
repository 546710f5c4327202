// Package region decides in which regions a request may be served. The entry derives a
// Policy from the route and the team of each request; every choice of a target and every
// call to another daemon with the request's body is checked against it.
package region

import (
	"slices"

	"chestnutlatch/ident"
	"chestnutlatch/record"
)

// Policy is the set of regions in which a request may be served. The zero value permits
// every region.
type Policy struct {
	// restricted is true if only the regions in allowed are permitted.
	restricted bool
	allowed    []ident.Region
}

// For returns the policy of a request. If both the route and the team list regions, only
// those in both lists are permitted. A request without a team has the zero Team.
func For(route record.Route, team record.Team) Policy {
	switch {
	case len(route.Regions) == 0:
		return Only(team.Regions)
	case len(team.Regions) == 0:
		return Only(route.Regions)
	}
	p := Policy{restricted: true}
	for _, r := range route.Regions {
		if slices.Contains(team.Regions, r) {
			p.allowed = append(p.allowed, r)
		}
	}
	return p
}

// Only returns a policy that permits the listed regions, or every region if the list is
// empty. It keeps the list.
func Only(regions []ident.Region) Policy {
	return Policy{restricted: len(regions) > 0, allowed: regions}
}

// Permits reports whether the request may be served in a region. A restricted policy does
// not permit an unknown region, whose name is empty.
func (p Policy) Permits(r ident.Region) bool {
	return !p.restricted || r != "" && slices.Contains(p.allowed, r)
}

// IsRestricted reports whether some regions are not permitted.
func (p Policy) IsRestricted() bool { return p.restricted }

// IsEmpty reports whether no region is permitted.
func (p Policy) IsEmpty() bool { return p.restricted && len(p.allowed) == 0 }

// Allowed returns the permitted regions; nil if all are. The caller must not modify them.
func (p Policy) Allowed() []ident.Region { return p.allowed }

// Encode returns the policy as the fields regions and no_region of the protocol between
// daemons: the permitted regions, none if all are, and whether no region is permitted.
func (p Policy) Encode() (regions []string, none bool) {
	for _, r := range p.allowed {
		regions = append(regions, string(r))
	}
	return regions, p.IsEmpty()
}

// Decode returns the policy of a request from another daemon. It is the inverse of Encode;
// a daemon that does not know these fields sends neither.
func Decode(regions []string, none bool) Policy {
	if !none && len(regions) == 0 {
		return Policy{}
	}
	p := Policy{restricted: true}
	if none {
		return p
	}
	for _, r := range regions {
		p.allowed = append(p.allowed, ident.Region(r))
	}
	return p
}
