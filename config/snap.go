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
	snapHeadKey = "config/snap_head"
	// snapChunkBytes keeps a chunk under the store's limit of a value.
	snapChunkBytes = 900 << 10
)

type snapHead struct {
	Revision ident.Revision `json:"revision"`
	Chunks   int            `json:"chunks"`
}

func snapChunkKey(rev ident.Revision, i int) string {
	return fmt.Sprintf("config/snap/%016x/%04d", uint64(rev), i)
}

// WriteSnapshot stores the folded state, so that a reader needs only the log
// behind it. The head moves only when every chunk is there, and only forward.
func WriteSnapshot(ctx context.Context, st store.Store, s *State) error {
	chunks, err := packState(s)
	if err != nil {
		return err
	}
	for i, chunk := range chunks {
		_, err := st.Swap(ctx, snapChunkKey(s.Revision, i), store.Absent, chunk, store.NoLease)
		var conflict *store.ConflictError
		if err != nil && !errors.As(err, &conflict) {
			return err
		}
	}
	return moveHead(ctx, st, snapHead{Revision: s.Revision, Chunks: len(chunks)})
}

func moveHead(ctx context.Context, st store.Store, next snapHead) error {
	cur, rev, err := readHead(ctx, st)
	if err != nil {
		return err
	}
	if cur.Revision >= next.Revision {
		return nil
	}
	value, err := json.Marshal(next)
	if err != nil {
		return errors.Wrap(err, "encode snapshot head")
	}
	_, err = st.Swap(ctx, snapHeadKey, rev, value, store.NoLease)
	return err
}

func readHead(ctx context.Context, st store.Store) (snapHead, store.Revision, error) {
	var h snapHead
	e, err := st.Get(ctx, snapHeadKey)
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

func loadSnapshot(ctx context.Context, st store.Store) (*State, error) {
	s := NewState()
	rev, err := Stream(ctx, st, func(it Item) error {
		s.items[itemKey{it.Kind, it.ID}] = it
		return nil
	})
	s.Revision = rev
	return s, err
}

// Stream reads the newest snapshot and calls fn for each of its records,
// without holding them all. It returns the snapshot's revision, 0 if there is
// none.
func Stream(ctx context.Context, st store.Store, fn func(Item) error) (ident.Revision, error) {
	h, _, err := readHead(ctx, st)
	if err != nil || h.Chunks == 0 {
		return 0, err
	}
	return h.Revision, unpack(&chunkReader{ctx: ctx, st: st, head: h}, fn)
}

// chunkReader reads the chunks of a snapshot one after another.
type chunkReader struct {
	ctx  context.Context
	st   store.Store
	head snapHead
	next int
	rest []byte
}

// Read implements io.Reader.
func (r *chunkReader) Read(b []byte) (int, error) {
	for len(r.rest) == 0 {
		if r.next == r.head.Chunks {
			return 0, io.EOF
		}
		e, err := r.st.Get(r.ctx, snapChunkKey(r.head.Revision, r.next))
		if err != nil {
			return 0, errors.Wrapf(err, "snapshot %d chunk %d", r.head.Revision, r.next)
		}
		r.next++
		r.rest = e.Value
	}
	n := copy(b, r.rest)
	r.rest = r.rest[n:]
	return n, nil
}

func packState(s *State) ([][]byte, error) {
	var buf bytes.Buffer
	zw := gzip.NewWriter(&buf)
	enc := json.NewEncoder(zw)
	for k := record.KindTeam; k <= record.KindService; k++ {
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
		chunks = append(chunks, append([]byte(nil), buf.Next(snapChunkBytes)...))
	}
	return chunks, nil
}

func unpack(r io.Reader, fn func(Item) error) error {
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
