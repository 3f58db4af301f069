package entry

import (
	"context"
	"crypto/sha256"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fescuecourse/fescuecourse/api/fescuev1"
	"github.com/fescuecourse/fescuecourse/pkg/ident"
	"github.com/fescuecourse/fescuecourse/pkg/logging"
	"github.com/fescuecourse/fescuecourse/pkg/retry"
)

// Limits of the calls that confirm a refusal.
const (
	claimTimeout = time.Second
	maxLookups   = 16
)

var (
	errNoClaims       = errors.New("no store of claims")
	errTooManyLookups = errors.New("too many lookups of claims")
)

// ClaimRecord says which attempt may run a request with an idempotency key.
type ClaimRecord struct {
	Request     ident.RequestID
	Attempt     uint32
	Endpoint    ident.EndpointID
	Incarnation ident.Incarnation
	// EndpointClockMS is the endpoint's clock that the attempt echoes. It tells
	// the endpoint whether its ledger still covers the attempt.
	EndpointClockMS uint64
	BodyHash        [sha256.Size]byte
	// Revision identifies the stored record. The store sets it.
	Revision int64
}

// Claims keeps one record for each idempotency key of a team. An error of any
// method means that the store did not answer; the change may have taken effect.
type Claims interface {
	// Claim stores rec if the key has no record. It returns the record that is
	// stored afterwards and whether it is rec.
	Claim(ctx context.Context, team ident.Team, key string, rec ClaimRecord) (ClaimRecord, bool, error)
	// TakeOver replaces old by rec. It returns the record that is stored
	// afterwards and whether it is rec.
	TakeOver(ctx context.Context, team ident.Team, key string, old, rec ClaimRecord) (ClaimRecord, bool, error)
	// Lookup returns the record of the key and whether there is one.
	Lookup(ctx context.Context, team ident.Team, key string) (ClaimRecord, bool, error)
	// Drop removes rec. It returns ErrClaimReplaced if another record is stored.
	Drop(ctx context.Context, team ident.Team, key string, rec ClaimRecord) error
}

// claim makes sure that only one request runs for an idempotency key.
type claim struct{ e *Entry }

func (claim) Name() string { return "claim" }

func (f claim) Do(ctx context.Context, x *Exchange, next Handler) *Failure {
	if !x.keyed() {
		return next(ctx, x)
	}
	if f.e.claims == nil {
		return f.unavailable(x)
	}
	if fail := f.acquire(ctx, x); fail != nil || x.replayed {
		return fail
	}
	return next(ctx, x)
}

// ErrKeyTooOld reports a key from before the retention: whether it was used
// cannot be known any more.
var ErrKeyTooOld = errors.New("idempotency key is older than the retention")

// ErrClaimReplaced reports that another request has taken a claim over.
var ErrClaimReplaced = errors.New("claim belongs to another request")

// keyed reports whether the request needs a claim.
func (x *Exchange) keyed() bool { return x.answer != nil && !x.idempotent && x.key != "" }

// unavailable ends a request whose key could not be looked up. An earlier
// request with the key may have run, so the result is unknown.
func (f claim) unavailable(x *Exchange) *Failure {
	fail := f.unknown(x, "claims_unavailable", "idempotency keys cannot be looked up now")
	fail.Status = http.StatusBadGateway
	return fail
}

// acquire stores the record of the current attempt. If another request holds
// the key, its result decides.
func (f claim) acquire(ctx context.Context, x *Exchange) *Failure {
	rec := x.claimRecord()
	if x.claim != nil {
		return f.takeOver(ctx, x, *x.claim, rec)
	}
	stored, claimed, err := f.e.claims.Claim(ctx, x.team.Team, x.key, rec)
	if errors.Is(err, ErrKeyTooOld) {
		return f.unknown(x, "idempotency_key_too_old", ErrKeyTooOld.Error())
	}
	if err != nil {
		return f.unavailable(x)
	}
	if claimed {
		x.claim = &stored
		return nil
	}
	return f.repeated(ctx, x, stored, rec)
}

// takeOver replaces a record whose attempt is proved not to have run.
func (f claim) takeOver(ctx context.Context, x *Exchange, old, rec ClaimRecord) *Failure {
	stored, ok, err := f.e.claims.TakeOver(ctx, x.team.Team, x.key, old, rec)
	if err != nil {
		return f.unavailable(x)
	}
	if !ok {
		return f.unknown(x, "key_in_use", "another request with this idempotency key is being started")
	}
	x.claim = &stored
	return nil
}

// repeated handles a request whose key has a record of another request.
func (f claim) repeated(ctx context.Context, x *Exchange, stored, rec ClaimRecord) *Failure {
	if stored.BodyHash != rec.BodyHash {
		return rejected(http.StatusBadRequest, typeInvalidRequest, "idempotency_key_reused", "the idempotency key belongs to another request")
	}
	return f.resultOf(x, stored, func() *Failure { return f.takeOver(ctx, x, stored, rec) })
}

