package main

import (
	"net/http"
	"sync"
	"syscall"
	"time"
)

// caseForgotten: while the store is down, an upstream says that it leaves and is answered;
// then all processes are killed and start again. A heartbeat that the upstream had sent
// before arrives seconds late.
func caseForgotten(r *rig) {
	const key = "89anu6wsjnbanfqasnmg"
	r.addMachine("m0", "zone-a", "region-a", "desk")
	r.addMachine("m1", "zone-a", "region-a", "desk")
	entry := r.addMachine("m2", "zone-a", "region-a", "orders")
	r.configure(3, object{"bozi300": []string{key}},
		route{name: "r-1", host: "jepu9.example", prefix: "/desk/", service: "desk", kind: "unsafe", timeout: 8000},
		route{name: "r-2", host: "hulo84.example", prefix: "/orders/", service: "orders", kind: "unsafe", timeout: 8000},
	)
	var ups []*upstream
	for i, m := range r.machines {
		m.start()
		u := r.newUpstream(m, []string{"i-0000", "i-0001", "i-0002"}[i], m.service)
		u.work = 200 * time.Millisecond
		ups = append(ups, u.start())
	}
	r.awaitReady()
	time.Sleep(4 * time.Second)
	c := entry.newClient(key)
	var all []answer
	// As many requests at a time as two upstreams of four slots serve.
	send := func(n int) {
		var mu sync.Mutex
		var wg sync.WaitGroup
		for range n {
			wg.Go(func() {
				a := c.do(http.MethodPost, "jepu9.example", "/desk/book", []byte("one"), 8*time.Second)
				mu.Lock()
				defer mu.Unlock()
				all = append(all, a)
			})
			time.Sleep(40 * time.Millisecond)
		}
		wg.Wait()
	}
	send(40)
	if r.trouble {
		r.store.setSilent(true)
		r.note("the store is down: it answers nothing")
	}
	time.Sleep(300 * time.Millisecond)
	// The upstream's last heartbeat is held up on its way.
	x := ups[0]
	x.mu.Lock()
	x.stopped = true
	x.mu.Unlock()
	late := x.heartbeat()
	r.note("i-0000 sends the heartbeat %s, which is held up", late)
	time.Sleep(200 * time.Millisecond)
	status := 0
	for status != http.StatusOK {
		if status = x.send(http.MethodDelete, []byte("{}")); status != http.StatusOK {
			r.note("i-0000 says that it leaves: status %d", status)
			time.Sleep(300 * time.Millisecond)
		}
	}
	ack := time.Now()
	r.note("i-0000 says that it leaves: status 200, which is the confirmation")
	time.Sleep(700 * time.Millisecond)
	if r.trouble {
		for _, m := range r.machines {
			m.signal(syscall.SIGKILL)
		}
		r.note("all processes are killed")
		time.Sleep(time.Second)
		for _, m := range r.machines {
			m.start()
		}
		r.note("all processes start again")
		time.Sleep(1500 * time.Millisecond)
		r.store.setSilent(false)
		r.note("the store is back, after less than 4.5 s")
	} else {
		time.Sleep(2500 * time.Millisecond)
	}
	time.Sleep(time.Until(ack.Add(5 * time.Second)))
	status = x.send(http.MethodPut, late)
	r.note("the late heartbeat arrives: status %d", status)
	// All machines are in touch again, contact after the disruptions, which ended less
	// than 4 s after the confirmation.
	time.Sleep(time.Until(ack.Add(8500 * time.Millisecond)))
	send(100)
	r.list(all)
	broken := 0
	r.mu.Lock()
	for _, runs := range r.runs {
		for _, run := range runs {
			if run.upstream == x.id && run.at.After(ack.Add(8*time.Second)) {
				broken++
			}
		}
	}
	r.mu.Unlock()
	r.note("%d requests ran at i-0000 more than 8 s after its leaving was confirmed; drain_timeout is 2 s", broken)
	if broken > 0 {
		r.end(exitBroken)
	}
	r.end(exitHeld)
}
