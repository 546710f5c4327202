package entry

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/hashicorp/go-hclog"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"chestnutlatch/choose"
	"chestnutlatch/clock"
	"chestnutlatch/fault"
	"chestnutlatch/guard"
	"chestnutlatch/ident"
	"chestnutlatch/meter"
	"chestnutlatch/peers"
	"chestnutlatch/wire"
)

const (
	// firstCheckDelay is the time after the start of a call at which its peer is
	// first checked.
	firstCheckDelay = 400 * time.Millisecond
	// checkTimeout limits one check, and other short calls to peers.
	checkTimeout = 400 * time.Millisecond
	// checkInterval is the time between two checks during a long call.
	checkInterval = time.Second
	// minProbePause and maxProbePause bound the pause between two probes of an
	// unreachable path. A network cut lasts seconds, and a request sent over a cut
	// path is lost.
	minProbePause = 250 * time.Millisecond
	maxProbePause = time.Second
	// maxProbeRate is the maximum rate of probes over all paths, per second. One
	// probe takes about 200 bytes in both directions together, and a daemon may
	// use 12 KB per second for control traffic.
	maxProbeRate = 40
)

var (
	// errPeerUnresponsive reports that a peer did not answer a check.
	errPeerUnresponsive = errors.New("peer did not answer a ping")
	// errMismatchedReply reports a reply to another request.
	errMismatchedReply = errors.New("reply belongs to another request")
)

// guardClient forwards requests to local and remote guards and monitors the paths to
// the remote ones. It reports the state of each path to the picker. It is safe for
// concurrent use.
type guardClient struct {
	instance    ident.Instance
	region      ident.Region
	incarnation ident.Incarnation
	clk         clock.Clock
	log         hclog.Logger
	guard       *guard.Guard
	peers       *peers.Pool
	picker      *choose.Picker
	fleet       Fleet
	meter       *meter.Meter
	sequence    atomic.Uint64
	// baseCtx ends path checks and probes.
	baseCtx context.Context

	// probingPaths is the number of paths that are being probed.
	probingPaths atomic.Int64

	mu sync.Mutex
	// inFlight counts the running calls by the peer's inner address.
	inFlight map[string]int
	// checkingPaths holds the addresses that are being checked because a request
	// there exceeded its deadline.
	checkingPaths map[string]bool
	// received holds, by the peer's inner address, the sequences of the one-time requests
	// whose answers have arrived, until the next request there tells the peer.
	received map[string][]uint64
}

func newGuardClient(baseCtx context.Context, d Deps) *guardClient {
	return &guardClient{
		baseCtx: baseCtx, inFlight: map[string]int{}, checkingPaths: map[string]bool{}, received: map[string][]uint64{},
		instance: d.Instance, region: d.Region, incarnation: d.Incarnation, clk: d.Clock, log: d.Log,
		guard: d.Guard, peers: d.Peers, picker: d.Picker, fleet: d.Fleet, meter: d.Meter,
	}
}

// call sends a request to an instance's guard. After an error, the request may or may
// not have arrived. A request that may not be sent to the instance's region is refused
// as not run. If it has a ticket, call returns errOutsideRegions instead, because only
// the ticket's home daemon knows whether an earlier copy ran.
func (g *guardClient) call(ctx context.Context, to ident.Instance, address string, req *wire.ForwardRequest) (*wire.ForwardReply, error) {
	g.stamp(req)
	if to == g.instance {
		return g.guard.Forward(ctx, req), nil
	}
	if err := g.checkRegions(to, nil, req); err != nil {
		if req.GetTicket() != "" {
			return nil, err
		}
		return outsideReply(req), nil
	}
	req.Received = g.takeReceived(address)
	reply, err := g.callRemote(ctx, address, withoutContent(req))
	if reply := refusedBody(req, err); reply != nil {
		g.picker.MarkPathReachable(to)
		return reply, nil
	}
	if err != nil {
		switch {
		case isDeadlineExceeded(ctx, err):
			g.checkPath(to, address)
		case ctx.Err() == nil:
			g.pathFailed(to, address, err)
		}
		return nil, err
	}
	g.picker.MarkPathReachable(to)
	if req.GetOneTime() && req.GetAttempt() != "" && reply.GetAnswer() != nil {
		g.addReceived(address, req.GetSequence())
	}
	return reply, nil
}

