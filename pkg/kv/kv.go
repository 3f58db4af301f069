// Package kv defines the interface to the platform's key-value service.
package kv

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

// Errors returned by a Store.
var (
	// ErrNotFound means that the key does not exist.
	ErrNotFound = errors.New("key not found")
	// ErrUnavailable means that a call got no reply. A write may have taken effect
	// nevertheless.
	ErrUnavailable = errors.New("key-value service unavailable")
	// ErrLeaseNotFound means that the lease does not exist, has expired or was revoked.
	ErrLeaseNotFound = errors.New("lease not found")
)

// LeaseID identifies a lease. Zero means no lease.
type LeaseID int64

// Pair is one key with its value, the store revisions of its creation and of its
// last change, and the lease that it is attached to.
type Pair struct {
	Key            string
	Value          []byte
	CreateRevision int64
	ModRevision    int64
	Lease          LeaseID
}

// Compare is a condition of a transaction: the ModRevision of Key is the given one.
// Zero means that the key does not exist.
type Compare struct {
	Key         string
	ModRevision int64
}

// OpType is the kind of a write operation.
type OpType uint8

// Write operations.
const (
	OpPut OpType = iota + 1
	OpDelete
)

// Op is one write operation of a transaction. A put attaches the key to Lease, unless
// it is zero; the key is deleted when the lease ends.
type Op struct {
	Type  OpType
	Key   string
	Value []byte
	Lease LeaseID
}

// Txn is an atomic transaction. It applies all Ops if all Compares hold, otherwise it
// reads the keys in OnFailure. A key must not occur more than once in Ops.
type Txn struct {
	Compares  []Compare
	Ops       []Op
	OnFailure []string
}

// TxnResult is the result of a transaction.
type TxnResult struct {
	// Succeeded is true if all Compares held and the Ops were applied.
	Succeeded bool
	// Revision is the store revision after the transaction.
	Revision int64
	// Read holds the pairs of the keys in OnFailure that exist, if a Compare did not
	// hold.
	Read []Pair
}

// EventType is the kind of a watch event.
type EventType uint8

// Kinds of watch events.
const (
	EventPut EventType = iota + 1
	EventDelete
	// EventProgress means that all changes up to Pair.ModRevision have been delivered. Pair
	// has no key.
	EventProgress
	// EventCompacted means that changes since the start of the watch are not available any
	// more. It is the last event of a watch, and Pair is empty.
	EventCompacted
	// EventUnresponsive means that the store has not responded in time. It is the last event
	// of a watch, and Pair is empty.
	EventUnresponsive
)

// Event is one change of a watched key, or news of the watch itself.
type Event struct {
	Type EventType
	Pair Pair
}

// Store is a client of the key-value service. Every method observes the deadline of the
// context and sets a default one if there is none. Every method returns
// ErrUnavailable if no reply arrives in time.
type Store interface {
	// Get returns the pair of a key, or ErrNotFound.
	Get(ctx context.Context, key string) (Pair, error)
	// List returns the pairs whose keys start with prefix, and the store revision.
	List(ctx context.Context, prefix string) ([]Pair, int64, error)
	// Txn runs a transaction. If an Op refers to a lease that does not exist, it
	// returns ErrLeaseNotFound and the transaction has no effect.
	Txn(ctx context.Context, t Txn) (TxnResult, error)
	// Grant creates a lease that expires after ttl unless it is renewed.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// KeepAlive renews a lease and returns its full time to live, or
	// ErrLeaseNotFound.
	KeepAlive(ctx context.Context, id LeaseID) (time.Duration, error)
	// Revoke ends a lease and deletes the keys attached to it. It returns
	// ErrLeaseNotFound if the lease has already ended.
	Revoke(ctx context.Context, id LeaseID) error
	// Watch delivers the changes of keys that start with prefix, beginning with the
	// given store revision. The channel is closed after an error, if no message
	// arrives on the connection for some time, and when ctx ends. Some stores also deliver
	// EventProgress, EventCompacted and EventUnresponsive.
	Watch(ctx context.Context, prefix string, revision int64) (<-chan Event, error)
}
