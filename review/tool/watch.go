package main

import (
	"bytes"
	"net/http"
	"time"
)

// configurationApply is the pages' bound on a configuration.
const configurationApply = 2 * time.Second

func init() { cases["watch"] = caseWatch }

// caseWatch withdraws a key while the store gives no response to the machines of one
// zone for less than a second. Without the disruption it answers them.
func caseWatch(folder string) bool {
	const (
		silentTime = 500 * time.Millisecond
		startup    = 7 * time.Second // the daemons make more calls to the store in their first 5 s
		checkTime  = 22 * time.Second
	)
	r := newRig(folder, 6)
	defer r.close()
	for i, h := range r.hosts {
		h.zone = []string{"z1", "z2", "z3"}[i/2]
	}
	zone := r.hosts[:2]
	for _, h := range zone {
		h.store.log = r.log
	}
	r.startAll()
	time.Sleep(startup)

	for end := time.Now().Add(40 * time.Second); !zone[0].store.isBetweenCalls() || !zone[1].store.isBetweenCalls(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			noRun("the daemons of the zone call the store too often")
		}
	}
	for _, h := range zone {
		if r.trouble {
			h.store.silence(silentTime)
			r.log("the store gives no response to %s for %s", h.name, silentTime)
		}
	}
	time.Sleep(50 * time.Millisecond)
	withdrawn := bytes.Replace(bytes.Replace(names.Config, []byte(`"version": 1`), []byte(`"version": 4`), 1), []byte(`"key-withdrawn"`), []byte(`"key-new"`), 1)
	r.store.put(names.ConfigKey, withdrawn)
	confirmed := time.Now()
	r.log("the operator's write of version 4, without the key, is confirmed")
	time.Sleep(silentTime)
	ended := time.Now()
	for _, h := range zone {
		r.log("the store answers %s again; it has lost %d of its calls", h.name, h.store.lostCalls())
	}
	bound := confirmed.Add(configurationApply)
	if touch := ended.Add(contact); touch.After(bound) {
		bound = touch
	}
	time.Sleep(time.Until(bound) + 100*time.Millisecond)
	r.log("all machines are in touch: a request with the withdrawn key must not run any more")
	broken, last := 0, time.Duration(0)
	for time.Since(confirmed) < checkTime {
		for _, h := range r.hosts {
			if h.send(request{path: "/look/x", host: "look.example", key: "key-withdrawn"}).status == http.StatusOK {
				broken++
				last = time.Since(confirmed)
			}
		}
		time.Sleep(200 * time.Millisecond)
	}
	r.log("%d requests ran with the withdrawn key, the last %.3f s after the confirmation", broken, last.Seconds())
	return broken > 0
}
