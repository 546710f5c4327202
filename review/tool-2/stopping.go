package main

import (
	"fmt"
	"math"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	// gracePeriod is that of the site, and cutExcuse the time after the SIGTERM up to which a
	// request may be broken off if its upstream is still at work in the last sixth of it.
	gracePeriod = 6 * time.Second
	cutExcuse   = 3 * time.Second
	// storeSilence is how long the store does not answer, which is the site's for_s.
	storeSilence = 4500 * time.Millisecond
	// stopAfter is when the SIGTERM comes after the beginning of the silence.
	stopAfter = 500 * time.Millisecond
	// stopCallers is the number of callers at each daemon that stops.
	stopCallers = 24
)

// workTime draws the work of a request of the class visit-book: mean 440 ms, spread 0.8, at
// most 3300 ms.
func workTime() time.Duration {
	ms := 440 / math.Exp(0.8*0.8/2) * math.Exp(0.8*rand.NormFloat64())
	return time.Duration(min(ms, 3300) * float64(time.Millisecond))
}

// stoppedRequest is one request of a caller at a daemon that stops.
type stoppedRequest struct {
	sent, ended        time.Time
	workFrom, workTill time.Time
	method             string
	status             int
	signature          string
	err                error
}

// storeSilentAtStop is case 6: the two daemons of a zone are stopped while the store does not
// answer.
func storeSilentAtStop(root, dir string, rec *record, trouble bool) ([]string, error) {
	var mu sync.Mutex
	requests := map[string]*stoppedRequest{}
	r, err := newRig(root, dir, rec, 6, func(u *upstream, in *upstreamRequest) upstreamAnswer {
		work := workTime()
		mu.Lock()
		if req := requests[in.id]; req != nil {
			req.workFrom, req.workTill = time.Now(), time.Now().Add(work)
		}
		mu.Unlock()
		time.Sleep(work)
		return soundAnswer(u, in)
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
	// The zone's daemons are the first and the fourth. With both of them out, fewer than
	// half of the zone's daemons are in, so the clients there go on sending.
	stopping := []*daemonProcess{r.daemons[0], r.daemons[3]}
	var wg sync.WaitGroup
	end := time.Now().Add(2*time.Second + stopAfter + gracePeriod + time.Second)
	for i, d := range stopping {
		for n := range stopCallers {
			wg.Go(func() {
				c := &caller{address: d.callers}
				defer c.close()
				for k := 0; time.Now().Before(end); k++ {
					id := fmt.Sprintf("s-%d-%d-%d", i, n, k)
					req := &stoppedRequest{sent: time.Now()}
					mu.Lock()
					requests[id] = req
					mu.Unlock()
					rec.line("a client of %s sends %s", d.name, id)
					var a callerAnswer
					var err error
					if (n+k)%2 == 0 {
						a, err = c.send(http.MethodPut, "vouchers.example", "/vouchers/"+id, id, []byte("one crank"))
					} else {
						a, err = c.send(http.MethodGet, "status.example", "/status/"+id, id, nil)
					}
					mu.Lock()
					req.ended, req.method, req.status, req.signature, req.err = time.Now(), a.method, a.status, a.signature, err
					mu.Unlock()
					rec.line("the client of %s gets %d, signature %q, error %v", id, a.status, a.signature, err)
					time.Sleep(100 * time.Millisecond)
				}
			})
		}
	}
	time.Sleep(2 * time.Second)
	if trouble {
		if err := r.setMood("silent"); err != nil {
			return nil, err
		}
		time.AfterFunc(storeSilence, func() { _ = r.setMood("well") })
	}
	time.Sleep(stopAfter)
	stoppedAt := time.Now()
	for _, d := range stopping {
		rec.line("SIGTERM to %s", d.name)
		_ = d.cmd.Process.Signal(syscall.SIGTERM)
		time.AfterFunc(gracePeriod, func() {
			rec.line("SIGKILL to %s, if it is still there", d.name)
			_ = d.cmd.Process.Kill()
		})
	}
	wg.Wait()
	mu.Lock()
	defer mu.Unlock()
	var broken []string
	last := time.Duration(0)
	for id, req := range requests {
		after := req.sent.Sub(stoppedAt)
		if req.status > 0 {
			last = max(last, after)
		}
		atWork := !req.workFrom.IsZero() && req.ended.Before(req.workTill)
		complete := req.err == nil && req.signature != ""
		if after < 0 || complete || !atWork {
			continue
		}
		excused := after <= cutExcuse && req.workTill.Sub(stoppedAt) > gracePeriod*5/6
		rec.line("%s, sent %v after the SIGTERM, ended %v after it with %d and error %v while its upstream was at work until %v after it; excused: %v",
			id, after.Round(time.Millisecond), req.ended.Sub(stoppedAt).Round(time.Millisecond), req.status, req.err, req.workTill.Sub(stoppedAt).Round(time.Millisecond), excused)
		if !excused {
			broken = append(broken, fmt.Sprintf("%s %s was sent %v after the SIGTERM and broken off %v after it, while its upstream was at work", req.method, id,
				after.Round(time.Millisecond), req.ended.Sub(stoppedAt).Round(time.Millisecond)))
		}
	}
	rec.line("the last request that got an answer was sent %v after the SIGTERM", last.Round(time.Millisecond))
	return broken, nil
}

// setMood sets how the store's stand-in treats calls.
func (r *rig) setMood(mood string) error {
	req, err := http.NewRequest(http.MethodPut, "http://"+r.control+"/mood?mood="+mood, nil)
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	r.record.line("the store is %s", mood)
	return resp.Body.Close()
}
