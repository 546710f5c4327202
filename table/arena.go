// Package table holds a daemon's copy of the configuration in memory. It applies
// changes in revision order, loads and writes snapshots, and answers the lookups of
// each request: the team of a key, the route of a path and the settings of targets
// and services.
//
// Records are kept in compact form in byte arenas with open-addressed hash indexes,
// split into shards with one lock each.
package table

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

const (
	// slotEmpty and slotDeleted mark index slots without an item.
	slotEmpty   = 0
	slotDeleted = 1
	// firstOffset is the first offset of an item; those below are the two marks.
	firstOffset       = 2
	minSlots          = 8
	lengthPrefixBytes = 2
	// maxItemBytes is the size of the largest item whose length fits the prefix.
	maxItemBytes = 1<<16 - 1
)

// arena is a hash table of byte strings, found by hash and a match function. Items
// lie in one buffer without pointers, which the garbage collector does not scan.
type arena struct {
	// data holds the items, each after its length in lengthPrefixBytes bytes.
	data []byte
	// slots is the index: offsets into data, or slotEmpty or slotDeleted. Its
	// length is a power of two.
	slots []uint32
	// liveItems is the number of items that are not removed.
	liveItems int
	// usedSlots is the number of live and deleted slots; it is at most three
	// quarters of all.
	usedSlots int
	// deadBytes is the size of the removed items in data, with their lengths.
	deadBytes int
	// hash returns the hash of a stored item.
	hash func(item []byte) uint64
}

func newArena(hash func([]byte) uint64) *arena {
	return &arena{data: make([]byte, firstOffset), slots: make([]uint32, minSlots), hash: hash}
}

// itemAt returns the item at an offset into data.
func (a *arena) itemAt(off uint32) []byte {
	n := binary.LittleEndian.Uint16(a.data[off:])
	return a.data[off+lengthPrefixBytes : off+lengthPrefixBytes+uint32(n)]
}

// find probes from hash h for an item that match accepts and returns it with its
// slot, or nil and -1. match is also called for items with other hashes.
func (a *arena) find(h uint64, match func([]byte) bool) (item []byte, slot int) {
	mask := uint64(len(a.slots) - 1)
	for i := h & mask; ; i = (i + 1) & mask {
		off := a.slots[i]
		if off == slotEmpty {
			return nil, -1
		}
		if off == slotDeleted {
			continue
		}
		if item := a.itemAt(off); match(item) {
			return item, int(i)
		}
	}
}

// insert adds an item of at most maxItemBytes whose key must not be present. It
// rebuilds the arena if the index would be more than three quarters full.
func (a *arena) insert(item []byte) {
	if (a.usedSlots+1)*4 > len(a.slots)*3 {
		a.rebuild()
	}
	off := uint32(len(a.data))
	a.data = binary.LittleEndian.AppendUint16(a.data, uint16(len(item)))
	a.data = append(a.data, item...)
	a.indexItem(off, a.hash(item))
	a.liveItems++
}

// indexItem enters an offset into the index.
func (a *arena) indexItem(off uint32, h uint64) {
	mask := uint64(len(a.slots) - 1)
	i := h & mask
	for a.slots[i] != slotEmpty {
		i = (i + 1) & mask
	}
	a.slots[i] = off
	a.usedSlots++
}

// remove deletes the item in a slot. It rebuilds the arena if removed items take
// more than 4096 bytes and more than a quarter of data.
func (a *arena) remove(slot int) {
	a.deadBytes += lengthPrefixBytes + len(a.itemAt(a.slots[slot]))
	a.slots[slot] = slotDeleted
	a.liveItems--
	if a.deadBytes > len(a.data)/4 && a.deadBytes > 4096 {
		a.rebuild()
	}
}

// rebuild copies the live items into new memory, with the index at most three fifths
// full.
func (a *arena) rebuild() {
	old := *a
	size := minSlots
	for size*3 < (a.liveItems+1)*5 {
		size *= 2
	}
	a.data = make([]byte, firstOffset, len(old.data)-old.deadBytes+len(old.data)/8+64)
	a.slots = make([]uint32, size)
	a.liveItems, a.usedSlots, a.deadBytes = 0, 0, 0
	old.each(func(item []byte) { a.insert(item) })
}

// each calls fn for every live item.
func (a *arena) each(fn func([]byte)) {
	for _, off := range a.slots {
		if off >= firstOffset {
			fn(a.itemAt(off))
		}
	}
}

// bytes returns the allocated size of the data and the index, in bytes.
func (a *arena) bytes() int {
	return cap(a.data) + 4*cap(a.slots)
}

func hashString(s string) uint64 {
	return xxhash.Sum64String(s)
}
