package guard

import (
	"context"
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"chestnutlatch/clock"
	"chestnutlatch/ident"
	"chestnutlatch/wire"
)

// answerMode is how the fake target answers one request.
type answerMode int

const (
	answerWhole answerMode = iota
	answerTwice
	answerLate
	answerHalf
	answerClose
	answerNever
	answerUnsolicited
	answerModeCount
)

// lateDelay is longer than the timeout of the test's requests.
const lateDelay = 60 * time.Millisecond

// TestAnswersMatchRequests sends idempotent requests one after another to a target
// that answers late, twice, incompletely, not at all, or with unsolicited bytes.
// An answer is correct only if it is complete and contains the number of its own
// request. Unsolicited bytes arrive while the connection is idle, because in
// HTTP/1.1 those that arrive during the next request look like its answer.
func TestAnswersMatchRequests(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		modes := rapid.SliceOfN(rapid.IntRange(0, int(answerModeCount)-1), 1, 8).Draw(r, "modes")
		// unsolicitedSent receives a value when unsolicited bytes have been sent.
		unsolicitedSent := make(chan struct{}, 2*len(modes)+1)
		fake := startFakeTarget(t, func(n, _ int64, c net.Conn) bool {
			mode := answerMode(modes[int(n-1)%len(modes)])
			keepOpen := writeAnswer(mode, n, c)
			if mode == answerUnsolicited {
				unsolicitedSent <- struct{}{}
			}
			return keepOpen
		})
		g := newTestGuard(t, fake, 1)
		for i := range 2 * len(modes) {
			before := fake.requests.Load()
			req := &wire.ForwardRequest{Target: "t", Service: "svc", Method: "GET", Uri: "/x", TimeoutMs: 40}
			reply := g.Forward(context.Background(), req)
			last := fake.requests.Load()
			if answerMode(modes[int(last-1)%len(modes)]) == answerUnsolicited {
				<-unsolicitedSent
			}
			if reply.GetAnswer() == nil {
				continue
			}
			matches := false
			for n := before + 1; n <= last; n++ {
				matches = matches || string(reply.GetAnswer().GetBody()) == numberedBody(n)
			}
			if !matches {
				r.Fatalf("request %d, received by the target as %d to %d, got the answer %q", i, before+1, last, reply.GetAnswer().GetBody())
			}
		}
		_ = fake.Close()
	})
}

// numberedBody is the body of the answer to the target's nth request.
func numberedBody(n int64) string {
	return fmt.Sprintf("answer %d %s", n, strings.Repeat("x", int(n%7)))
}

// writeAnswer answers the nth request and reports whether the connection stays
// open.
func writeAnswer(mode answerMode, n int64, c net.Conn) bool {
	switch mode {
	case answerWhole:
		writeString(c, okResponse(numberedBody(n)))
	case answerTwice:
		writeString(c, okResponse(numberedBody(n))+okResponse("again "+numberedBody(n)))
	case answerLate:
		time.Sleep(lateDelay)
		writeString(c, okResponse(numberedBody(n)))
	case answerHalf:
		response := okResponse(numberedBody(n))
		writeString(c, response[:len(response)-2])
		return false
	case answerClose:
		return false
	case answerNever:
		time.Sleep(lateDelay)
	case answerUnsolicited:
		writeString(c, okResponse(numberedBody(n)))
		time.Sleep(time.Millisecond)
		writeString(c, okResponse("unsolicited"))
	}
	return true
}

// TestResentRequestIsNotReportedAsNotRun covers an idempotent request that was lost on
// a reused connection, where it may have run, and whose second send is refused.
func TestResentRequestIsNotReportedAsNotRun(t *testing.T) {
	for _, refuseConnection := range []bool{true, false} {
		var f *fakeTarget
		f = startFakeTarget(t, func(n, conn int64, c net.Conn) bool {
			switch {
			case n == 1:
				writeString(c, okResponseWithID("a1", "one"))
				return true
			case conn == 1:
				if refuseConnection {
					_ = f.Close()
				}
				return false
			}
			writeString(c, "HTTP/1.1 503 Busy\r\nX-Id: a2\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n")
			return true
		})
		g := newAttemptGuard(t, clock.NewSystem(), TargetSpec{ID: "t", Service: "svc", Address: f.Addr().String(), Slots: 1})
		if r := g.Forward(context.Background(), attemptRequest("a1", false)); r.GetRefusal() != nil {
			t.Fatal(r.GetRefusal())
		}
		reply := g.Forward(context.Background(), attemptRequest("a2", false))
		if reply.GetRefusal() == nil || ident.Outcome(reply.GetRefusal().GetOutcome()) != ident.OutcomeUnknown || !reply.GetArrived() {
			t.Errorf("connection refused %v: refusal %v, arrived %v, want outcome unknown and arrived", refuseConnection, reply.GetRefusal(), reply.GetArrived())
		}
	}
}
