package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// upstream is a stand-in of an application upstream. It processes slots requests at
// once and answers 503 as not executed beyond that.
type upstream struct {
	host  *host
	id    string
	born  int64
	slots int
	l     net.Listener

	mu       sync.Mutex
	state    string
	sequence int
	silent   bool // sends no heartbeats
	running  int
	arrivals []arrival
	// work returns how to treat a request.
	work func(arrival) treatment
}

// arrival is a request that reached the upstream with its own id expected.
type arrival struct {
	at     time.Time
	id     string
	method string
	path   string
	header http.Header
	body   []byte
}

// treatment says how long a request takes and whether its answer is lost.
type treatment struct {
	work  time.Duration
	reset bool
	// header is the value of an additional header of the answer; empty for none.
	header string
	// raw replaces the answer; it writes to the connection until it returns.
	raw func(net.Conn)
}

func newUpstream(h *host, id string) *upstream {
	l, err := net.Listen("tcp", h.at(portApp))
	if err != nil {
		noRun("%v", err)
	}
	u := &upstream{host: h, id: id, born: time.Now().UnixMilli(), slots: h.rig.slots, state: "ready", l: l}
	u.work = func(arrival) treatment { return treatment{work: 20 * time.Millisecond} }
	go func() { _ = (&http.Server{Handler: u, IdleTimeout: 10 * time.Second}).Serve(l) }()
	return u
}

func (u *upstream) runs() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return len(u.arrivals)
}

func (u *upstream) allArrivals() []arrival {
	u.mu.Lock()
	defer u.mu.Unlock()
	return append([]arrival(nil), u.arrivals...)
}

func (u *upstream) setWork(f func(arrival) treatment) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.work = f
}

// ServeHTTP implements http.Handler.
func (u *upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(names.Instance, u.id)
	id := r.Header.Get(names.Attempt)
	w.Header().Set(names.Attempt, id)
	if r.URL.Path == "/health" {
		if u.currentState() != "ready" {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	if e := r.Header.Get(names.Expected); e != "" && e != u.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	a := arrival{at: time.Now(), id: id, method: r.Method, path: r.RequestURI, header: r.Header, body: body}
	u.mu.Lock()
	if u.running >= u.slots {
		u.mu.Unlock()
		w.Header().Set(names.NotRun, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	u.running++
	u.arrivals = append(u.arrivals, a)
	work := u.work
	u.mu.Unlock()
	t := work(a)
	u.host.rig.log("upstream %s runs %s: %s %s, %d bytes, for %s", u.id, id, r.Method, r.RequestURI, len(body), t.work)
	if t.raw != nil {
		conn, _, err := w.(http.Hijacker).Hijack()
		if err == nil {
			t.raw(conn)
			conn.Close()
		}
		u.endRun()
		return
	}
	select {
	case <-time.After(t.work):
	case <-r.Context().Done():
		u.host.rig.log("upstream %s drops %s: its connection was closed", u.id, id)
		u.endRun()
		return
	}
	u.endRun()
	if t.reset {
		u.host.rig.log("upstream %s has run %s, its answer is lost and the connection reset", u.id, id)
		conn, _, err := w.(http.Hijacker).Hijack()
		if err == nil {
			_ = conn.(*net.TCPConn).SetLinger(0)
			conn.Close()
		}
		return
	}
	w.Header().Set(names.Signature, "sig."+id)
	if t.header != "" {
		w.Header().Set("X-Note", t.header)
	}
	_, _ = fmt.Fprintf(w, "%s ran %s\n", u.id, id)
}

func (u *upstream) endRun() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.running--
}

func (u *upstream) currentState() string {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.state
}

// beat is a heartbeat that is ready to be sent.
type beat struct {
	sequence int
	state    string
	body     []byte
}

// nextBeat makes the next heartbeat, without sending it.
func (u *upstream) nextBeat() beat {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.sequence++
	body, err := json.Marshal(map[string]any{
		"service": u.host.service, "address": u.host.at(portApp), "zone": u.host.zone, "version": "v1", "slots": u.slots, "state": u.state,
		"cold_remaining": 0, "sequence": u.sequence, "born": u.born,
	})
	if err != nil {
		panic(err)
	}
	return beat{u.sequence, u.state, body}
}

// sendBeat sends a heartbeat to the machine's own daemon and reports whether it was
// acknowledged.
func (u *upstream) sendBeat(b beat) bool {
	ok := u.call(http.MethodPut, b.body)
	u.host.rig.log("upstream %s: heartbeat %d (%s), acknowledged: %v", u.id, b.sequence, b.state, ok)
	return ok
}

// leave sends the deregistration and reports whether it was acknowledged.
func (u *upstream) leave() bool {
	ok := u.call(http.MethodDelete, nil)
	u.host.rig.log("upstream %s: DELETE, acknowledged: %v", u.id, ok)
	return ok
}

func (u *upstream) call(method string, body []byte) bool {
	req, err := http.NewRequest(method, "http://"+u.host.at(portControl)+names.Beats+u.id, bytes.NewReader(body))
	if err != nil {
		panic(err)
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := shortClient.Do(req)
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode/100 == 2
}

// beatRegularly sends a heartbeat every 1.5 s until the upstream is silent. A failed
// one is repeated soon.
func (u *upstream) beatRegularly() {
	for {
		u.mu.Lock()
		silent := u.silent
		u.mu.Unlock()
		if silent {
			return
		}
		pause := 1500 * time.Millisecond
		if !u.sendBeat(u.nextBeat()) {
			pause = 300 * time.Millisecond
		}
		time.Sleep(pause)
	}
}

func (u *upstream) setState(state string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.state = state
}

func (u *upstream) setSilent() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.silent = true
}

// exit ends the upstream: its port and its connections close.
func (u *upstream) exit() {
	u.host.rig.log("upstream %s exits", u.id)
	u.l.Close()
}
