package main

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// kvStore is a stand-in of the platform's store. It loses nothing and answers at once.
type kvStore struct {
	mu       sync.Mutex
	changed  chan struct{}
	revision uint64
	items    map[string]kvItem
	events   []kvEvent
	leases   map[uint64]*kvLease
	lastID   uint64
}

type kvItem struct {
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created"`
	Lease    uint64 `json:"lease"`
}

type kvEvent struct {
	kvItem

	Removed bool `json:"removed,omitempty"`
}

type kvLease struct {
	ttl  time.Duration
	ends time.Time
}

// storeFront is the store's address for one machine. The store can turn that machine
// away by giving no response.
type storeFront struct {
	store   *kvStore
	address string
	name    string
	// log writes the machine's calls to the record; nil writes none.
	log func(format string, args ...any)

	mu sync.Mutex
	// silentUntil is the end of the time without responses.
	silentUntil time.Time
	// lastList and lastKeep are when the daemon last listed keys and renewed its lease,
	// the calls that it makes regularly.
	lastList, lastKeep time.Time
	// lost counts the calls that get no response.
	lost int
}

func (f *storeFront) serve(l net.Listener) { _ = http.Serve(l, f) }

// silence gives the machine no response for some time.
func (f *storeFront) silence(d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.silentUntil = time.Now().Add(d)
}

// isSilent reports whether a response that is due now is lost.
func (f *storeFront) isSilent() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	silent := time.Now().Before(f.silentUntil)
	if silent {
		f.lost++
	}
	return silent
}

// isBetweenCalls reports whether the daemon has just listed keys, and renewed its lease
// not long ago, so that it makes no call for more than half a second.
func (f *storeFront) isBetweenCalls() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return time.Since(f.lastList) > 30*time.Millisecond && time.Since(f.lastList) < 200*time.Millisecond && time.Since(f.lastKeep) < 1300*time.Millisecond
}

func (f *storeFront) lostCalls() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lost
}

// ServeHTTP implements http.Handler. A connection on which a response is lost returns
// nothing further.
func (f *storeFront) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == names.KVWatch {
		events, revision := f.store.wait(r)
		if f.isSilent() {
			<-r.Context().Done()
			return
		}
		answer(w, http.StatusOK, map[string]any{"events": events, names.At: revision})
		return
	}
	f.mu.Lock()
	switch {
	case r.URL.Path == names.KVRange:
		f.lastList = time.Now()
	case strings.HasPrefix(r.URL.Path, names.KVKeep):
		f.lastKeep = time.Now()
	}
	f.mu.Unlock()
	if f.log != nil {
		f.log("store call by %s: %s %s", f.name, r.Method, r.URL)
	}
	if f.isSilent() {
		_, _ = io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
		return
	}
	f.store.handle(w, r)
}

func newKVStore() *kvStore {
	s := &kvStore{changed: make(chan struct{}), revision: 1, items: map[string]kvItem{}, leases: map[uint64]*kvLease{}}
	go func() {
		for range time.Tick(50 * time.Millisecond) {
			s.endLeases()
		}
	}()
	return s
}

// put writes a key as the operator does.
func (s *kvStore) put(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.write(key, value, 0)
	s.notify()
}

func (s *kvStore) write(key string, value []byte, lease uint64) {
	it := kvItem{Key: key, Value: value, Revision: s.revision, Created: s.revision, Lease: lease}
	if old, ok := s.items[key]; ok {
		it.Created = old.Created
	}
	s.items[key] = it
	s.events = append(s.events, kvEvent{kvItem: it})
}

func (s *kvStore) remove(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	delete(s.items, key)
	s.events = append(s.events, kvEvent{kvItem: kvItem{Key: key, Revision: s.revision}, Removed: true})
}

func (s *kvStore) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *kvStore) endLeases() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, l := range s.leases {
		if time.Now().After(l.ends) {
			s.endLease(id)
		}
	}
}

func (s *kvStore) endLease(id uint64) {
	delete(s.leases, id)
	s.revision++
	for key, it := range s.items {
		if it.Lease == id {
			s.remove(key)
		}
	}
	s.notify()
}

