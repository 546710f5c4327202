package once

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"chestnutlatch/clock"
)

// cachedAnswer is an answer that a sender may still ask for.
type cachedAnswer struct {
	delivery Delivery
	bytes    int
	deadline clock.Millis
}

// TestAwaitedAnswersAreKept guards against answers that are dropped although their sender
// still asks for them, because those that have arrived at their senders, or that nobody waits
// for any more, fill the cache.
func TestAwaitedAnswersAreKept(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		const retention, maxBytes = 1000, 100
		a := NewAttemptTable(AttemptConfig{Retention: retention, MaxAttempts: 1000, MaxCachedBytes: maxBytes})
		awaited := map[string]cachedAnswer{}
		now := clock.Millis(1)
		for i := range 60 {
			now += clock.Millis(rapid.IntRange(0, 10).Draw(rt, "elapsed"))
			total := 0
			for id, c := range awaited {
				if now > c.deadline {
					delete(awaited, id)
					continue
				}
				total += c.bytes
			}
			id := fmt.Sprint(i)
			c := cachedAnswer{Delivery{1, uint64(i)}, rapid.IntRange(1, 40).Draw(rt, "bytes"), now + 50}
			a.Begin(now, id, c.deadline)
			a.Finish(now, id, &Answer{Body: make([]byte, c.bytes)}, nil)
			a.RecordReply(id, c.delivery)
			if total+c.bytes <= maxBytes {
				awaited[id] = c
			}
			for id, c := range awaited {
				d := a.Void(now, id, c.deadline)
				if r, ok := d.(Replay); !ok || len(r.Answer.Body) != c.bytes {
					rt.Fatalf("at %d, attempt %s of %d bytes, awaited until %d, got %+v: %d bytes are awaited", now, id, c.bytes, c.deadline, d, total)
				}
				if rapid.IntRange(0, 2).Draw(rt, "arrives") == 0 {
					a.ConfirmReply(c.delivery)
					delete(awaited, id)
				}
			}
			if a.cachedBytes > maxBytes || len(a.unconfirmed) > len(a.records) {
				rt.Fatalf("%d bytes are cached and %d replies unconfirmed, with %d attempts", a.cachedBytes, len(a.unconfirmed), len(a.records))
			}
		}
		a.Begin(now+50+retention+1, "last", now)
		if a.cachedBytes != 0 || len(a.unconfirmed) != 0 || len(a.cached)+len(a.delivered) != 0 {
			rt.Fatalf("after all have expired: %d bytes, %d replies, %v, %v", a.cachedBytes, len(a.unconfirmed), a.cached, a.delivered)
		}
	})
}
