// Package table is a daemon's working copy of the configuration: compact
// records in byte arenas with open-addressed indexes, in shards, each under
// its own lock. It applies changes only in revision order.
package table

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

const (
	// slotEmpty and slotDead mark index slots without a record.
	slotEmpty = 0
	slotDead  = 1
	// firstOffset leaves room for the two marks.
	firstOffset  = 2
	minSlots     = 8
	lengthBytes  = 2
	maxItemBytes = 1<<16 - 1
)

// arena holds byte strings found by a hash and a match function. It has no
// pointers per item, so that the garbage collector does not walk it.
type arena struct {
	// data holds items, each behind its length in two bytes.
	data []byte
	// slots holds offsets into data; its length is a power of two.
	slots []uint32
	live  int
	// used counts live and dead slots; it stays under three quarters.
	used int
	// dead is the number of bytes in data of removed items.
	dead int
	// hash returns the hash of a stored item.
	hash func(item []byte) uint64
}

func newArena(hash func([]byte) uint64) *arena {
	return &arena{data: make([]byte, firstOffset), slots: make([]uint32, minSlots), hash: hash}
}

func (a *arena) at(off uint32) []byte {
	n := binary.LittleEndian.Uint16(a.data[off:])
	return a.data[off+lengthBytes : off+lengthBytes+uint32(n)]
}

// find returns the item and its slot, or nil.
func (a *arena) find(h uint64, match func([]byte) bool) (item []byte, slot int) {
	mask := uint64(len(a.slots) - 1)
	for i := h & mask; ; i = (i + 1) & mask {
		off := a.slots[i]
		if off == slotEmpty {
			return nil, -1
		}
		if off == slotDead {
			continue
		}
		if it := a.at(off); match(it) {
			return it, int(i)
		}
	}
}

// insert adds an item whose key is known to be absent.
func (a *arena) insert(item []byte) {
	if (a.used+1)*4 > len(a.slots)*3 {
		a.rebuild()
	}
	off := uint32(len(a.data))
	a.data = binary.LittleEndian.AppendUint16(a.data, uint16(len(item)))
	a.data = append(a.data, item...)
	a.place(off, a.hash(item))
	a.live++
}

func (a *arena) place(off uint32, h uint64) {
	mask := uint64(len(a.slots) - 1)
	i := h & mask
	for a.slots[i] != slotEmpty {
		i = (i + 1) & mask
	}
	a.slots[i] = off
	a.used++
}

// remove drops the item in a slot.
func (a *arena) remove(slot int) {
	a.dead += lengthBytes + len(a.at(a.slots[slot]))
	a.slots[slot] = slotDead
	a.live--
	if a.dead > len(a.data)/4 && a.dead > 4096 {
		a.rebuild()
	}
}

// rebuild copies the live items to fresh memory of the right size.
func (a *arena) rebuild() {
	old := *a
	size := minSlots
	for size*3 < (a.live+1)*5 {
		size *= 2
	}
	a.data = make([]byte, firstOffset, len(old.data)-old.dead+len(old.data)/8+64)
	a.slots = make([]uint32, size)
	a.live, a.used, a.dead = 0, 0, 0
	old.each(func(it []byte) { a.insert(it) })
}

// each calls fn for every live item.
func (a *arena) each(fn func([]byte)) {
	for _, off := range a.slots {
		if off >= firstOffset {
			fn(a.at(off))
		}
	}
}

// bytes returns the memory held, in bytes.
func (a *arena) bytes() int {
	return cap(a.data) + 4*cap(a.slots)
}

func hashString(s string) uint64 {
	return xxhash.Sum64String(s)
}
