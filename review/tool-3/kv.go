package main

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// maxPage is the number of items in one page of a listing.
const maxPage = 50

// kvItem is one key of the store.
type kvItem struct {
	key      string
	value    []byte
	revision uint64
	created  uint64
	lease    uint64
	removed  bool
}

// kvStore is a stand-in of the platform's store: linearizable, in memory, with leases and
// watches.
type kvStore struct {
	mu       sync.Mutex
	revision uint64
	items    map[string]kvItem
	history  []kvItem
	leases   map[uint64]*kvLease
	last     uint64
	changed  chan struct{}
	// silent is true while the store is down and answers nothing.
	silent    bool
	downSince time.Time
}

type kvLease struct {
	ttl  time.Duration
	ends time.Time
}

func newStore() *kvStore {
	s := &kvStore{revision: 10, items: map[string]kvItem{}, leases: map[uint64]*kvLease{}, changed: make(chan struct{})}
	go func() {
		for range time.Tick(50 * time.Millisecond) {
			s.mu.Lock()
			s.expire()
			s.mu.Unlock()
		}
	}()
	return s
}

// expire removes the keys of leases that have ended. The caller holds mu.
func (s *kvStore) expire() {
	if s.silent {
		return
	}
	now := time.Now()
	for id, l := range s.leases {
		if now.After(l.ends) {
			s.endLease(id)
		}
	}
}

func (s *kvStore) endLease(id uint64) {
	delete(s.leases, id)
	for k, it := range s.items {
		if it.lease == id {
			s.record(kvItem{key: k, removed: true})
		}
	}
}

// record applies one change. The caller holds mu.
func (s *kvStore) record(it kvItem) {
	s.revision++
	it.revision = s.revision
	if it.removed {
		delete(s.items, it.key)
	} else {
		it.created = it.revision
		if old, ok := s.items[it.key]; ok {
			it.created = old.created
		}
		s.items[it.key] = it
	}
	s.history = append(s.history, it)
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes a key as the operator does.
func (s *kvStore) put(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.record(kvItem{key: key, value: value})
}

func itemJSON(it kvItem) object {
	if it.removed {
		return object{"key": it.key, "revision": it.revision, "removed": true}
	}
	return object{"key": it.key, "value": it.value, "revision": it.revision, "created": it.created, "lease": it.lease}
}

func reply(w http.ResponseWriter, status int, body any) {
	b, _ := json.Marshal(body)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(b)))
	w.WriteHeader(status)
	_, _ = w.Write(b)
}

// setSilent begins or ends an outage. While the store is down, leases pause.
func (s *kvStore) setSilent(silent bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case silent:
		s.downSince = time.Now()
	case s.silent:
		for _, l := range s.leases {
			l.ends = l.ends.Add(time.Since(s.downSince))
		}
	}
	s.silent = silent
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *kvStore) isSilent() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.silent
}

