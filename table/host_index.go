package table

import (
	"strings"
	"sync"

	"chestnutlatch/ident"
)

// hostIndex finds route ids by host and prefix. An item is host, prefix and
// route id joined by zero bytes.
type hostIndex struct {
	mu    sync.RWMutex
	items *arena
}

func (x *hostIndex) init() {
	x.items = newArena(func(item []byte) uint64 {
		s := string(item)
		return hashString(s[:strings.LastIndexByte(s, 0)])
	})
}

func hostKey(host, prefix string) string {
	return host + "\x00" + prefix
}

func startsWith(key string) func([]byte) bool {
	return func(it []byte) bool {
		return len(it) > len(key) && it[len(key)] == 0 && string(it[:len(key)]) == key
	}
}

func (x *hostIndex) put(host, prefix string, id ident.Route) {
	key := hostKey(host, prefix)
	x.mu.Lock()
	defer x.mu.Unlock()
	if _, slot := x.items.find(hashString(key), startsWith(key)); slot >= 0 {
		x.items.remove(slot)
	}
	x.items.insert([]byte(key + "\x00" + string(id)))
}

func (x *hostIndex) get(host, prefix string) (ident.Route, bool) {
	key := hostKey(host, prefix)
	x.mu.RLock()
	defer x.mu.RUnlock()
	it, slot := x.items.find(hashString(key), startsWith(key))
	if slot < 0 {
		return "", false
	}
	return ident.Route(it[len(key)+1:]), true
}

// remove drops the entry if it still names the given route.
func (x *hostIndex) remove(host, prefix string, id ident.Route) {
	key := hostKey(host, prefix)
	x.mu.Lock()
	defer x.mu.Unlock()
	it, slot := x.items.find(hashString(key), startsWith(key))
	if slot >= 0 && string(it[len(key)+1:]) == string(id) {
		x.items.remove(slot)
	}
}

func (x *hostIndex) bytes() int {
	x.mu.RLock()
	defer x.mu.RUnlock()
	return x.items.bytes()
}
