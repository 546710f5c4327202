package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// caseAnswers: a machine with a busy upstream freezes for 3.5 s. What it had in work has run;
// the answers are asked for when it wakes.
func caseAnswers(r *rig) {
	const key = "89anu6wsjnbanfqasnmg"
	// Ten machines, so that one of them is a share of 0.1.
	zones := []string{"zone-a", "zone-b", "zone-c"}
	regions := []string{"region-a", "region-a", "region-b"}
	for i := range 10 {
		service := "orders"
		if i == 1 || i == 2 {
			service = "dispatch"
		}
		r.addMachine(fmt.Sprintf("m%d", i), zones[i%3], regions[i%3], service)
	}
	entry := r.machines[0]
	r.configure(3, object{"bozi300": []string{key}},
		route{name: "r-1", host: "hulo84.example", prefix: "/visit/", service: "dispatch", kind: "unsafe", timeout: 12000},
		route{name: "r-2", host: "jepu9.example", prefix: "/orders/", service: "orders", kind: "safe", timeout: 6000},
	)
	for i, m := range r.machines {
		m.start()
		u := r.newUpstream(m, fmt.Sprintf("i-%04d", i), m.service)
		u.slots, u.work, u.answer = 8, 500*time.Millisecond, 12_000
		u.start()
	}
	r.awaitReady()
	time.Sleep(3 * time.Second)
	c := entry.newClient(key)
	var mu sync.Mutex
	var all []answer
	var wg sync.WaitGroup
	tick := time.NewTicker(time.Second / 26)
	defer tick.Stop()
	began := time.Now()
	if r.trouble {
		frozen := r.machines[1]
		time.AfterFunc(38*time.Second, func() {
			r.note("the machine %s freezes", frozen.name)
			frozen.signal(syscall.SIGSTOP)
			time.Sleep(3500 * time.Millisecond)
			frozen.signal(syscall.SIGCONT)
			r.note("the machine %s wakes", frozen.name)
		})
	}
	for time.Since(began) < 50*time.Second {
		<-tick.C
		wg.Go(func() {
			a := c.do(http.MethodPost, "hulo84.example", "/visit/book", []byte("one"), 12*time.Second)
			mu.Lock()
			defer mu.Unlock()
			all = append(all, a)
		})
	}
	wg.Wait()
	r.list(all)
	counts := map[int]int{}
	denied, ran := 0, 0
	r.mu.Lock()
	runs := r.runs
	r.mu.Unlock()
	for _, a := range all {
		counts[a.status]++
		if a.status/100 == 3 || a.status/100 == 4 && a.status != 408 && a.status != 421 && a.status != 429 {
			denied++
			ran += len(runs[a.id])
		}
	}
	r.note("%d requests, by status: %v", len(all), counts)
	limit := 5 + len(all)/500
	r.note("%d ended with a 3xx or 4xx of the daemon m0, which was in touch all the while; %d of them had run and their upstream had answered 200; the rule allows %d", denied, ran, limit)
	if denied > limit {
		r.end(exitBroken)
	}
	r.end(exitHeld)
}
