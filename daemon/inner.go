package daemon

import (
	"context"
	"math"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"chestnutlatch/clock"
	"chestnutlatch/entry"
	"chestnutlatch/fault"
	"chestnutlatch/guard"
	"chestnutlatch/ident"
	"chestnutlatch/memory"
	"chestnutlatch/peers"
	"chestnutlatch/region"
	"chestnutlatch/wire"
)

// innerServer implements the gRPC protocol between daemons.
type innerServer struct {
	wire.UnimplementedInnerServer

	d *Daemon
}

func registerInner(d *Daemon) {
	wire.RegisterInnerServer(d.inner, &innerServer{d: d})
}

// Forward implements wire.InnerServer. A request for another instance is relayed
// to it.
func (s *innerServer) Forward(ctx context.Context, req *wire.ForwardRequest) (*wire.ForwardReply, error) {
	if n := len(req.GetBody()); n > memory.SmallBytes && !peers.IsBodyAnnounced(ctx) {
		release, ok := bodyMemory{s.d}.TakeBody(int64(n))
		if ok {
			defer release()
		} else if !req.GetVoidOnly() {
			return refuseUnannounced(req), nil
		}
	}
	to := ident.Instance(req.GetRelayTo())
	if to == "" || to == s.d.instance {
		return s.d.guard.Forward(ctx, req), nil
	}
	if policy := region.Decode(req.GetRegions(), req.GetNoRegion()); !req.GetVoidOnly() && !policy.Permits(s.d.fleet.Region(to)) {
		return nil, status.Errorf(codes.FailedPrecondition, "instance %s is outside the allowed regions of the request", to)
	}
	address, _, _ := s.d.fleet.Locate(to)
	if address == "" {
		return nil, status.Errorf(codes.NotFound, "instance %s is not known here: ask another daemon", to)
	}
	client, err := s.d.peers.Get(address)
	if err != nil {
		return nil, err
	}
	// The receiver must not relay the request again.
	req.RelayTo = ""
	return client.Forward(peers.AnnounceBody(ctx, len(req.GetBody())), req)
}

// refuseUnannounced refuses a request of an older build, for whose body there is no
// memory. Older builds know the kind QueueFull and then try another target. With a ticket,
// an earlier copy of the request may have run.
func refuseUnannounced(req *wire.ForwardRequest) *wire.ForwardReply {
	refusal := fault.NotRun(fault.QueueFull, "this daemon has no memory for the request's body: repeat after the given time").
		WithRetryAfter(clock.Second)
	if req.GetTicket() != "" {
		refusal.Outcome = ident.OutcomeUnknown
	}
	return &wire.ForwardReply{Sequence: req.GetSequence(), SenderIncarnation: req.GetSenderIncarnation(), Refusal: guard.RefusalToWire(refusal)}
}

// bodyMemory counts the bodies of calls from peers in the daemon's account. It implements
// peers.BodyMemory.
type bodyMemory struct {
	d *Daemon
}

// TakeBody implements peers.BodyMemory.
func (m bodyMemory) TakeBody(n int64) (release func(), ok bool) {
	account := m.d.memory
	// A peer's body is never given up, because the sender would not learn whether it ran.
	h, reason := account.OpenWhole(m.d.clk.Now(), n)
	if reason != memory.ReasonNone {
		m.d.meter.CountBody("refused_peer", reason.String())
		return nil, false
	}
	return func() { account.Close(h) }, true
}

// HoldReply implements peers.ReplyMemory. The answers that are sent to peers share the
// memory of those that are read from targets.
func (m bodyMemory) HoldReply(reply *wire.ForwardReply) (*wire.ForwardReply, func()) {
	n := int64(len(reply.GetAnswer().GetBody()))
	if n <= memory.SmallBytes {
		return reply, nil
	}
	if m.d.memory.TakeAnswer(n) {
		return reply, func() { m.d.memory.ReleaseAnswer(n) }
	}
	m.d.meter.CountBody("answer_refused", memory.ReasonFull.String())
	refusal := fault.Unknown(fault.AnswerTooLarge, "large answers fill the memory for them: repeat a lookup, look an action up")
	return &wire.ForwardReply{
		Sequence: reply.GetSequence(), SenderIncarnation: reply.GetSenderIncarnation(), Refusal: guard.RefusalToWire(refusal),
	}, nil
}

