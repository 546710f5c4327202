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

// callerAnswer is what a caller got for a request.
type callerAnswer struct {
	// method is that of the request.
	method string
	// raw holds the bytes of the answer's head.
	raw       []byte
	status    int
	signature string
	body      []byte
	// invalid says why the head is no HTTP answer; empty if it is one.
	invalid string
}

// caller sends requests on a connection that it keeps, as the platform's clients do.
type caller struct {
	address string
	conn    net.Conn
	r       *bufio.Reader
}

// callerDeadline is the deadline of a request of the class voucher-issue.
const callerDeadline = 8 * time.Second

// send sends a request and reads its answer.
func (c *caller) send(method, host, path, id string, body []byte) (callerAnswer, error) {
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp", c.address, time.Second)
		if err != nil {
			return callerAnswer{}, err
		}
		c.conn, c.r = conn, bufio.NewReader(conn)
	}
	answer, closes, err := c.exchange(method, host, path, id, body)
	if err != nil || closes {
		c.close()
	}
	return answer, err
}

func (c *caller) close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

func (c *caller) exchange(method, host, path, id string, body []byte) (answer callerAnswer, closes bool, err error) {
	if err := c.conn.SetDeadline(time.Now().Add(callerDeadline)); err != nil {
		return answer, true, err
	}
	if _, err := fmt.Fprintf(c.conn, "%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n%s: Bearer %s\r\nContent-Length: %d\r\n\r\n%s",
		method, path, host, names.AttemptID, id, names.Remaining, callerDeadline.Milliseconds(), names.Authorization, apiKey, len(body), body); err != nil {
		return answer, true, err
	}
	answer.method = method
	length := -1
	for first := true; ; first = false {
		line, err := c.r.ReadBytes('\n')
		answer.raw = append(answer.raw, line...)
		if err != nil {
			return answer, true, err
		}
		line = bytes.TrimRight(line, "\r\n")
		if len(line) == 0 {
			break
		}
		if first {
			answer.status = statusOf(string(line))
			if answer.status == 0 {
				answer.invalid = fmt.Sprintf("status line %q", line)
			}
			continue
		}
		name, value, found := strings.Cut(string(line), ":")
		if !found || !isToken(name) {
			answer.invalid = fmt.Sprintf("header line %q has no valid field name", line)
		}
		value = strings.TrimSpace(value)
		switch {
		case strings.EqualFold(name, names.Signature):
			answer.signature = value
		case strings.EqualFold(name, "Content-Length"):
			if length, err = strconv.Atoi(value); err != nil {
				return answer, true, err
			}
		case strings.EqualFold(name, "Connection"):
			closes = closes || strings.EqualFold(value, "close")
		}
	}
	if length < 0 {
		return answer, true, fmt.Errorf("answer without a length")
	}
	answer.body = make([]byte, length)
	_, err = io.ReadFull(c.r, answer.body)
	return answer, closes, err
}

func statusOf(line string) int {
	fields := strings.SplitN(line, " ", 3)
	if len(fields) < 2 || !strings.HasPrefix(fields[0], "HTTP/1.") || len(fields[1]) != 3 {
		return 0
	}
	n, err := strconv.Atoi(fields[1])
	if err != nil || n < 100 || n > 599 {
		return 0
	}
	return n
}

// isToken reports whether s is a token as RFC 9110 defines it (section 5.6.2), which a field
// name must be.
func isToken(s string) bool {
	for _, b := range []byte(s) {
		isAlphanumeric := b >= 'a' && b <= 'z' || b >= 'A' && b <= 'Z' || b >= '0' && b <= '9'
		if !isAlphanumeric && !strings.ContainsRune("!#$%&'*+-.^_`|~", rune(b)) {
			return false
		}
	}
	return s != ""
}

// load sends requests of both classes from callers at every daemon, each on its own
// connection, until the span is over. Each request is passed to check with its answer.
func (r *rig) load(label string, callersPerDaemon int, pause, span time.Duration, check func(id string, a callerAnswer, err error)) {
	var wg sync.WaitGroup
	end := time.Now().Add(span)
	for d, daemon := range r.daemons {
		for n := range callersPerDaemon {
			wg.Go(func() {
				c := &caller{address: daemon.callers}
				defer c.close()
				for k := 0; time.Now().Before(end); k++ {
					id := fmt.Sprintf("%s-%d-%d-%d", label, d, n, k)
					var a callerAnswer
					var err error
					r.record.line("sent %s to %s", id, daemon.name)
					if (n+k)%3 == 0 {
						a, err = c.send(http.MethodGet, "status.example", "/status/"+id, id, nil)
					} else {
						a, err = c.send(http.MethodPut, "vouchers.example", "/vouchers/"+id, id, []byte("one crank"))
					}
					r.record.line("answered %s: %d, error %v", id, a.status, err)
					check(id, a, err)
					time.Sleep(pause)
				}
			})
		}
	}
	wg.Wait()
}
