package guard

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"chestnutlatch/clock"
	"chestnutlatch/ident"
	"chestnutlatch/wire"
)

// serveUpload starts a target that reads the beginning of each upload and then calls answer.
func serveUpload(t *testing.T, answer func(c *net.TCPConn)) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				if _, err := io.ReadFull(c, make([]byte, 10_000)); err == nil {
					answer(c.(*net.TCPConn))
				}
			}()
		}
	}()
	return l
}

// upload sends a one-time request with a body that does not fit into the sockets' buffers.
func upload(t *testing.T, l net.Listener) *wire.ForwardReply {
	t.Helper()
	g := newAttemptGuard(t, clock.NewSystem(), testSpec("t", l.Addr().String()))
	req := attemptRequest("a", true)
	req.Body, req.TimeoutMs = make([]byte, 16<<20), 20_000
	return g.Forward(context.Background(), req)
}

// earlyAnswer is the beginning of an answer whose body ends with its connection.
const earlyAnswer = "HTTP/1.1 200 OK\r\nX-Id: a\r\n\r\npart of the body"

// TestResetDuringUploadIsNoEnd guards against an early answer to a long upload that is
// passed on as complete, although its connection was reset: the writing of the upload takes
// the error from the socket, and the reading then sees an end without one.
func TestResetDuringUploadIsNoEnd(t *testing.T) {
	for i := range 40 {
		l := serveUpload(t, func(c *net.TCPConn) {
			writeString(c, earlyAnswer)
			time.Sleep(time.Duration(i%4) * time.Millisecond)
			_ = c.SetLinger(0)
		})
		reply := upload(t, l)
		if a := reply.GetAnswer(); a != nil {
			t.Fatalf("upload %d: the caller gets status %d and body %q", i, a.GetStatus(), a.GetBody())
		}
		if r := reply.GetRefusal(); ident.Outcome(r.GetOutcome()) != ident.OutcomeUnknown {
			t.Errorf("upload %d: refusal %s has outcome %d, want unknown", i, r.GetMessage(), r.GetOutcome())
		}
	}
}

// TestEarlyAnswerThatEnds guards against a complete early answer being lost: its target ends
// the answer, reads the rest of the upload and only then closes the connection.
func TestEarlyAnswerThatEnds(t *testing.T) {
	l := serveUpload(t, func(c *net.TCPConn) {
		writeString(c, earlyAnswer)
		_ = c.CloseWrite()
		_, _ = io.Copy(io.Discard, c)
	})
	reply := upload(t, l)
	if got := string(reply.GetAnswer().GetBody()); got != "part of the body" {
		t.Errorf("body %q, refusal %v, want the answer", got, reply.GetRefusal())
	}
}

// TestEarlyAnswerWithLength covers an early answer that states its length: it is complete
// when it has arrived, whatever happens to its connection then.
func TestEarlyAnswerWithLength(t *testing.T) {
	release := make(chan struct{})
	l := serveUpload(t, func(c *net.TCPConn) {
		writeString(c, okResponseWithID("a", "all of it"))
		<-release
		_ = c.SetLinger(0)
	})
	reply := upload(t, l)
	close(release)
	if got := string(reply.GetAnswer().GetBody()); got != "all of it" {
		t.Errorf("body %q, refusal %v, want the answer", got, reply.GetRefusal())
	}
}
