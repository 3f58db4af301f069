// Package claims stores one record per idempotency key in the key-value service, so
// that a repeated request finds the attempt of the first one. Concurrent claims
// share transactions (group commit).
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

// Defaults of Settings and internal limits.
const (
	DefaultCallTimeout = 3 * time.Second
	// DefaultMaxGroup is below the key-value service's limit of 128 operations in
	// one transaction.
	DefaultMaxGroup = 100
	// DefaultInFlight allows a second group to be written while one call is slow.
	DefaultInFlight = 2
	// claimTimeoutCalls is the timeout of a claim in multiples of the call timeout:
	// one for a group in flight, and two for the claim's own transaction and its
	// repetition.
	claimTimeoutCalls = 3
	keyPrefix         = "/fescue/claims/"
)

// Errors in results and of Drop.
var (
	// ErrRecordRemoved reports that a record expired or was deleted while it was
	// claimed or taken over.
	ErrRecordRemoved = errors.New("claim record expired or was deleted")
	// ErrRecordReplaced reports that another request has taken over a record.
	ErrRecordReplaced = errors.New("claim record was replaced by another request")
	// ErrLateReply reports that the reply to a claim arrived too late to rely on the
	// lease of its record.
	ErrLateReply = errors.New("reply to the claim arrived too late to rely on its lease")
)

// Record is the stored claim of one idempotency key. It identifies the attempt that
// may run.
type Record struct {
	Request     ident.RequestID   `json:"request"`
	Endpoint    ident.EndpointID  `json:"endpoint"`
	Incarnation ident.Incarnation `json:"incarnation,string"`
	Attempt     uint32            `json:"attempt"`
	// EndpointClockMS is the reading of the endpoint's monotonic clock, in
	// milliseconds, that is sent with the attempt.
	EndpointClockMS uint64 `json:"endpoint_clock_ms"`
	// BodyHash identifies the content of the request: a SHA-256 hash in hexadecimal.
	BodyHash string `json:"body_hash"`
}

// Status is the status of a Result.
type Status uint8

// Values of Status.
const (
	// Unavailable means that the claim is not confirmed. Its record may exist
	// nevertheless, so the request must not be sent.
	Unavailable Status = iota
	// Claimed means that the caller's record is stored.
	Claimed
	// Existing means that the key has another record, which the result contains.
	Existing
	// TooOld means that the key is a UUIDv7 whose time is before the retention
	// period, so that an earlier record of the key may have expired.
	TooOld
	// Absent means that the key has no record.
	Absent
)

// Result is the result of Claim, TakeOver or Lookup.
type Result struct {
	Status Status
	// Record and Revision are set for Claimed and Existing.
	Record   Record
	Revision int64
	// Err is the cause of Unavailable.
	Err error
}

// Settings is the configuration of Claims. Zero values mean the defaults.
type Settings struct {
	// Retention returns the minimum time for which a record is kept. It is required.
	Retention   func() time.Duration
	CallTimeout time.Duration
	// MaxGroup is the maximum number of claims in one transaction.
	MaxGroup int
	// InFlight is the maximum number of concurrent group transactions.
	InFlight int
	// Now returns the current time. Nil means time.Now.
	Now func() time.Time
}

// Claims stores and looks up the claim records of idempotency keys. It is safe for
// concurrent use.
type Claims struct {
	settings Settings
	store    kv.Store
	bucket   bucket

	mu      sync.Mutex
	queue   []*pendingClaim
	workers int // running worker goroutines, at most Settings.InFlight
}

// pendingClaim is a claim that waits for its group to be committed.
type pendingClaim struct {
	key    string
	record Record
	value  []byte
	result chan Result
}

func (w *pendingClaim) finish(r Result) { w.result <- r }

// New returns Claims on the given store.
func New(settings Settings, store kv.Store) *Claims {
	if settings.CallTimeout <= 0 {
		settings.CallTimeout = DefaultCallTimeout
	}
	if settings.MaxGroup <= 0 {
		settings.MaxGroup = DefaultMaxGroup
	}
	if settings.InFlight <= 0 {
		settings.InFlight = DefaultInFlight
	}
	if settings.Now == nil {
		settings.Now = time.Now
	}
	return &Claims{settings: settings, store: store}
}

