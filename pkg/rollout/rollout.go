package rollout

import (
	"context"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fescuecourse/fescuecourse/pkg/bundle"
	"github.com/fescuecourse/fescuecourse/pkg/ident"
	"github.com/fescuecourse/fescuecourse/pkg/kv"
)

// Keys of bundles in the key-value service.
const (
	RootKey    = "/fescue/bundle/root"
	partPrefix = "/fescue/bundle/parts/"
)

// Pauses between attempts of a rollout.
const (
	rolloutPauseMin = 50 * time.Millisecond
	rolloutPauseMax = 2 * time.Second
)

// ErrResultUnknown reports a rollout whose result could not be read back: the
// service did not respond before the deadline, or too many versions followed.
var ErrResultUnknown = errors.New("result of the rollout is not known")

// ConflictError reports a rollout that lost against another one.
type ConflictError struct {
	// Winner is the accepted rollout of the version that was wanted, or the
	// latest one if the base was outdated by more than the record lists.
	Winner bundle.Accepted
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
	r := &attempt{store: store, root: root, record: record, parts: parts, first: first, written: map[string]bool{}}
	pause := newBackoff(rolloutPauseMin, rolloutPauseMax)
	for {
		done, err := r.try(ctx)
		if done {
			return root, nil
		}
		if !errors.Is(err, kv.ErrUnavailable) && !errors.Is(err, context.DeadlineExceeded) {
			return nil, err
		}
		if !pause.wait(ctx) {
			return nil, r.unsettled(err)
		}
	}
}

// attempt is the state of one rollout over repeated calls.
type attempt struct {
	store   kv.Store
	root    *bundle.Root
	record  []byte
	parts   []bundle.Part
	first   bundle.Reviewers
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

// try reads the root, writes the missing parts and replaces the root.
func (r *attempt) try(ctx context.Context) (bool, error) {
	current, revision, err := ReadRoot(ctx, r.store)
	if err != nil {
		return false, err
	}
	if done, err := r.settle(current); done || err != nil {
		return done, err
	}
	if err := r.root.Verify(current.Trusted(r.first), r.root.Version-1); err != nil {
		return false, err
	}
	r.skipStored(current)
	if err := r.writeParts(ctx); err != nil {
		return false, err
	}
	r.sent = true
	res, err := r.store.Txn(ctx, kv.Txn{
		Compares:  []kv.Compare{{Key: RootKey, ModRevision: revision}},
		Ops:       []kv.Op{{Type: kv.OpPut, Key: RootKey, Value: r.record}},
		OnFailure: []string{RootKey},
	})
	if err != nil || res.Succeeded {
		return err == nil, err
	}
	if len(res.Read) == 0 {
		return false, r.unsettled(errors.New("root record is gone"))
	}
	if current, err = bundle.DecodeRoot(res.Read[0].Value); err != nil {
		return false, err
	}
	done, err := r.settle(current)
	if !done && err == nil {
		err = errors.Wrap(kv.ErrUnavailable, "root changed without a new version")
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
			return false, &ConflictError{Winner: accepted(current)}
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

func accepted(r *bundle.Root) bundle.Accepted {
	return bundle.Accepted{Version: r.Version, RolloutID: r.RolloutID, Operator: r.Operator}
}

// acceptedAt returns the rollout of a version, or the latest one and false if
// the record does not list the version.
func acceptedAt(current *bundle.Root, v ident.BundleVersion) (bundle.Accepted, bool) {
	if current.Version == v {
		return accepted(current), true
	}
	for _, a := range current.Recent {
		if a.Version == v {
			return a, true
		}
	}
	return accepted(current), false
}

// skipStored notes the parts of the accepted root, which are stored already.
// One changed section then costs two writes.
func (r *attempt) skipStored(current *bundle.Root) {
	if current == nil {
		return
	}
	for _, name := range current.Parts {
		r.written[name] = true
	}
}

// writeParts writes the parts that are not stored yet. A stored part is never
// changed, because its name is the hash of its content.
func (r *attempt) writeParts(ctx context.Context) error {
	for _, p := range r.parts {
		if r.written[p.Name] {
			continue
		}
		_, err := r.store.Txn(ctx, kv.Txn{
			Compares: []kv.Compare{{Key: PartKey(p.Name)}},
			Ops:      []kv.Op{{Type: kv.OpPut, Key: PartKey(p.Name), Value: []byte(p.Content)}},
		})
		if err != nil {
			return err
		}
		r.written[p.Name] = true
	}
	return nil
}

// ReadText returns the accepted root record with the canonical text of its bundle.
func ReadText(ctx context.Context, store kv.Store) (*bundle.Root, string, error) {
	root, _, err := ReadRoot(ctx, store)
	if err != nil || root == nil {
		return nil, "", err
	}
	parts := make([]bundle.Part, 0, len(root.Parts))
	for _, name := range root.Parts {
		content, err := readPart(ctx, store, name)
		if err != nil {
			return nil, "", err
		}
		parts = append(parts, bundle.Part{Name: name, Content: content})
	}
	text, err := bundle.Join(root.Version, parts)
	return root, text, err
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
