// Package store defines the interface to the platform's key-value store, its
// errors, and a gRPC client. One revision counter covers all writes, a write is a
// compare-and-swap on the revision of a key, the keys of a lease are removed when
// the lease ends, and a watch delivers events in revision order. The daemon and
// the operators' commands use it.
package store

import (
	"context"
	"fmt"

	"github.com/go-faster/errors"
)

//go:generate enumer -type=Cause -transform=snake -trimprefix=Cause -output=store_enumer.go

// Revision is the value of the store's write counter after a write, with the era of the
// store above it. A store that comes back from an older copy counts its writes again from
// there, in a new era; every revision of a later era is higher than those of earlier ones.
type Revision uint64

// revisionNumberBits is the number of low bits of a Revision that hold the store's write
// counter. The rest holds the era.
const revisionNumberBits = 48

// Era numbers the times that the store came back from an older copy.
type Era uint16

// MakeRevision returns the revision of a write counter in an era. It drops the bits of
// number that do not fit.
func MakeRevision(era Era, number uint64) Revision {
	return Revision(uint64(era)<<revisionNumberBits | number&(1<<revisionNumberBits-1))
}

// Era returns the era of the store in which the revision was made.
func (r Revision) Era() Era { return Era(r >> revisionNumberBits) }

// Number returns the store's write counter.
func (r Revision) Number() uint64 { return uint64(r) & (1<<revisionNumberBits - 1) }

// LeaseID identifies a lease.
type LeaseID uint64

// EraSource is implemented by a Store that numbers its eras. A Store that does not
// implement it stays in era 0.
type EraSource interface {
	// Era returns the highest era that a response has shown, 0 before the first one.
	Era() Era
	// OnEra registers a function that is called once for each change to a higher era,
	// in order and not from the goroutine of a call. The era of the first response is
	// not a change.
	OnEra(fn func(Era))
}

// CallSource is implemented by a Store that reports each call that it sends.
type CallSource interface {
	// OnCall registers a function that is called with the operation of each call. Calls
	// of different operations may have different prices. It must be registered before the
	// first call.
	OnCall(fn func(op string))
}

// Absent is the expected revision for writing a key that must not exist yet.
const Absent Revision = 0

// NoLease is the lease argument for a key that does not expire.
const NoLease LeaseID = 0

// MaxValueBytes is the maximum size of a value.
const MaxValueBytes = 1 << 20

// Entry is a key with its value and the revision of its last write.
type Entry struct {
	Key      string
	Value    []byte
	Revision Revision
}

// Event is a write or removal of a key, as delivered by a watch.
type Event struct {
	Entry   Entry
	Removed bool
}

// Store is a key-value store. Every call may return an *UnavailableError; its
// MayHaveRun method reports whether a write can have taken effect.
type Store interface {
	// Get returns an entry, or a *NotFoundError.
	Get(ctx context.Context, key string) (Entry, error)
	// List returns the entries whose key starts with prefix and is greater
	// than after, in key order, at most limit of them, and the store's current
	// revision. limit must be above 0, because implementations treat 0 differently.
	List(ctx context.Context, prefix, after string, limit int) ([]Entry, Revision, error)
	// ListStale is like List but may return data that is some seconds old. It
	// is cheaper on platforms that support such reads.
	ListStale(ctx context.Context, prefix, after string, limit int) ([]Entry, Revision, error)
	// Swap writes value if the key is at the expected revision and returns the
	// new revision. Otherwise it returns a *ConflictError with the current
	// entry, or a *LeaseLostError if the lease has ended.
	Swap(ctx context.Context, key string, expected Revision, value []byte, lease LeaseID) (Revision, error)
	// Remove deletes the key if it is at the expected revision. Otherwise it
	// returns a *ConflictError.
	Remove(ctx context.Context, key string, expected Revision) error
	// Grant creates a lease that ends ttlMillis milliseconds after its last
	// renewal.
	Grant(ctx context.Context, ttlMillis uint32) (LeaseID, error)
	// Renew extends a lease. It returns a *LeaseLostError if the lease has
	// ended.
	Renew(ctx context.Context, lease LeaseID) error
	// Watch calls fn in revision order for each event on a key that starts with
	// prefix, beginning after the given revision, until ctx ends or the store
	// fails. It returns a *CompactedError if the store no longer has all events
	// after that revision.
	Watch(ctx context.Context, prefix string, after Revision, fn func(Event)) error
}

// NotFoundError reports a key that does not exist.
type NotFoundError struct {
	Key string
}

// Error returns the message with the key.
func (e *NotFoundError) Error() string {
	return fmt.Sprintf("store key %q does not exist: check the name with a list command", e.Key)
}

// IsNotFound reports whether err is or wraps a *NotFoundError.
func IsNotFound(err error) bool {
	var notFound *NotFoundError
	return errors.As(err, &notFound)
}

// ConflictError reports that a key was not at the expected revision.
type ConflictError struct {
	Key string
	// Want is the expected revision.
	Want Revision
	// Current is the entry found; its Revision is Absent if the key does not
	// exist.
	Current Entry
}

// Error returns the message with the key and both revisions.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("store key %q is at revision %d, expected %d: read the key again and repeat the change",
		e.Key, e.Current.Revision, e.Want)
}

// Cause is the way in which a call to the store failed.
type Cause int

// Causes of a failed call.
const (
	// CauseSilent means that no reply arrived in time. The call may still run.
	CauseSilent Cause = iota
	// CauseReset means that the connection broke. The call may have run.
	CauseReset
	// CauseDown means that the store refused the call and did nothing.
	CauseDown
	// CauseThrottled means that the call exceeded a rate limit of the store or
	// the client and did nothing.
	CauseThrottled
	// CauseMalformed means that the reply could not be decoded. The call may
	// have run.
	CauseMalformed
	// CauseOldEra means that the reply is not valid in the newest era of the store. The
	// call may have run in an earlier era, or in the newest one against revisions or
	// leases of an earlier one.
	CauseOldEra
)

// UnavailableError reports a call to the store that failed.
type UnavailableError struct {
	// Op is the operation, such as get or list.
	Op  string
	Err error
	// Cause is the way in which the call failed. Client does not distinguish the
	// causes and always leaves CauseSilent.
	Cause Cause
}

// MayHaveRun reports whether the call may have taken effect or may still do so.
func (e *UnavailableError) MayHaveRun() bool {
	return e.Cause != CauseDown && e.Cause != CauseThrottled
}

// CompactedError reports that the store no longer has all events after the
// revision at which a watch was to begin.
type CompactedError struct {
	After Revision
}

// Error returns the message with the revision.
func (e *CompactedError) Error() string {
	return fmt.Sprintf("store no longer has all events after revision %d: list the keys again", e.After)
}

// Error returns the message with the operation, its cause and the wrapped error.
func (e *UnavailableError) Error() string {
	return fmt.Sprintf("store call %s failed (%s: %v): check the store's address (--store or [store] address) and the platform's status, then try again", e.Op, e.Cause, e.Err)
}

// Unwrap returns Err.
func (e *UnavailableError) Unwrap() error {
	return e.Err
}

// LeaseLostError reports a lease that has ended.
type LeaseLostError struct {
	Lease LeaseID
}

// Error returns the message with the lease.
func (e *LeaseLostError) Error() string {
	return fmt.Sprintf("store lease %d has ended: request a new lease", e.Lease)
}
