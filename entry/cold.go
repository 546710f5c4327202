package entry

import (
	"math/rand/v2"

	"chestnutlatch/choose"
	"chestnutlatch/clock"
	"chestnutlatch/fault"
	"chestnutlatch/ident"
	"chestnutlatch/limit"
)

// coldRetryAfter is the Retry-After of a request that all targets refuse because they are
// cold, when the window of each has room again; coldRetrySpread is the span over which the
// callers are spread.
const (
	coldRetryAfter  = clock.Second
	coldRetrySpread = clock.Second
)

// setColdLimit sets the limit that applies to the cold targets of a request's service.
func (e *Entry) setColdLimit(pickReq *choose.Request, r *request) {
	if e.ColdLimit == nil {
		return
	}
	pickReq.ColdLimit = e.ColdLimit(pickReq.Service)
	pickReq.ColdShare = limit.ColdShare(pickReq.ColdLimit, ident.Priority(r.out.GetPriority()))
}

// coldRefusal returns the refusal of a request whose service has cold targets with no
// request left, and no other target that takes it.
func (e *Entry) coldRefusal(pickReq choose.Request, r *request) *fault.Refusal {
	total, cold := e.Picker.ColdTargets(e.Clock.Now(), pickReq)
	rate := limit.ColdService{Targets: total, Cold: cold, Limit: pickReq.ColdLimit}.Rate(ident.Priority(r.out.GetPriority()))
	return fault.NotRun(fault.Cold, "%d of %d targets of service %s are cold and take %d requests/s of this priority: repeat after the given time",
		cold, total, pickReq.Service, int(rate)).WithRetryAfter(coldRetryAfter + clock.Millis(rand.Int64N(int64(coldRetrySpread))))
}

// replaceColdRefusal returns the refusal of a request that has no target left, whose last
// target refused it with last. If a cold target has refused it and the others are evacuated,
// it can be served when the cold one has room again, whichever refused first.
func (e *Entry) replaceColdRefusal(pickReq choose.Request, r *request, last *fault.Refusal) *fault.Refusal {
	if isColdRefusal(last) || last != nil && last.Kind == fault.Evacuated && pickReq.ColdRefusals > 0 {
		return e.coldRefusal(pickReq, r)
	}
	return last
}

// isColdRefusal reports whether a refusal says that a target is cold and has not run the
// request.
func isColdRefusal(r *fault.Refusal) bool {
	return r != nil && r.Kind == fault.Cold && r.Outcome == ident.OutcomeNotRun
}
