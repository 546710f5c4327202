// Package store is the interface to the platform's key-value store and its
// client. The semantics are the customary ones: one revision counts all
// writes, compare-and-swap is on a key's revision, a lease removes its keys
// when it ends, and a watch delivers events in revision order.
package store

import (
	"context"
	"fmt"

	"github.com/go-faster/errors"
)

//go:generate enumer -type=Cause -transform=snake -trimprefix=Cause -output=store_enumer.go

// Revision is the store's own write counter.
type Revision uint64

// LeaseID names a lease.
type LeaseID uint64

// Absent is the revision to expect of a key that must not exist.
const Absent Revision = 0

// NoLease writes a key that lasts.
const NoLease LeaseID = 0

// MaxValueBytes is the largest value the store holds.
const MaxValueBytes = 1 << 20

// Entry is one key with its value and the revision of its last write.
type Entry struct {
	Key      string
	Value    []byte
	Revision Revision
}

// Event is one change that a watch delivers.
type Event struct {
	Entry   Entry
	Removed bool
}

// Store is the key-value store. Every call may fail with an UnavailableError,
// after which a write may or may not have taken effect.
type Store interface {
	// Get returns an entry, or a NotFoundError.
	Get(ctx context.Context, key string) (Entry, error)
	// List returns at most limit entries whose key starts with prefix and
	// sorts behind after, in key order, with the store's revision.
	List(ctx context.Context, prefix, after string, limit int) ([]Entry, Revision, error)
	// ListStale is List, cheaper where the platform offers it, with a result
	// that may be seconds old.
	ListStale(ctx context.Context, prefix, after string, limit int) ([]Entry, Revision, error)
	// Swap writes value if the key is at revision want; else it returns a
	// ConflictError with the current entry.
	Swap(ctx context.Context, key string, want Revision, value []byte, lease LeaseID) (Revision, error)
	// Remove deletes the key if it is at revision want.
	Remove(ctx context.Context, key string, want Revision) error
	// Grant opens a lease that ends ttlMillis after its last renewal.
	Grant(ctx context.Context, ttlMillis uint32) (LeaseID, error)
	// Renew extends a lease, or returns a LeaseLostError.
	Renew(ctx context.Context, lease LeaseID) error
	// Watch calls fn for each event after the given revision until ctx ends
	// or the store fails. It returns a CompactedError if the events after the
	// revision are gone.
	Watch(ctx context.Context, prefix string, after Revision, fn func(Event)) error
}

// NotFoundError reports a key that does not exist.
type NotFoundError struct {
	Key string
}

// Error names the key.
func (e *NotFoundError) Error() string {
	return fmt.Sprintf("store key %q does not exist: check the name with the list command", e.Key)
}

// IsNotFound reports whether an error says that a key does not exist.
func IsNotFound(err error) bool {
	var missing *NotFoundError
	return errors.As(err, &missing)
}

// ConflictError reports a compare-and-swap that lost.
type ConflictError struct {
	Key     string
	Want    Revision
	Current Entry
}

// Error names the key and both revisions.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("store key %q is at revision %d, not %d: read it again and repeat the change",
		e.Key, e.Current.Revision, e.Want)
}

// Cause tells how a call to the store failed.
type Cause int

// Causes of a failed call.
const (
	// CauseSilent is a call without an answer in time. It may still run.
	CauseSilent Cause = iota
	// CauseReset is a connection that broke. The call may have run.
	CauseReset
	// CauseDown is the store's word that it did nothing.
	CauseDown
	// CauseThrottled is a call over the store's rate, which did nothing.
	CauseThrottled
	// CauseMalformed is an answer that cannot be read. The call may have run.
	CauseMalformed
)

// UnavailableError reports that the store did not answer.
type UnavailableError struct {
	Op    string
	Err   error
	Cause Cause
}

// MayHaveRun reports whether the call can have taken effect, now or later.
func (e *UnavailableError) MayHaveRun() bool {
	return e.Cause != CauseDown && e.Cause != CauseThrottled
}

// CompactedError reports a watch from a revision that the store has dropped.
type CompactedError struct {
	After Revision
}

// Error names the revision.
func (e *CompactedError) Error() string {
	return fmt.Sprintf("store has dropped the events after revision %d: list the keys again", e.After)
}

// Error names the operation and the cause.
func (e *UnavailableError) Error() string {
	return fmt.Sprintf("store did not answer %s (%s: %v): check store_address and the platform's status, then repeat", e.Op, e.Cause, e.Err)
}

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error {
	return e.Err
}

// LeaseLostError reports a lease that has ended.
type LeaseLostError struct {
	Lease LeaseID
}

// Error names the lease.
func (e *LeaseLostError) Error() string {
	return fmt.Sprintf("store lease %d has ended: ask for a new one", e.Lease)
}