func (s *kvStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if s.isSilent() {
		// Nothing is done, and nothing is answered on this connection any more.
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	q := r.URL.Query()
	switch path := r.URL.Path; {
	case path == wire["kv_get"]:
		s.mu.Lock()
		s.expire()
		it, ok := s.items[q.Get("key")]
		at := s.revision
		s.mu.Unlock()
		if !ok {
			reply(w, http.StatusNotFound, object{wire["f_revision_of_store"]: at})
			return
		}
		o := itemJSON(it)
		o[wire["f_revision_of_store"]] = at
		reply(w, http.StatusOK, o)
	case path == wire["kv_range"]:
		s.list(w, q.Get("path_prefix"), q.Get("after"))
	case path == wire["kv_watch"]:
		after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
		wait, _ := strconv.Atoi(q.Get("wait_ms"))
		s.watch(w, r, q.Get("path_prefix"), after, time.Duration(wait)*time.Millisecond)
	case path == wire["kv_txn"]:
		s.txn(w, r)
	case path == wire["kv_lease"]:
		var req struct {
			TTL uint64 `json:"ttl_time"`
		}
		if json.NewDecoder(r.Body).Decode(&req) != nil {
			reply(w, http.StatusBadRequest, object{})
			return
		}
		s.mu.Lock()
		s.last++
		id := 1000 + s.last
		ttl := time.Duration(min(max(req.TTL, 1000), 600_000)) * time.Millisecond
		s.leases[id] = &kvLease{ttl, time.Now().Add(ttl)}
		s.mu.Unlock()
		reply(w, http.StatusOK, object{"lease": id, "ttl_time": ttl.Milliseconds()})
	case strings.HasPrefix(path, wire["kv_keep"]):
		id, _ := strconv.ParseUint(strings.TrimPrefix(path, wire["kv_keep"]), 10, 64)
		s.mu.Lock()
		s.expire()
		l := s.leases[id]
		if l != nil {
			l.ends = time.Now().Add(l.ttl)
		}
		s.mu.Unlock()
		if l == nil {
			reply(w, http.StatusNotFound, object{})
			return
		}
		reply(w, http.StatusOK, object{"ttl_time": l.ttl.Milliseconds()})
	case strings.HasPrefix(path, wire["kv_lease_end"]):
		id, _ := strconv.ParseUint(strings.TrimPrefix(path, wire["kv_lease_end"]), 10, 64)
		s.mu.Lock()
		s.endLease(id)
		s.mu.Unlock()
		reply(w, http.StatusOK, object{})
	default:
		reply(w, http.StatusBadRequest, object{})
	}
}

func (s *kvStore) list(w http.ResponseWriter, prefix, after string) {
	s.mu.Lock()
	s.expire()
	var keys []string
	for k := range s.items {
		if strings.HasPrefix(k, prefix) && k > after {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	more := len(keys) > maxPage
	out := []object{}
	for _, k := range keys[:min(len(keys), maxPage)] {
		out = append(out, itemJSON(s.items[k]))
	}
	at := s.revision
	s.mu.Unlock()
	reply(w, http.StatusOK, object{"items": out, wire["f_more"]: more, wire["f_revision_of_store"]: at})
}

func (s *kvStore) watch(w http.ResponseWriter, r *http.Request, prefix string, after uint64, wait time.Duration) {
	timeout := time.After(wait)
	for {
		s.mu.Lock()
		s.expire()
		out := []object{}
		for _, it := range s.history {
			if it.revision > after && strings.HasPrefix(it.key, prefix) {
				out = append(out, itemJSON(it))
			}
		}
		at, changed, silent := s.revision, s.changed, s.silent
		s.mu.Unlock()
		if silent {
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		}
		if len(out) > 0 {
			reply(w, http.StatusOK, object{"events": out, wire["f_revision_of_store"]: at})
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-timeout:
			reply(w, http.StatusOK, object{"events": out, wire["f_revision_of_store"]: at})
			return
		}
	}
}

func (s *kvStore) txn(w http.ResponseWriter, r *http.Request) {
	var req struct {
		Expect []struct {
			Key      string `json:"key"`
			Revision uint64 `json:"revision"`
		} `json:"expect"`
		Writes []struct {
			Key   string `json:"key"`
			Value []byte `json:"value"`
			Lease uint64 `json:"lease"`
		} `json:"writes"`
		Deletes []string `json:"deletes"`
	}
	if json.NewDecoder(r.Body).Decode(&req) != nil {
		reply(w, http.StatusBadRequest, object{})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	current, same := []object{}, true
	for _, e := range req.Expect {
		it, ok := s.items[e.Key]
		if ok {
			current = append(current, itemJSON(it))
		}
		same = same && it.revision == e.Revision
	}
	for _, wr := range req.Writes {
		if _, ok := s.leases[wr.Lease]; wr.Lease != 0 && !ok {
			reply(w, http.StatusNotFound, object{})
			return
		}
		if strings.HasPrefix(wr.Key, "op/") {
			reply(w, http.StatusForbidden, object{})
			return
		}
	}
	if !same {
		reply(w, http.StatusPreconditionFailed, object{"items": current})
		return
	}
	for _, wr := range req.Writes {
		s.record(kvItem{key: wr.Key, value: wr.Value, lease: wr.Lease})
	}
	for _, k := range req.Deletes {
		if _, ok := s.items[k]; ok {
			s.record(kvItem{key: k, removed: true})
		}
	}
	reply(w, http.StatusOK, object{"revision": s.revision})
}
