package guard

import (
	"context"
	"sync"

	"github.com/go-faster/errors"

	"chestnutlatch/clock"
	"chestnutlatch/fault"
	"chestnutlatch/health"
	"chestnutlatch/ident"
	"chestnutlatch/member"
	"chestnutlatch/queue"
	"chestnutlatch/wire"
)

// TargetSpec describes one local target.
type TargetSpec struct {
	ID      ident.Target
	Service ident.Service
	// Address is the target's loopback address as ip:port.
	Address string
	// Slots is the number of requests that the target serves at the same time.
	Slots int
}

// maxNameBytes is the maximum length of a target's ID and of its service's name.
const maxNameBytes = 128

// Check returns an error for a spec that a target or operator has sent and that cannot
// be used here or published to other daemons. The error says what to change.
func (s TargetSpec) Check() error {
	switch {
	case CheckTargetID(s.ID) != nil:
		return CheckTargetID(s.ID)
	case !isName(string(s.Service)):
		return errors.Errorf("service must have 1 to %d visible ASCII characters and no slash", maxNameBytes)
	case !ident.IsAddress(s.Address):
		return errors.New("address must be an IP address and a port, such as 127.0.0.1:8080")
	case s.Slots < 1 || s.Slots > ident.MaxSlots:
		return errors.Errorf("slots must be from 1 to %d", ident.MaxSlots)
	}
	return nil
}

// CheckTargetID returns an error for an ID that cannot be published to other daemons.
func CheckTargetID(id ident.Target) error {
	if !isName(string(id)) {
		return errors.Errorf("target id must have 1 to %d visible ASCII characters and no slash", maxNameBytes)
	}
	return nil
}

// isName reports whether a name can be part of a header, a store key and a message to
// other daemons.
func isName(name string) bool {
	for _, c := range []byte(name) {
		if c <= ' ' || c > '~' || c == '/' {
			return false
		}
	}
	return name != "" && len(name) <= maxNameBytes
}

// target is one local target with its queue, health and connections. It is safe
// for concurrent use.
type target struct {
	spec  TargetSpec
	conns *connPool
	// cold bounds the requests while the target is cold; nil bounds none.
	cold *coldGate

	mu           sync.Mutex
	queue        *queue.Queue
	stateTracker *health.StateTracker
	detector     *health.CombinedDetector
	// waiters holds the requests that wait for a slot.
	waiters   map[queue.JobID]waiter
	lastJobID queue.JobID
	// failureEstimate is the estimated probability that the target is in a failure
	// episode.
	failureEstimate *health.FailureEstimate
	shedEstimate    health.ShedEstimate
	// meanLatency is the moving average of the latency of successful requests, in
	// microseconds. It starts at 0, so it is too low during the first requests.
	meanLatency float64
	// serviceTime is the moving average of the latency of successful requests by
	// priority, in microseconds. Longer requests have more weight in it.
	serviceTime [ident.PriorityUrgent + 1]float64
	// lastProbe is when the last recovery probe was admitted; 0 if none was.
	lastProbe clock.Millis
	// draining is true if the target accepts no new requests.
	draining bool
	// leavingSince is when a heartbeat or the deregistration first said that the target
	// drains, in milliseconds; 0 if the last one does not say so.
	leavingSince clock.Millis
	// startedAt and sequence are the values of the last heartbeat.
	startedAt clock.Millis
	sequence  uint64
	// lastAnnounced is the time of the last announcement or heartbeat; 0 for a
	// target from the settings.
	lastAnnounced clock.Millis
	// lastResend is when a request was last sent again on a new connection; 0 if
	// none was.
	lastResend clock.Millis
}

// waiter is a request that waits for a slot.
type waiter struct {
	// sender is the instance of the daemon that sent the request.
	sender ident.Instance
	// result receives nil if the request gets a slot, otherwise its refusal.
	result chan *fault.Refusal
}

// minResendInterval is the minimum interval between two requests that are sent
// again on a new connection, in milliseconds.
const minResendInterval = 200 * clock.Millisecond

func newTarget(s TargetSpec, cfg Config, clk clock.Clock, answerMemory AnswerMemory) *target {
	detector := health.NewCombinedDetector()
	return &target{
		spec:            s,
		conns:           newConnPool(s.Address, cfg, clk, answerMemory),
		failureEstimate: health.NewFailureEstimate(health.DefaultFailureModel(), clk.Now()),
		queue:           queue.New(s.Slots, cfg.QueueLimit),
		detector:        detector,
		stateTracker:    health.NewStateTracker(detector, clk.Now()),
		waiters:         map[queue.JobID]waiter{},
	}
}

