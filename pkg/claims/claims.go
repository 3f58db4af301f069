// Package claims keeps one record per idempotency key in the key-value service,
// so that a repeated request finds the attempt of the first one.
package claims

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"github.com/fescuecourse/fescuecourse/pkg/ident"
	"github.com/fescuecourse/fescuecourse/pkg/kv"
)

// Defaults of the settings.
const (
	DefaultCallTimeout = 3 * time.Second
	// DefaultMaxGroup is below the service's limit of 128 operations in one
	// transaction.
	DefaultMaxGroup = 100
	// DefaultInFlight lets a second group proceed while one call is slow.
	DefaultInFlight = 2
	// claimCalls bounds the time of a claim in call time-outs: one for a group in
	// flight, and two for its own transaction and the repetition.
	claimCalls = 3
	keyPrefix  = "/fescue/claims/"
)

// Errors of results.
var (
	// ErrRecordRemoved reports a record that ended while it was claimed or taken over.
	ErrRecordRemoved = errors.New("claim record vanished")
	// ErrRecordReplaced reports a record that another request has taken over.
	ErrRecordReplaced = errors.New("claim record replaced")
	// ErrLateReply reports a claim whose reply came too late to rely on its lease.
	ErrLateReply = errors.New("reply to the claim came too late")
)

// Record is the stored claim of one idempotency key.
type Record struct {
	Request     ident.RequestID   `json:"request"`
	Endpoint    ident.EndpointID  `json:"endpoint"`
	Incarnation ident.Incarnation `json:"incarnation,string"`
	Attempt     uint32            `json:"attempt"`
	// EndpointClockMS is the endpoint's monotonic clock that the attempt echoes.
	EndpointClockMS uint64 `json:"endpoint_clock_ms"`
	// BodyHash is the SHA-256 of the request's body in hexadecimal.
	BodyHash string `json:"body_hash"`
}

// Status is the kind of a result.
type Status uint8

// Kinds of results.
const (
	// Unavailable means that the claim is not confirmed. Its record may exist, so
	// the request must not be sent under it.
	Unavailable Status = iota
	// Claimed means that the record is the caller's.
	Claimed
	// Existing means that the key belongs to the record in the result.
	Existing
	// TooOld means that the key is a UUIDv7 from before the retention, so that an
	// earlier record may have ended.
	TooOld
	// Absent means that the key has no record.
	Absent
)

// Result is the result of a claim or a takeover.
type Result struct {
	Status Status
	// Record and Revision are set for Claimed and Existing.
	Record   Record
	Revision int64
	// Err is the reason of Unavailable.
	Err error
}

// Settings configure Claims. Zero values mean the defaults.
type Settings struct {
	// Retention returns how long a record lives at least. It is required.
	Retention   func() time.Duration
	CallTimeout time.Duration
	// MaxGroup is the largest number of claims in one transaction.
	MaxGroup int
	// InFlight is the number of concurrent transactions of groups.
	InFlight int
	// Now returns the wall clock. Nil means time.Now.
	Now func() time.Time
}

// Claims claims idempotency keys. It is safe for concurrent use.
type Claims struct {
	set    Settings
	store  kv.Store
	bucket bucket

	mu      sync.Mutex
	queue   []*waiter
	workers int // goroutines that commit groups, at most Settings.InFlight
}

// waiter is one claim that waits for its group.
type waiter struct {
	key    string
	record Record
	value  []byte
	result chan Result
}

func (w *waiter) finish(r Result) { w.result <- r }

// New returns Claims on the given store.
func New(set Settings, store kv.Store) *Claims {
	if set.CallTimeout <= 0 {
		set.CallTimeout = DefaultCallTimeout
	}
	if set.MaxGroup <= 0 {
		set.MaxGroup = DefaultMaxGroup
	}
	if set.InFlight <= 0 {
		set.InFlight = DefaultInFlight
	}
	if set.Now == nil {
		set.Now = time.Now
	}
	return &Claims{set: set, store: store}
}

