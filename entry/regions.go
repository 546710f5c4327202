package entry

import (
	"github.com/go-faster/errors"

	"chestnutlatch/choose"
	"chestnutlatch/fault"
	"chestnutlatch/guard"
	"chestnutlatch/ident"
	"chestnutlatch/memory"
	"chestnutlatch/record"
	"chestnutlatch/region"
	"chestnutlatch/wire"
)

// errOutsideRegions reports a call that was not made because the request may not be sent
// to the peer's region.
var errOutsideRegions = errors.New("peer is outside the allowed regions of the request")

// allowedRegions returns the regions in which a request may be served, or a refusal if the
// lists of the route and the team have no region in common.
func allowedRegions(route record.Route, team record.Team) (region.Policy, *fault.Refusal) {
	p := region.For(route, team)
	if p.IsEmpty() {
		return p, fault.NotRun(fault.NoRegion, "the allowed regions of route %s and team %s have none in common: ask the operators", route.ID, team.ID)
	}
	return p, nil
}

// pickRequest returns the request to the picker for a target of the route's service.
func (e *Entry) pickRequest(route record.Route, regions region.Policy) choose.Request {
	return choose.Request{Service: route.Service, IsDrained: e.Table.Draining, Regions: regions, IsEvacuated: e.IsEvacuated}
}

// excludeCentre keeps a request away from a data centre whose guard refused it because of
// an evacuation that this daemon has not learned of yet.
func excludeCentre(req *choose.Request, dc ident.DataCentre) {
	before := req.IsEvacuated
	req.IsEvacuated = func(other ident.DataCentre) bool { return other == dc || before != nil && before(other) }
}

// noTargetRefusal returns the refusal of a request for which no target was found.
func noTargetRefusal(s ident.Service, regions region.Policy) *fault.Refusal {
	r := fault.NotRun(fault.NoCapacity, "service %s has no target that takes work: repeat after the given time", s)
	if regions.IsRestricted() {
		r = fault.NotRun(fault.NoRegion, "service %s has no target that takes work in the allowed regions: repeat after the given time", s)
	}
	return r.WithRetryAfter(retryAfterNoTarget)
}

// regionOf returns the region of an instance, empty if it is not known.
func (g *guardClient) regionOf(id ident.Instance) ident.Region {
	if id == g.instance {
		return g.region
	}
	return g.fleet.Region(id)
}

// mayPass reports whether the content of a request may pass through a daemon in a region
// on its way: the regions of its policy, and the one of this daemon, to which the caller
// sent it.
func (g *guardClient) mayPass(p region.Policy, r ident.Region) bool {
	return p.Permits(r) || r != "" && r == g.region
}

// relayFilter returns the regions whose daemons may relay a request; nil means all.
func (g *guardClient) relayFilter(p region.Policy, req *wire.ForwardRequest) func(ident.Region) bool {
	if !p.IsRestricted() || req.GetVoidOnly() {
		return nil
	}
	return func(r ident.Region) bool { return g.mayPass(p, r) }
}

// checkRegions returns errOutsideRegions if the request may not be sent to an instance,
// directly or through a relay. A question about the result of an action has no content and
// may be sent anywhere. relay is nil for a direct call.
func (g *guardClient) checkRegions(to ident.Instance, relay *Peer, req *wire.ForwardRequest) error {
	p := region.Decode(req.GetRegions(), req.GetNoRegion())
	if !p.IsRestricted() || req.GetVoidOnly() {
		return nil
	}
	at := g.regionOf(to)
	if p.Permits(at) && (relay == nil || g.mayPass(p, relay.Region)) {
		return nil
	}
	g.meter.OutOfRegions.Inc()
	g.log.Info("request not sent outside its allowed regions", "id", req.GetAttempt(), "to", to, "region", at, "relay", relay != nil, "allowed", req.GetRegions())
	return errOutsideRegions
}

// outsideReply returns the refusal of a request that was not sent to a target outside its
// allowed regions.
func outsideReply(req *wire.ForwardRequest) *wire.ForwardReply {
	return &wire.ForwardReply{Refusal: guard.RefusalToWire(
		fault.NotRun(fault.NoRegion, "target %s is outside the allowed regions: repeat the request", req.GetTarget()).WithRetryAfter(retryAfterNoTarget))}
}

// withoutContent returns the message to send for a request: the question about the result
// of an action has none of the caller's content if the action is restricted to regions, or
// if the body is so large that its receiver may have no memory for it. The guard does not
// need the content for its answer.
func withoutContent(req *wire.ForwardRequest) *wire.ForwardRequest {
	restricted := region.Decode(req.GetRegions(), req.GetNoRegion()).IsRestricted()
	if !req.GetVoidOnly() || !restricted && len(req.GetBody()) <= memory.SmallBytes {
		return req
	}
	return &wire.ForwardRequest{
		SenderInstance: req.GetSenderInstance(), SenderIncarnation: req.GetSenderIncarnation(), Sequence: req.GetSequence(),
		Target: req.GetTarget(), Service: req.GetService(), Team: req.GetTeam(), OneTime: req.GetOneTime(), Ticket: req.GetTicket(),
		VoidOnly: true, TimeoutMs: req.GetTimeoutMs(), RelayTo: req.GetRelayTo(), Attempt: req.GetAttempt(),
		HomeIncarnation: req.GetHomeIncarnation(), Regions: req.GetRegions(), NoRegion: req.GetNoRegion(),
		Received: req.GetReceived(),
	}
}
