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
	"chestnutlatch/guard"
	"chestnutlatch/ident"
	"chestnutlatch/meter"
	"chestnutlatch/peers"
	"chestnutlatch/wire"
)

const (
	// checkAfter is how long a call waits before the peer itself is checked.
	checkAfter = 400 * time.Millisecond
	// checkTimeout bounds the check.
	checkTimeout = 400 * time.Millisecond
	// checkEvery is the time between two checks of a call that goes on.
	checkEvery = time.Second
	// probeFirst and probeMost bound the pause before a path that failed is
	// probed: a cut lasts seconds, and a request that tries it is lost.
	probeFirst = 250 * time.Millisecond
	probeMost  = time.Second
	// probeRate bounds the probes of all paths, in probes a second. One takes
	// about 200 bytes both ways, and a daemon may spend 12 KB a second on control.
	probeRate = 40
)

var (
	// errPath reports a peer that does not answer a check.
	errPath = errors.New("peer does not answer")
	// errCrossed reports an answer to another request.
	errCrossed = errors.New("answer belongs to another request")
)

// link calls guards, local or remote, and judges the paths to them.
type link struct {
	instance    ident.Instance
	incarnation ident.Incarnation
	clk         clock.Clock
	log         hclog.Logger
	guard       *guard.Guard
	peers       *peers.Pool
	picker      *choose.Picker
	fleet       Fleet
	meter       *meter.Meter
	sequence    atomic.Uint64
	// base ends the probes of paths.
	base context.Context

	// probing is the number of paths that are probed.
	probing atomic.Int64

	mu sync.Mutex
	// busy counts the calls under way by the peer's inner address.
	busy map[string]int
	// doubted holds the addresses that are checked since a request's time ran
	// out there.
	doubted map[string]bool
}

func newLink(base context.Context, d Deps) *link {
	return &link{
		base: base, busy: map[string]int{}, doubted: map[string]bool{},
		instance: d.Instance, incarnation: d.Incarnation, clk: d.Clock, log: d.Log,
		guard: d.Guard, peers: d.Peers, picker: d.Picker, fleet: d.Fleet, meter: d.Meter,
	}
}

// call sends a request to an instance's guard. An error says nothing about
// whether the request arrived.
func (l *link) call(ctx context.Context, to ident.Instance, address string, req *wire.ForwardRequest) (*wire.ForwardReply, error) {
	l.stamp(req)
	if to == l.instance {
		return l.guard.Forward(ctx, req), nil
	}
	reply, err := l.remote(ctx, address, req)
	if err != nil {
		switch {
		case isOverTime(ctx, err):
			l.doubt(to, address)
		case ctx.Err() == nil:
			l.failed(to, address, err)
		}
		return nil, err
	}
	l.picker.PathWorks(to)
	return reply, nil
}

// isOverTime reports whether a call ended since its time was over. The peer's word
// may come before the own clock says so.
func isOverTime(ctx context.Context, err error) bool {
	return errors.Is(ctx.Err(), context.DeadlineExceeded) || status.Code(err) == codes.DeadlineExceeded
}

// doubt checks a path on which a request's time ran out: short requests end
// before their peer is checked, and say nothing about the path.
func (l *link) doubt(to ident.Instance, address string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.doubted[address] {
		return
	}
	l.doubted[address] = true
	go func() {
		defer func() {
			l.mu.Lock()
			defer l.mu.Unlock()
			delete(l.doubted, address)
		}()
		if err := l.ask(address); err != nil && l.base.Err() == nil {
			l.failed(to, address, err)
		}
	}()
}

// failed notes a path that does not work and has it probed.
func (l *link) failed(to ident.Instance, address string, cause error) {
	l.picker.PathFailed(l.clk.Now(), to)
	if l.picker.HoldPath(to) {
		l.log.Info("path failed", "to", to, "address", address, "cause", cause)
		go l.probe(to, address)
	}
}

