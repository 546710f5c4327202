package guard

import (
	"context"
	"fmt"
	"net"
	"strings"
	"testing"

	"chestnutlatch/clock"
	"chestnutlatch/wire"
)

// TestAnswersThatArrivedMakeRoom guards against an answer that is dropped while its sender
// asks for it, because the cache is full of answers whose senders have them: those of this
// daemon's own entry, and those that a peer has confirmed.
func TestAnswersThatArrivedMakeRoom(t *testing.T) {
	const bytes = 30_000
	for name, sender := range map[string]uint64{"own entry": 9, "peer": 5} {
		t.Run(name, func(t *testing.T) {
			var id string
			f := startFakeTarget(t, func(_, _ int64, c net.Conn) bool {
				writeString(c, okResponseWithID(id, strings.Repeat("x", bytes)))
				return true
			})
			g := newAttemptGuard(t, clock.NewSystem(), TargetSpec{ID: "t", Service: "svc", Address: f.Addr().String(), Slots: 4})
			// The cache has room for 34 of them.
			const requests = 50
			for i := range uint64(requests) {
				id = fmt.Sprint("a", i)
				req := attemptRequest(id, true)
				req.SenderIncarnation, req.Sequence, req.Received = sender, i, []uint64{i - 1}
				if reply := g.Forward(context.Background(), req); len(reply.GetAnswer().GetBody()) != bytes {
					t.Fatalf("request %d got %v", i, reply)
				}
			}
			question := &wire.ForwardRequest{Attempt: id, OneTime: true, VoidOnly: true, HomeIncarnation: 9, SenderIncarnation: sender, Sequence: requests}
			if reply := g.Forward(context.Background(), question); len(reply.GetAnswer().GetBody()) != bytes {
				t.Errorf("the last answer is not kept: %v", reply.GetRefusal())
			}
		})
	}
}
