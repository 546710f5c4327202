package table

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"

	"chestnutlatch/ident"
	"chestnutlatch/record"
)

// shardCount is the number of shards of each kind; a power of two.
const shardCount = 16

// kindCount is the number of record kinds.
const kindCount = int(record.KindService) + 1

// historyLimit is the number of recent changes kept for peers.
const historyLimit = 1024

type shard struct {
	mu sync.RWMutex
	// items holds the compact records by id, except keys, which are found by
	// their hash.
	items *arena
}

// content holds the records of a table. A snapshot replaces it as a whole, so
// that no reader sees half of it.
type content struct {
	shards [kindCount][shardCount]shard
	// hosts finds routes by host and prefix.
	hosts hostIndex
	// limits do not change once the content is in force.
	limits record.CallerLimits
}

func newContent() *content {
	c := &content{}
	for k := range c.shards {
		for i := range c.shards[k] {
			c.shards[k][i].items = newArena(itemHash(record.Kind(k)))
		}
	}
	c.hosts.init()
	return c
}

// Table is the working copy. It is safe for concurrent use.
type Table struct {
	revision atomic.Uint64
	content  atomic.Pointer[content]

	// applyMu orders writers; history is under it.
	applyMu sync.Mutex
	// history holds the encoded changes up to the revision, dense, the last
	// one at the revision.
	history [][]byte
	// skipped counts records that could not be read and were left out.
	skipped int
}

// New returns an empty table at revision 0.
func New() *Table {
	t := &Table{}
	t.content.Store(newContent())
	return t
}

// itemHash returns the hash of a stored item of a kind. A key is found by the
// first bytes of its SHA-256, every other record by its id.
func itemHash(k record.Kind) func([]byte) uint64 {
	if k != record.KindKey {
		return func(item []byte) uint64 { return xxhash.Sum64(record.CompactID(item)) }
	}
	return func(item []byte) uint64 {
		body, _, err := record.ParseCompact(record.KindKey, item)
		key, ok := body.(record.Key)
		if err != nil || !ok {
			return 0
		}
		return keyHash(key.Hash)
	}
}

func keyHash(sum [32]byte) uint64 {
	return binary.LittleEndian.Uint64(sum[:8])
}

// Revision returns the revision in force.
func (t *Table) Revision() ident.Revision {
	return ident.Revision(t.revision.Load())
}

// CallerLimits returns the bounds on callers that are in force.
func (t *Table) CallerLimits() record.CallerLimits {
	return t.content.Load().limits
}

// GapError reports a change that does not follow the table's revision.
type GapError struct {
	Have ident.Revision
	Got  ident.Revision
}

// Error names both revisions.
func (e *GapError) Error() string {
	return fmt.Sprintf("change %d does not follow revision %d: ask a peer for the changes between", e.Got, e.Have)
}

// Apply puts an encoded change in force. A change at or below the table's
// revision is ignored; one that leaves a gap is refused with a GapError.
func (t *Table) Apply(encoded []byte) error {
	c, err := record.DecodeChange(encoded)
	if err != nil {
		return err
	}
	t.applyMu.Lock()
	defer t.applyMu.Unlock()
	have := t.Revision()
	if c.Revision <= have {
		return nil
	}
	if c.Revision != have+1 {
		return &GapError{Have: have, Got: c.Revision}
	}
	for _, it := range c.Items {
		t.applyItem(it)
	}
	t.history = append(t.history, encoded)
	if len(t.history) > historyLimit {
		t.history = append([][]byte(nil), t.history[historyLimit/2:]...)
	}
	t.revision.Store(uint64(c.Revision))
	return nil
}

// applyItem replaces one record. A record that cannot be read counts as
// removed, since keeping its old content would revert an accepted change.
func (t *Table) applyItem(it record.Item) {
	t.removeRecord(it.Kind, it.ID, it.Before)
	if len(it.After) == 0 {
		return
	}
	body, err := record.Decode(it.Kind, it.ID, it.After)
	if err != nil {
		t.skipped++
		return
	}
	t.insert(body, extra(body, it.After))
}

// extra returns raw if it has fields that this program does not know.
func extra(body record.Body, raw []byte) []byte {
	if record.HasUnknown(record.KindOf(body), raw) {
		return raw
	}
	return nil
}

func (t *Table) insert(body record.Body, raw []byte) {
	item := record.AppendCompact(nil, body, raw)
	if len(item) > maxItemBytes {
		t.skipped++
		return
	}
	k := record.KindOf(body)
	h := itemHash(k)(item)
	s := t.shard(k, h)
	s.mu.Lock()
	id := record.CompactID(item)
	if _, slot := s.items.find(h, func(it []byte) bool { return bytes.Equal(record.CompactID(it), id) }); slot >= 0 {
		s.items.remove(slot)
	}
	s.items.insert(item)
	s.mu.Unlock()
	if r, ok := body.(record.Route); ok {
		t.content.Load().hosts.put(r.Host, r.Prefix, r.ID)
	}
}

func (t *Table) removeRecord(k record.Kind, id string, before []byte) {
	switch k {
	case record.KindKey:
		if body, err := record.Decode(k, id, before); err == nil {
			key, _ := body.(record.Key)
			t.removeAt(k, keyHash(key.Hash), id)
		}
	case record.KindRoute:
		if r, ok := t.RouteByID(ident.Route(id)); ok {
			t.content.Load().hosts.remove(r.Host, r.Prefix, r.ID)
		}
		t.removeAt(k, hashString(id), id)
	default:
		t.removeAt(k, hashString(id), id)
	}
}

