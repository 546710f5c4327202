package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// upstream is a stand-in of a sound upstream: it serves one request at a time on a
// connection, echoes the id, signs its answers and sends heartbeats to its daemon.
type upstream struct {
	rig      *rig
	daemon   *daemonProcess
	id       string
	listener net.Listener
	handle   func(u *upstream, req *upstreamRequest) upstreamAnswer
	born     int64

	mu       sync.Mutex
	sequence int
	// isFaulty is true while the upstream is in trouble.
	isFaulty bool
	// hasLeft is true once the upstream sends no more heartbeats.
	hasLeft bool
}

// upstreamRequest is one request at an upstream.
type upstreamRequest struct {
	id, path, expected string
	body               []byte
	// line is the request line.
	line string
}

// upstreamAnswer is an answer as its bytes, and its parts as the upstream meant them.
type upstreamAnswer struct {
	raw       []byte
	status    int
	signature string
	body      []byte
	// spoilt says that the bytes are wrong.
	spoilt bool
	// closes ends the connection after the answer.
	closes bool
}

const upstreamSlots = 4

func newUpstream(r *rig, d *daemonProcess, id string, handle func(*upstream, *upstreamRequest) upstreamAnswer) (*upstream, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	u := &upstream{rig: r, daemon: d, id: id, listener: l, handle: handle, born: time.Now().UnixMilli()}
	go u.accept()
	go u.sendHeartbeats()
	return u, nil
}

func (u *upstream) setFaulty(v bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.isFaulty = v
}

func (u *upstream) faulty() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.isFaulty
}

func (u *upstream) accept() {
	for {
		c, err := u.listener.Accept()
		if err != nil {
			return
		}
		go u.serve(c)
	}
}

// sendHeartbeats sends a heartbeat every heartbeatInterval, and again after 200 ms if it is
// not acknowledged.
func (u *upstream) sendHeartbeats() {
	for {
		pause := heartbeatInterval
		if u.left() {
			return
		}
		if err := u.sendHeartbeat(u.nextHeartbeat()); err != nil {
			pause = 200 * time.Millisecond
		}
		select {
		case <-u.rig.stopped:
			_ = u.listener.Close()
			return
		case <-time.After(pause):
		}
	}
}

func (u *upstream) left() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.hasLeft
}

// leave ends the heartbeats.
func (u *upstream) leave() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.hasLeft = true
}

// nextHeartbeat returns the body of the next heartbeat, which says that the upstream is ready.
func (u *upstream) nextHeartbeat() string {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.sequence++
	return strings.NewReplacer(
		"%SERVICE%", u.daemon.service, "%ADDRESS%", u.listener.Addr().String(), "%ZONE%", u.daemon.zone, "%SLOTS%", strconv.Itoa(upstreamSlots),
		"%STATE%", "ready", "%SEQUENCE%", strconv.Itoa(u.sequence), "%BORN%", strconv.FormatInt(u.born, 10),
	).Replace(names.Heartbeat)
}

func (u *upstream) sendHeartbeat(body string) error { return u.tell(http.MethodPut, body) }

// deregister tells the daemon that the upstream is gone.
func (u *upstream) deregister() error { return u.tell(http.MethodDelete, "") }

// tell sends a call to the control address and returns nil if it is confirmed within a second.
func (u *upstream) tell(method, body string) error {
	req, err := http.NewRequest(method, "http://"+u.daemon.control+names.HeartbeatPath+u.id, bytes.NewBufferString(body))
	if err != nil {
		return err
	}
	req.Header.Set("Content-Type", "application/json")
	client := http.Client{Timeout: time.Second}
	resp, err := client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode/100 != 2 {
		return fmt.Errorf("%s got %s", method, resp.Status)
	}
	return nil
}

// serve serves the requests of one connection.
func (u *upstream) serve(c net.Conn) {
	defer c.Close()
	r := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		in := &upstreamRequest{
			id: req.Header.Get(names.AttemptID), path: req.URL.Path, expected: req.Header.Get(names.Expected), body: body,
			line: req.Method + " " + req.RequestURI,
		}
		out := u.answer(in)
		if _, err := c.Write(out.raw); err != nil || out.closes {
			return
		}
	}
}

// answer rejects what a sound upstream rejects, and lets handle answer the rest.
func (u *upstream) answer(in *upstreamRequest) upstreamAnswer {
	switch {
	case in.path == "/health":
		return upstreamAnswer{raw: fmt.Appendf(nil, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: 0\r\n\r\n", names.Instance, u.id)}
	case in.expected != "" && in.expected != u.id:
		return upstreamAnswer{raw: fmt.Appendf(nil, "HTTP/1.1 421 Misdirected Request\r\n%s: %s\r\nContent-Length: 0\r\n\r\n", names.Instance, u.id)}
	case in.id == "":
		return upstreamAnswer{raw: fmt.Appendf(nil, "HTTP/1.1 400 Bad Request\r\n%s: 1\r\nContent-Length: 0\r\n\r\n", names.NotRun)}
	}
	u.rig.record.line("%s (%s) runs %s: %s", u.id, u.daemon.service, in.id, in.line)
	return u.handle(u, in)
}

// soundAnswer returns the answer of a sound upstream.
func soundAnswer(u *upstream, in *upstreamRequest) upstreamAnswer {
	time.Sleep(5 * time.Millisecond)
	body := []byte(fmt.Sprintf("%s answers %s at %s\n", u.id, in.id, in.path))
	signature := fmt.Sprintf("%s.%s.%x", strings.TrimPrefix(u.id, "i-"), in.id, len(body))
	raw := fmt.Appendf(nil, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s\r\nContent-Type: text/plain\r\nContent-Length: %d\r\n\r\n%s",
		names.AttemptID, in.id, names.Signature, signature, len(body), body)
	return upstreamAnswer{raw: raw, status: http.StatusOK, signature: signature, body: body}
}