// probe asks an instance whose path failed until it answers or is gone, so that
// no request has to find out.
func (l *link) probe(to ident.Instance, address string) {
	l.probing.Add(1)
	defer l.probing.Add(-1)
	began := l.clk.Now()
	for pause := probeFirst; l.picker.IsPathHeld(to); pause = min(2*pause, probeMost) {
		select {
		case <-l.base.Done():
			return
		case <-time.After(probePause(pause, l.probing.Load())):
		}
		now, _, up := l.fleet.Locate(to)
		if !up || now != address {
			// A later life has another path, if any.
			l.picker.PathWorks(to)
			return
		}
		if l.ask(address) == nil {
			l.picker.PathWorks(to)
			l.log.Info("path works again", "to", to, "address", address, "after_ms", int64(l.clk.Now()-began))
			return
		}
	}
}

// probePause stretches a pause so that the probes of several paths keep to their
// rate together.
func probePause(pause time.Duration, paths int64) time.Duration {
	return max(pause, time.Duration(paths)*time.Second/probeRate)
}

// ask checks the daemon at an address.
func (l *link) ask(address string) error {
	client, err := l.peers.Get(address)
	if err != nil {
		return err
	}
	return check(l.base, client)
}

// check asks whether a peer itself answers.
func check(ctx context.Context, client wire.InnerClient) error {
	ctx, done := context.WithTimeout(ctx, checkTimeout)
	defer done()
	_, err := client.Ping(ctx, &wire.PingRequest{})
	return err
}

// stamp numbers the request, so that its answer can be told from others.
func (l *link) stamp(req *wire.ForwardRequest) {
	req.SenderInstance = string(l.instance)
	req.SenderIncarnation = uint64(l.incarnation)
	req.Sequence = l.sequence.Add(1)
}

// remote makes a call that ends early when the peer itself stops answering.
func (l *link) remote(ctx context.Context, address string, req *wire.ForwardRequest) (*wire.ForwardReply, error) {
	client, err := l.peers.Get(address)
	if err != nil {
		return nil, err
	}
	l.count(address, 1)
	defer l.count(address, -1)
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	watch := newWatch(ctx, client, cancel)
	defer watch.stop()
	reply, err := client.Forward(ctx, req)
	if err != nil {
		return nil, errors.Wrap(err, "forward")
	}
	if reply.GetSequence() != req.GetSequence() || reply.GetSenderIncarnation() != req.GetSenderIncarnation() {
		l.meter.Dropped.Inc()
		return nil, errCrossed
	}
	return reply, nil
}

func (l *link) count(address string, n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.busy[address] += n; l.busy[address] == 0 {
		delete(l.busy, address)
	}
}

// busyPeers returns the addresses of the peers that calls are under way to.
func (l *link) busyPeers() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make([]string, 0, len(l.busy))
	for address := range l.busy {
		out = append(out, address)
	}
	return out
}

// release asks a peer to refuse this daemon's requests that wait there.
func (l *link) release(address string) error {
	client, err := l.peers.Get(address)
	if err != nil {
		return err
	}
	ctx, done := context.WithTimeout(l.base, checkTimeout)
	defer done()
	_, err = client.Release(ctx, &wire.ReleaseRequest{SenderInstance: string(l.instance)})
	return err
}

// watch checks the peer of a long call from time to time.
type watch struct {
	timer   *time.Timer
	stopped atomic.Bool
}

func newWatch(ctx context.Context, client wire.InnerClient, cancel context.CancelCauseFunc) *watch {
	w := &watch{}
	w.timer = time.AfterFunc(checkAfter, func() {
		if w.check(ctx, client, cancel) {
			w.timer.Reset(checkEvery)
		}
	})
	return w
}

// check ends the call if its peer does not answer. It reports whether to look
// again. The request's own end is no word on its peer.
func (w *watch) check(ctx context.Context, client wire.InnerClient, cancel context.CancelCauseFunc) bool {
	err := check(context.WithoutCancel(ctx), client)
	if w.stopped.Load() || ctx.Err() != nil {
		return false
	}
	if err != nil {
		cancel(errPath)
		return false
	}
	return true
}

func (w *watch) stop() {
	w.stopped.Store(true)
	w.timer.Stop()
}
