package main

import (
	"fmt"
	"syscall"
	"time"
)

// caseService: the address of an ended upstream goes to an upstream of another service, and
// the settings of the daemon beside it name the new service.
func caseService(r *rig) {
	const key = "89anu6wsjnbanfqasnmg"
	// Six machines, so that one upstream is a share of 0.17.
	for i := range 6 {
		r.addMachine(fmt.Sprintf("m%d", i), []string{"zone-a", "zone-b"}[i%2], "region-a", []string{"desk", "stores", "orders"}[i%3])
	}
	first := r.machines[0]
	r.configure(3, object{"bozi300": []string{key}},
		route{name: "r-1", host: "jepu9.example", prefix: "/desk/", service: "desk", kind: "safe", timeout: 6000},
		route{name: "r-2", host: "hulo84.example", prefix: "/stores/", service: "stores", kind: "unsafe", timeout: 8000},
		route{name: "r-3", host: "kafi81.example", prefix: "/orders/", service: "orders", kind: "safe", timeout: 6000},
	)
	var ups []*upstream
	for i, m := range r.machines {
		m.start()
		ups = append(ups, r.newUpstream(m, fmt.Sprintf("i-%04d", i), m.service).start())
	}
	old := ups[0]
	r.awaitReady()
	time.Sleep(3 * time.Second)
	c := first.newClient(key)
	wrong := 0
	send := func(n int) {
		for range n {
			a := c.do("POST", "hulo84.example", "/stores/order", []byte("one"), 8*time.Second)
			r.mu.Lock()
			runs := r.runs[a.id]
			r.mu.Unlock()
			for _, run := range runs {
				if run.caller != first.service {
					wrong++
				}
				r.note("sent from m0, request %s, m0 is a machine of %q: run by %s of %q with the caller %q", a, first.service, run.upstream, run.service, run.caller)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	send(10)
	service := "desk"
	if r.trouble {
		service = "stores"
	}
	old.crash()
	r.note("the upstream i-0000 of m0 has ended")
	// address_reuse is 2 s.
	time.Sleep(4 * time.Second)
	first.service = service
	first.render()
	first.signal(syscall.SIGHUP)
	r.newUpstream(first, "i-0010", service).start()
	r.note("the address on m0 goes to the upstream i-0010 of %q; the settings of m0 name this service, and its daemon got SIGHUP", service)
	time.Sleep(8 * time.Second)
	send(20)
	r.note("%d requests ran with another caller than the service of their machine", wrong)
	if wrong > 0 {
		r.end(exitBroken)
	}
	r.end(exitHeld)
}