// Ping implements wire.InnerServer. If the sender introduces itself to a daemon on a
// platform, the reply contains the members' records. On a platform, it contains the
// evacuations.
func (s *innerServer) Ping(_ context.Context, req *wire.PingRequest) (*wire.PingReply, error) {
	reply := &wire.PingReply{Incarnation: uint64(s.d.incarnation), Revision: uint64(s.d.table.Revision()), StoreEra: uint64(s.d.storeEra())}
	if s.d.platform != nil {
		s.d.evacuations.merge(s.d.clk.Now(), req.GetEvacuations())
		reply.Evacuations = s.d.evacuations.toWire(s.d.clk.Now(), math.MaxInt)
	}
	if len(req.GetSelf()) > 0 && s.d.roster != nil {
		reply.Members = s.d.roster.handleIntroduction(req.GetSelf())
	}
	return reply, nil
}

// Tickets implements wire.InnerServer.
func (s *innerServer) Tickets(_ context.Context, req *wire.TicketsRequest) (*wire.TicketsReply, error) {
	return entry.TicketsReply(s.d.guard, ident.Team(req.GetTeam()), ident.Service(req.GetService()), int(req.GetCount())), nil
}

// Release implements wire.InnerServer. It refuses the sender's requests that wait at
// local targets and returns their number.
func (s *innerServer) Release(_ context.Context, req *wire.ReleaseRequest) (*wire.ReleaseReply, error) {
	return &wire.ReleaseReply{Released: uint32(s.d.guard.RefuseWaiting(ident.Instance(req.GetSenderInstance())))}, nil
}

// HoldDepartures implements wire.InnerServer.
func (s *innerServer) HoldDepartures(ctx context.Context, req *wire.HoldDeparturesRequest) (*wire.HoldDeparturesReply, error) {
	if s.d.departures == nil || req.GetInstance() == "" {
		return nil, status.Error(codes.FailedPrecondition, "departures are held on a platform, for a named instance")
	}
	of := ident.Instance(req.GetInstance())
	s.d.departures.held.Hold(s.d.clk.Now(), of, departuresFromWire(req.GetDepartures()))
	return &wire.HoldDeparturesReply{Saved: req.GetSave() && s.d.departures.saveFor(ctx, of)}, nil
}

// HeldDepartures implements wire.InnerServer.
func (s *innerServer) HeldDepartures(_ context.Context, req *wire.HeldDeparturesRequest) (*wire.HeldDeparturesReply, error) {
	if s.d.departures == nil {
		return nil, status.Error(codes.FailedPrecondition, "departures are held on a platform")
	}
	held := s.d.departures.held.Held(s.d.clk.Now(), ident.Instance(req.GetInstance()))
	return &wire.HeldDeparturesReply{Departures: departuresToWire(held), Incomplete: !isClosed(s.d.departures.listed)}, nil
}

// Draw implements wire.InnerServer.
func (s *innerServer) Draw(_ context.Context, req *wire.DrawRequest) (*wire.DrawReply, error) {
	return s.d.rateSlots.Draw(req), nil
}

// Changes implements wire.InnerServer.
func (s *innerServer) Changes(_ context.Context, req *wire.ChangesRequest) (*wire.ChangesReply, error) {
	entries, kept := s.d.table.Changes(ident.Revision(req.GetAfter()), int(req.GetLimit()))
	return &wire.ChangesReply{Head: uint64(s.d.table.Revision()), Entries: entries, TooOld: !kept}, nil
}

// Snapshot implements wire.InnerServer.
func (s *innerServer) Snapshot(_ *wire.SnapshotRequest, stream wire.Inner_SnapshotServer) error {
	return s.d.table.Snapshot(func(rev ident.Revision, chunk []byte) error {
		return stream.Send(&wire.SnapshotChunk{Revision: uint64(rev), Records: chunk, Limits: limitsToWire(s.d.table.CallerLimits())})
	})
}