// Key returns the key under which the record of a team's idempotency key is
// stored. Hashing the idempotency key limits the length and the characters of the
// result.
func Key(team ident.Team, key string) string {
	sum := sha256.Sum256([]byte(key))
	return keyPrefix + string(team) + "/" + hex.EncodeToString(sum[:])
}

// Claim creates the record of a key if there is none. Claims that wait at the same
// time share a transaction. The status of the result is Claimed, Existing, TooOld,
// or Unavailable with the cause in Err.
func (c *Claims) Claim(ctx context.Context, team ident.Team, key string, rec Record) Result {
	if c.tooOld(key) {
		return Result{Status: TooOld}
	}
	w, err := newPendingClaim(Key(team, key), rec)
	if err != nil {
		return Result{Err: err}
	}
	ctx, cancel := context.WithTimeout(ctx, claimTimeoutCalls*c.settings.CallTimeout)
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

// tooOld reports whether the key is a UUIDv7 whose time is before the retention
// period. Other keys contain no time and are never too old.
func (c *Claims) tooOld(key string) bool {
	id, err := uuid.Parse(key)
	if err != nil || id.Version() != 7 {
		return false
	}
	var ms int64
	for _, b := range id[:6] {
		ms = ms<<8 | int64(b)
	}
	return c.settings.Now().Sub(time.UnixMilli(ms)) > c.settings.Retention()
}

func newPendingClaim(key string, rec Record) (*pendingClaim, error) {
	value, err := json.Marshal(rec)
	if err != nil {
		return nil, errors.Wrap(err, "encode claim")
	}
	return &pendingClaim{key: key, record: rec, value: value, result: make(chan Result, 1)}, nil
}

// TakeOver replaces the record that was read at the given revision. The caller must
// have proof that the recorded attempt did not run and never will. The status of the
// result is Claimed, Existing if another record is stored, or Unavailable.
func (c *Claims) TakeOver(ctx context.Context, team ident.Team, key string, revision int64, rec Record) Result {
	w, err := newPendingClaim(Key(team, key), rec)
	if err != nil {
		return Result{Err: err}
	}
	read, err := c.write(ctx, []*pendingClaim{w}, revision)
	if err != nil {
		return Result{Err: err}
	}
	r, ok := w.resultFrom(read)
	if !ok {
		return Result{Err: ErrRecordRemoved}
	}
	return r
}

// Lookup returns the record of a key and its revision. The status of the result is
// Existing, Absent if there is no record, or Unavailable.
func (c *Claims) Lookup(ctx context.Context, team ident.Team, key string) Result {
	ctx, cancel := context.WithTimeout(ctx, c.settings.CallTimeout)
	defer cancel()
	pair, err := c.store.Get(ctx, Key(team, key))
	if errors.Is(err, kv.ErrNotFound) {
		return Result{Status: Absent}
	}
	if err != nil {
		return Result{Err: err}
	}
	return existingResult(pair)
}

// existingResult returns the record in a stored pair as a result. If the record
// cannot be decoded, the status is Unavailable.
func existingResult(p kv.Pair) Result {
	var rec Record
	if err := json.Unmarshal(p.Value, &rec); err != nil {
		return Result{Err: errors.Wrap(err, "decode claim")}
	}
	return Result{Status: Existing, Record: rec, Revision: p.ModRevision}
}

// Drop deletes the record with the given revision. The caller must have proof that
// the recorded attempt did not run and never will. Drop returns ErrRecordReplaced if
// another record is stored. A record that no longer exists is not an error.
func (c *Claims) Drop(ctx context.Context, team ident.Team, key string, revision int64) error {
	k := Key(team, key)
	r, err := c.txnWithRetry(ctx, kv.Txn{
		Compares:  []kv.Compare{{Key: k, ModRevision: revision}},
		Ops:       []kv.Op{{Type: kv.OpDelete, Key: k}},
		OnFailure: []string{k},
	})
	if err == nil && !r.Succeeded && len(r.Read) > 0 {
		return ErrRecordReplaced
	}
	return err
}
