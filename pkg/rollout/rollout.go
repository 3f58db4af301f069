package rollout

import (
	"context"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fescuecourse/fescuecourse/pkg/bundle"
	"github.com/fescuecourse/fescuecourse/pkg/ident"
	"github.com/fescuecourse/fescuecourse/pkg/kv"
	"github.com/fescuecourse/fescuecourse/pkg/wait"
)

// Keys of the bundle in the key-value service.
const (
	RootKey    = "/fescue/bundle/root"
	partPrefix = "/fescue/bundle/parts/"
)

// Bounds of the exponential backoff between attempts of a rollout.
const (
	rolloutBackoffMin = 50 * time.Millisecond
	rolloutBackoffMax = 2 * time.Second
)

// ErrResultUnknown means that Rollout cannot tell whether its write was accepted:
// the key-value service did not respond before the deadline, or so many later versions
// were accepted that the root record no longer lists the version.
var ErrResultUnknown = errors.New("result of the rollout is not known")

// errRetry means that the attempt must be repeated from reading the root.
var errRetry = errors.New("rollout must be tried again")

// ConflictError means that another rollout was accepted instead.
type ConflictError struct {
	// Winner is the accepted rollout of the proposed version. It is the latest
	// accepted rollout if the root record does not list that version, or if the
	// accepted root is not the base of the proposal.
	Winner bundle.AcceptedRollout
}

// Error names the winning rollout.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("version %d was accepted from operator %q with rollout id %s", e.Winner.Version, e.Winner.Operator, e.Winner.RolloutID)
}

// PartKey returns the key in the key-value service of the part with the given name.
func PartKey(name string) string { return partPrefix + name }

// ReadRoot returns the accepted root record and its ModRevision, or nil and zero
// if there has been no rollout yet.
func ReadRoot(ctx context.Context, store kv.Store) (*bundle.Root, int64, error) {
	pair, err := store.Get(ctx, RootKey)
	if errors.Is(err, kv.ErrNotFound) {
		return nil, 0, nil
	}
	if err != nil {
		return nil, 0, err
	}
	root, err := bundle.DecodeRoot(pair.Value)
	return root, pair.ModRevision, err
}

// Rollout makes the proposal the accepted bundle by a compare-and-swap of the root
// record. Two different reviewers must have signed the proposal: two of
// initialReviewers for version 1, two reviewers of the base bundle for any later
// version. Rollout retries calls without a reply until ctx ends. It returns the
// accepted root, a *ConflictError if another rollout was accepted instead, or
// ErrResultUnknown.
func Rollout(ctx context.Context, store kv.Store, p *bundle.Proposal, initialReviewers bundle.Reviewers) (*bundle.Root, error) {
	root, parts, err := p.Build()
	if err != nil {
		return nil, err
	}
	record, err := root.Encode()
	if err != nil {
		return nil, err
	}
	r := &attempt{store: store, root: root, record: record, parts: parts, initialReviewers: initialReviewers, now: time.Now, policy: defaultRetention}
	backoff := newBackoff(rolloutBackoffMin, rolloutBackoffMax)
	for {
		done, err := r.try(ctx)
		if done {
			return root, nil
		}
		if !errors.Is(err, errRetry) && !errors.Is(err, kv.ErrUnavailable) && !errors.Is(err, context.DeadlineExceeded) {
			return nil, err
		}
		if !wait.For(ctx, backoff.NextBackOff()) {
			return nil, r.markUnknownResult(err)
		}
	}
}

// attempt is the state of one rollout across its retries.
type attempt struct {
	store            kv.Store
	root             *bundle.Root
	record           []byte
	parts            []bundle.Part
	initialReviewers bundle.Reviewers
	now              func() time.Time
	policy           retention
	// prewritten holds the names of the parts that were written before the root.
	// It is nil until the parts are listed under DroppedPartsKey.
	prewritten map[string]bool
	// rootSent is true once a root transaction was sent, so that the root may
	// have been written.
	rootSent bool
}