// acquire waits for a slot. If it returns nil, the caller holds a slot and must
// call release.
func (t *target) acquire(ctx context.Context, now clock.Millis, j queue.Job, sender ident.Instance) *fault.Refusal {
	t.mu.Lock()
	if t.draining {
		t.mu.Unlock()
		return fault.NotRun(fault.Draining, "target %s takes no new work: repeat the request", t.spec.ID)
	}
	t.lastJobID++
	j.ID = t.lastJobID
	result := make(chan *fault.Refusal, 1)
	t.waiters[j.ID] = waiter{sender: sender, result: result}
	t.applyEffects(t.queue.Offer(now, j))
	t.mu.Unlock()
	select {
	case r := <-result:
		return r
	case <-ctx.Done():
	}
	return t.cancelWait(j.ID, result)
}

// cancelWait removes a job from the queue. If the job has already left the queue,
// it returns the job's result as acquire does.
func (t *target) cancelWait(id queue.JobID, result chan *fault.Refusal) *fault.Refusal {
	t.mu.Lock()
	if t.queue.Cancel(id) {
		delete(t.waiters, id)
		t.mu.Unlock()
		return fault.NotRun(fault.Canceled, "request ended while it waited for target %s", t.spec.ID)
	}
	t.mu.Unlock()
	// The job has been started or refused, so the channel holds its result.
	return <-result
}

// release returns a slot to the queue, which may start a waiting job.
func (t *target) release(now clock.Millis) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.applyEffects(t.queue.Done(now))
}

// expire refuses the waiting jobs whose deadline has passed.
func (t *target) expire(now clock.Millis) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.applyEffects(t.queue.Expire(now))
}

// applyEffects passes the queue's decisions to the waiting requests. The caller
// holds mu.
func (t *target) applyEffects(effects []queue.Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case queue.Start:
			t.finishWait(e.ID, nil)
		case queue.Refuse:
			t.finishWait(e.ID, queueRefusal(e.Kind, t.spec.ID))
		}
	}
}

// finishWait sends a request its result: nil for a slot, otherwise a refusal. The
// caller holds mu.
func (t *target) finishWait(id queue.JobID, r *fault.Refusal) {
	w := t.waiters[id]
	delete(t.waiters, id)
	w.result <- r
}

// refuseWaiting refuses the waiting requests of a sender and returns their number.
func (t *target) refuseWaiting(sender ident.Instance) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for id, w := range t.waiters {
		if w.sender == sender && t.queue.Cancel(id) {
			t.finishWait(id, fault.NotRun(fault.Draining, "the daemon that sent the request leaves: repeat the request at another one"))
			n++
		}
	}
	return n
}

func queueRefusal(k fault.Kind, id ident.Target) *fault.Refusal {
	switch k {
	case fault.Draining:
		return fault.NotRun(k, "target %s takes no new work: repeat the request", id)
	case fault.Evacuated:
		return fault.NotRun(k, "target %s is in an evacuated data centre: repeat the request", id).WithRetryAfter(clock.Second)
	case fault.DeadlineExceeded:
		return fault.NotRun(k, "deadline came while the request waited for target %s: allow more time", id)
	}
	return fault.NotRun(k, "target %s is busy and its queue is full: repeat after the given time", id).WithRetryAfter(clock.Second)
}

// recordSample updates the target's health and latency statistics with a finished
// request. It returns the suspicion before and after the update.
func (t *target) recordSample(s health.Sample, p ident.Priority) (before, after float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stateTracker.Observe(s)
	before = t.failureEstimate.At(s.At)
	t.failureEstimate.Observe(s)
	after = t.failureEstimate.At(s.At)
	if s.Result == health.ResultOK {
		t.meanLatency += (float64(s.Latency) - t.meanLatency) / latencySmoothing
		mean := &t.serviceTime[min(max(p, 0), ident.PriorityUrgent)]
		if *mean == 0 {
			*mean = float64(s.Latency)
		}
		// Longer requests have more weight, because many short requests would
		// otherwise hide the time that the long ones take.
		weight := float64(s.Latency) / (float64(s.Latency) + *mean)
		*mean += (float64(s.Latency) - *mean) * weight * 2 / latencySmoothing
	}
	return before, after
}

// recordShed updates the share of refused requests with a finished one.
func (t *target) recordShed(s health.Sample, refused bool) {
	if !refused && s.Result == health.ResultCanceled {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.shedEstimate.Observe(s.At, refused)
}

// estimateServiceTime returns the estimated time that the target takes for a
// request of a priority, in milliseconds; 0 without samples.
func (t *target) estimateServiceTime(p ident.Priority) clock.Millis {
	t.mu.Lock()
	defer t.mu.Unlock()
	return clock.Millis(t.serviceTime[p] / microsPerMilli)
}

const microsPerMilli = 1000

// latencySmoothing is the inverse of the smoothing factor of the moving averages:
// a request has a weight of 1/latencySmoothing in meanLatency.
const latencySmoothing = 16

// typicalLatency returns meanLatency, in microseconds.
func (t *target) typicalLatency() float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.meanLatency
}

