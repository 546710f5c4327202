package guard

import (
	"context"
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"chestnutlatch/wire"
)

// script is how the target answers one request.
type script int

const (
	answerWhole script = iota
	answerTwice
	answerLate
	answerHalf
	answerNothing
	answerHangs
	answerStray
	scriptCount
)

// lateBy is longer than the requests of the test may take.
const lateBy = 60 * time.Millisecond

// TestAnswersBelongToTheirRequests sends look-ups one after another to a
// target that answers late, twice, half, not at all, or with bytes that nobody
// asked for. Stray bytes come while the connection rests: those that come while
// the next request is under way cannot be told from its answer in HTTP/1.1.
// The naive serial version is the request itself: an answer is
// right only if it is whole and names its own request.
func TestAnswersBelongToTheirRequests(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		scripts := rapid.SliceOfN(rapid.IntRange(0, int(scriptCount)-1), 1, 8).Draw(r, "scripts")
		// strayed gets a signal when the stray bytes of a request are sent.
		strayed := make(chan struct{}, 2*len(scripts)+1)
		f := startTarget(t, func(n, _ int64, c net.Conn) bool {
			s := script(scripts[int(n-1)%len(scripts)])
			more := play(s, n, c)
			if s == answerStray {
				strayed <- struct{}{}
			}
			return more
		})
		g := testGuard(t, f, 1)
		for i := range 2 * len(scripts) {
			before := f.requests.Load()
			req := &wire.ForwardRequest{Target: "t", Service: "svc", Method: "GET", Uri: "/x", TimeoutMs: 40}
			reply := g.Forward(context.Background(), req)
			after := f.requests.Load()
			if script(scripts[int(after-1)%len(scripts)]) == answerStray {
				<-strayed
			}
			if reply.GetAnswer() == nil {
				continue
			}
			own := false
			for n := before + 1; n <= after; n++ {
				own = own || string(reply.GetAnswer().GetBody()) == body(n)
			}
			if !own {
				r.Fatalf("request %d, the target's %d to %d, got %q", i, before+1, after, reply.GetAnswer().GetBody())
			}
		}
		_ = f.Close()
	})
}

func body(n int64) string { return fmt.Sprintf("answer %d %s", n, strings.Repeat("x", int(n%7))) }

func play(s script, n int64, c net.Conn) bool {
	switch s {
	case answerWhole:
		write(c, whole(body(n)))
	case answerTwice:
		write(c, whole(body(n))+whole("again "+body(n)))
	case answerLate:
		time.Sleep(lateBy)
		write(c, whole(body(n)))
	case answerHalf:
		w := whole(body(n))
		write(c, w[:len(w)-2])
		return false
	case answerNothing:
		return false
	case answerHangs:
		time.Sleep(lateBy)
	case answerStray:
		write(c, whole(body(n)))
		time.Sleep(time.Millisecond)
		write(c, whole("nobody asked"))
	}
	return true
}
