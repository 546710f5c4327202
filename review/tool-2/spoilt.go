package main

import (
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"sync"
	"time"
)

func newRecord(out io.Writer) *record { return &record{out: out, began: time.Now()} }

const (
	// spoilDaemons is the number of daemons and upstreams of the cases with wrong bytes.
	spoilDaemons = 6
	// spoilUpstreams of them are in trouble: a third, less than the site's share of 0.35.
	spoilUpstreams = 2
	// spoilPart is the part of their answers that have wrong bytes, which is the site's x.
	spoilPart = 0.02
	// spoilSpan is how long they are in trouble, which is the site's for_s.
	spoilSpan = 5500 * time.Millisecond
	// calmSpan is the time without trouble before and after.
	calmSpan = 3 * time.Second
	// spoilCallers is the number of callers at each daemon, and spoilPause their pause.
	spoilCallers = 4
	spoilPause   = 80 * time.Millisecond
)

// spoilRun is a run in which upstreams hand out wrong bytes.
type spoilRun struct {
	mu sync.Mutex
	// meant holds what the upstreams meant to answer, by the id of the request.
	meant map[string]upstreamAnswer
	// spoilt and answered count the answers with wrong bytes and all answers to callers.
	spoilt, answered int
	broken           []string
}

// runSpoilt runs a small deployment in which two of six upstreams hand out wrong bytes for a
// time. spoil changes the bytes of an answer, and judge returns how an answer to a caller
// breaks the rule, or nothing.
func runSpoilt(root, dir string, rec *record, trouble bool, spoil func([]byte) []byte, judge func(a callerAnswer, meant upstreamAnswer) string) ([]string, error) {
	run := &spoilRun{meant: map[string]upstreamAnswer{}}
	r, err := newRig(root, dir, rec, spoilDaemons, func(u *upstream, in *upstreamRequest) upstreamAnswer {
		a := soundAnswer(u, in)
		if u.faulty() && rand.Float64() < spoilPart {
			a.raw, a.spoilt = spoil(a.raw), true
		}
		run.mu.Lock()
		defer run.mu.Unlock()
		run.meant[in.id] = a
		if a.spoilt {
			run.spoilt++
			rec.line("%s answers %s with wrong bytes: %q", u.id, in.id, a.raw)
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
		if !trouble {
			return
		}
		for _, u := range r.upstreams[len(r.upstreams)-spoilUpstreams:] {
			rec.line("%s (%s) begins to hand out wrong bytes", u.id, u.daemon.service)
			u.setFaulty(true)
		}
		time.Sleep(spoilSpan)
		for _, u := range r.upstreams {
			u.setFaulty(false)
		}
		rec.line("all upstreams are sound again")
	}()
	r.load("a", spoilCallers, spoilPause, calmSpan+spoilSpan+calmSpan, func(id string, a callerAnswer, err error) {
		run.mu.Lock()
		defer run.mu.Unlock()
		meant := run.meant[id]
		run.answered++
		what := "nothing"
		if err == nil {
			what = judge(a, meant)
		}
		if meant.spoilt || err != nil || a.status != 200 || what != "" {
			rec.line("the caller of %s gets %d, signature %q, %d bytes of body, error %v: %q", id, a.status, a.signature, len(a.body), err, a.raw)
		}
		if err == nil && what != "" {
			run.broken = append(run.broken, fmt.Sprintf("%s: %s", id, what))
		}
	})
	run.mu.Lock()
	defer run.mu.Unlock()
	rec.line("%d requests got an answer or an error, %d answers of upstreams had wrong bytes", run.answered, run.spoilt)
	if run.answered < 500 {
		return nil, fmt.Errorf("only %d requests were answered", run.answered)
	}
	if trouble && run.spoilt == 0 {
		return nil, fmt.Errorf("no answer had wrong bytes")
	}
	return run.broken, nil
}

// spoiltSignature is case 7: one byte in the name of the signature's header is wrong.
func spoiltSignature(root, dir string, rec *record, trouble bool) ([]string, error) {
	spoil := func(raw []byte) []byte {
		i := bytes.Index(raw, []byte(names.Signature))
		out := bytes.Clone(raw)
		out[i+rand.IntN(len("Response"))] = 'q'
		return out
	}
	return runSpoilt(root, dir, rec, trouble, spoil, func(a callerAnswer, meant upstreamAnswer) string {
		switch {
		case a.status/100 != 2:
			return ""
		case a.signature == "":
			return fmt.Sprintf("success %d without the upstream's signature %q", a.status, meant.signature)
		case a.signature != meant.signature || !bytes.Equal(a.body, meant.body):
			return fmt.Sprintf("success %d with signature %q and %d bytes, the upstream's are %q and %d", a.status, a.signature, len(a.body), meant.signature, len(meant.body))
		}
		return ""
	})
}

// spoiltHeaderName is case 8: one byte in the name of a header is a space, so that the bytes
// are no HTTP answer.
func spoiltHeaderName(root, dir string, rec *record, trouble bool) ([]string, error) {
	spoil := func(raw []byte) []byte { return bytes.Replace(raw, []byte("Content-Type"), []byte("Content Type"), 1) }
	return runSpoilt(root, dir, rec, trouble, spoil, func(a callerAnswer, _ upstreamAnswer) string {
		if a.invalid == "" {
			return ""
		}
		return "bytes that are no answer in the protocol: " + a.invalid
	})
}