// estimateWait estimates how long a new job waits for a slot, in milliseconds.
func (t *target) estimateWait(now clock.Millis, j queue.Job) clock.Millis {
	t.mu.Lock()
	defer t.mu.Unlock()
	freeSlots := t.queue.Slots() - t.queue.Running()
	ahead := t.queue.CountAhead(now, j) + 1 - freeSlots
	if ahead <= 0 {
		return 0
	}
	return clock.Millis(t.meanLatency/microsPerMilli) * clock.Millis(ahead) / clock.Millis(t.queue.Slots())
}

// coldRefusal refuses a request that a cold target must not get. The requests that wait
// ahead of it will use the limit first.
func (t *target) coldRefusal(now clock.Millis, j queue.Job) *fault.Refusal {
	if _, _, ok := t.cold.limitOf(t.spec.Service); !ok {
		return nil
	}
	t.mu.Lock()
	ahead := t.queue.CountAhead(now, j)
	t.mu.Unlock()
	return t.cold.refusal(t.spec, j.Priority, ahead)
}

// coldFullRefusal refuses a request that got a slot after others had used the limit of a
// cold target.
func (t *target) coldFullRefusal(p ident.Priority) *fault.Refusal {
	if r := t.cold.refusal(t.spec, p, 0); r != nil {
		return r
	}
	return fault.NotRun(fault.Cold, "target %s was cold and had no request left: repeat the request", t.spec.ID)
}

// minProbeInterval is the minimum interval between two recovery probes of a
// suspect target, in milliseconds. A probe that fails costs a retry.
const minProbeInterval = 300 * clock.Millisecond

// allowProbe reports whether a request may be used as a recovery probe and, if so,
// starts a new interval.
func (t *target) allowProbe(now clock.Millis) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.lastProbe > 0 && now-t.lastProbe < minProbeInterval {
		return false
	}
	t.lastProbe = max(now, 1)
	return true
}

// updateHealth updates the health state. It reports whether the state changed, and
// why the target was last marked sick.
func (t *target) updateHealth(now clock.Millis, peers health.PeerSummary) (changed bool, reason string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.stateTracker.Update(now, peers), t.stateTracker.Reason()
}

// state returns the state that is reported to other daemons: draining, or else the
// health state. The caller holds mu.
func (t *target) state() ident.TargetState {
	if t.draining {
		return ident.TargetDraining
	}
	return t.stateTracker.State()
}

func (t *target) info() member.Target {
	t.mu.Lock()
	defer t.mu.Unlock()
	return member.Target{ID: t.spec.ID, Service: t.spec.Service, State: t.state(), Slots: t.queue.Slots()}
}

func (t *target) stats(now clock.Millis) member.TargetStats {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.detector.Stats(now)
	return member.TargetStats{Service: t.spec.Service, Target: t.spec.ID, Windows: s.Windows}
}

func (t *target) loadReport(now clock.Millis) *wire.LoadReport {
	coldUsed := t.cold.used(t.spec.Service)
	t.mu.Lock()
	defer t.mu.Unlock()
	state := t.state()
	if coldUsed > 0 && state == ident.TargetWell {
		state = ident.TargetCold
	}
	return &wire.LoadReport{
		Target:   string(t.spec.ID),
		State:    uint32(state),
		InFlight: uint32(t.queue.Running()),
		Queued:   uint32(t.queue.Waiting()),

		Service:   string(t.spec.Service),
		Suspicion: uint32(t.failureEstimate.At(now) * ident.PerMille),
		Shed:      uint32(t.shedEstimate.At(now) * ident.PerMille),
		ColdUsed:  coldUsed,
	}
}

// allowResend reports whether a request may be sent again on a new connection and,
// if so, starts a new interval.
func (t *target) allowResend(now clock.Millis) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.lastResend > 0 && now-t.lastResend < minResendInterval {
		return false
	}
	t.lastResend = max(now, 1)
	return true
}

// setDraining starts or ends draining. When draining starts, waiting requests are
// refused at once as not run, so their senders have time to use another target.
func (t *target) setDraining(draining bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.draining = draining
	if draining {
		t.applyEffects(t.queue.Flush(fault.Draining))
	}
}

// flush refuses all waiting requests as not run.
func (t *target) flush(k fault.Kind) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.applyEffects(t.queue.Flush(k))
}

func (t *target) isDraining() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.draining
}

// setLeaving records whether the target says that it drains. The caller holds mu.
func (t *target) setLeaving(now clock.Millis, leaving bool) {
	switch {
	case !leaving:
		t.leavingSince = 0
	case t.leavingSince == 0:
		t.leavingSince = max(now, 1)
	}
}

// retire drains a target that is replaced or removed, and closes its connections: the
// idle ones now, the others after their exchange. Another target may use its address.
func (t *target) retire() {
	t.setDraining(true)
	t.conns.retire()
}

// suspicion returns the estimated probability, 0 to 1, that the target is in a
// failure episode.
func (t *target) suspicion(now clock.Millis) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.failureEstimate.At(now)
}

func (t *target) running() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.queue.Running()
}

// isIdle reports whether no request runs or waits.
func (t *target) isIdle() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.queue.Running() == 0 && t.queue.Waiting() == 0
}
