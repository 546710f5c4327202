package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

const (
	// greyDaemons is the number of daemons and upstreams; one of them fails, which is less
	// than the site's share of 0.14.
	greyDaemons  = 8
	greyUpstream = 3
	// greyPart is the part of its requests that it fails; the site's x is 0.45.
	greyPart = 0.4
	// greySpan is how long it fails, which is the site's for_s.
	greySpan = 6500 * time.Millisecond
)

// failedAfterRun is case 9: an upstream runs requests and fails them with 503, without the
// header that says that they have not run.
func failedAfterRun(root, dir string, rec *record, trouble bool) ([]string, error) {
	var mu sync.Mutex
	runs := map[string]int{}
	failed, answered := 0, 0
	r, err := newRig(root, dir, rec, greyDaemons, func(u *upstream, in *upstreamRequest) upstreamAnswer {
		a := soundAnswer(u, in)
		mu.Lock()
		defer mu.Unlock()
		runs[in.id]++
		if u.faulty() && rand.Float64() < greyPart {
			failed++
			a.status, a.body = http.StatusServiceUnavailable, []byte("the run failed\n")
			a.raw = fmt.Appendf(nil, "HTTP/1.1 503 Service Unavailable\r\n%s: %s\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s",
				names.AttemptID, in.id, names.Signature, a.signature, len(a.body), a.body)
			rec.line("%s has run %s and fails it with 503, without %s", u.id, in.id, names.NotRun)
		}
		return a
	})
	if r != nil {
		defer r.stop()
	}
	if err != nil {
		return nil, err
	}
	if err := r.waitReady(); err != nil {
		return nil, err
	}
	go func() {
		time.Sleep(calmSpan)
		u := r.upstreams[greyUpstream]
		if trouble {
			rec.line("%s (%s) begins to fail a part of its requests", u.id, u.daemon.service)
			u.setFaulty(true)
		}
		time.Sleep(greySpan)
		u.setFaulty(false)
	}()
	promised := map[string]int{}
	r.load("g", spoilCallers, spoilPause, calmSpan+greySpan+calmSpan, func(id string, a callerAnswer, err error) {
		mu.Lock()
		defer mu.Unlock()
		answered++
		if err != nil || a.status != http.StatusOK {
			rec.line("the caller of %s gets %d, signature %q, error %v: %q", id, a.status, a.signature, err, a.raw)
		}
		if err == nil && a.method == http.MethodPut && isPromise(a.status) {
			promised[id] = a.status
		}
	})
	mu.Lock()
	defer mu.Unlock()
	rec.line("%d requests got an answer or an error, %d were run and failed with 503", answered, failed)
	if answered < 500 || trouble && failed == 0 {
		return nil, fmt.Errorf("%d requests were answered, %d failed after they had run", answered, failed)
	}
	var broken []string
	for id, status := range promised {
		if runs[id] > 0 {
			broken = append(broken, fmt.Sprintf("unsafe request %s was answered %d and has run", id, status))
		}
	}
	return broken, nil
}

// isPromise reports whether a status promises that the request has not run and never will.
func isPromise(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}