// markUnknownResult marks err as ErrResultUnknown if the root may have been written.
func (r *attempt) markUnknownResult(err error) error {
	if r.rootSent {
		return errors.Mark(errors.Wrap(err, "read the root back"), ErrResultUnknown)
	}
	return err
}

// try reads the accepted root and replaces it. It returns true if the rollout is
// accepted. The root transaction also writes the new parts, if they are small
// enough, and deletes expired ones. Parts are deleted in root transactions only.
// An unchanged revision of the root therefore also proves that the parts of the
// accepted root, and the parts written since the root was read, still exist.
func (r *attempt) try(ctx context.Context) (bool, error) {
	current, revision, err := ReadRoot(ctx, r.store)
	if err != nil {
		return false, err
	}
	if done, err := r.checkResult(current); done || err != nil {
		return done, err
	}
	if err := r.root.Verify(current.TrustedReviewers(r.initialReviewers), r.root.Version-1); err != nil {
		return false, err
	}
	list, listed, err := readDropped(ctx, r.store)
	if err != nil {
		return false, err
	}
	basis := []kv.Compare{{Key: RootKey, ModRevision: revision}, {Key: DroppedPartsKey, ModRevision: listed}}
	inline, ahead := r.planPartWrites(current)
	if len(ahead) > 0 && r.prewritten == nil {
		return false, r.listBeforeWrite(ctx, basis, list, ahead)
	}
	if err := r.prewriteParts(ctx, ahead); err != nil {
		return false, err
	}
	return r.replaceRoot(ctx, basis, append(inline, r.retentionOps(current, list)...))
}

// replaceRoot writes the root together with the other operations if the root and the
// list of dropped parts still have the revisions in basis. Otherwise it derives the
// result of the rollout from the root that is stored now. It returns errRetry if only
// the list has changed.
func (r *attempt) replaceRoot(ctx context.Context, basis []kv.Compare, others []kv.Op) (bool, error) {
	ops := append([]kv.Op{{Type: kv.OpPut, Key: RootKey, Value: r.record}}, others...)
	r.rootSent = true
	res, err := r.store.Txn(ctx, kv.Txn{Compares: basis, Ops: ops, OnFailure: []string{RootKey}})
	if err != nil || res.Succeeded {
		return err == nil, err
	}
	if len(res.Read) == 0 {
		return false, r.markUnknownResult(errors.New("root record does not exist any more"))
	}
	current, err := bundle.DecodeRoot(res.Read[0].Value)
	if err != nil {
		return false, err
	}
	done, err := r.checkResult(current)
	if !done && err == nil {
		err = errors.Wrap(errRetry, "list of dropped parts has changed")
	}
	return done, err
}

// checkResult derives the result of this rollout from the accepted root. It returns
// true if this rollout was accepted, an error if it can no longer be accepted,
// and false without an error if it is still undecided.
func (r *attempt) checkResult(current *bundle.Root) (bool, error) {
	if current == nil {
		if r.root.Version > 1 {
			return false, errors.Newf("base version %d is not in the key-value service", r.root.Version-1)
		}
		return false, nil
	}
	if current.Version < r.root.Version {
		if current.Hash() != r.root.Previous {
			return false, &ConflictError{Winner: current.AcceptedRollout()}
		}
		return false, nil
	}
	winner, known := acceptedAt(current, r.root.Version)
	if known && winner.RolloutID == r.root.RolloutID {
		return true, nil
	}
	if !known && r.rootSent {
		return false, errors.Wrapf(ErrResultUnknown, "version %d has been accepted since", current.Version)
	}
	return false, &ConflictError{Winner: winner}
}

// acceptedAt returns the accepted rollout of version v. If the record does not
// list the version, it returns the latest rollout and false.
func acceptedAt(current *bundle.Root, v ident.BundleVersion) (bundle.AcceptedRollout, bool) {
	if current.Version == v {
		return current.AcceptedRollout(), true
	}
	for _, a := range current.Recent {
		if a.Version == v {
			return a, true
		}
	}
	return current.AcceptedRollout(), false
}

