package main

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"
)

// memoryMB is the memory of a machine's process, beyond which the platform kills it.
const memoryMB = 184

func init() { cases["endless"] = caseEndless }

// memory returns a figure of /proc/PID/status in MB, 0 if the daemon does not run.
func (h *host) memory(field string) int {
	h.mu.Lock()
	pid := h.proc.Process.Pid
	h.mu.Unlock()
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(b), "\n") {
		var kb int
		if rest, ok := strings.CutPrefix(line, field+":"); ok {
			_, _ = fmt.Sscan(rest, &kb)
			return kb / 1024
		}
	}
	return 0
}

// limitMemory kills a daemon that exceeds memoryMB and restarts it, as the platform
// does, until stop is closed. It returns the number of kills.
func (h *host) limitMemory(stop chan struct{}) (kills int) {
	for {
		select {
		case <-stop:
			return kills
		case <-time.After(2 * time.Millisecond):
		}
		if used := h.memory("VmRSS"); used > memoryMB {
			kills++
			h.rig.log("daemon of %s uses %d MB, its machine has %d: the platform kills it", h.name, used, memoryMB)
			h.signal(syscall.SIGKILL)
			h.wait(time.Second)
			time.Sleep(300 * time.Millisecond)
			h.start(false)
		}
	}
}

// caseEndless lets the upstreams of one service answer part of their requests with
// bodies without end for some seconds. Without the disruption they answer as usual.
func caseEndless(folder string) bool {
	const (
		work        = 500 * time.Millisecond
		troubleFrom = 4 * time.Second
		troubleTo   = troubleFrom + 8500*time.Millisecond
		loadTime    = 15 * time.Second
		share       = 0.55
		interval    = 70 * time.Millisecond
		// byteRate bounds what an upstream sends, in bytes per second: 1,000 Mbit/s.
		byteRate = 125_000_000
	)
	r := newRig(folder, 4)
	defer r.close()
	r.slots = 8
	for _, h := range r.hosts[2:] {
		h.service = "svc2"
	}
	r.startAll()
	began := time.Now()
	for _, h := range r.hosts {
		h.app.setWork(func(a arrival) treatment {
			since := time.Since(began)
			if !r.trouble || h.service != "svc" || since < troubleFrom || since > troubleTo || rand.Float64() > share {
				return treatment{work: work}
			}
			return treatment{raw: func(c net.Conn) {
				time.Sleep(work)
				sendEndless(r, h.app, a, c, byteRate)
			}}
		})
	}
	stop := make(chan struct{})
	kills := make([]int, len(r.hosts))
	var watch sync.WaitGroup
	for i, h := range r.hosts {
		watch.Add(1)
		go func() {
			defer watch.Done()
			kills[i] = h.limitMemory(stop)
		}()
	}
	var mu sync.Mutex
	closed := map[string]string{}
	served := 0
	var clients sync.WaitGroup
	for n := 0; time.Since(began) < loadTime; n++ {
		// The clients of the first two machines call both services in turn.
		for _, name := range []string{"act.example", "act2.example"} {
			clients.Add(1)
			go func() {
				defer clients.Done()
				h := r.hosts[n%2]
				resp := h.send(request{path: "/act/x", host: name, method: http.MethodPost, body: []byte("x"), timeout: 8 * time.Second})
				mu.Lock()
				defer mu.Unlock()
				if resp.err != nil {
					closed[resp.id] = h.name
				} else if resp.status == http.StatusOK {
					served++
				}
			}()
		}
		time.Sleep(interval)
	}
	clients.Wait()
	close(stop)
	watch.Wait()
	lost := 0
	for _, h := range r.hosts[2:] {
		for _, a := range h.app.allArrivals() {
			if name := closed[a.id]; name != "" {
				lost++
				r.log("request %s was passed on by the daemon of %s to the sound upstream %s, and its connection was closed without an answer", a.id, name, h.app.id)
			}
		}
	}
	r.log("kills for memory by machine: %v; %d requests served, %d connections closed without an answer, %d of these while a sound upstream had the request",
		kills, served, len(closed), lost)
	return lost > 3
}

func sendEndless(r *rig, u *upstream, a arrival, c net.Conn, byteRate int) {
	head := "HTTP/1.1 200 OK\r\n" + names.Attempt + ": " + a.id + "\r\n" + names.Signature + ": sig." + a.id + "\r\nTransfer-Encoding: chunked\r\n\r\n"
	chunk := append([]byte("10000\r\n"), append(bytes.Repeat([]byte{'x'}, 0x10000), '\r', '\n')...)
	_ = c.SetWriteDeadline(time.Now().Add(20 * time.Second))
	if _, err := c.Write([]byte(head)); err != nil {
		return
	}
	pause := time.Duration(float64(len(chunk)) / float64(byteRate) * float64(u.slots) * float64(time.Second))
	sent, next := 0, time.Now()
	for {
		n, err := c.Write(chunk)
		sent += n
		if err != nil {
			r.log("upstream %s: the connection of %s was closed after %d MB without end", u.id, a.id, sent>>20)
			return
		}
		next = next.Add(pause)
		time.Sleep(time.Until(next))
	}
}
