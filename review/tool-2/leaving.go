package main

import (
	"fmt"
	"net/http"
	"os"
	"sync"
	"time"
)

// Times of case 10, from the beginning of the disruption.
const (
	// leaveAt is when the upstream deregisters. Its last heartbeat is under way since then.
	leaveAt = 300 * time.Millisecond
	// killAt is when its daemon is killed, and restartDelay the time until it is started
	// again.
	killAt       = 1000 * time.Millisecond
	restartDelay = 300 * time.Millisecond
	// storeBackAt is when the store answers again; the site's silence lasts 4.5 s.
	storeBackAt = 2000 * time.Millisecond
	// lateAt is when the heartbeat arrives, 2.5 s late.
	lateAt = 2800 * time.Millisecond
	// lastServed is how long the upstream goes on serving.
	lastServed = 9 * time.Second
	// contact and drainTimeout are those of the site.
	contact      = 3 * time.Second
	drainTimeout = 2 * time.Second
	// leavingWork is the work of a request; the site's requests of this class take 310 ms.
	leavingWork = 200 * time.Millisecond
	// leavingCallers is the number of callers at each of the other daemons.
	leavingCallers = 3
	// leavingUpstream is the index of the upstream that leaves; its service is stores.
	leavingUpstream = 3
)

// forgottenDeparture is case 10: a daemon that has acknowledged the leaving of its upstream
// while the store did not answer is killed, and its next process uses the upstream again.
// MODE=kill leaves out the silence of the store, MODE=store the kill.
func forgottenDeparture(root, dir string, rec *record, trouble bool) ([]string, error) {
	mode := os.Getenv("MODE")
	silences, kills := trouble && mode != "kill", trouble && mode != "store"
	var mu sync.Mutex
	sentAt := map[string]time.Time{}
	runsAtLeaving := map[string]time.Time{}
	r, err := newRig(root, dir, rec, 6, func(u *upstream, in *upstreamRequest) upstreamAnswer {
		if u.daemon == u.rig.daemons[leavingUpstream] {
			mu.Lock()
			runsAtLeaving[in.id] = time.Now()
			mu.Unlock()
		}
		time.Sleep(leavingWork)
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
	leaving := r.upstreams[leavingUpstream]
	var wg sync.WaitGroup
	ended := make(chan struct{})
	// The clients are on the other machines, which are calm all the while.
	for i, d := range r.daemons {
		if i == leavingUpstream {
			continue
		}
		for n := range leavingCallers {
			wg.Go(func() {
				c := &caller{address: d.callers}
				defer c.close()
				for k := 0; ; k++ {
					select {
					case <-ended:
						return
					case <-time.After(40 * time.Millisecond):
					}
					id := fmt.Sprintf("d-%d-%d-%d", i, n, k)
					mu.Lock()
					sentAt[id] = time.Now()
					mu.Unlock()
					rec.line("sent %s to %s", id, d.name)
					a, err := c.send(http.MethodPut, "vouchers.example", "/vouchers/"+id, id, []byte("one crank"))
					rec.line("answered %s: %d, error %v", id, a.status, err)
				}
			})
		}
	}
	time.Sleep(time.Second)
	began := time.Now()
	until := func(at time.Duration) { time.Sleep(time.Until(began.Add(at))) }
	if silences {
		if err := r.setMood("silent"); err != nil {
			return nil, err
		}
	}
	until(leaveAt)
	leaving.leave()
	late := leaving.nextHeartbeat()
	rec.line("%s sends a heartbeat, which is under way for long: %s", leaving.id, late)
	err = leaving.deregister()
	acknowledged := time.Now()
	rec.line("%s deregisters: error %v", leaving.id, err)
	if err != nil {
		return nil, err
	}
	until(killAt)
	if kills {
		rec.line("SIGKILL to %s", leaving.daemon.name)
		if err := leaving.daemon.cmd.Process.Kill(); err != nil {
			return nil, err
		}
		until(killAt + restartDelay)
		if err := r.startDaemon(leaving.daemon); err != nil {
			return nil, err
		}
	}
	until(storeBackAt)
	if silences {
		if err := r.setMood("well"); err != nil {
			return nil, err
		}
	}
	until(lateAt)
	rec.line("the late heartbeat of %s arrives: error %v", leaving.id, leaving.sendHeartbeat(late))
	until(lastServed)
	close(ended)
	wg.Wait()
	mu.Lock()
	defer mu.Unlock()
	// All machines are in touch from here on.
	inTouch := began.Add(storeBackAt + contact)
	bound := acknowledged.Add(drainTimeout)
	var broken []string
	for id, ran := range runsAtLeaving {
		if sent := sentAt[id]; sent.After(inTouch) && ran.After(bound) {
			broken = append(broken, fmt.Sprintf("%s was sent %v after the acknowledgement and reached the upstream that had left", id, sent.Sub(acknowledged).Round(time.Millisecond)))
		}
	}
	rec.line("%d requests were sent, %d reached %s in all", len(sentAt), len(runsAtLeaving), leaving.id)
	if len(runsAtLeaving) == 0 {
		return nil, fmt.Errorf("no request reached the upstream before it left")
	}
	return broken, nil
}
