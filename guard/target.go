package guard

import (
	"context"
	"sync"

	"chestnutlatch/clock"
	"chestnutlatch/fault"
	"chestnutlatch/health"
	"chestnutlatch/ident"
	"chestnutlatch/member"
	"chestnutlatch/queue"
	"chestnutlatch/wire"
)

// Spec describes one local target.
type Spec struct {
	ID      ident.Target
	Service ident.Service
	// Address is the target's loopback address as ip:port.
	Address string
	// Slots is the number of requests the target serves at once.
	Slots int
}

// target is one local target with its queue, health and connections.
type target struct {
	spec  Spec
	conns *connPool

	mu       sync.Mutex
	queue    *queue.Queue
	keeper   *health.Keeper
	detector *health.Combined
	// waiters holds the jobs that have not started.
	waiters map[queue.JobID]waiter
	lastJob queue.JobID
	// belief is what the requests say about spells of failures.
	belief *health.Belief
	// took is the usual time of a request, in microseconds.
	took float64
	// need is the time of a request by priority, in microseconds, weighted by
	// length.
	need [ident.PriorityUrgent + 1]float64
	// tested is when a suspect target was last tested.
	tested clock.Millis
	// draining tells that the target or this daemon takes no new work.
	draining bool
	// born and sequence are those of the last heartbeat.
	born     clock.Millis
	sequence uint64
	// heard is when the target last announced itself; 0 for a target from
	// the settings.
	heard clock.Millis
	// refreshed is when a request was last sent again on a fresh connection.
	refreshed clock.Millis
}

// waiter is a request that waits for a slot.
type waiter struct {
	// sender is the daemon that passes the answer on.
	sender ident.Instance
	// ready takes nil for a slot, or why there is none.
	ready chan *fault.Refusal
}

// refreshEvery is the least time between two requests that are sent again on
// a fresh connection, in milliseconds.
const refreshEvery = 200 * clock.Millisecond

func newTarget(s Spec, cfg Config, clk clock.Clock) *target {
	d := health.NewCombined()
	return &target{
		spec:     s,
		conns:    newConnPool(s.Address, cfg, clk),
		belief:   health.NewBelief(health.DefaultModel(), clk.Now()),
		queue:    queue.New(s.Slots, cfg.QueueLimit),
		detector: d,
		keeper:   health.NewKeeper(d, clk.Now()),
		waiters:  map[queue.JobID]waiter{},
	}
}

// acquire waits for a slot. A nil refusal means that the caller holds one and
// must call release.
func (t *target) acquire(ctx context.Context, now clock.Millis, j queue.Job, sender ident.Instance) *fault.Refusal {
	t.mu.Lock()
	if t.draining {
		t.mu.Unlock()
		return fault.NotRun(fault.Draining, "target %s takes no new work: repeat the request", t.spec.ID)
	}
	t.lastJob++
	j.ID = t.lastJob
	ready := make(chan *fault.Refusal, 1)
	t.waiters[j.ID] = waiter{sender: sender, ready: ready}
	t.settle(t.queue.Offer(now, j))
	t.mu.Unlock()
	select {
	case r := <-ready:
		return r
	case <-ctx.Done():
	}
	return t.abandon(j.ID, ready)
}

// abandon takes a job out of the queue, or gives its slot back.
func (t *target) abandon(id queue.JobID, ready chan *fault.Refusal) *fault.Refusal {
	t.mu.Lock()
	if t.queue.Cancel(id) {
		delete(t.waiters, id)
		t.mu.Unlock()
		return fault.NotRun(fault.Canceled, "request ended while it waited for target %s", t.spec.ID)
	}
	t.mu.Unlock()
	// The queue has decided; the channel holds its word.
	return <-ready
}

// release gives a slot back.
func (t *target) release(now clock.Millis) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.settle(t.queue.Done(now))
}

// expire refuses the jobs whose deadline has come.
func (t *target) expire(now clock.Millis) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.settle(t.queue.Expire(now))
}

// settle carries out the queue's effects. The caller holds mu.
func (t *target) settle(effects []queue.Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case queue.Start:
			t.tell(e.ID, nil)
		case queue.Refuse:
			t.tell(e.ID, refusalOf(e.Kind, t.spec.ID))
		}
	}
}

func (t *target) tell(id queue.JobID, r *fault.Refusal) {
	w := t.waiters[id]
	delete(t.waiters, id)
	w.ready <- r
}

// releaseFrom refuses the waiting requests of a sender and returns their number.
func (t *target) releaseFrom(sender ident.Instance) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for id, w := range t.waiters {
		if w.sender == sender && t.queue.Cancel(id) {
			t.tell(id, fault.NotRun(fault.Draining, "the daemon that sent the request leaves: repeat the request at another one"))
			n++
		}
	}
	return n
}

