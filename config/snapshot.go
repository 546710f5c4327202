package config

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"

	"github.com/go-faster/errors"
	"github.com/klauspost/compress/gzip"

	"chestnutlatch/ident"
	"chestnutlatch/record"
	"chestnutlatch/store"
)

const (
	snapshotHeadKey = "config/snap_head"
	// snapshotChunkBytes is the maximum size of a chunk. It is below the store's
	// limit for a value.
	snapshotChunkBytes = 900 << 10
)

// snapshotHead identifies the newest complete snapshot.
type snapshotHead struct {
	Revision ident.Revision `json:"revision"`
	Chunks   int            `json:"chunks"`
}

func snapshotChunkKey(rev ident.Revision, i int) string {
	return fmt.Sprintf("config/snap/%016x/%04d", uint64(rev), i)
}

// WriteSnapshot stores the state as a snapshot. A reader of the snapshot needs
// only the log entries after it. A chunk that the store already has for this
// revision is not written again. The snapshot head is written after all chunks and
// never moves to an older revision.
func WriteSnapshot(ctx context.Context, st store.Store, s *State) error {
	chunks, err := encodeState(s)
	if err != nil {
		return err
	}
	for i, chunk := range chunks {
		_, err := st.Swap(ctx, snapshotChunkKey(s.Revision, i), store.Absent, chunk, store.NoLease)
		var conflict *store.ConflictError
		if err != nil && !errors.As(err, &conflict) {
			return err
		}
	}
	return advanceHead(ctx, st, snapshotHead{Revision: s.Revision, Chunks: len(chunks)})
}

// advanceHead writes the snapshot head unless the stored one is as new or newer.
func advanceHead(ctx context.Context, st store.Store, next snapshotHead) error {
	current, rev, err := readHead(ctx, st)
	if err != nil {
		return err
	}
	if current.Revision >= next.Revision {
		return nil
	}
	value, err := json.Marshal(next)
	if err != nil {
		return errors.Wrap(err, "encode snapshot head")
	}
	_, err = st.Swap(ctx, snapshotHeadKey, rev, value, store.NoLease)
	return err
}

// readHead returns the snapshot head and the store revision of its key. Without a
// snapshot both are zero.
func readHead(ctx context.Context, st store.Store) (snapshotHead, store.Revision, error) {
	var h snapshotHead
	e, err := st.Get(ctx, snapshotHeadKey)
	if store.IsNotFound(err) {
		return h, store.Absent, nil
	}
	if err != nil {
		return h, 0, err
	}
	err = json.Unmarshal(e.Value, &h)
	if err != nil {
		return h, e.Revision, errors.Wrap(err, "decode snapshot head")
	}
	return h, e.Revision, nil
}

// loadSnapshot returns the state of the newest snapshot, which is empty if there
// is none.
func loadSnapshot(ctx context.Context, st store.Store) (*State, error) {
	s := NewState()
	rev, err := StreamSnapshot(ctx, st, func(it Item) error {
		s.items[itemKey{it.Kind, it.ID}] = it
		return nil
	})
	s.Revision = rev
	return s, err
}

// StreamSnapshot reads the newest snapshot and calls fn for each of its records
// without keeping all of them in memory. It stops at the first error of fn and
// returns it. It also returns the snapshot's revision, 0 if there is no snapshot.
func StreamSnapshot(ctx context.Context, st store.Store, fn func(Item) error) (ident.Revision, error) {
	h, _, err := readHead(ctx, st)
	if err != nil || h.Chunks == 0 {
		return 0, err
	}
	return h.Revision, decodeItems(&chunkReader{ctx: ctx, st: st, head: h}, fn)
}

// chunkReader is an io.Reader over the concatenated chunks of a snapshot.
type chunkReader struct {
	ctx  context.Context
	st   store.Store
	head snapshotHead
	// next is the index of the next chunk to fetch.
	next int
	// rest is the unread part of the current chunk.
	rest []byte
}

// Read implements io.Reader.
func (r *chunkReader) Read(b []byte) (int, error) {
	for len(r.rest) == 0 {
		if r.next == r.head.Chunks {
			return 0, io.EOF
		}
		e, err := r.st.Get(r.ctx, snapshotChunkKey(r.head.Revision, r.next))
		if err != nil {
			return 0, errors.Wrapf(err, "snapshot at revision %d: read chunk %d", r.head.Revision, r.next)
		}
		r.next++
		r.rest = e.Value
	}
	n := copy(b, r.rest)
	r.rest = r.rest[n:]
	return n, nil
}

// encodeState encodes the state as gzipped JSON lines, sorted by kind and id, and
// cuts the result into chunks.
func encodeState(s *State) ([][]byte, error) {
	var buf bytes.Buffer
	zw := gzip.NewWriter(&buf)
	enc := json.NewEncoder(zw)
	for k := range record.Kind(record.KindCount) {
		for _, it := range s.List(k) {
			if err := enc.Encode(it); err != nil {
				return nil, errors.Wrap(err, "encode snapshot")
			}
		}
	}
	if err := zw.Close(); err != nil {
		return nil, errors.Wrap(err, "compress snapshot")
	}
	var chunks [][]byte
	for buf.Len() > 0 {
		chunks = append(chunks, append([]byte(nil), buf.Next(snapshotChunkBytes)...))
	}
	return chunks, nil
}

// decodeItems calls fn for each item in the output of encodeState.
func decodeItems(r io.Reader, fn func(Item) error) error {
	zr, err := gzip.NewReader(r)
	if err != nil {
		return errors.Wrap(err, "decompress snapshot")
	}
	dec := json.NewDecoder(zr)
	for {
		var it Item
		err := dec.Decode(&it)
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return errors.Wrap(err, "decode snapshot")
		}
		if err := fn(it); err != nil {
			return err
		}
	}
}
