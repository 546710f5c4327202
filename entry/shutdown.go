package entry

import (
	"context"
	"sync"

	"github.com/valyala/fasthttp"

	"chestnutlatch/clock"
	"chestnutlatch/fault"
)

// maxDrainGuardCalls bounds the guard calls made for one request, without those that
// recover a lost answer, while this daemon shuts down with its target.
const maxDrainGuardCalls = 3

// drainWaitDivisor sets the lower bound of maxSlotWait during shutdown:
// DrainTime/drainWaitDivisor.
const drainWaitDivisor = 4

// EndDispatch ends the sending of requests that no target has received. From then on they
// are refused as not run, also those whose body is still being read or that wait for a
// slot: during a planned stop they might be cut off while a target works on them.
func (e *Entry) EndDispatch() {
	e.Log.Info("requests are no longer sent to targets")
	e.endDispatch()
}

// isDispatchEnded reports whether EndDispatch has been called.
func (e *Entry) isDispatchEnded() bool { return e.dispatchCtx.Err() != nil }

// interruptReadAtEnd ends the reading of a request's body when EndDispatch is called. stop
// must be called once the body is read.
func (e *Entry) interruptReadAtEnd(c *fasthttp.RequestCtx) (stop func() bool) {
	conn := c.Conn()
	return context.AfterFunc(e.dispatchCtx, func() { interruptRead(conn) })
}

// stopRefusal refuses a request that was not sent to a target before EndDispatch.
func stopRefusal() *fault.Refusal {
	return fault.NotRun(fault.Draining, "this daemon stops before it could serve the request: repeat the request at another one").
		WithRetryAfter(retryAfterNoCapacity)
}

// RefuseWaiting makes the local guard and those of peers refuse the requests of this
// daemon that still wait for a slot. It does nothing until the local target has been
// draining for DrainTime, or EndDispatch was called: a request that has not started by
// then may not finish before the instance or the daemon stops. Running requests continue.
func (e *Entry) RefuseWaiting(now clock.Millis) {
	since := e.drainingSince()
	isLeaving := since != 0 && now-since >= e.DrainTime
	if !isLeaving && !e.isDispatchEnded() {
		return
	}
	e.Guard.RefuseWaiting(e.Instance)
	var calls sync.WaitGroup
	for _, address := range e.client.peersInFlight() {
		// A peer that does not answer must not delay the refusals at the others.
		calls.Go(func() {
			if err := e.client.refuseWaiting(address); err != nil {
				e.Log.Debug("call to refuse waiting requests failed", "at", address, "error", err)
			}
		})
	}
	calls.Wait()
}

// maxSlotWait returns how long a request sent now may wait for a slot, in
// milliseconds. 0 means that only its deadline limits the wait.
func (e *Entry) maxSlotWait(now clock.Millis) clock.Millis {
	since := e.drainingSince()
	if since == 0 {
		return 0
	}
	return max(since+e.DrainTime-now, e.DrainTime/drainWaitDivisor)
}

// drainingSince returns the time at which the local target began to drain. It
// returns 0 if no local target drains or if this daemon does not stop with its target.
func (e *Entry) drainingSince() clock.Millis {
	if e.DrainTime == 0 {
		return 0
	}
	return e.Guard.TargetDrainingSince()
}
