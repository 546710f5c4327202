package table

import (
	"encoding/binary"

	"chestnutlatch/config"
	"chestnutlatch/ident"
	"chestnutlatch/record"
)

// snapChunkBytes is the size at which a snapshot chunk is handed over.
const snapChunkBytes = 256 << 10

// Snapshot calls fn with chunks of the whole configuration at one revision.
// fn must not keep the chunk.
func (t *Table) Snapshot(fn func(rev ident.Revision, chunk []byte) error) error {
	t.applyMu.Lock()
	defer t.applyMu.Unlock()
	rev := t.Revision()
	var buf []byte
	var err error
	c := t.content.Load()
	for k := range c.shards {
		for i := range c.shards[k] {
			c.shards[k][i].items.each(func(it []byte) {
				buf = appendSnapItem(buf, record.Kind(k), it)
			})
			if len(buf) >= snapChunkBytes && err == nil {
				err = fn(rev, buf)
				buf = buf[:0]
			}
		}
	}
	if err != nil {
		return err
	}
	return fn(rev, buf)
}

func appendSnapItem(b []byte, k record.Kind, item []byte) []byte {
	b = append(b, byte(k))
	b = binary.LittleEndian.AppendUint16(b, uint16(len(item)))
	return append(b, item...)
}

// Builder collects a snapshot's chunks before any of them is in force.
type Builder struct {
	table *Table
	rev   ident.Revision
}

// NewBuilder returns an empty Builder.
func NewBuilder() *Builder {
	return &Builder{table: New()}
}

// Add reads one chunk of a snapshot at a revision.
func (b *Builder) Add(rev ident.Revision, chunk []byte) error {
	const head = 3
	for len(chunk) > 0 {
		if len(chunk) < head {
			return errSnapshot
		}
		n := head + int(binary.LittleEndian.Uint16(chunk[1:]))
		k := record.Kind(chunk[0])
		if len(chunk) < n || !k.IsAKind() {
			return errSnapshot
		}
		if err := b.addItem(k, chunk[head:n]); err != nil {
			return err
		}
		chunk = chunk[n:]
	}
	b.rev = rev
	return nil
}

func (b *Builder) addItem(k record.Kind, item []byte) error {
	body, raw, err := record.ParseCompact(k, item)
	if err != nil {
		return err
	}
	if fresh, err := record.Decode(k, record.IDOf(body), raw); len(raw) > 0 && err == nil {
		body = fresh
	}
	b.table.insert(body, raw)
	return nil
}

// AddItem reads one record of the store's snapshot. A record that cannot be
// read is left out and counted.
func (b *Builder) AddItem(it config.Item) error {
	b.table.applyItem(record.Item{Kind: it.Kind, ID: it.ID, After: it.Record})
	return nil
}

// Put adds a record that was read and checked elsewhere.
func (b *Builder) Put(body record.Body) { b.table.insert(body, nil) }

// SetCallerLimits sets the bounds on callers.
func (b *Builder) SetCallerLimits(l record.CallerLimits) { b.table.content.Load().limits = l }

// Revision returns the revision of the records added so far.
func (b *Builder) Revision() ident.Revision { return b.rev }

// SetRevision sets the revision of the records added so far.
func (b *Builder) SetRevision(rev ident.Revision) { b.rev = rev }

// Install puts the collected snapshot in force if it is newer than the
// table's revision, and reports whether it did.
func (t *Table) Install(b *Builder) bool {
	t.applyMu.Lock()
	defer t.applyMu.Unlock()
	if b.rev <= t.Revision() {
		return false
	}
	t.content.Store(b.table.content.Load())
	t.history = nil
	t.skipped = b.table.skipped
	t.revision.Store(uint64(b.rev))
	return true
}

// Skipped returns the number of records that could not be read.
func (t *Table) Skipped() int {
	t.applyMu.Lock()
	defer t.applyMu.Unlock()
	return t.skipped
}
