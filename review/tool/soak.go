package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["soak"] = caseSoak }

// sentReq is a request of the soak with its response.
type sentReq struct {
	resp        response
	unsafe      bool
	host        *host
	began, done time.Time
}

// caseSoak is no case of the review: it stops, kills and ends daemons at random for 45 s
// under load, and compares the answers with what the upstreams ran. MODE lists the kinds
// of events (stop,
// longstop, kill, killall, term, hup, drain, store; lost adds lost answers), SEED draws them.
func caseSoak(folder string) bool {
	mode := os.Getenv("MODE")
	var seed uint64
	_, _ = fmt.Sscan(os.Getenv("SEED"), &seed)
	rnd := rand.New(rand.NewPCG(seed, 7))
	r := newRig(folder, 4)
	defer r.close()
	r.hosts[2].service, r.hosts[3].service = "svc2", "svc2"
	r.startAll()
	works := func(mx int) func(a arrival) treatment {
		return func(a arrival) treatment {
			w := time.Duration(20+rand.IntN(mx)) * time.Millisecond
			t := treatment{work: w}
			if strings.Contains(mode, "lost") && rand.Float64() < 0.05 {
				t.reset = true
			}
			return t
		}
	}
	for _, h := range r.hosts {
		h.app.setWork(works(1200))
	}
	var mu sync.Mutex
	var reqs []sentReq
	paused := map[*host]bool{}
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for _, h := range r.hosts {
		for i := range 5 {
			clients.Add(1)
			go func() {
				defer clients.Done()
				for {
					select {
					case <-stop:
						return
					default:
					}
					mu.Lock()
					p := paused[h]
					mu.Unlock()
					if p {
						time.Sleep(20 * time.Millisecond)
						continue
					}
					n := []string{"", "2"}[rand.IntN(2)]
					q := request{path: "/look/x", host: "look" + n + ".example", timeout: 6 * time.Second}
					unsafe := rand.IntN(2) == 0
					if unsafe {
						q = request{path: "/act/x", host: "act" + n + ".example", method: http.MethodPost, body: []byte(strings.Repeat("b", 100+rand.IntN(9000))), timeout: 6 * time.Second}
					}
					if i == 0 {
						q.timeout = time.Duration(200+rand.IntN(800)) * time.Millisecond
					}
					began := time.Now()
					resp := h.send(q)
					mu.Lock()
					reqs = append(reqs, sentReq{resp, unsafe, h, began, time.Now()})
					mu.Unlock()
					if resp.err != nil {
						time.Sleep(100 * time.Millisecond)
					} else if resp.status >= 429 {
						time.Sleep(50 * time.Millisecond)
					}
				}
			}()
		}
	}
	type term struct {
		h        *host
		from, to time.Time
	}
	var terms []term
	time.Sleep(3 * time.Second)
	for end := time.Now().Add(45 * time.Second); time.Now().Before(end); {
		h := r.hosts[rnd.IntN(4)]
		kinds := strings.Split(mode, ",")
		switch k := kinds[rnd.IntN(len(kinds))]; k {
		case "stop":
			d := time.Duration(300+rnd.IntN(4500)) * time.Millisecond
			r.log("SOAK stop %s for %s", h.name, d)
			h.signal(syscall.SIGSTOP)
			time.Sleep(d)
			h.signal(syscall.SIGCONT)
			time.Sleep(time.Duration(rnd.IntN(1500)) * time.Millisecond)
		case "longstop":
			d := time.Duration(8000+rnd.IntN(7000)) * time.Millisecond
			r.log("SOAK stop %s for %s", h.name, d)
			h.signal(syscall.SIGSTOP)
			time.Sleep(d)
			h.signal(syscall.SIGCONT)
			time.Sleep(3 * time.Second)
		case "store":
			for _, other := range r.hosts {
				if rnd.IntN(2) == 0 {
					d := time.Duration(300+rnd.IntN(5000)) * time.Millisecond
					r.log("SOAK the store gives no response to %s for %s", other.name, d)
					other.store.silence(d)
				}
			}
			time.Sleep(time.Duration(rnd.IntN(2500)) * time.Millisecond)
		case "killall":
			r.log("SOAK kill all")
			for _, other := range r.hosts {
				other.signal(syscall.SIGKILL)
				other.wait(time.Second)
			}
			time.Sleep(time.Duration(100+rnd.IntN(900)) * time.Millisecond)
			for _, other := range r.hosts {
				other.start(false)
			}
			time.Sleep(time.Duration(2000+rnd.IntN(2500)) * time.Millisecond)
		case "kill":
			r.log("SOAK kill %s", h.name)
			h.signal(syscall.SIGKILL)
			h.wait(time.Second)
			time.Sleep(time.Duration(100+rnd.IntN(900)) * time.Millisecond)
			h.start(false)
			time.Sleep(time.Duration(rnd.IntN(2500)) * time.Millisecond)
		case "term":
			r.log("SOAK term %s", h.name)
			from := time.Now()
			h.signal(syscall.SIGTERM)
			go func() {
				// Clients learn it from the readiness question, after two misses.
				time.Sleep(2 * time.Second)
				mu.Lock()
				paused[h] = true
				mu.Unlock()
			}()
			if !h.wait(6 * time.Second) {
				r.log("SOAK term %s: killed after the grace period", h.name)
				h.signal(syscall.SIGKILL)
				h.wait(time.Second)
			}
			r.log("SOAK %s ended after %s", h.name, time.Since(from))
			terms = append(terms, term{h, from, time.Now()})
			time.Sleep(300 * time.Millisecond)
			h.start(false)
			h.waitReady()
			mu.Lock()
			paused[h] = false
			mu.Unlock()
			time.Sleep(3200 * time.Millisecond)
		case "hup":
			r.log("SOAK hup %s", h.name)
			h.signal(syscall.SIGHUP)
			time.Sleep(300 * time.Millisecond)
		case "drain":
			u := h.app
			r.log("SOAK drain %s", u.id)
			u.setState("draining")
			u.sendBeat(u.nextBeat())
			time.Sleep(2500 * time.Millisecond)
			u.mu.Lock()
			u.id = fmt.Sprintf("i-%s-%d", h.name, time.Now().UnixMilli())
			u.born, u.sequence, u.state = time.Now().UnixMilli(), 0, "ready"
			u.mu.Unlock()
			time.Sleep(time.Second)
		default:
			time.Sleep(500 * time.Millisecond)
		}
	}
	close(stop)
	clients.Wait()
	time.Sleep(2 * time.Second)
	runs := map[string][]string{}
	for _, h := range r.hosts {
		for _, a := range h.app.allArrivals() {
			runs[a.id] = append(runs[a.id], h.app.id)
		}
	}
	bad := 0
	counts := map[int]int{}
	for _, q := range reqs {
		st := q.resp.status
		if q.resp.err != nil {
			st = 0
		}
		counts[st]++
		n := len(runs[q.resp.id])
		switch {
		case q.unsafe && n > 1:
			bad++
			r.log("SOAK TWICE %s at %v", q.resp.id, runs[q.resp.id])
		case q.unsafe && (st == 503 || st == 429 || st == 408 || st == 421) && n > 0:
			bad++
			r.log("SOAK REFUSED %s %d at %v", q.resp.id, st, runs[q.resp.id])
		case st == 200 && (n == 0 || q.resp.header.Get(names.Signature) != "sig."+q.resp.id || !strings.HasSuffix(string(q.resp.body), q.resp.id+"\n")):
			bad++
			r.log("SOAK MIXED %s %q %q", q.resp.id, q.resp.header.Get(names.Signature), q.resp.body)
		}
		for _, t := range terms {
			if q.host == t.h && q.done.After(t.from) && q.began.Before(t.to) && n > 0 && (st == 0 || st >= 500) && q.resp.header.Get(names.Signature) == "" {
				r.log("SOAK LOST? %s status %d err %v sent %.3f after SIGTERM, ended %.3f after", q.resp.id, st, q.resp.err, q.began.Sub(t.from).Seconds(), q.done.Sub(t.from).Seconds())
			}
		}
	}
	r.log("SOAK %d requests, %v, %d bad", len(reqs), counts, bad)
	fmt.Println(mode, seed, len(reqs), counts, "bad", bad)
	return bad > 0
}