// maxReceived bounds the answers whose arrival is not yet known to a peer, and
// maxReceivedPeers the number of such peers. A peer keeps the answer to a request without
// confirmation until the deadline of that request.
const (
	maxReceived      = 64
	maxReceivedPeers = 4096
)

// addReceived notes that the answer to a one-time request has arrived.
func (g *guardClient) addReceived(address string, sequence uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	list := g.received[address]
	if len(list) < maxReceived && (len(list) > 0 || len(g.received) < maxReceivedPeers) {
		g.received[address] = append(list, sequence)
	}
}

// takeReceived returns the answers that have arrived from a peer since the last request
// there.
func (g *guardClient) takeReceived(address string) []uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	list := g.received[address]
	delete(g.received, address)
	return list
}

// callRelay sends a request to an instance through another daemon, unless one of them is
// where the request may not be sent.
func (g *guardClient) callRelay(ctx context.Context, to ident.Instance, relay Peer, req *wire.ForwardRequest) (*wire.ForwardReply, error) {
	g.stamp(req)
	if err := g.checkRegions(to, &relay, req); err != nil {
		return nil, err
	}
	return g.callRemote(ctx, relay.Address, withoutContent(req))
}

// refusedBody returns the refusal of a request whose body a peer refused to read, and nil
// after any other error. This copy of the request has not run; the one that a question
// for a lost answer is about, or an earlier one with the same ticket, may have.
func refusedBody(req *wire.ForwardRequest, err error) *wire.ForwardReply {
	if err == nil || req.GetVoidOnly() || !peers.IsBodyRefused(err) {
		return nil
	}
	refusal := fault.NotRun(fault.NoMemory, "the daemon of the target has no memory for the request's body: repeat after the given time").
		WithRetryAfter(retryAfterNoMemory)
	return &wire.ForwardReply{Refusal: guard.RefusalToWire(unknownIfTicket(req.GetTicket(), refusal))}
}

// isDeadlineExceeded reports whether a call ended at its deadline. The peer may report
// this before the deadline of ctx has passed here.
func isDeadlineExceeded(ctx context.Context, err error) bool {
	return errors.Is(ctx.Err(), context.DeadlineExceeded) || status.Code(err) == codes.DeadlineExceeded
}

// checkPath checks in the background a path on which a request exceeded its deadline,
// and marks the path as failed if the peer does not answer. Short requests end before
// their peer is first checked, so their timeout does not show whether the path works.
func (g *guardClient) checkPath(to ident.Instance, address string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.checkingPaths[address] {
		return
	}
	g.checkingPaths[address] = true
	go func() {
		defer func() {
			g.mu.Lock()
			defer g.mu.Unlock()
			delete(g.checkingPaths, address)
		}()
		if err := g.ping(address); err != nil && g.baseCtx.Err() == nil {
			g.pathFailed(to, address, err)
		}
	}()
}

// pathFailed reports a failed path to the picker and starts probing it, unless it is
// already being probed.
func (g *guardClient) pathFailed(to ident.Instance, address string, cause error) {
	g.picker.MarkPathFailed(g.clk.Now(), to)
	if g.picker.StartPathProbe(to) {
		g.log.Info("path failed", "to", to, "address", address, "cause", cause)
		go g.probePath(to, address)
	}
}

// probePath pings an unreachable instance until it answers, is no longer up or has a
// new address. Without it, a request would have to test the path.
func (g *guardClient) probePath(to ident.Instance, address string) {
	g.probingPaths.Add(1)
	defer g.probingPaths.Add(-1)
	began := g.clk.Now()
	for pause := minProbePause; g.picker.IsPathProbing(to); pause = min(2*pause, maxProbePause) {
		select {
		case <-g.baseCtx.Done():
			return
		case <-time.After(probePause(pause, g.probingPaths.Load())):
		}
		current, _, up := g.fleet.Locate(to)
		if !up || current != address {
			// A later incarnation is reached over another path, if at all.
			g.picker.MarkPathReachable(to)
			return
		}
		if g.ping(address) == nil {
			g.picker.MarkPathReachable(to)
			g.log.Info("path recovered", "to", to, "address", address, "after_ms", int64(g.clk.Now()-began))
			return
		}
	}
}

