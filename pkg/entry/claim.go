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

// Limits of the calls to the claim store in confirmNotRun: the time for them, and the
// number of concurrent lookups.
const (
	claimTimeout = time.Second
	maxLookups   = 16
)

var (
	errNoClaims       = errors.New("no claim store is configured")
	errTooManyLookups = errors.New("too many concurrent claim lookups")
)

// ClaimRecord identifies the attempt that may run for a request with an idempotency
// key.
type ClaimRecord struct {
	Request     ident.RequestID
	Attempt     uint32
	Endpoint    ident.EndpointID
	Incarnation ident.Incarnation
	// EndpointClockMS is the endpoint's monotonic clock, in milliseconds, that was sent
	// with the attempt. The endpoint uses it to determine whether its ledger of
	// attempts still covers the attempt or may have discarded it.
	EndpointClockMS uint64
	BodyHash        [sha256.Size]byte
	// Revision identifies the version of the stored record. The store sets it.
	Revision int64
}

// Claims stores one record for each idempotency key of a team. An error other than
// ErrKeyTooOld and ErrClaimReplaced means that the store did not confirm the call;
// its change may have taken effect.
type Claims interface {
	// Claim stores rec if the key has no record. It returns the record that is
	// stored afterwards and whether this is rec.
	Claim(ctx context.Context, team ident.Team, key string, rec ClaimRecord) (ClaimRecord, bool, error)
	// TakeOver replaces the record old by rec. It returns the record that is stored
	// afterwards and whether this is rec.
	TakeOver(ctx context.Context, team ident.Team, key string, old, rec ClaimRecord) (ClaimRecord, bool, error)
	// Lookup returns the record of the key and whether there is one.
	Lookup(ctx context.Context, team ident.Team, key string) (ClaimRecord, bool, error)
	// Drop deletes rec. It returns ErrClaimReplaced if another record is stored.
	Drop(ctx context.Context, team ident.Team, key string, rec ClaimRecord) error
}

// claim is the filter that lets only one request run for each idempotency key.
type claim struct{ e *Entry }

func (claim) Name() string { return "claim" }