// planPartWrites returns the parts that the accepted root does not reference, either
// as operations for the root transaction (inline) or, if they exceed its limits,
// as parts to write before it (ahead). A part that only an older version references
// may still be stored, but is written again.
func (r *attempt) planPartWrites(current *bundle.Root) (inline []kv.Op, ahead []bundle.Part) {
	stored := map[string]bool{}
	if current != nil {
		stored = nameSet(current.Parts)
	}
	bytes := 0
	for _, p := range r.parts {
		if stored[p.Name] {
			continue
		}
		stored[p.Name] = true
		bytes += len(p.Content)
		inline = append(inline, putPart(p))
		ahead = append(ahead, p)
	}
	if len(inline) > r.policy.maxInlineParts || bytes > r.policy.maxInlineBytes {
		return nil, ahead
	}
	return inline, nil
}

func putPart(p bundle.Part) kv.Op {
	return kv.Op{Type: kv.OpPut, Key: PartKey(p.Name), Value: []byte(p.Content)}
}

// listBeforeWrite adds parts to the list of dropped parts before they are written,
// so that a later rollout deletes them if this one does not succeed. It returns
// errRetry, because the revision of the list has changed.
func (r *attempt) listBeforeWrite(ctx context.Context, basis []kv.Compare, list droppedParts, ahead []bundle.Part) error {
	var names []string
	for _, p := range ahead {
		names = append(names, p.Name)
	}
	next := list.withGroup(r.root.Version, r.now(), names).truncated(r.policy.names)
	res, err := r.store.Txn(ctx, kv.Txn{Compares: basis, Ops: []kv.Op{next.putOp()}})
	if err != nil {
		return err
	}
	if res.Succeeded {
		r.prewritten = map[string]bool{}
	}
	return errRetry
}

// prewriteParts writes the parts that do not fit into the root transaction. It skips
// parts that are already stored: a part is named by the hash of its content, so
// the stored content is the same.
func (r *attempt) prewriteParts(ctx context.Context, parts []bundle.Part) error {
	for _, p := range parts {
		if r.prewritten[p.Name] {
			continue
		}
		_, err := r.store.Txn(ctx, kv.Txn{
			Compares: []kv.Compare{{Key: PartKey(p.Name)}},
			Ops:      []kv.Op{putPart(p)},
		})
		if err != nil {
			return err
		}
		r.prewritten[p.Name] = true
	}
	return nil
}

// ReadText returns the accepted root record with the canonical text of its
// bundle, or nil if there has been no rollout yet. It reads both again if a part is
// missing because a newer root has replaced the one that was read.
func ReadText(ctx context.Context, store kv.Store) (*bundle.Root, string, error) {
	last := ident.BundleVersion(0)
	for {
		root, _, err := ReadRoot(ctx, store)
		if err != nil || root == nil {
			return nil, "", err
		}
		text, err := readParts(ctx, store, root)
		if errors.Is(err, kv.ErrNotFound) && root.Version > last {
			last = root.Version
			continue
		}
		return root, text, err
	}
}

func readParts(ctx context.Context, store kv.Store, root *bundle.Root) (string, error) {
	parts := make([]bundle.Part, 0, len(root.Parts))
	for _, name := range root.Parts {
		content, err := readPart(ctx, store, name)
		if err != nil {
			return "", err
		}
		parts = append(parts, bundle.Part{Name: name, Content: content})
	}
	return bundle.Join(root.Version, parts)
}

func readPart(ctx context.Context, store kv.Store, name string) (string, error) {
	pair, err := store.Get(ctx, PartKey(name))
	if err != nil {
		return "", errors.Wrapf(err, "read part %s", name)
	}
	if bundle.PartName(string(pair.Value)) != name {
		return "", errors.Wrapf(bundle.ErrPartMismatch, "part %s", name)
	}
	return string(pair.Value), nil
}
