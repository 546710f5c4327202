package guard

import (
	"context"
	"testing"

	"chestnutlatch/clock"
	"chestnutlatch/ident"
)

// TestSuccessNeedsSignature guards against a success without the target's signature, which
// the caller cannot tell from one that the target did not send.
func TestSuccessNeedsSignature(t *testing.T) {
	tests := []struct {
		name, answer string
		passed       bool
	}{
		{"signed", "HTTP/1.1 200 OK\r\nX-Id: a\r\nX-Sig: s\r\n", true},
		{"signed, other case", "HTTP/1.1 201 OK\r\nX-Id: a\r\nx-sig: s\r\n", true},
		{"unsigned failure", "HTTP/1.1 500 E\r\nX-Id: a\r\n", true},
		{"unsigned redirect", "HTTP/1.1 302 F\r\nX-Id: a\r\n", true},
		{"unsigned", "HTTP/1.1 200 OK\r\nX-Id: a\r\n", false},
		{"unsigned 204", "HTTP/1.1 204 N\r\nX-Id: a\r\n", false},
		{"other name", "HTTP/1.1 200 OK\r\nX-Id: a\r\nX-Sog: s\r\n", false},
		{"empty signature", "HTTP/1.1 200 OK\r\nX-Id: a\r\nX-Sig:\r\n", false},
		{"two signatures", "HTTP/1.1 200 OK\r\nX-Id: a\r\nX-Sig: s\r\nX-Sig: t\r\n", false},
	}
	for _, tt := range tests {
		for _, oneTime := range []bool{false, true} {
			t.Run(tt.name, func(t *testing.T) {
				l := serveRaw(t, []string{tt.answer}, "Content-Length: 0\r\n\r\n")
				g := newAttemptGuard(t, clock.NewSystem(), testSpec("t", l.Addr().String()))
				g.cfg.Dialect.Signature = "X-Sig"
				reply := g.Forward(context.Background(), attemptRequest("a", oneTime))
				if got := reply.GetAnswer() != nil; got != tt.passed {
					t.Fatalf("answer passed on: %v, want %v; refusal %v", got, tt.passed, reply.GetRefusal())
				}
				if r := reply.GetRefusal(); r != nil && (ident.Outcome(r.GetOutcome()) != ident.OutcomeUnknown || !reply.GetArrived()) {
					t.Errorf("refusal %s has outcome %d, arrived %v, want unknown and arrived", r.GetMessage(), r.GetOutcome(), reply.GetArrived())
				}
			})
		}
	}
}
