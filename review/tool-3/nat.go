package main

import (
	"bytes"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httputil"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
)

// link is a TCP proxy between machines, through which all connections to one address go.
type link struct {
	r  *rig
	to string

	mu    sync.Mutex
	pairs []*pair
}

// pair is one connection through a link. Once it is silent, both sides stay open and all
// further bytes are dropped.
type pair struct {
	silent atomic.Bool
	closed atomic.Bool
}

func (r *rig) newLink(at, to string) *link {
	k := &link{r: r, to: to}
	l, err := net.Listen("tcp", at)
	if err != nil {
		r.fail("%v", err)
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go k.join(c)
		}
	}()
	return k
}

func (k *link) join(c net.Conn) {
	d, err := net.Dial("tcp", k.to)
	if err != nil {
		_ = c.Close()
		return
	}
	p := &pair{}
	k.mu.Lock()
	k.pairs = append(k.pairs, p)
	k.mu.Unlock()
	go p.pass(c, d)
	go p.pass(d, c)
}

// pass copies one direction until an end closes. A silent connection shows neither end what
// the other one does.
func (p *pair) pass(from, to net.Conn) {
	buf := make([]byte, 64<<10)
	for {
		n, err := from.Read(buf)
		if n > 0 && !p.silent.Load() {
			if _, werr := to.Write(buf[:n]); werr != nil && !p.silent.Load() {
				err = werr
			}
		}
		if err != nil {
			p.closed.Store(true)
			_ = from.Close()
			if !p.silent.Load() {
				_ = to.Close()
			}
			return
		}
	}
}

// silence makes all open connections silent for good and returns their number. New
// connections work.
func (k *link) silence() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	n := 0
	for _, p := range k.pairs {
		if !p.closed.Load() && !p.silent.Swap(true) {
			n++
		}
	}
	return n
}

// translate puts a link before the inner port of each machine. What the daemons publish
// about themselves passes a proxy before the store that translates the addresses, as a
// network address translation between the machines does. Everything else reaches the store
// and comes back unchanged.
func (r *rig) translate() []*link {
	var links []*link
	var pairs []string
	for _, m := range r.machines {
		at := m.ip[:strings.LastIndexByte(m.ip, '.')+1] + "2" + m.ip[strings.LastIndexByte(m.ip, '.')+2:]
		links = append(links, r.newLink(at+":7640", m.inner()))
		pairs = append(pairs, m.inner(), at+":7640")
	}
	front := r.network + ".3:8102"
	r.translateStore(front, strings.NewReplacer(pairs...))
	for _, m := range r.machines {
		m.storeAt = front
	}
	return links
}

// translateStore puts a translating proxy at an address before the store.
func (r *rig) translateStore(front string, replacer *strings.Replacer) {
	target, _ := url.Parse("http://" + r.storeAt)
	proxy := httputil.NewSingleHostReverseProxy(target)
	proxy.ModifyResponse = func(resp *http.Response) error {
		body, err := io.ReadAll(resp.Body)
		if err != nil {
			return err
		}
		var o object
		if json.Unmarshal(body, &o) == nil {
			if items, ok := o["items"].([]any); ok && len(items) > 0 {
				body = translateItems(body, replacer)
			}
		}
		resp.Body = io.NopCloser(bytes.NewReader(body))
		resp.ContentLength = int64(len(body))
		resp.Header.Set("Content-Length", strconv.Itoa(len(body)))
		return nil
	}
	r.serve(front, proxy)
}

// translateItems translates the addresses in the values of listed items. An address and its
// translation have the same length, so the encoding of the values stays valid.
func translateItems(body []byte, replacer *strings.Replacer) []byte {
	var o map[string]json.RawMessage
	var items []map[string]json.RawMessage
	if json.Unmarshal(body, &o) != nil || json.Unmarshal(o["items"], &items) != nil {
		return body
	}
	for _, it := range items {
		var value []byte
		if json.Unmarshal(it["value"], &value) == nil {
			it["value"], _ = json.Marshal([]byte(replacer.Replace(string(value))))
		}
	}
	o["items"], _ = json.Marshal(items)
	out, _ := json.Marshal(o)
	return out
}
