package entry

import (
	"chestnutlatch/clock"
)

// lastAsks is the number of guards that a request of a leaving daemon asks.
const lastAsks = 3

// lastWait is the part of the leave time, one in lastWait, that a request may
// wait for a slot at the end of it and after it.
const lastWait = 4

// EndWaits refuses this daemon's requests that wait for a slot anywhere, once
// its target has been leaving for the leave time: what has not started by then
// may not end before the instance goes. What runs is left alone.
func (e *Entry) EndWaits(now clock.Millis) {
	since := e.leavingSince()
	if since == 0 || now-since < e.LeaveTime {
		return
	}
	e.Guard.Release(e.Instance)
	for _, address := range e.link.busyPeers() {
		if err := e.link.release(address); err != nil {
			e.Log.Debug("waits not ended", "at", address, "error", err)
		}
	}
}

// waitOf returns the longest wait for a slot of a request that is sent now, 0 if
// its deadline bounds it.
func (e *Entry) waitOf(now clock.Millis) clock.Millis {
	since := e.leavingSince()
	if since == 0 {
		return 0
	}
	return max(since+e.LeaveTime-now, e.LeaveTime/lastWait)
}

// leavingSince is since when this daemon leaves with its target, 0 if it does
// not.
func (e *Entry) leavingSince() clock.Millis {
	if e.LeaveTime == 0 {
		return 0
	}
	return e.Guard.LeavingSince()
}
