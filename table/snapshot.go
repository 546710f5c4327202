package table

import (
	"encoding/binary"

	"chestnutlatch/config"
	"chestnutlatch/ident"
	"chestnutlatch/record"
)

// snapshotChunkBytes is the size at which a chunk is passed on. A chunk may exceed it
// by the items of one shard.
const snapshotChunkBytes = 256 << 10

// Snapshot calls fn with chunks that together hold all records at one revision. The
// last chunk may be empty. CallerLimits are not part of the chunks. Snapshot returns
// the first error of fn.
//
// fn must not keep the chunk, and must not call the table's Apply, Install, Changes or
// Skipped, which would deadlock.
func (t *Table) Snapshot(fn func(rev ident.Revision, chunk []byte) error) error {
	t.applyMu.Lock()
	defer t.applyMu.Unlock()
	rev := t.Revision()
	var buf []byte
	var err error
	c := t.content.Load()
	for k := range c.shards {
		for i := range c.shards[k] {
			c.shards[k][i].items.each(func(item []byte) {
				buf = appendSnapshotItem(buf, record.Kind(k), item)
			})
			if len(buf) >= snapshotChunkBytes && err == nil {
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

// appendSnapshotItem appends the kind, the length in two bytes and the item.
func appendSnapshotItem(b []byte, k record.Kind, item []byte) []byte {
	b = append(b, byte(k))
	b = binary.LittleEndian.AppendUint16(b, uint16(len(item)))
	return append(b, item...)
}

// Builder collects the records of a configuration until Table.Install puts them in
// force. It is not safe for concurrent use.
type Builder struct {
	table *Table
	rev   ident.Revision
}

// NewBuilder returns an empty Builder.
func NewBuilder() *Builder {
	return &Builder{table: New()}
}

// AddChunk reads one chunk of a peer's snapshot at a revision. After an error the
// builder holds part of the chunk and must be discarded.
func (b *Builder) AddChunk(rev ident.Revision, chunk []byte) error {
	// A header is the kind and the item's length.
	const headerBytes = 3
	for len(chunk) > 0 {
		if len(chunk) < headerBytes {
			return errMalformedSnapshot
		}
		n := headerBytes + int(binary.LittleEndian.Uint16(chunk[1:]))
		k := record.Kind(chunk[0])
		if len(chunk) < n || !k.IsAKind() {
			return errMalformedSnapshot
		}
		if err := b.addCompact(k, chunk[headerBytes:n]); err != nil {
			return err
		}
		chunk = chunk[n:]
	}
	b.rev = rev
	return nil
}

// addCompact adds a record in compact form. A raw record that comes with it has
// fields that the sending peer does not support. It is decoded again, since this
// daemon may support them.
func (b *Builder) addCompact(k record.Kind, item []byte) error {
	body, raw, err := record.ParseCompact(k, item)
	if err != nil {
		return err
	}
	if decoded, err := record.Decode(k, record.IDOf(body), raw); len(raw) > 0 && err == nil {
		body = decoded
	}
	b.insert(body, raw)
	return nil
}

// AddItem adds one record of the store's snapshot. A record that cannot be decoded or
// is too large is skipped and counted. The error is always nil.
func (b *Builder) AddItem(item config.Item) error {
	b.table.skipped += b.table.content.Load().applyItem(record.Item{Kind: item.Kind, ID: item.ID, After: item.Record})
	return nil
}

// Put adds a record that the caller has decoded and checked. A record that is too
// large is skipped and counted.
func (b *Builder) Put(body record.Body) { b.insert(body, nil) }

// insert adds a record. One that is too large is skipped and counted.
func (b *Builder) insert(body record.Body, raw []byte) {
	b.table.skipped += b.table.content.Load().insert(body, raw)
}

// SetCallerLimits sets the limits on callers.
func (b *Builder) SetCallerLimits(l record.CallerLimits) { b.table.content.Load().limits = l }

// Revision returns the revision of the records; 0 if none was set.
func (b *Builder) Revision() ident.Revision { return b.rev }

// SetRevision sets the revision of the records.
func (b *Builder) SetRevision(rev ident.Revision) { b.rev = rev }

// Install replaces the table's content with the builder's if that has a higher
// revision, and reports whether it did. The builder must not be used afterwards.
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

// Skipped returns the number of records that were left out because they could not be
// decoded or were too large. It counts those of the last installed snapshot and of the
// changes since then.
func (t *Table) Skipped() int {
	t.applyMu.Lock()
	defer t.applyMu.Unlock()
	return t.skipped
}
