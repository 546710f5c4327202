package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// caseStorm: one machine is cut off from the others for 5 s, while requests of its clients
// are at work there.
func caseStorm(r *rig) {
	const key = "89anu6wsjnbanfqasnmg"
	const upstreams = 2
	for i := range 1 + upstreams + 3 {
		if i == 0 || i > upstreams {
			r.addMachine(fmt.Sprintf("m%d", i), "zone-a", "region-a", "orders")
		} else {
			r.addMachine(fmt.Sprintf("m%d", i), "zone-b", "region-b", "dispatch")
		}
	}
	entry := r.machines[0]
	links := r.newNetwork()
	first := []route{
		{name: "r-1", host: "hulo84.example", prefix: "/visit/", service: "dispatch", kind: "unsafe", timeout: 12000},
		{name: "r-2", host: "kafi81.example", prefix: "/orders/", service: "orders", kind: "unsafe", timeout: 8000},
	}
	added := route{name: "r-3", host: "jepu9.example", prefix: "/crew/", service: "dispatch", kind: "safe", timeout: 6000}
	tenants := object{"bozi300": []string{key}}
	r.configure(3, tenants, first...)
	for i, m := range r.machines {
		m.start()
		u := r.newUpstream(m, fmt.Sprintf("i-%04d", i), m.service)
		u.slots, u.work = 8, 500*time.Millisecond
		u.start()
	}
	r.awaitReady()
	time.Sleep(time.Second)
	r.configure(7, tenants, append(first, added)...)
	time.Sleep(3 * time.Second)
	c := entry.newClient(key)
	var mu sync.Mutex
	var all []answer
	var wg sync.WaitGroup
	began := time.Now()
	const length = 65 * time.Second
	load := func(perSecond int, method, host, path string) {
		tick := time.NewTicker(time.Second / time.Duration(perSecond))
		defer tick.Stop()
		for time.Since(began) < length {
			<-tick.C
			wg.Go(func() {
				a := c.do(method, host, path, []byte("one"), 12*time.Second)
				mu.Lock()
				defer mu.Unlock()
				a.id = path + " " + a.id
				all = append(all, a)
			})
		}
	}
	// The two upstreams have room for 32 requests a second.
	wg.Go(func() { load(23, http.MethodPost, "hulo84.example", "/visit/book") })
	wg.Go(func() { load(5, http.MethodGet, "jepu9.example", "/crew/look") })
	time.Sleep(8 * time.Second)
	if r.trouble {
		links.setCut(entry.ip, true)
		r.note("m0 is cut off from the other machines")
		time.Sleep(5 * time.Second)
		links.setCut(entry.ip, false)
		r.note("m0 is no longer cut off")
	} else {
		time.Sleep(5 * time.Second)
	}
	healed := time.Now()
	wg.Wait()
	r.listShort(all)
	// In steady state: from 10 s after the end of the disruption.
	from := healed.Add(10 * time.Second)
	asked, served := map[bool]int{}, map[bool]int{}
	for _, a := range all {
		if a.sent.After(from) {
			isAdded := strings.HasPrefix(a.id, added.prefix)
			asked[isAdded]++
			if a.isServed() {
				served[isAdded]++
			}
		}
	}
	rate := func(isAdded bool) float64 { return float64(served[isAdded]) / float64(max(asked[isAdded], 1)) }
	r.note("sent by clients of m0 later than 10 s after the disruption: on the first route %d, of which %.3f were served; on the route that was added %d, of which %.3f were served",
		asked[false], rate(false), asked[true], rate(true))
	if asked[true] >= 20 && rate(true) < rate(false)/4 {
		r.end(exitBroken)
	}
	r.end(exitHeld)
}