// resultOf ends a request with the result of the recorded one. If that is
// proved not to have run, notRun decides.
func (f claim) resultOf(x *Exchange, stored ClaimRecord, notRun func() *Failure) *Failure {
	reply := f.ask(x, stored)
	f.e.log.For(logging.ComponentRoute).Info().Str("request", string(x.ID)).Str("claimed_by", string(stored.Request)).Str("state", reply.GetState().String()).Msg("repeated request")
	switch reply.GetState() {
	case fescuev1.RevokeReply_STATE_NOT_RUN:
		return notRun()
	case fescuev1.RevokeReply_STATE_DONE:
		return f.replayStored(x, stored, reply.GetAnswer())
	case fescuev1.RevokeReply_STATE_RUNNING:
		return f.unknown(x, "request_running", "the request with this idempotency key is still running")
	default:
		return f.unknown(x, "result_unknown", "the result of the request with this idempotency key is not known")
	}
}

// confirm keeps a refusal true for the idempotency key: a repeated request that
// is refused before its claim is not run only if the earlier one is not, else a
// caller could take the refusal for a proof and send the request with a new key.
func (f claim) confirm(x *Exchange, fail *Failure) *Failure {
	if fail.Outcome != ident.NotRun || !x.keyed() {
		return fail
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(x.r.Context()), claimTimeout)
	defer cancel()
	if x.claim != nil {
		return f.drop(ctx, x, fail)
	}
	stored, found, err := f.lookup(ctx, x)
	switch {
	case err != nil:
		return f.unavailable(x)
	case !found || stored.BodyHash != x.bodyHash():
		return fail
	default:
		return f.resultOf(x, stored, func() *Failure { return fail })
	}
}

// lookup reads the record of the key. The number of concurrent reads is bounded,
// so that refused requests cannot overload the key-value service.
func (f claim) lookup(ctx context.Context, x *Exchange) (ClaimRecord, bool, error) {
	if f.e.claims == nil {
		return ClaimRecord{}, false, errNoClaims
	}
	select {
	case f.e.lookups <- struct{}{}:
		defer func() { <-f.e.lookups }()
	default:
		return ClaimRecord{}, false, errTooManyLookups
	}
	return f.e.claims.Lookup(ctx, x.team.Team, x.key)
}

// drop removes the claim of a request that is proved not to have run, so that a
// repeated request starts afresh. A record that stays is harmless, because its
// attempt has a tombstone.
func (f claim) drop(ctx context.Context, x *Exchange, fail *Failure) *Failure {
	err := f.e.claims.Drop(ctx, x.team.Team, x.key, *x.claim)
	if errors.Is(err, ErrClaimReplaced) {
		return f.unknown(x, "key_in_use", "another request with this idempotency key is being started")
	}
	if err != nil {
		f.e.log.For(logging.ComponentRoute).Warn().Err(err).Str("request", string(x.ID)).Msg("claim not dropped")
	}
	return fail
}

func (f claim) ask(x *Exchange, stored ClaimRecord) *fescuev1.RevokeReply {
	l := f.e.connector.link(stored.Endpoint)
	if l == nil {
		return nil
	}
	limit := min(f.e.timing.revoke, max(time.Until(x.deadline), 0))
	sent := &fescuev1.RevokeRequest{Ref: stored.ref(), Incarnation: uint64(stored.Incarnation), EndpointClockMs: stored.EndpointClockMS}
	return f.e.revoke(x, l, sent, limit)
}

func (r ClaimRecord) ref() *fescuev1.AttemptRef {
	return &fescuev1.AttemptRef{RequestId: string(r.Request), Attempt: r.Attempt}
}

// replayStored answers with the result of the recorded request.
func (f claim) replayStored(x *Exchange, stored ClaimRecord, frames []*fescuev1.RunFrame) *Failure {
	if e, ok := f.e.directory.Load().Find(stored.Endpoint); ok {
		x.endpoint = e
	}
	res := replay(newRelay(f.e, x, stored.ref()), frames, attemptResult{end: retry.Unknown})
	if res.end == retry.Answered || res.end == retry.CallerGone {
		x.markSent()
		x.result = res
		x.replayed = true
		return nil
	}
	return f.unknown(x, "result_unknown", "the request with this idempotency key has run and its answer is not kept")
}

// unknown ends a request whose key was claimed by a request that was sent.
func (claim) unknown(x *Exchange, code, message string) *Failure {
	x.markSent()
	fail := unknownResult(http.StatusConflict, code, message)
	fail.RetryAfter = retryAfterUnknown
	return fail
}
