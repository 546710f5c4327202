package main

import (
	"bytes"
	"crypto/sha256"
	"fmt"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"
)

// Bounds of the pages.
const (
	contact      = 3 * time.Second
	drainTimeout = 2 * time.Second
)

func init() {
	cases["form"] = caseForm
	cases["late-beat"] = caseLateBeat
	cases["resend"] = caseResend
}

// caseForm sends one-time requests whose body is a form, and compares what the
// upstreams ran with what the clients sent. Without the disruption the same bytes are
// sent with another content type.
func caseForm(folder string) bool {
	r := newRig(folder, 2)
	defer r.close()
	r.startAll()
	const boundary = "----review7d1f"
	form := "--" + boundary + "\r\nContent-Disposition: form-data; name=\"order\"\r\nContent-Type: application/json\r\n\r\n{\"crank\":7}\r\n" +
		"--" + boundary + "\r\nContent-Disposition: form-data; name=\"note\"\r\nContent-Transfer-Encoding: quoted-printable\r\n\r\nstall=20B\r\n" +
		"--" + boundary + "\r\nContent-Disposition: form-data; name=\"photo\"; filename=\"a.bin\"\r\n\r\n\x00\x01\x02\r\n" +
		"--" + boundary + "\r\nContent-Disposition: form-data; name=\"amount\"\r\n\r\n1\r\n" +
		"--" + boundary + "--\r\n"
	contentType := "application/octet-stream"
	if r.trouble {
		contentType = "multipart/form-data; boundary=" + boundary
	}
	sent := map[string][]byte{}
	for i := range 20 {
		body := []byte(form)
		resp := r.hosts[i%2].send(request{
			method: http.MethodPost, host: "act.example", path: fmt.Sprintf("/act/%d", i), body: body, headers: map[string]string{"Content-Type": contentType},
		})
		sent[resp.id] = body
	}
	ran, changed := 0, 0
	for _, h := range r.hosts {
		for _, a := range h.app.allArrivals() {
			want, ok := sent[a.id]
			if !ok {
				continue
			}
			ran++
			if bytes.Equal(a.body, want) {
				continue
			}
			changed++
			r.log("request %s: %d bytes sent (SHA-256 %x), upstream %s ran %d bytes (SHA-256 %x)",
				a.id, len(want), sha256.Sum256(want), h.app.id, len(a.body), sha256.Sum256(a.body))
			if changed == 1 {
				r.log("sent:\n%q", want)
				r.log("run:\n%q", a.body)
			}
		}
	}
	r.log("%d requests sent, %d run, %d of these with a changed body", len(sent), ran, changed)
	if ran == 0 {
		noRun("no request ran")
	}
	return changed > 0
}

// sendLog holds when the clients sent their requests.
type sendLog struct {
	mu sync.Mutex
	at map[string]time.Time
}

// load sends short idempotent requests through a machine while it is ready, as its
// clients do, until stop is closed.
func (s *sendLog) load(h *host, every time.Duration, stop chan struct{}, done *sync.WaitGroup) {
	defer done.Done()
	for {
		select {
		case <-stop:
			return
		case <-time.After(every):
		}
		began := time.Now()
		resp := h.send(request{path: "/look/load", host: "look.example"})
		s.mu.Lock()
		s.at[resp.id] = began
		s.mu.Unlock()
	}
}

