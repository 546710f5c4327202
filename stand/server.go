package stand

import (
	"context"

	"github.com/go-faster/errors"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"chestnutlatch/kvapi"
	"chestnutlatch/store"
)

// StoreServer serves a MemoryStore over the gRPC protocol of kvapi. It is safe
// for concurrent use.
type StoreServer struct {
	kvapi.UnimplementedKVServer

	mem *MemoryStore
}

// NewStoreServer returns a server that answers from mem.
func NewStoreServer(mem *MemoryStore) *StoreServer {
	return &StoreServer{mem: mem}
}

// Get implements kvapi.KVServer. The reply to a missing key has no pair.
func (s *StoreServer) Get(ctx context.Context, r *kvapi.GetRequest) (*kvapi.GetReply, error) {
	e, err := s.mem.Get(ctx, r.GetKey())
	if store.IsNotFound(err) {
		return &kvapi.GetReply{}, nil
	}
	if err != nil {
		return nil, unavailable(err)
	}
	return &kvapi.GetReply{Pair: toPair(e)}, nil
}

// List implements kvapi.KVServer.
func (s *StoreServer) List(ctx context.Context, r *kvapi.ListRequest) (*kvapi.ListReply, error) {
	entries, rev, err := s.mem.List(ctx, r.GetPrefix(), r.GetAfter(), int(r.GetLimit()))
	if err != nil {
		return nil, unavailable(err)
	}
	out := &kvapi.ListReply{Revision: uint64(rev)}
	for _, e := range entries {
		out.Pairs = append(out.Pairs, toPair(e))
	}
	return out, nil
}

// Swap implements kvapi.KVServer for writes and removals. A conflict returns the
// current pair, a lost lease sets LeaseLost; neither is an error.
func (s *StoreServer) Swap(ctx context.Context, r *kvapi.SwapRequest) (*kvapi.SwapReply, error) {
	var rev store.Revision
	var err error
	if r.GetRemove() {
		err = s.mem.Remove(ctx, r.GetKey(), store.Revision(r.GetWant()))
	} else {
		rev, err = s.mem.Swap(ctx, r.GetKey(), store.Revision(r.GetWant()), r.GetValue(), store.LeaseID(r.GetLease()))
	}
	var conflict *store.ConflictError
	if errors.As(err, &conflict) {
		return &kvapi.SwapReply{Current: toPair(conflict.Current)}, nil
	}
	var lost *store.LeaseLostError
	if errors.As(err, &lost) {
		return &kvapi.SwapReply{LeaseLost: true}, nil
	}
	if err != nil {
		return nil, unavailable(err)
	}
	return &kvapi.SwapReply{Done: true, Revision: uint64(rev)}, nil
}

// Grant implements kvapi.KVServer.
func (s *StoreServer) Grant(ctx context.Context, r *kvapi.GrantRequest) (*kvapi.GrantReply, error) {
	id, err := s.mem.Grant(ctx, r.GetTtlMs())
	if err != nil {
		return nil, unavailable(err)
	}
	return &kvapi.GrantReply{Lease: uint64(id)}, nil
}

// Renew implements kvapi.KVServer. Alive is false for a lost lease.
func (s *StoreServer) Renew(ctx context.Context, r *kvapi.RenewRequest) (*kvapi.RenewReply, error) {
	err := s.mem.Renew(ctx, store.LeaseID(r.GetLease()))
	var lost *store.LeaseLostError
	if errors.As(err, &lost) {
		return &kvapi.RenewReply{}, nil
	}
	if err != nil {
		return nil, unavailable(err)
	}
	return &kvapi.RenewReply{Alive: true}, nil
}

// Watch implements kvapi.KVServer. It sends events until the client cancels, a
// send fails, or the store reports an error.
func (s *StoreServer) Watch(r *kvapi.WatchRequest, stream kvapi.KV_WatchServer) error {
	var sendErr error
	ctx, cancel := context.WithCancel(stream.Context())
	defer cancel()
	err := s.mem.Watch(ctx, r.GetPrefix(), store.Revision(r.GetAfter()), func(ev store.Event) {
		if sendErr = stream.Send(&kvapi.WatchEvent{Pair: toPair(ev.Entry), Removed: ev.Removed}); sendErr != nil {
			cancel()
		}
	})
	if sendErr != nil {
		return sendErr
	}
	return unavailable(err)
}

// unavailable converts an error of the store to the gRPC code Unavailable.
func unavailable(err error) error {
	return status.Error(codes.Unavailable, err.Error())
}

func toPair(e store.Entry) *kvapi.Pair {
	return &kvapi.Pair{Key: e.Key, Value: e.Value, Revision: uint64(e.Revision)}
}
