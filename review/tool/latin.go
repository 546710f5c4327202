package main

import (
	"net/http"
	"time"
)

func init() { cases["latin"] = caseLatin }

// caseLatin is no case of the review, but a measurement for its report. Upstreams answer
// one-time requests with a header in ISO 8859-1, which HTTP allows. It breaks no rule.
func caseLatin(folder string) bool {
	r := newRig(folder, 2)
	defer r.close()
	r.hosts[1].service = "svc2"
	r.startAll()
	value := "caf\xe9"
	if !r.trouble {
		value = "cafe"
	}
	for _, h := range r.hosts {
		h.app.setWork(func(arrival) treatment {
			return treatment{work: 20 * time.Millisecond, header: value}
		})
	}
	count := map[int]int{}
	for range 4 {
		for _, name := range []string{"act.example", "act2.example"} {
			began := time.Now()
			resp := r.hosts[0].send(request{path: "/act/x", host: name, method: http.MethodPost, body: []byte("x")})
			count[resp.status]++
			r.log("%s: %d after %s", name, resp.status, time.Since(began))
		}
	}
	r.log("answers by status: %v", count)
	return false
}
