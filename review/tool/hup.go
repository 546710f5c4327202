package main

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["hup"] = caseHup }

// caseHup stops a daemon as planned while it serves requests, and tells it during the
// stop that its settings file has changed. Without the disruption it is only stopped.
// Two measurements for the review's report go with TROUBLE=0: MODE=twice sends SIGTERM
// twice, and with MODE=silent the store gives the daemon no response.
func caseHup(folder string) bool {
	const (
		work     = 1500 * time.Millisecond
		hupDelay = 500 * time.Millisecond
		grace    = 6 * time.Second
	)
	r := newRig(folder, 2)
	defer r.close()
	r.startAll()
	time.Sleep(contact + 500*time.Millisecond)
	for _, h := range r.hosts {
		h.app.setWork(func(arrival) treatment { return treatment{work: work} })
	}
	h := r.hosts[0]
	var mu sync.Mutex
	var responses []response
	var clients sync.WaitGroup
	for i := range 6 {
		clients.Add(1)
		go func() {
			defer clients.Done()
			resp := h.send(request{method: http.MethodPost, host: "act.example", path: fmt.Sprintf("/act/%d", i), body: []byte("x"), timeout: 8 * time.Second})
			mu.Lock()
			defer mu.Unlock()
			responses = append(responses, resp)
		}()
	}
	time.Sleep(300 * time.Millisecond)
	if os.Getenv("MODE") == "silent" {
		h.store.silence(20 * time.Second)
		time.Sleep(300 * time.Millisecond)
	}
	stopped := time.Now()
	r.log("SIGTERM to the daemon of %s", h.name)
	h.signal(syscall.SIGTERM)
	if os.Getenv("MODE") == "twice" {
		time.Sleep(hupDelay)
		r.log("SIGTERM again")
		h.signal(syscall.SIGTERM)
	}
	if r.trouble {
		time.Sleep(hupDelay)
		file := filepath.Join(r.dir, h.name+".ini")
		old, err := os.ReadFile(file)
		if err != nil {
			noRun("%v", err)
		}
		if err := os.WriteFile(file, []byte(strings.Replace(string(old), "slack = 62", "slack = 63", 1)), 0o600); err != nil {
			noRun("%v", err)
		}
		r.log("the settings file of %s changes: SIGHUP", h.name)
		h.signal(syscall.SIGHUP)
	}
	if !h.wait(grace) {
		r.log("the daemon of %s is still there after the grace period: SIGKILL", h.name)
		h.signal(syscall.SIGKILL)
		h.wait(time.Second)
	}
	r.log("the daemon of %s has ended %.3f s after SIGTERM: %s", h.name, time.Since(stopped).Seconds(), h.state())
	clients.Wait()
	time.Sleep(200 * time.Millisecond)
	atWork := map[string]string{}
	for _, other := range r.hosts {
		for _, a := range other.app.allArrivals() {
			atWork[a.id] = other.app.id
		}
	}
	// Each request had been sent longer than loss_slack before, so each lost one counts,
	// also where it still waited for a slot.
	lost, passedOn := 0, 0
	for _, resp := range responses {
		if resp.err == nil {
			continue
		}
		lost++
		if u := atWork[resp.id]; u != "" {
			passedOn++
			r.log("request %s was at work at upstream %s, and its connection ended without an answer", resp.id, u)
		} else {
			r.log("the connection of request %s ended without an answer", resp.id)
		}
	}
	r.log("%d of %d requests lost, %d of them while upstreams were working on them", lost, len(responses), passedOn)
	return lost > 0
}

// state describes how the last process of the daemon ended.
func (h *host) state() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.proc.ProcessState.String()
}
