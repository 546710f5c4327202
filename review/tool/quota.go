package main

import (
	"bytes"
	"sort"
	"sync"
	"syscall"
	"time"
)

func init() { cases["quota"] = caseQuota }

// caseQuota is no case of the review, but a measurement for its report. It kills and restarts the daemons one after the other while a tenant sends
// many times its usual, and counts the tenant's requests that run in each quota_window.
func caseQuota(folder string) bool {
	const (
		rate, burst = 26.0, 26.0
		window      = 5 * time.Second
		overshoot   = 0.1
		slack       = 20
		hotTime     = 6500 * time.Millisecond
		perSecond   = 122 // 7.5 times 1/1.6 of the rate
	)
	r := newRig(folder, 6)
	defer r.close()
	for i, h := range r.hosts {
		h.zone = []string{"z1", "z2", "z3"}[i/2]
	}
	limited := bytes.Replace(names.Config, []byte(`"rate_per_s": 0`), []byte(`"rate_per_s": 26`), 1)
	limited = bytes.Replace(limited, []byte(`"burst": 0`), []byte(`"burst": 26`), 1)
	limited = bytes.Replace(limited, []byte(`"version": 1`), []byte(`"version": 4`), 1)
	r.store.put(names.ConfigKey, limited)
	r.startAll()
	time.Sleep(8 * time.Second)
	for _, h := range r.hosts {
		h.app.setWork(func(arrival) treatment { return treatment{work: 200 * time.Millisecond} })
	}
	mark := time.Now()
	var clients sync.WaitGroup
	if r.trouble {
		go func() {
			for _, h := range r.hosts {
				time.Sleep(500 * time.Millisecond)
				r.log("daemon of %s is killed", h.name)
				h.signal(syscall.SIGKILL)
				h.wait(time.Second)
				time.Sleep(200 * time.Millisecond)
				h.start(false)
			}
		}()
	}
	for n := 0; time.Since(mark) < hotTime; n++ {
		clients.Add(1)
		go func() {
			defer clients.Done()
			r.hosts[n%6].send(request{path: "/look/hot", host: "look.example"})
		}()
		time.Sleep(time.Second / perSecond)
	}
	clients.Wait()
	var at []time.Time
	for _, h := range r.hosts {
		for _, a := range h.app.allArrivals() {
			if a.path == "/look/hot" {
				at = append(at, a.at)
			}
		}
	}
	sort.Slice(at, func(i, j int) bool { return at[i].Before(at[j]) })
	most := 0
	for i, from := range at {
		n := 0
		for _, t := range at[i:] {
			if t.Sub(from) <= window {
				n++
			}
		}
		most = max(most, n)
	}
	bound := (rate*window.Seconds()+burst)*(1+overshoot) + slack
	r.log("%d requests ran; at most %d in %s, the bound is %.1f", len(at), most, window, bound)
	return float64(most) > bound
}