// StoreKey returns the key of the record of a team's idempotency key. The hash bounds
// its length and its characters.
func StoreKey(team ident.Team, key string) string {
	sum := sha256.Sum256([]byte(key))
	return keyPrefix + string(team) + "/" + hex.EncodeToString(sum[:])
}

// Claim creates the record of a key if there is none. Claims that wait at the
// same time share a transaction. The status is Claimed, Existing, TooOld, or
// Unavailable with the reason in Err.
func (c *Claims) Claim(ctx context.Context, team ident.Team, key string, rec Record) Result {
	if c.tooOld(key) {
		return Result{Status: TooOld}
	}
	w, err := newWaiter(StoreKey(team, key), rec)
	if err != nil {
		return Result{Err: err}
	}
	ctx, cancel := context.WithTimeout(ctx, claimCalls*c.set.CallTimeout)
	defer cancel()
	c.enqueue(w)
	select {
	case r := <-w.result:
		return r
	case <-ctx.Done():
		c.abandon(w)
		return Result{Err: ctx.Err()}
	}
}

// tooOld reports a UUIDv7 key from before the retention. Other keys carry no time.
func (c *Claims) tooOld(key string) bool {
	id, err := uuid.Parse(key)
	if err != nil || id.Version() != 7 {
		return false
	}
	var ms int64
	for _, b := range id[:6] {
		ms = ms<<8 | int64(b)
	}
	return c.set.Now().Sub(time.UnixMilli(ms)) > c.set.Retention()
}

func newWaiter(key string, rec Record) (*waiter, error) {
	value, err := json.Marshal(rec)
	if err != nil {
		return nil, errors.Wrap(err, "encode claim")
	}
	return &waiter{key: key, record: rec, value: value, result: make(chan Result, 1)}, nil
}

// TakeOver replaces a record that was read at the given revision. The caller has
// proof that the recorded attempt did not run and never will. The status is
// Claimed, Existing if another record is stored, or Unavailable.
func (c *Claims) TakeOver(ctx context.Context, team ident.Team, key string, revision int64, rec Record) Result {
	w, err := newWaiter(StoreKey(team, key), rec)
	if err != nil {
		return Result{Err: err}
	}
	read, err := c.write(ctx, []*waiter{w}, revision)
	if err != nil {
		return Result{Err: err}
	}
	r, ok := w.match(read)
	if !ok {
		return Result{Err: ErrRecordRemoved}
	}
	return r
}

// Lookup returns the record of a key with its revision. The status is Existing,
// or Absent if there is no record.
func (c *Claims) Lookup(ctx context.Context, team ident.Team, key string) Result {
	ctx, cancel := context.WithTimeout(ctx, c.set.CallTimeout)
	defer cancel()
	pair, err := c.store.Get(ctx, StoreKey(team, key))
	if errors.Is(err, kv.ErrNotFound) {
		return Result{Status: Absent}
	}
	if err != nil {
		return Result{Err: err}
	}
	return existing(pair)
}

// existing returns the record in a pair, or an error if it cannot be decoded.
func existing(p kv.Pair) Result {
	var rec Record
	if err := json.Unmarshal(p.Value, &rec); err != nil {
		return Result{Err: errors.Wrap(err, "decode claim")}
	}
	return Result{Status: Existing, Record: rec, Revision: p.ModRevision}
}

// Drop deletes the record with the given revision. The caller has proof that the
// recorded attempt did not run and never will. It returns ErrReplaced if another
// record is stored; a record that has ended is no error.
func (c *Claims) Drop(ctx context.Context, team ident.Team, key string, revision int64) error {
	k := StoreKey(team, key)
	r, err := c.settled(ctx, kv.Txn{
		Compares:  []kv.Compare{{Key: k, ModRevision: revision}},
		Ops:       []kv.Op{{Type: kv.OpDelete, Key: k}},
		OnFailure: []string{k},
	})
	if err == nil && !r.Succeeded && len(r.Read) > 0 {
		return ErrRecordReplaced
	}
	return err
}
