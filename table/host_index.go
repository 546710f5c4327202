package table

import (
	"strings"

	"chestnutlatch/ident"
)

// hostIndex maps a host and path prefix to a route id. An item is the host, the
// prefix and the route id, joined by zero bytes. It is not safe for concurrent use.
type hostIndex struct {
	items *arena
}

func (x *hostIndex) init() {
	x.items = newArena(func(item []byte) uint64 {
		s := string(item)
		return hashString(s[:strings.LastIndexByte(s, 0)])
	})
}

// hostKey returns the part of an item before the route id.
func hostKey(host, prefix string) string {
	return host + "\x00" + prefix
}

// matchHostKey returns a match function for items with the given key.
func matchHostKey(key string) func([]byte) bool {
	return func(item []byte) bool {
		return len(item) > len(key) && item[len(key)] == 0 && string(item[:len(key)]) == key
	}
}

// put adds or replaces the route of a host and prefix.
func (x *hostIndex) put(host, prefix string, id ident.Route) {
	key := hostKey(host, prefix)
	if _, slot := x.items.find(hashString(key), matchHostKey(key)); slot >= 0 {
		x.items.remove(slot)
	}
	x.items.insert([]byte(key + "\x00" + string(id)))
}

// get returns the route of exactly this host and prefix.
func (x *hostIndex) get(host, prefix string) (ident.Route, bool) {
	key := hostKey(host, prefix)
	item, slot := x.items.find(hashString(key), matchHostKey(key))
	if slot < 0 {
		return "", false
	}
	return ident.Route(item[len(key)+1:]), true
}

// remove deletes the item of a host and prefix if it maps to the given route.
func (x *hostIndex) remove(host, prefix string, id ident.Route) {
	key := hostKey(host, prefix)
	item, slot := x.items.find(hashString(key), matchHostKey(key))
	if slot >= 0 && string(item[len(key)+1:]) == string(id) {
		x.items.remove(slot)
	}
}

func (x *hostIndex) bytes() int {
	return x.items.bytes()
}
