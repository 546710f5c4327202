package guard

import (
	"context"
	"testing"

	"chestnutlatch/clock"
	"chestnutlatch/ident"
	"chestnutlatch/wire"
)

// TestBrokenHeadIsNoAnswer guards against an answer whose head is no HTTP being passed on:
// with the broken line, or with a body that is not the target's.
func TestBrokenHeadIsNoAnswer(t *testing.T) {
	tests := []struct{ name, fields string }{
		{"blank in a name", "X-Id: a\r\nContent Type: text/plain\r\nContent-Length: 2\r\n\r\nok"},
		{"control byte in a name", "X-Id: a\r\nContent\x01Type: text/plain\r\nContent-Length: 2\r\n\r\nok"},
		{"blank in the name of the length", "X-Id: a\r\nContent Length: 2\r\n\r\nok"},
		{"blank before the colon", "X-Id: a\r\nContent-Length : 2\r\n\r\nok"},
		{"control byte in a value", "X-Id: a\r\nX-Kind: a\x01b\r\nContent-Length: 2\r\n\r\nok"},
		{"LF alone", "X-Id: a\r\nX-Kind: a\nX-B: b\r\nContent-Length: 2\r\n\r\nok"},
		{"continued line", "X-Id: a\r\nX-Kind: a\r\n b\r\nContent-Length: 2\r\n\r\nok"},
		{"length and chunks", "X-Id: a\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"},
		{"broken trailer", "X-Id: a\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX Sum: 1\r\n\r\n"},
	}
	for _, tt := range tests {
		for _, kept := range []bool{false, true} {
			for _, oneTime := range []bool{false, true} {
				t.Run(tt.name, func(t *testing.T) {
					parts := []string{"HTTP/1.1 200 OK\r\n" + tt.fields}
					if kept {
						parts = []string{"HTTP/1.1 200 OK\r\nX-Id: a\r\nContent-Length: 0\r\n\r\n", parts[0]}
					}
					l := serveRaw(t, parts, "")
					g := newAttemptGuard(t, clock.NewSystem(), testSpec("t", l.Addr().String()))
					var reply *wire.ForwardReply
					for i := range parts {
						req := attemptRequest("a", oneTime && i == len(parts)-1)
						req.TimeoutMs = 2000
						reply = g.Forward(context.Background(), req)
					}
					if a := reply.GetAnswer(); a != nil {
						t.Fatalf("the caller gets status %d, headers %v and body %q", a.GetStatus(), a.GetHeaders(), a.GetBody())
					}
					if r := reply.GetRefusal(); ident.Outcome(r.GetOutcome()) != ident.OutcomeUnknown {
						t.Errorf("refusal %s has outcome %d, want unknown", r.GetMessage(), r.GetOutcome())
					}
					if n := len(g.findTarget("t").conns.idle); n != 0 {
						t.Errorf("%d connections are kept, want none", n)
					}
				})
			}
		}
	}
}
