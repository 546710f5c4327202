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

// shardCount is the number of shards of each record kind; a power of two.
const shardCount = 16

// historyLimit is the largest number of recent changes kept for peers; beyond it the
// older half is dropped.
const historyLimit = 1024

// shard holds a part of the records of one kind.
type shard struct {
	// items holds compact records, hashed by id; keys by their SHA-256.
	items *arena
}

// content holds the records of a table. A snapshot replaces it as a whole: a lookup
// never uses a partly loaded snapshot.
type content struct {
	// mu guards shards and hosts. Apply holds it during a whole change, so that a
	// lookup sees all records of a change or none.
	mu     sync.RWMutex
	shards [record.KindCount][shardCount]shard
	// hosts finds the id of a route by host and prefix.
	hosts hostIndex
	// limits are read without a lock: they do not change once the content is in
	// force.
	limits record.CallerLimits
	// hasCentres is true if a data centre has had a record. Without one, which is the
	// usual case, EvacuatedByRecord needs no lookup.
	hasCentres atomic.Bool
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

// Table is a daemon's copy of the configuration. It is safe for concurrent use.
type Table struct {
	revision atomic.Uint64
	content  atomic.Pointer[content]

	// applyMu serializes writers and guards history and skipped.
	applyMu sync.Mutex
	// history holds recent encoded changes without gaps, up to the revision in
	// force.
	history [][]byte
	// skipped counts records that were left out because they could not be decoded
	// or were too large.
	skipped int
}

// New returns an empty table at revision 0.
func New() *Table {
	t := &Table{}
	t.content.Store(newContent())
	return t
}

// itemHash returns the hash function for items of a kind. A key hashes to the first
// eight bytes of its SHA-256, every other record by its id.
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

// CallerLimits returns the limits on callers that are in force. A limit of 0 leaves
// the daemon's own in force.
func (t *Table) CallerLimits() record.CallerLimits {
	return t.content.Load().limits
}

// GapError reports a change whose revision is not the next one after the table's.
type GapError struct {
	// Current is the table's revision, Got the change's.
	Current ident.Revision
	Got     ident.Revision
}

// Error implements error.
func (e *GapError) Error() string {
	return fmt.Sprintf("change %d does not follow revision %d: fetch the missing changes from a peer", e.Got, e.Current)
}

// Apply puts an encoded change in force and keeps it for Changes; the caller must not
// modify encoded afterwards. A change at or below the table's revision is ignored. A
// lookup during Apply sees the whole change or none of it. Apply returns a *GapError
// if earlier changes are missing, and another error if the change cannot be decoded.
func (t *Table) Apply(encoded []byte) error {
	c, err := record.DecodeChange(encoded)
	if err != nil {
		return err
	}
	t.applyMu.Lock()
	defer t.applyMu.Unlock()
	current := t.Revision()
	if c.Revision <= current {
		return nil
	}
	if c.Revision != current+1 {
		return &GapError{Current: current, Got: c.Revision}
	}
	content := t.content.Load()
	content.mu.Lock()
	for _, item := range c.Items {
		t.skipped += content.applyItem(item)
	}
	content.mu.Unlock()
	t.history = append(t.history, encoded)
	if len(t.history) > historyLimit {
		t.history = append([][]byte(nil), t.history[historyLimit/2:]...)
	}
	t.revision.Store(uint64(c.Revision))
	return nil
}

// applyItem replaces one record and returns the number of skipped records, 0 or 1. A
// record that cannot be decoded is removed, since keeping its old content would undo
// an accepted change.
func (c *content) applyItem(item record.Item) (skipped int) {
	c.removeRecord(item.Kind, item.ID, item.Before)
	if len(item.After) == 0 {
		return 0
	}
	body, err := record.Decode(item.Kind, item.ID, item.After)
	if err != nil {
		return 1
	}
	return c.insert(body, rawWithUnknownFields(body, item.After))
}

// rawWithUnknownFields returns raw if it has fields that this version does not
// support, and nil otherwise.
func rawWithUnknownFields(body record.Body, raw []byte) []byte {
	if record.HasUnknownFields(record.KindOf(body), raw) {
		return raw
	}
	return nil
}

// insert adds or replaces a record and returns the number of skipped records, 0 or 1.
// An item above maxItemBytes is skipped.
func (c *content) insert(body record.Body, raw []byte) (skipped int) {
	item := record.AppendCompact(nil, body, raw)
	if len(item) > maxItemBytes {
		return 1
	}
	k := record.KindOf(body)
	h := itemHash(k)(item)
	s := c.shard(k, h)
	id := record.CompactID(item)
	if _, slot := s.items.find(h, func(other []byte) bool { return bytes.Equal(record.CompactID(other), id) }); slot >= 0 {
		s.items.remove(slot)
	}
	s.items.insert(item)
	if k == record.KindDataCentre {
		c.hasCentres.Store(true)
	}
	if r, ok := body.(record.Route); ok {
		c.hosts.put(r.Host, r.Prefix, r.ID)
	}
	return 0
}

// removeRecord removes a record if it is present. before, its previous stored form, is
// used only for keys, which are indexed by their hash instead of their id.
func (c *content) removeRecord(k record.Kind, id string, before []byte) {
	switch k {
	case record.KindKey:
		if body, err := record.Decode(k, id, before); err == nil {
			key, _ := body.(record.Key)
			c.removeItem(k, keyHash(key.Hash), id)
		}
	case record.KindRoute:
		if r, ok := c.route(ident.Route(id)); ok {
			c.hosts.remove(r.Host, r.Prefix, r.ID)
		}
		c.removeItem(k, hashString(id), id)
	default:
		c.removeItem(k, hashString(id), id)
	}
}

// removeItem removes the item with the given hash and id.
func (c *content) removeItem(k record.Kind, h uint64, id string) {
	s := c.shard(k, h)
	_, slot := s.items.find(h, func(item []byte) bool { return string(record.CompactID(item)) == id })
	if slot >= 0 {
		s.items.remove(slot)
	}
}

// shard returns the shard of a hash, chosen by its top four bits. The index within
// the shard uses the low bits.
func (c *content) shard(k record.Kind, h uint64) *shard {
	return &c.shards[k][h>>60&(shardCount-1)]
}

// lookup returns the record with the given id, of any kind except keys. The caller
// holds mu.
func (c *content) lookup(k record.Kind, id string) (record.Body, bool) {
	h := hashString(id)
	item, slot := c.shard(k, h).items.find(h, func(item []byte) bool { return string(record.CompactID(item)) == id })
	if slot < 0 {
		return nil, false
	}
	body, _, err := record.ParseCompact(k, item)
	return body, err == nil
}

// route returns a route record. The caller holds mu.
func (c *content) route(id ident.Route) (record.Route, bool) {
	body, ok := c.lookup(record.KindRoute, string(id))
	if !ok {
		return record.Route{}, false
	}
	return body.(record.Route), true
}

// team returns a team record. The caller holds mu.
func (c *content) team(id ident.Team) (record.Team, bool) {
	body, ok := c.lookup(record.KindTeam, string(id))
	if !ok {
		return record.Team{}, false
	}
	return body.(record.Team), true
}

// lookup returns the record with the given id, of any kind except keys.
func (t *Table) lookup(k record.Kind, id string) (record.Body, bool) {
	c := t.content.Load()
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.lookup(k, id)
}

// Team returns a team record. It returns false if the team is unknown.
func (t *Table) Team(id ident.Team) (record.Team, bool) {
	c := t.content.Load()
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.team(id)
}

// RouteByID returns a route record. It returns false if the route is unknown.
func (t *Table) RouteByID(id ident.Route) (record.Route, bool) {
	c := t.content.Load()
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.route(id)
}

// Draining reports whether the configuration drains a target.
func (t *Table) Draining(id ident.Target) bool {
	body, ok := t.lookup(record.KindTarget, string(id))
	return ok && body.(record.Target).Drain
}

// EvacuatedByRecord reports whether the configuration evacuates a data centre.
func (t *Table) EvacuatedByRecord(id ident.DataCentre) bool {
	if !t.content.Load().hasCentres.Load() {
		return false
	}
	body, ok := t.lookup(record.KindDataCentre, string(id))
	return ok && body.(record.DataCentre).Evacuated
}

// FloorPercent returns the share of a service's targets that always stays selectable,
// 1 to 100; record.DefaultFloorPercent for an unknown service.
func (t *Table) FloorPercent(id ident.Service) uint32 {
	body, ok := t.lookup(record.KindService, string(id))
	if !ok {
		return record.DefaultFloorPercent
	}
	return body.(record.Service).FloorPercent
}

// TeamByKey returns the team of an API key as presented by a caller. It returns false
// if the key or its team is unknown.
func (t *Table) TeamByKey(key string) (record.Team, bool) {
	sum := sha256.Sum256([]byte(key))
	h := keyHash(sum)
	c := t.content.Load()
	c.mu.RLock()
	defer c.mu.RUnlock()
	var team ident.Team
	_, slot := c.shard(record.KindKey, h).items.find(h, func(item []byte) bool {
		body, _, err := record.ParseCompact(record.KindKey, item)
		k, ok := body.(record.Key)
		if err != nil || !ok || k.Hash != sum {
			return false
		}
		team = k.Team
		return true
	})
	if slot < 0 {
		return record.Team{}, false
	}
	return c.team(team)
}

// Match returns the route with the longest prefix of path. Prefixes match whole path
// segments: /a matches /a and /a/b, but not /ab. Routes of the given host come before
// those for every host. Match returns false if no route matches.
func (t *Table) Match(host, path string) (record.Route, bool) {
	c := t.content.Load()
	c.mu.RLock()
	defer c.mu.RUnlock()
	for _, candidate := range [2]string{host, ""} {
		for prefix := path; prefix != ""; prefix = parentPath(prefix) {
			if id, ok := c.hosts.get(candidate, prefix); ok {
				return c.route(id)
			}
		}
		if host == "" {
			break
		}
	}
	return record.Route{}, false
}

// parentPath returns the next shorter prefix of a path: /a/b, /a/, /a, /, then the
// empty string.
func parentPath(p string) string {
	if p == "/" {
		return ""
	}
	if strings.HasSuffix(p, "/") {
		return p[:len(p)-1]
	}
	return p[:strings.LastIndexByte(p, '/')+1]
}

// Changes returns up to limit encoded changes after a revision, oldest first. It
// returns false if the table no longer keeps them: the caller needs a snapshot. limit
// must not be negative. The caller must not modify the changes.
func (t *Table) Changes(after ident.Revision, limit int) ([][]byte, bool) {
	t.applyMu.Lock()
	defer t.applyMu.Unlock()
	current := t.Revision()
	if after >= current {
		return nil, true
	}
	missing := int(current - after)
	if missing > len(t.history) {
		return nil, false
	}
	out := t.history[len(t.history)-missing:]
	if len(out) > limit {
		out = out[:limit]
	}
	return append([][]byte(nil), out...), true
}

// Counts returns the number of records by the name of their kind.
func (t *Table) Counts() map[string]int {
	out := map[string]int{}
	c := t.content.Load()
	c.mu.RLock()
	defer c.mu.RUnlock()
	for k := range c.shards {
		for i := range c.shards[k] {
			out[record.Kind(k).String()] += c.shards[k][i].items.liveItems
		}
	}
	return out
}

// Bytes returns the memory of the arenas and their indexes, in bytes.
func (t *Table) Bytes() int {
	c := t.content.Load()
	c.mu.RLock()
	defer c.mu.RUnlock()
	total := c.hosts.bytes()
	for k := range c.shards {
		for i := range c.shards[k] {
			total += c.shards[k][i].items.bytes()
		}
	}
	return total
}

// errMalformedSnapshot reports a snapshot chunk that cannot be parsed.
var errMalformedSnapshot = errors.New("snapshot chunk is malformed: fetch the snapshot from another peer")

// HasTeams reports whether the configuration has any team. Without teams no route
// needs a key.
func (t *Table) HasTeams() bool {
	c := t.content.Load()
	c.mu.RLock()
	defer c.mu.RUnlock()
	for i := range c.shards[record.KindTeam] {
		if c.shards[record.KindTeam][i].items.liveItems > 0 {
			return true
		}
	}
	return false
}