// probePause lengthens a pause if needed to keep the probes of all paths together
// within maxProbeRate.
func probePause(pause time.Duration, paths int64) time.Duration {
	return max(pause, time.Duration(paths)*time.Second/maxProbeRate)
}

// ping checks whether the daemon at an address answers.
func (g *guardClient) ping(address string) error {
	client, err := g.peers.Get(address)
	if err != nil {
		return err
	}
	return pingPeer(g.baseCtx, client)
}

// pingPeer returns an error if the peer does not answer a ping within checkTimeout.
func pingPeer(ctx context.Context, client wire.InnerClient) error {
	ctx, done := context.WithTimeout(ctx, checkTimeout)
	defer done()
	_, err := client.Ping(ctx, &wire.PingRequest{})
	return err
}

// stamp sets the request's sender and sequence number, by which its reply is
// recognized.
func (g *guardClient) stamp(req *wire.ForwardRequest) {
	req.SenderInstance = string(g.instance)
	req.SenderIncarnation = uint64(g.incarnation)
	req.Sequence = g.sequence.Add(1)
}

// callRemote forwards a request to the daemon at an address. The call ends early if
// the peer stops answering checks.
func (g *guardClient) callRemote(ctx context.Context, address string, req *wire.ForwardRequest) (*wire.ForwardReply, error) {
	client, err := g.peers.Get(address)
	if err != nil {
		return nil, err
	}
	g.addInFlight(address, 1)
	defer g.addInFlight(address, -1)
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	watch := newPeerWatch(ctx, client, cancel)
	defer watch.stop()
	reply, err := client.Forward(peers.AnnounceBody(ctx, len(req.GetBody())), req)
	if err != nil {
		return nil, errors.Wrap(err, "forward request")
	}
	if reply.GetSequence() != req.GetSequence() || reply.GetSenderIncarnation() != req.GetSenderIncarnation() {
		g.meter.Dropped.Inc()
		return nil, errMismatchedReply
	}
	return reply, nil
}

// addInFlight adds n to the number of running calls to an address.
func (g *guardClient) addInFlight(address string, n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.inFlight[address] += n; g.inFlight[address] == 0 {
		delete(g.inFlight, address)
	}
}

// peersInFlight returns the addresses of the peers with running calls.
func (g *guardClient) peersInFlight() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	out := make([]string, 0, len(g.inFlight))
	for address := range g.inFlight {
		out = append(out, address)
	}
	return out
}

// refuseWaiting asks a peer to refuse the requests of this daemon that wait for a
// slot there.
func (g *guardClient) refuseWaiting(address string) error {
	client, err := g.peers.Get(address)
	if err != nil {
		return err
	}
	ctx, done := context.WithTimeout(g.baseCtx, checkTimeout)
	defer done()
	_, err = client.Release(ctx, &wire.ReleaseRequest{SenderInstance: string(g.instance)})
	return err
}

// peerWatch checks the peer of a long call periodically.
type peerWatch struct {
	timer   *time.Timer
	stopped atomic.Bool
}

// newPeerWatch starts a watch that calls cancel if the peer does not answer a check.
// The caller ends it with stop.
func newPeerWatch(ctx context.Context, client wire.InnerClient, cancel context.CancelCauseFunc) *peerWatch {
	w := &peerWatch{}
	w.timer = time.AfterFunc(firstCheckDelay, func() {
		if w.check(ctx, client, cancel) {
			w.timer.Reset(checkInterval)
		}
	})
	return w
}

// check cancels the call if its peer does not answer a ping, and reports whether to
// check again. The ping does not end with the request, because a request that ends
// at its deadline does not mean that the peer is unresponsive.
func (w *peerWatch) check(ctx context.Context, client wire.InnerClient, cancel context.CancelCauseFunc) bool {
	err := pingPeer(context.WithoutCancel(ctx), client)
	if w.stopped.Load() || ctx.Err() != nil {
		return false
	}
	if err != nil {
		cancel(errPeerUnresponsive)
		return false
	}
	return true
}

func (w *peerWatch) stop() {
	w.stopped.Store(true)
	w.timer.Stop()
}
