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

// Keys of bundles in the key-value service.
const (
	RootKey    = "/fescue/bundle/root"
	partPrefix = "/fescue/bundle/parts/"
)

// Bounds of the pauses between attempts of a rollout.
const (
	rolloutPauseMin = 50 * time.Millisecond
	rolloutPauseMax = 2 * time.Second
)

// ErrResultUnknown reports a rollout whose result could not be read back: the
// service did not respond before the deadline, or too many versions followed.
var ErrResultUnknown = errors.New("result of the rollout is not known")

// errRetry reports an attempt that has to read the root again.
var errRetry = errors.New("rollout must be tried again")

// ConflictError reports a rollout that lost against another one.
type ConflictError struct {
	// Winner is the accepted rollout of the version that was wanted, or the
	// latest one if the base was outdated by more than the record lists.
	Winner bundle.AcceptedRollout
}

// Error names the winning rollout.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("version %d was accepted from operator %q with rollout id %s", e.Winner.Version, e.Winner.Operator, e.Winner.RolloutID)
}

// PartKey returns the key of a part.
func PartKey(name string) string { return partPrefix + name }

// ReadRoot returns the accepted root record with its ModRevision, or nil and
// zero before the first rollout.
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

// Rollout makes the proposal the accepted bundle. Two different reviewers must
// have signed it: the first ones for version 1, those of the base afterwards.
// It repeats calls that got no reply until ctx ends. It returns the accepted
// root, a *ConflictError if another rollout won, or ErrResultUnknown.
func Rollout(ctx context.Context, store kv.Store, p *bundle.Proposal, first bundle.Reviewers) (*bundle.Root, error) {
	root, parts, err := p.Build()
	if err != nil {
		return nil, err
	}
	record, err := root.Encode()
	if err != nil {
		return nil, err
	}
	r := &attempt{store: store, root: root, record: record, parts: parts, first: first, now: time.Now, keep: defaultRetention}
	pause := newBackoff(rolloutPauseMin, rolloutPauseMax)
	for {
		done, err := r.try(ctx)
		if done {
			return root, nil
		}
		if !errors.Is(err, errRetry) && !errors.Is(err, kv.ErrUnavailable) && !errors.Is(err, context.DeadlineExceeded) {
			return nil, err
		}
		if !wait.For(ctx, pause.NextBackOff()) {
			return nil, r.unsettled(err)
		}
	}
}

// attempt is the state of one rollout over repeated calls.
type attempt struct {
	store  kv.Store
	root   *bundle.Root
	record []byte
	parts  []bundle.Part
	first  bundle.Reviewers
	now    func() time.Time
	keep   retention
	// written holds the parts that were written ahead of the root.
	written map[string]bool
	// sent is true once the root may have been written.
	sent bool
}

func (r *attempt) unsettled(err error) error {
	if r.sent {
		return errors.Mark(errors.Wrap(err, "read the root back"), ErrResultUnknown)
	}
	return err
}

// try reads the root and replaces it. The root transaction also writes the new
// parts, if they are small enough, and deletes old ones. Only root transactions
// delete parts, so the comparison of the root's revision also ensures that the
// parts named by the accepted root, and those written since it was read, exist.
func (r *attempt) try(ctx context.Context) (bool, error) {
	current, revision, err := ReadRoot(ctx, r.store)
	if err != nil {
		return false, err
	}
	if done, err := r.settle(current); done || err != nil {
		return done, err
	}
	if err := r.root.Verify(current.TrustedReviewers(r.first), r.root.Version-1); err != nil {
		return false, err
	}
	list, listed, err := readDropped(ctx, r.store)
	if err != nil {
		return false, err
	}
	basis := []kv.Compare{{Key: RootKey, ModRevision: revision}, {Key: DroppedPartsKey, ModRevision: listed}}
	inline, ahead := r.divide(current)
	if len(ahead) > 0 && r.written == nil {
		return false, r.announce(ctx, basis, list, ahead)
	}
	if err := r.writeAhead(ctx, ahead); err != nil {
		return false, err
	}
	return r.replaceRoot(ctx, basis, append(inline, r.retire(current, list)...))
}

// replaceRoot writes the root together with the other operations if the basis
// still holds. Otherwise it settles the rollout from the root that is stored
// instead. It returns errRetry if only the list of dropped parts has changed.
func (r *attempt) replaceRoot(ctx context.Context, basis []kv.Compare, others []kv.Op) (bool, error) {
	ops := append([]kv.Op{{Type: kv.OpPut, Key: RootKey, Value: r.record}}, others...)
	r.sent = true
	res, err := r.store.Txn(ctx, kv.Txn{Compares: basis, Ops: ops, OnFailure: []string{RootKey}})
	if err != nil || res.Succeeded {
		return err == nil, err
	}
	if len(res.Read) == 0 {
		return false, r.unsettled(errors.New("root record is gone"))
	}
	current, err := bundle.DecodeRoot(res.Read[0].Value)
	if err != nil {
		return false, err
	}
	done, err := r.settle(current)
	if !done && err == nil {
		err = errors.Wrap(errRetry, "list of dropped parts has changed")
	}
	return done, err
}

// settle compares the accepted root with the own rollout. It returns true if
// the own one was accepted, and an error if it cannot be accepted any more.
func (r *attempt) settle(current *bundle.Root) (bool, error) {
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
	if !known && r.sent {
		return false, errors.Wrapf(ErrResultUnknown, "version %d is accepted by now", current.Version)
	}
	return false, &ConflictError{Winner: winner}
}

// acceptedAt returns the rollout of a version, or the latest one and false if
// the record does not list the version.
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

// divide returns the writes of parts that the accepted root does not name: those
// for the root transaction and those that must be written ahead of it. A part
// that may still be stored from an older version is written again.
func (r *attempt) divide(current *bundle.Root) (inline []kv.Op, ahead []bundle.Part) {
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
	if len(inline) > r.keep.inlineParts || bytes > r.keep.inlineBytes {
		return nil, ahead
	}
	return inline, nil
}

func putPart(p bundle.Part) kv.Op {
	return kv.Op{Type: kv.OpPut, Key: PartKey(p.Name), Value: []byte(p.Content)}
}

// announce lists parts as dropped before they are written, so that they are
// deleted later if this rollout does not succeed. It returns errRetry, because
// the list has a new revision afterwards.
func (r *attempt) announce(ctx context.Context, basis []kv.Compare, list dropped, ahead []bundle.Part) error {
	var names []string
	for _, p := range ahead {
		names = append(names, p.Name)
	}
	next := list.with(r.root.Version, r.now(), names).bounded(r.keep.names)
	res, err := r.store.Txn(ctx, kv.Txn{Compares: basis, Ops: []kv.Op{next.op()}})
	if err != nil {
		return err
	}
	if res.Succeeded {
		r.written = map[string]bool{}
	}
	return errRetry
}

// writeAhead writes parts that do not fit into the root transaction. A stored
// part is never changed, because its name is the hash of its content.
func (r *attempt) writeAhead(ctx context.Context, parts []bundle.Part) error {
	for _, p := range parts {
		if r.written[p.Name] {
			continue
		}
		_, err := r.store.Txn(ctx, kv.Txn{
			Compares: []kv.Compare{{Key: PartKey(p.Name)}},
			Ops:      []kv.Op{putPart(p)},
		})
		if err != nil {
			return err
		}
		r.written[p.Name] = true
	}
	return nil
}

// ReadText returns the accepted root record with the canonical text of its
// bundle. It reads again if a newer root has replaced it meanwhile.
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
