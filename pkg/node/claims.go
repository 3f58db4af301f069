package node

import (
	"context"
	"crypto/sha256"
	"encoding/hex"

	"github.com/cockroachdb/errors"

	"github.com/fescuecourse/fescuecourse/pkg/claims"
	"github.com/fescuecourse/fescuecourse/pkg/entry"
	"github.com/fescuecourse/fescuecourse/pkg/ident"
)

// claimStore implements entry.Claims with records in the key-value service.
type claimStore struct{ claims *claims.Claims }

// Claim implements entry.Claims.
func (s *claimStore) Claim(ctx context.Context, team ident.Team, key string, rec entry.ClaimRecord) (entry.ClaimRecord, bool, error) {
	return s.result(s.claims.Claim(ctx, team, key, encodeClaim(rec)))
}

// TakeOver implements entry.Claims.
func (s *claimStore) TakeOver(ctx context.Context, team ident.Team, key string, old, rec entry.ClaimRecord) (entry.ClaimRecord, bool, error) {
	return s.result(s.claims.TakeOver(ctx, team, key, old.Revision, encodeClaim(rec)))
}

// Lookup implements entry.Claims.
func (s *claimStore) Lookup(ctx context.Context, team ident.Team, key string) (entry.ClaimRecord, bool, error) {
	r := s.claims.Lookup(ctx, team, key)
	if r.Status == claims.Absent {
		return entry.ClaimRecord{}, false, nil
	}
	rec, _, err := s.result(r)
	return rec, err == nil, err
}

// Drop implements entry.Claims.
func (s *claimStore) Drop(ctx context.Context, team ident.Team, key string, rec entry.ClaimRecord) error {
	err := s.claims.Drop(ctx, team, key, rec.Revision)
	if errors.Is(err, claims.ErrRecordReplaced) {
		return errors.Mark(err, entry.ErrClaimReplaced)
	}
	return err
}

// result converts the result of a claim into the stored record and whether the caller
// holds it. It returns entry.ErrKeyTooOld if the key is too old to be claimed.
func (s *claimStore) result(r claims.Result) (entry.ClaimRecord, bool, error) {
	switch r.Status {
	case claims.Claimed, claims.Existing:
	case claims.TooOld:
		return entry.ClaimRecord{}, false, entry.ErrKeyTooOld
	default:
		return entry.ClaimRecord{}, false, errors.Wrap(r.Err, "claim idempotency key")
	}
	rec, err := decodeClaim(r.Record)
	if err != nil {
		return entry.ClaimRecord{}, false, err
	}
	rec.Revision = r.Revision
	return rec, r.Status == claims.Claimed, nil
}

func encodeClaim(r entry.ClaimRecord) claims.Record {
	return claims.Record{
		Request:         r.Request,
		Endpoint:        r.Endpoint,
		Incarnation:     r.Incarnation,
		Attempt:         r.Attempt,
		EndpointClockMS: r.EndpointClockMS,
		BodyHash:        hex.EncodeToString(r.BodyHash[:]),
	}
}

func decodeClaim(r claims.Record) (entry.ClaimRecord, error) {
	hash, err := hex.DecodeString(r.BodyHash)
	if err != nil || len(hash) != sha256.Size {
		return entry.ClaimRecord{}, errors.New("claim record has a malformed body hash")
	}
	return entry.ClaimRecord{
		Request:         r.Request,
		Endpoint:        r.Endpoint,
		Incarnation:     r.Incarnation,
		Attempt:         r.Attempt,
		EndpointClockMS: r.EndpointClockMS,
		BodyHash:        [sha256.Size]byte(hash),
	}, nil
}