func (f claim) Do(ctx context.Context, x *Exchange, next Handler) *Failure {
	if !x.needsClaim() {
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

// ErrKeyTooOld reports that a key was created before the retention period, so that
// an earlier use of it may no longer be recorded.
var ErrKeyTooOld = errors.New("idempotency key is older than the retention")

// ErrClaimReplaced reports that another request has taken over a claim.
var ErrClaimReplaced = errors.New("claim belongs to another request")

// needsClaim reports whether the request must claim its idempotency key: it has been
// resolved, is not idempotent and has a key.
func (x *Exchange) needsClaim() bool { return x.response != nil && !x.idempotent && x.key != "" }

// unavailable returns the Failure of a request whose key could not be looked up. An
// earlier request with the key may have run, so the result is unknown.
func (f claim) unavailable(x *Exchange) *Failure {
	fail := f.unknown(x, "claims_unavailable", "idempotency keys cannot be looked up now")
	fail.Status = http.StatusBadGateway
	return fail
}

// acquire stores the claim record of the current attempt. If another request has
// already claimed the key, the result of the other request decides whether this one
// may run.
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
	return f.resolveRepeated(ctx, x, stored, rec)
}

// takeOver replaces the claim record of an attempt that is proved not to have run.
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

// resolveRepeated handles a request whose key has the record of another request.
func (f claim) resolveRepeated(ctx context.Context, x *Exchange, stored, rec ClaimRecord) *Failure {
	if stored.BodyHash != rec.BodyHash {
		return rejected(http.StatusBadRequest, typeInvalidRequest, "idempotency_key_reused", "the idempotency key belongs to another request")
	}
	return f.recordedResult(x, stored, func() *Failure { return f.takeOver(ctx, x, stored, rec) })
}

// recordedResult ends a request with the result of the request that is recorded for
// its key. If the recorded request is proved not to have run, it calls notRun and
// returns the result.
func (f claim) recordedResult(x *Exchange, stored ClaimRecord, notRun func() *Failure) *Failure {
	reply := f.revokeRecorded(x, stored)
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

// confirmNotRun checks a failure with outcome not-run against the idempotency key. A
// repeated request that is refused before it claims the key counts as not run only
// if the earlier request did not run either. Otherwise a caller could take the
// refusal as proof that nothing ran and send the request again with a new key.
func (f claim) confirmNotRun(x *Exchange, fail *Failure) *Failure {
	if fail.Outcome != ident.NotRun || !x.needsClaim() {
		return fail
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(x.r.Context()), claimTimeout)
	defer cancel()
	if x.claim != nil {
		return f.dropClaim(ctx, x, fail)
	}
	stored, found, err := f.lookup(ctx, x)
	switch {
	case err != nil:
		return f.unavailable(x)
	case !found || stored.BodyHash != x.bodyHash():
		return fail
	default:
		return f.recordedResult(x, stored, func() *Failure { return fail })
	}
}

// lookup reads the record of the key. The number of concurrent lookups is limited,
// so that refused requests cannot overload the key-value service.
func (f claim) lookup(ctx context.Context, x *Exchange) (ClaimRecord, bool, error) {
	if f.e.claims == nil {
		return ClaimRecord{}, false, errNoClaims
	}
	select {
	case f.e.claimLookups <- struct{}{}:
		defer func() { <-f.e.claimLookups }()
	default:
		return ClaimRecord{}, false, errTooManyLookups
	}
	return f.e.claims.Lookup(ctx, x.team.Team, x.key)
}

// dropClaim deletes the claim record of a request that is proved not to have run, so
// that a repeated request starts anew. A record that remains is harmless, because
// the endpoint holds a tombstone for its attempt.
func (f claim) dropClaim(ctx context.Context, x *Exchange, fail *Failure) *Failure {
	err := f.e.claims.Drop(ctx, x.team.Team, x.key, *x.claim)
	if errors.Is(err, ErrClaimReplaced) {
		return f.unknown(x, "key_in_use", "another request with this idempotency key is being started")
	}
	if err != nil {
		f.e.log.For(logging.ComponentRoute).Warn().Err(err).Str("request", string(x.ID)).Msg("could not delete the claim record")
	}
	return fail
}

func (f claim) revokeRecorded(x *Exchange, stored ClaimRecord) *fescuev1.RevokeReply {
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

// replayStored ends a request with the stored response to the recorded request.
func (f claim) replayStored(x *Exchange, stored ClaimRecord, frames []*fescuev1.RunFrame) *Failure {
	if e, ok := f.e.directory.Load().Find(stored.Endpoint); ok {
		x.endpoint = e
	}
	f.useServedAdapter(x, stored, frames)
	res := replay(newRelay(f.e, x, stored.ref()), frames, attemptResult{end: retry.Unknown})
	if res.end == retry.Answered || res.end == retry.CallerGone {
		x.markSent()
		x.result = res
		x.replayed = true
		return nil
	}
	return f.unknown(x, "result_unknown", "the request with this idempotency key has run and its answer is not kept")
}

// useServedAdapter sets the adapter of a repeated request to the one that produced the
// stored response, if the request names it. The active bundle may resolve the name to
// another version, or no longer have the version that ran.
func (f claim) useServedAdapter(x *Exchange, stored ClaimRecord, frames []*fescuev1.RunFrame) {
	for _, fr := range frames {
		h := fr.GetHeader()
		if h == nil {
			continue
		}
		served, err := ident.ParseAdapter(h.GetServedAdapter())
		if err != nil || !x.names(served) {
			return
		}
		f.e.log.For(logging.ComponentRoute).Info().Str("request", string(x.ID)).Str("claimed_by", string(stored.Request)).Str("resolved", x.adapter.String()).Str("served", served.String()).Msg("stored response of the served adapter is used")
		x.adapter = served
		return
	}
}

// names reports whether the model of the request names the adapter, with or without
// its version.
func (x *Exchange) names(a ident.Adapter) bool {
	if a.Team != x.team.Team || a.Version == "" {
		return false
	}
	unversioned := ident.Adapter{Team: a.Team, Name: a.Name}
	return x.model == a.String() || x.model == unversioned.String()
}

// unknown returns the Failure of a request whose key is claimed by a request that
// may have run.
func (claim) unknown(x *Exchange, code, message string) *Failure {
	x.markSent()
	fail := unknownResult(http.StatusConflict, code, message)
	fail.RetryAfter = retryAfterUnknown
	return fail
}
