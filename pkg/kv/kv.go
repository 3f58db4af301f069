// Package kv defines the interface to the platform's key-value service.
package kv

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

// Errors returned by a Store.
var (
	// ErrNotFound reports a key that does not exist.
	ErrNotFound = errors.New("key not found")
	// ErrUnavailable reports a call without a reply. A write may have taken effect.
	ErrUnavailable = errors.New("key-value service unavailable")
	// ErrLeaseNotFound reports a lease that has expired or was revoked.
	ErrLeaseNotFound = errors.New("lease not found")
)

// LeaseID identifies a lease. Zero means no lease.
type LeaseID int64

// Pair is one key with its value and the store revisions of its creation and its
// last change.
type Pair struct {
	Key            string
	Value          []byte
	CreateRevision int64
	ModRevision    int64
	Lease          LeaseID
}

// Compare is a condition of a transaction: the key's ModRevision equals the
// given one. Zero means that the key does not exist.
type Compare struct {
	Key         string
	ModRevision int64
}

// OpType is the kind of an operation.
type OpType uint8

// Kinds of operations.
const (
	OpPut OpType = iota + 1
	OpDelete
)

// Op is one write of a transaction. A put attaches the key to Lease, so that it is
// deleted when the lease ends; zero attaches it to none.
type Op struct {
	Type  OpType
	Key   string
	Value []byte
	Lease LeaseID
}

// Txn writes all Ops if all Compares hold. Otherwise it reads the keys in
// OnFailure. Each key may occur once in Ops.
type Txn struct {
	Compares  []Compare
	Ops       []Op
	OnFailure []string
}

// TxnResult is the result of a transaction.
type TxnResult struct {
	// Succeeded is true if the compares held and the ops were applied.
	Succeeded bool
	// Revision is the store revision after the transaction.
	Revision int64
	// Read holds the existing pairs among OnFailure if the compares did not hold.
	Read []Pair
}

// EventType is the kind of a watch event.
type EventType uint8

// Kinds of watch events.
const (
	EventPut EventType = iota + 1
	EventDelete
)

// Event is one change of a watched key.
type Event struct {
	Type EventType
	Pair Pair
}

// Store is the key-value service. Every method honours the context's deadline
// and applies one of its own if there is none. Every method returns
// ErrUnavailable if no reply arrived in time.
type Store interface {
	// Get returns the pair of a key, or ErrNotFound.
	Get(ctx context.Context, key string) (Pair, error)
	// List returns the pairs under prefix and the store revision.
	List(ctx context.Context, prefix string) ([]Pair, int64, error)
	// Txn runs a transaction. It returns ErrLeaseNotFound, without effect, if an op
	// names a lease that does not exist.
	Txn(ctx context.Context, t Txn) (TxnResult, error)
	// Grant returns a new lease that expires after ttl unless it is renewed.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// KeepAlive renews a lease and returns its full time to live, or
	// ErrLeaseNotFound.
	KeepAlive(ctx context.Context, id LeaseID) (time.Duration, error)
	// Revoke ends a lease and deletes its keys. It returns ErrLeaseNotFound for a
	// lease that has ended already.
	Revoke(ctx context.Context, id LeaseID) error
	// Watch delivers changes under prefix from revision on. The channel is
	// closed on error, on silence of the connection, and when ctx ends.
	Watch(ctx context.Context, prefix string, revision int64) (<-chan Event, error)
}
