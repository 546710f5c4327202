package guard

import (
	"context"
	"fmt"
	"testing"

	"chestnutlatch/clock"
	"chestnutlatch/ident"
)

// TestRefusalNeedsProof guards against a status that promises the caller that its request
// has not run, passed on from a target that has run it and then failed it.
func TestRefusalNeedsProof(t *testing.T) {
	for _, status := range []int{408, 429, 503} {
		for _, proof := range []string{"", "X-Not-Run: 1\r\n"} {
			for _, oneTime := range []bool{false, true} {
				t.Run(fmt.Sprintf("%d, %q, one-time %v", status, proof, oneTime), func(t *testing.T) {
					l := serveRaw(t, []string{fmt.Sprintf("HTTP/1.1 %d S\r\nX-Id: a\r\n%s", status, proof)}, "Content-Length: 0\r\n\r\n")
					g := newAttemptGuard(t, clock.NewSystem(), testSpec("t", l.Addr().String()))
					before := g.findTarget("t").suspicion(g.clk.Now())
					reply := g.Forward(context.Background(), attemptRequest("a", oneTime))
					if reply.GetAnswer() != nil {
						t.Fatalf("the caller gets status %d", reply.GetAnswer().GetStatus())
					}
					want := ident.OutcomeUnknown
					if proof != "" {
						want = ident.OutcomeNotRun
					}
					if got := ident.Outcome(reply.GetRefusal().GetOutcome()); got != want || !reply.GetArrived() {
						t.Errorf("outcome %s, arrived %v, want %s and arrived", got, reply.GetArrived(), want)
					}
					if proof == "" && g.findTarget("t").suspicion(g.clk.Now()) <= before {
						t.Error("the failure does not count against the target")
					}
				})
			}
		}
	}
}

// TestOtherFailuresArePassedOn guards against a target's own failures being replaced though
// their status promises nothing.
func TestOtherFailuresArePassedOn(t *testing.T) {
	for _, status := range []int{400, 404, 500, 502, 504} {
		l := serveRaw(t, []string{fmt.Sprintf("HTTP/1.1 %d S\r\nX-Id: a\r\n", status)}, "Content-Length: 0\r\n\r\n")
		g := newAttemptGuard(t, clock.NewSystem(), testSpec("t", l.Addr().String()))
		if got := g.Forward(context.Background(), attemptRequest("a", true)).GetAnswer().GetStatus(); int(got) != status {
			t.Errorf("status %d becomes %d", status, got)
		}
	}
}