// caseLateBeat kills and restarts a daemon, and lets its upstream leave soon after. A
// heartbeat that the upstream sent just before it left arrives late. Without the
// disruption the daemon is not killed. With MODE=before the daemon is killed after it
// has acknowledged the leaving, not before.
func caseLateBeat(folder string) bool {
	const (
		restartDelay = 300 * time.Millisecond
		leaveDelay   = 500 * time.Millisecond // from the restart
		beatDelay    = 2 * time.Second        // "seconds late"
		serveTime    = 7 * time.Second        // after the acknowledgement: drain_timeout and some seconds
	)
	r := newRig(folder, 3)
	defer r.close()
	r.startAll()
	sends := &sendLog{at: map[string]time.Time{}}
	stop := make(chan struct{})
	var done sync.WaitGroup
	for _, h := range r.hosts[1:] {
		done.Add(1)
		go sends.load(h, 40*time.Millisecond, stop, &done)
	}
	time.Sleep(contact + 500*time.Millisecond)

	h := r.hosts[0]
	u := h.app
	u.setSilent() // Heartbeats are sent by hand from here on.
	started := time.Now()
	restart := func() {
		if !r.trouble {
			return
		}
		r.log("daemon of %s is killed", h.name)
		h.signal(syscall.SIGKILL)
		h.wait(time.Second)
		time.Sleep(restartDelay)
		h.start(false)
		started = time.Now()
		h.waitReady()
	}
	killLast := os.Getenv("MODE") == "before"
	if !killLast {
		restart()
		time.Sleep(time.Until(started.Add(leaveDelay)))
	}
	late := u.nextBeat()
	lateAt := time.Now().Add(beatDelay)
	r.log("upstream %s sends heartbeat %d (%s), which is under way for %s", u.id, late.sequence, late.state, beatDelay)
	u.setState("draining")
	if !u.leave() {
		noRun("the upstream's leaving was not acknowledged")
	}
	acknowledged := time.Now()
	if killLast {
		restart()
	}
	time.Sleep(time.Until(lateAt))
	u.sendBeat(late)
	time.Sleep(time.Until(acknowledged.Add(serveTime)))
	u.exit()
	close(stop)
	done.Wait()

	bound := acknowledged.Add(drainTimeout)
	if touch := started.Add(contact); r.trouble && touch.After(bound) {
		bound = touch
	}
	r.log("the leaving was acknowledged at %.3f; requests that were sent after %.3f must not reach the upstream",
		acknowledged.Sub(r.began).Seconds(), bound.Sub(r.began).Seconds())
	broken := 0
	for _, a := range u.allArrivals() {
		if sends.at[a.id].After(bound) {
			broken++
			r.log("request %s was sent at %.3f and reached upstream %s at %.3f, %.3f s after the acknowledgement",
				a.id, sends.at[a.id].Sub(r.began).Seconds(), u.id, a.at.Sub(r.began).Seconds(), a.at.Sub(acknowledged).Seconds())
		}
	}
	r.log("%d requests reached the upstream that had left", broken)
	return broken > 0
}

// caseResend lets an upstream leave while it works on an idempotent request, whose
// answer is then lost. Without the disruption the answer is not lost.
func caseResend(folder string) bool {
	const work = 2900 * time.Millisecond
	r := newRig(folder, 2)
	defer r.close()
	r.startAll()
	time.Sleep(contact)
	// The lost answer is one in more than 40 of the upstream's in a few seconds.
	for i := range 100 {
		r.hosts[i%2].send(request{path: "/look/load", host: "look.example"})
	}
	var mu sync.Mutex
	var leaving *upstream
	var acknowledged time.Time
	first := true
	for _, h := range r.hosts {
		u := h.app
		u.setWork(func(a arrival) treatment {
			if a.path != "/look/long" {
				return treatment{work: 20 * time.Millisecond}
			}
			mu.Lock()
			defer mu.Unlock()
			if !first {
				return treatment{work: 20 * time.Millisecond}
			}
			first, leaving = false, u
			go func() {
				time.Sleep(300 * time.Millisecond)
				u.setState("draining")
				ok := u.sendBeat(u.nextBeat())
				mu.Lock()
				defer mu.Unlock()
				if ok {
					acknowledged = time.Now()
				}
			}()
			return treatment{work: work, reset: r.trouble}
		})
	}
	resp := r.hosts[0].send(request{path: "/look/long", host: "look.example"})
	time.Sleep(500 * time.Millisecond)
	mu.Lock()
	defer mu.Unlock()
	if leaving == nil || acknowledged.IsZero() {
		noRun("no upstream ran the long request, or its leaving was not acknowledged")
	}
	recent := 0
	broken := false
	for _, a := range leaving.allArrivals() {
		if a.at.After(acknowledged.Add(-5500 * time.Millisecond)) {
			recent++
		}
		if after := a.at.Sub(acknowledged); after > drainTimeout {
			broken = true
			r.log("request %s reached upstream %s %.3f s after the acknowledgement that it is draining", a.id, leaving.id, after.Seconds())
		}
	}
	r.log("one answer of %d lost at upstream %s; the long request got %d", recent, leaving.id, resp.status)
	return broken
}
