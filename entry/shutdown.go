package entry

import (
	"chestnutlatch/clock"
)

// maxDrainGuardCalls bounds the guard calls made for one request, without those that
// recover a lost answer, while this daemon shuts down with its target.
const maxDrainGuardCalls = 3

// drainWaitDivisor sets the lower bound of maxSlotWait during shutdown:
// DrainTime/drainWaitDivisor.
const drainWaitDivisor = 4

// RefuseWaiting makes the local guard and those of peers refuse the requests of this
// daemon that still wait for a slot. It does nothing until the local target has been
// draining for DrainTime: a request that has not started by then may not finish
// before the instance stops. Running requests continue.
func (e *Entry) RefuseWaiting(now clock.Millis) {
	since := e.drainingSince()
	if since == 0 || now-since < e.DrainTime {
		return
	}
	e.Guard.RefuseWaiting(e.Instance)
	for _, address := range e.client.peersInFlight() {
		if err := e.client.refuseWaiting(address); err != nil {
			e.Log.Debug("call to refuse waiting requests failed", "at", address, "error", err)
		}
	}
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