func answer(w http.ResponseWriter, status int, body any) {
	b, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(b)
}

func (s *kvStore) handle(w http.ResponseWriter, r *http.Request) {
	switch path := r.URL.Path; {
	case path == names.KVKey:
		s.get(w, r)
	case path == names.KVRange:
		s.list(w, r)
	case path == names.KVTxn:
		s.txn(w, r)
	case path == names.KVLease:
		s.grant(w, r)
	case strings.HasPrefix(path, names.KVKeep):
		s.keep(w, strings.TrimPrefix(path, names.KVKeep))
	case strings.HasPrefix(path, names.KVEnd):
		id, _ := strconv.ParseUint(strings.TrimPrefix(path, names.KVEnd), 10, 64)
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.leases[id] != nil {
			s.endLease(id)
		}
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *kvStore) get(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	it, ok := s.items[r.URL.Query().Get("key")]
	if !ok {
		answer(w, http.StatusNotFound, map[string]any{names.At: s.revision})
		return
	}
	answer(w, http.StatusOK, map[string]any{
		"key": it.Key, "value": it.Value, "revision": it.Revision, "created": it.Created, "lease": it.Lease, names.At: s.revision,
	})
}

func (s *kvStore) list(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("path_prefix"), r.URL.Query().Get("after")
	s.mu.Lock()
	defer s.mu.Unlock()
	items := []kvItem{}
	for key, it := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			items = append(items, it)
		}
	}
	sort.Slice(items, func(i, j int) bool { return items[i].Key < items[j].Key })
	answer(w, http.StatusOK, map[string]any{"items": items, names.More: false, names.At: s.revision})
}

// wait waits for events as a watch asks for them.
func (s *kvStore) wait(r *http.Request) ([]kvEvent, uint64) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		events := []kvEvent{}
		for _, e := range s.events {
			if e.Revision > after && strings.HasPrefix(e.Key, q.Get("path_prefix")) {
				events = append(events, e)
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		done := len(events) > 0
		if !done {
			select {
			case <-changed:
				continue
			case <-timeout:
			case <-r.Context().Done():
			}
		}
		return events, revision
	}
}

func (s *kvStore) txn(w http.ResponseWriter, r *http.Request) {
	var req struct {
		Expect []struct {
			Key      string
			Revision uint64
		}
		Writes []struct {
			Key   string
			Value []byte
			Lease uint64
		}
		Deletes []string
	}
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	holds, current := true, []kvItem{}
	for _, e := range req.Expect {
		it, ok := s.items[e.Key]
		holds = holds && it.Revision == e.Revision
		if ok {
			current = append(current, it)
		}
	}
	if !holds {
		answer(w, http.StatusPreconditionFailed, map[string]any{"items": current})
		return
	}
	for _, e := range req.Writes {
		if e.Lease != 0 && s.leases[e.Lease] == nil {
			w.WriteHeader(http.StatusNotFound)
			return
		}
	}
	s.revision++
	for _, e := range req.Writes {
		s.write(e.Key, e.Value, e.Lease)
	}
	for _, key := range req.Deletes {
		s.remove(key)
	}
	s.notify()
	answer(w, http.StatusOK, map[string]any{"revision": s.revision})
}

func (s *kvStore) grant(w http.ResponseWriter, r *http.Request) {
	var req struct {
		TTL int64 `json:"ttl_time"`
	}
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastID++
	ttl := time.Duration(req.TTL) * time.Millisecond
	s.leases[s.lastID] = &kvLease{ttl: ttl, ends: time.Now().Add(ttl)}
	answer(w, http.StatusOK, map[string]any{"lease": s.lastID, "ttl_time": req.TTL})
}

func (s *kvStore) keep(w http.ResponseWriter, id string) {
	n, _ := strconv.ParseUint(id, 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[n]
	if l == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	l.ends = time.Now().Add(l.ttl)
	answer(w, http.StatusOK, map[string]any{"ttl_time": l.ttl.Milliseconds()})
}
