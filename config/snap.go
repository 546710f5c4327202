package config

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"

	"chestnutlatch/ident"
	"chestnutlatch/record"
	"chestnutlatch/store"

	"github.com/go-faster/errors"
	"github.com/klauspost/compress/gzip"
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
	var missing *store.NotFoundError
	if errors.As(err, &missing) {
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
	h, _, err := readHead(ctx, st)
	if err != nil {
		return nil, err
	}
	s := NewState()
	s.Revision = h.Revision
	var packed bytes.Buffer
	for i := range h.Chunks {
		e, err := st.Get(ctx, snapChunkKey(h.Revision, i))
		if err != nil {
			return nil, errors.Wrapf(err, "snapshot %d chunk %d", h.Revision, i)
		}
		packed.Write(e.Value)
	}
	if h.Chunks == 0 {
		return s, nil
	}
	return s, unpackState(&packed, s)
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

func unpackState(r io.Reader, s *State) error {
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
		s.items[itemKey{it.Kind, it.ID}] = it
	}
}
