package main

import (
	"sync"
	"time"
)

// load sends requests of a kind from a machine at a rate until stop is closed. As the pages
// say, a client sends a safe request again a few times within its deadline.
func (r *rig) load(c *client, perSecond int, host, path string, stop chan struct{}, list *[]answer, mu *sync.Mutex) {
	tick := time.NewTicker(time.Second / time.Duration(perSecond))
	defer tick.Stop()
	for {
		select {
		case <-stop:
			return
		case <-tick.C:
		}
		go func() {
			end := time.Now().Add(6 * time.Second)
			for attempt := 0; attempt < 3 && time.Now().Before(end); attempt++ {
				a := c.do("GET", host, path, nil, time.Until(end))
				mu.Lock()
				*list = append(*list, a)
				mu.Unlock()
				if a.isServed() {
					return
				}
				time.Sleep(400 * time.Millisecond)
			}
		}()
	}
}

// caseSilent: the open connections between the daemons go silent for good while new ones
// work.
func caseSilent(r *rig) {
	const key = "89anu6wsjnbanfqasnmg"
	entry := r.addMachine("m0", "zone-a", "region-a", "orders")
	for i, zone := range []string{"zone-b", "zone-c", "zone-d", "zone-e"} {
		r.addMachine([]string{"m1", "m2", "m3", "m4"}[i], zone, []string{"region-a", "region-b", "region-b", "region-c"}[i], "desk")
	}
	links := r.translate()
	r.configure(3, object{"bozi300": []string{key}},
		route{name: "r-1", host: "jepu9.example", prefix: "/desk/", service: "desk", kind: "safe", timeout: 6000},
		route{name: "r-2", host: "hulo84.example", prefix: "/orders/", service: "orders", kind: "unsafe", timeout: 8000},
	)
	for i, m := range r.machines {
		m.start()
		r.newUpstream(m, []string{"i-0000", "i-0001", "i-0002", "i-0003", "i-0004"}[i], m.service).start()
	}
	r.awaitReady()
	time.Sleep(3 * time.Second)
	var mu sync.Mutex
	var list []answer
	stop := make(chan struct{})
	go r.load(entry.newClient(key), 5, "jepu9.example", "/desk/status", stop, &list, &mu)
	go r.load(r.machines[1].newClient(key), 25, "jepu9.example", "/desk/status", stop, &list, &mu)
	time.Sleep(8 * time.Second)
	event := time.Now()
	if r.trouble {
		n := 0
		for _, k := range links {
			n += k.silence()
		}
		r.note("%d open connections between the daemons have gone silent; new ones work", n)
	}
	time.Sleep(40 * time.Second)
	close(stop)
	end := time.Now()
	time.Sleep(8 * time.Second)
	mu.Lock()
	defer mu.Unlock()
	r.list(list)
	// The rule, in windows of 2 s that begin after twice contact and the time in which the
	// machines count as out of touch.
	broken := 0
	for from := event.Add(6 * time.Second); from.Add(2 * time.Second).Before(end); from = from.Add(2 * time.Second) {
		to := from.Add(2 * time.Second)
		all, unserved := 0, 0
		for _, s := range list {
			if !s.sent.Before(from) && s.sent.Before(to) {
				all++
				if !s.isServed() {
					unserved++
				}
			}
		}
		busy := map[string]bool{}
		r.mu.Lock()
		for _, runs := range r.runs {
			for _, run := range runs {
				if !run.at.Before(from) && run.at.Before(to) {
					busy[run.upstream] = true
				}
			}
		}
		r.mu.Unlock()
		isBroken := len(busy) > 0 && float64(len(busy)) < 0.7*4 && unserved*10 > all && unserved*2 < all
		if isBroken {
			broken++
		}
		r.note("from %2.0f s after the event, for 2 s: %d requests, %d not served, %d of 4 upstreams got requests, floor broken: %v",
			from.Sub(event).Seconds(), all, unserved, len(busy), isBroken)
	}
	if broken > 0 {
		r.end(exitBroken)
	}
	r.end(exitHeld)
}
