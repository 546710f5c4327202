package store

import (
	"context"
	"io"

	"github.com/go-faster/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"chestnutlatch/kvapi"
)

// maxMessageBytes is the maximum size of one reply. A page of a list has many
// values.
const maxMessageBytes = 32 << 20

// Client is a Store that uses the gRPC protocol of package kvapi. Every gRPC error
// becomes an UnavailableError with CauseSilent, whatever its code. It is safe for
// concurrent use.
type Client struct {
	conn *grpc.ClientConn
	kv   kvapi.KVClient
}

var _ Store = (*Client)(nil)

// Dial returns a Client for an address in the form ip:port. It connects in the
// background and does not wait for the store. The caller must close the Client.
func Dial(address string) (*Client, error) {
	conn, err := grpc.NewClient("passthrough:///"+address,
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessageBytes)),
	)
	if err != nil {
		return nil, errors.Wrapf(err, "store address %q is invalid, use the form ip:port", address)
	}
	return &Client{conn: conn, kv: kvapi.NewKVClient(conn)}, nil
}

// Close closes the connection.
func (c *Client) Close() error {
	return c.conn.Close()
}

// Get implements Store.
func (c *Client) Get(ctx context.Context, key string) (Entry, error) {
	r, err := c.kv.Get(ctx, &kvapi.GetRequest{Key: key})
	if err != nil {
		return Entry{}, &UnavailableError{Op: "get", Err: err}
	}
	if r.GetPair() == nil {
		return Entry{}, &NotFoundError{Key: key}
	}
	return entryFromPair(r.GetPair()), nil
}

// List implements Store.
func (c *Client) List(ctx context.Context, prefix, after string, limit int) ([]Entry, Revision, error) {
	r, err := c.kv.List(ctx, &kvapi.ListRequest{Prefix: prefix, After: after, Limit: uint32(limit)})
	if err != nil {
		return nil, 0, &UnavailableError{Op: "list", Err: err}
	}
	entries := make([]Entry, 0, len(r.GetPairs()))
	for _, p := range r.GetPairs() {
		entries = append(entries, entryFromPair(p))
	}
	return entries, Revision(r.GetRevision()), nil
}

// ListStale implements Store. It is the same as List because the protocol has no
// cheaper read.
func (c *Client) ListStale(ctx context.Context, prefix, after string, limit int) ([]Entry, Revision, error) {
	return c.List(ctx, prefix, after, limit)
}

// Swap implements Store.
func (c *Client) Swap(ctx context.Context, key string, expected Revision, value []byte, lease LeaseID) (Revision, error) {
	return c.swap(ctx, &kvapi.SwapRequest{Key: key, Want: uint64(expected), Value: value, Lease: uint64(lease)})
}

// Remove implements Store.
func (c *Client) Remove(ctx context.Context, key string, expected Revision) error {
	_, err := c.swap(ctx, &kvapi.SwapRequest{Key: key, Want: uint64(expected), Remove: true})
	return err
}

// swap sends a write or removal and converts the outcomes in the reply to errors.
func (c *Client) swap(ctx context.Context, req *kvapi.SwapRequest) (Revision, error) {
	r, err := c.kv.Swap(ctx, req)
	if err != nil {
		return 0, &UnavailableError{Op: "swap", Err: err}
	}
	if r.GetLeaseLost() {
		return 0, &LeaseLostError{Lease: LeaseID(req.GetLease())}
	}
	if !r.GetDone() {
		return 0, &ConflictError{Key: req.GetKey(), Want: Revision(req.GetWant()), Current: entryFromPair(r.GetCurrent())}
	}
	return Revision(r.GetRevision()), nil
}

// Grant implements Store.
func (c *Client) Grant(ctx context.Context, ttlMillis uint32) (LeaseID, error) {
	r, err := c.kv.Grant(ctx, &kvapi.GrantRequest{TtlMs: ttlMillis})
	if err != nil {
		return 0, &UnavailableError{Op: "grant", Err: err}
	}
	return LeaseID(r.GetLease()), nil
}

// Renew implements Store.
func (c *Client) Renew(ctx context.Context, lease LeaseID) error {
	r, err := c.kv.Renew(ctx, &kvapi.RenewRequest{Lease: uint64(lease)})
	if err != nil {
		return &UnavailableError{Op: "renew", Err: err}
	}
	if !r.GetAlive() {
		return &LeaseLostError{Lease: lease}
	}
	return nil
}

// Watch implements Store. It returns nil if the store closes the stream and an
// UnavailableError if ctx ends.
func (c *Client) Watch(ctx context.Context, prefix string, after Revision, fn func(Event)) error {
	stream, err := c.kv.Watch(ctx, &kvapi.WatchRequest{Prefix: prefix, After: uint64(after)})
	if err != nil {
		return &UnavailableError{Op: "watch", Err: err}
	}
	for {
		ev, err := stream.Recv()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return &UnavailableError{Op: "watch", Err: err}
		}
		fn(Event{Entry: entryFromPair(ev.GetPair()), Removed: ev.GetRemoved()})
	}
}

func entryFromPair(p *kvapi.Pair) Entry {
	return Entry{Key: p.GetKey(), Value: p.GetValue(), Revision: Revision(p.GetRevision())}
}