func refusalOf(k fault.Kind, id ident.Target) *fault.Refusal {
	switch k {
	case fault.Draining:
		return fault.NotRun(k, "target %s takes no new work: repeat the request", id)
	case fault.DeadlineExceeded:
		return fault.NotRun(k, "deadline came while the request waited for target %s: allow more time", id)
	}
	return fault.NotRun(k, "target %s is busy and its queue is full: repeat after the given time", id).After(clock.Second)
}

// judgeEnd takes in what the end of a request says about the target. It returns
// the suspicion before and after.
func (t *target) judgeEnd(s health.Sample, p ident.Priority) (before, after float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.keeper.Observe(s)
	before = t.belief.At(s.At)
	t.belief.Observe(s)
	after = t.belief.At(s.At)
	if s.Result == health.ResultOK {
		t.took += (float64(s.Latency) - t.took) / usualPart
		need := &t.need[min(max(p, 0), ident.PriorityUrgent)]
		if *need == 0 {
			*need = float64(s.Latency)
		}
		// Each request counts by its length, so that many short ones do not
		// hide what the long ones need.
		weight := float64(s.Latency) / (float64(s.Latency) + *need)
		*need += (float64(s.Latency) - *need) * weight * 2 / usualPart
	}
	return before, after
}

// needs is the time that a request of a priority needs for most of its kind.
func (t *target) needs(p ident.Priority) clock.Millis {
	t.mu.Lock()
	defer t.mu.Unlock()
	return clock.Millis(t.need[p] / microsPerMilli)
}

const microsPerMilli = 1000

// usualPart smooths the usual time: each request counts one part in it.
const usualPart = 16

// usual is the time that the target usually takes, in microseconds.
func (t *target) usual() float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.took
}

// waitFor estimates how long a new request waits for a slot.
func (t *target) waitFor(now clock.Millis, j queue.Job) clock.Millis {
	t.mu.Lock()
	defer t.mu.Unlock()
	free := t.queue.Slots() - t.queue.Running()
	ahead := t.queue.Ahead(now, j) + 1 - free
	if ahead <= 0 {
		return 0
	}
	return clock.Millis(t.took/microsPerMilli) * clock.Millis(ahead) / clock.Millis(t.queue.Slots())
}

// testEvery is the least time between two idempotent requests that test a
// suspect target, in milliseconds: a test that fails costs a retry.
const testEvery = 300 * clock.Millisecond

// mayTest allows one request to test the target.
func (t *target) mayTest(now clock.Millis) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.tested > 0 && now-t.tested < testEvery {
		return false
	}
	t.tested = max(now, 1)
	return true
}

// judge moves the health state on and reports whether it changed.
func (t *target) judge(now clock.Millis, peers health.Peers) (changed bool, reason string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.keeper.Judge(now, peers), t.keeper.Reason()
}

// state returns what peers are told of the target. The caller holds mu.
func (t *target) state() ident.TargetState {
	if t.draining {
		return ident.TargetDraining
	}
	return t.keeper.State()
}

func (t *target) info() member.Target {
	t.mu.Lock()
	defer t.mu.Unlock()
	return member.Target{ID: t.spec.ID, Service: t.spec.Service, State: t.state(), Slots: t.queue.Slots()}
}

func (t *target) vital(now clock.Millis) member.Vital {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.detector.Stats(now)
	return member.Vital{Service: t.spec.Service, Target: t.spec.ID, Windows: s.Windows}
}

func (t *target) report(now clock.Millis) *wire.LoadReport {
	t.mu.Lock()
	defer t.mu.Unlock()
	return &wire.LoadReport{
		Target:   string(t.spec.ID),
		State:    uint32(t.state()),
		InFlight: uint32(t.queue.Running()),
		Queued:   uint32(t.queue.Waiting()),

		Service:   string(t.spec.Service),
		Suspicion: uint32(t.belief.At(now) * ident.Permill),
	}
}

// mayRefresh allows one request to be sent again on a fresh connection.
func (t *target) mayRefresh(now clock.Millis) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.refreshed > 0 && now-t.refreshed < refreshEvery {
		return false
	}
	t.refreshed = max(now, 1)
	return true
}

// setDraining stops or allows new work. Requests that wait are told at once
// that they have not run, so that they find another target in time.
func (t *target) setDraining(v bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.draining = v
	if v {
		t.settle(t.queue.Flush(fault.Draining))
	}
}

// suspicion is the belief that the target is in a spell of failures.
func (t *target) suspicion(now clock.Millis) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.belief.At(now)
}

func (t *target) running() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.queue.Running()
}

// isIdle reports whether nothing runs or waits.
func (t *target) isIdle() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.queue.Running() == 0 && t.queue.Waiting() == 0
}