func (t *Table) removeAt(k record.Kind, h uint64, id string) {
	s := t.shard(k, h)
	s.mu.Lock()
	defer s.mu.Unlock()
	_, slot := s.items.find(h, func(it []byte) bool { return string(record.CompactID(it)) == id })
	if slot >= 0 {
		s.items.remove(slot)
	}
}

func (t *Table) shard(k record.Kind, h uint64) *shard {
	return &t.content.Load().shards[k][h>>60&(shardCount-1)]
}

func (t *Table) lookup(k record.Kind, id string) (record.Body, bool) {
	h := hashString(id)
	s := t.shard(k, h)
	s.mu.RLock()
	defer s.mu.RUnlock()
	item, slot := s.items.find(h, func(it []byte) bool { return string(record.CompactID(it)) == id })
	if slot < 0 {
		return nil, false
	}
	body, _, err := record.ParseCompact(k, item)
	return body, err == nil
}

// Team returns a team record.
func (t *Table) Team(id ident.Team) (record.Team, bool) {
	body, ok := t.lookup(record.KindTeam, string(id))
	if !ok {
		return record.Team{}, false
	}
	return body.(record.Team), true
}

// RouteByID returns a route record.
func (t *Table) RouteByID(id ident.Route) (record.Route, bool) {
	body, ok := t.lookup(record.KindRoute, string(id))
	if !ok {
		return record.Route{}, false
	}
	return body.(record.Route), true
}

// Draining reports whether the operators drain a target.
func (t *Table) Draining(id ident.Target) bool {
	body, ok := t.lookup(record.KindTarget, string(id))
	return ok && body.(record.Target).Drain
}

// FloorPercent returns the floor of a service, 1 to 100.
func (t *Table) FloorPercent(id ident.Service) uint32 {
	body, ok := t.lookup(record.KindService, string(id))
	if !ok {
		return record.DefaultFloorPercent
	}
	return body.(record.Service).FloorPercent
}

// TeamOfKey returns the team of a key that a caller presented.
func (t *Table) TeamOfKey(key string) (record.Team, bool) {
	sum := sha256.Sum256([]byte(key))
	h := keyHash(sum)
	s := t.shard(record.KindKey, h)
	s.mu.RLock()
	var team ident.Team
	_, slot := s.items.find(h, func(it []byte) bool {
		body, _, err := record.ParseCompact(record.KindKey, it)
		k, ok := body.(record.Key)
		if err != nil || !ok || k.Hash != sum {
			return false
		}
		team = k.Team
		return true
	})
	s.mu.RUnlock()
	if slot < 0 {
		return record.Team{}, false
	}
	return t.Team(team)
}

// Match returns the route with the longest prefix of path, first for the host
// and then for every host.
func (t *Table) Match(host, path string) (record.Route, bool) {
	hosts := &t.content.Load().hosts
	for _, h := range [2]string{host, ""} {
		for p := path; p != ""; p = parent(p) {
			if id, ok := hosts.get(h, p); ok {
				return t.RouteByID(id)
			}
		}
		if host == "" {
			break
		}
	}
	return record.Route{}, false
}

// parent shortens a path by its last part: /a/b, /a/, /a, /, then nothing.
func parent(p string) string {
	if p == "/" {
		return ""
	}
	if strings.HasSuffix(p, "/") {
		return p[:len(p)-1]
	}
	return p[:strings.LastIndexByte(p, '/')+1]
}

// Changes returns the encoded changes after a revision, at most limit, or
// false if they are no longer kept.
func (t *Table) Changes(after ident.Revision, limit int) ([][]byte, bool) {
	t.applyMu.Lock()
	defer t.applyMu.Unlock()
	have := t.Revision()
	if after >= have {
		return nil, true
	}
	behind := int(have - after)
	if behind > len(t.history) {
		return nil, false
	}
	out := t.history[len(t.history)-behind:]
	if len(out) > limit {
		out = out[:limit]
	}
	return append([][]byte(nil), out...), true
}

// Counts returns the number of records by kind.
func (t *Table) Counts() map[string]int {
	out := map[string]int{}
	c := t.content.Load()
	for k := range c.shards {
		for i := range c.shards[k] {
			s := &c.shards[k][i]
			s.mu.RLock()
			out[record.Kind(k).String()] += s.items.live
			s.mu.RUnlock()
		}
	}
	return out
}

// Bytes returns the memory of the arenas and indexes.
func (t *Table) Bytes() int {
	c := t.content.Load()
	total := c.hosts.bytes()
	for k := range c.shards {
		for i := range c.shards[k] {
			s := &c.shards[k][i]
			s.mu.RLock()
			total += s.items.bytes()
			s.mu.RUnlock()
		}
	}
	return total
}

// errSnapshot reports a snapshot that does not parse.
var errSnapshot = errors.New("snapshot is damaged: take it from another peer")

// HasTeams reports whether the configuration names any team. Without teams no
// route needs a key.
func (t *Table) HasTeams() bool {
	c := t.content.Load()
	for i := range c.shards[record.KindTeam] {
		s := &c.shards[record.KindTeam][i]
		s.mu.RLock()
		n := s.items.live
		s.mu.RUnlock()
		if n > 0 {
			return true
		}
	}
	return false
}
