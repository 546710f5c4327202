package main

import (
	"net/http"
	"sync"
	"time"
)

func init() { cases["uploads"] = caseUploads }

// caseUploads is no case of the review, but a measurement for its report. It lets several clients of one machine send long bodies, within the
// configuration's limit, at the same time. Without the disruption the bodies are short.
func caseUploads(folder string) bool {
	const (
		work     = 500 * time.Millisecond
		bodySize = 60 << 20
		uploads  = 4
		rounds   = 3
		loadTime = 10 * time.Second
		interval = 80 * time.Millisecond
	)
	r := newRig(folder, 3)
	defer r.close()
	r.slots = 8
	r.startAll()
	began := time.Now()
	for _, h := range r.hosts {
		h.app.setWork(func(arrival) treatment { return treatment{work: work} })
	}
	size := bodySize
	if !r.trouble {
		size = 10 << 10
	}
	stop := make(chan struct{})
	kills := 0
	var watch, clients sync.WaitGroup
	watch.Add(1)
	h := r.hosts[0]
	go func() {
		defer watch.Done()
		kills = h.limitMemory(stop)
	}()
	for i := range uploads {
		clients.Add(1)
		go func() {
			defer clients.Done()
			time.Sleep(4*time.Second + time.Duration(i)*10*time.Millisecond)
			for range rounds {
				h.send(request{path: "/act/long", host: "act.example", method: http.MethodPost, body: make([]byte, size), timeout: 20 * time.Second})
				time.Sleep(time.Second)
			}
		}()
	}
	var mu sync.Mutex
	closed := map[string]bool{}
	for time.Since(began) < loadTime {
		clients.Add(1)
		go func() {
			defer clients.Done()
			resp := h.send(request{path: "/act/x", host: "act.example", method: http.MethodPost, body: []byte("x"), timeout: 8 * time.Second})
			mu.Lock()
			defer mu.Unlock()
			closed[resp.id] = resp.err != nil
		}()
		time.Sleep(interval)
	}
	clients.Wait()
	close(stop)
	watch.Wait()
	lost := 0
	for _, other := range r.hosts {
		for _, a := range other.app.allArrivals() {
			if closed[a.id] && other != h {
				lost++
				r.log("request %s was passed on to the sound upstream %s, and its connection was closed without an answer", a.id, other.app.id)
			}
		}
	}
	r.log("%d kills for memory; %d requests were closed without an answer while a sound upstream had them", kills, lost)
	return lost > 3
}
