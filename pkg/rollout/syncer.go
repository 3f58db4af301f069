package rollout

import (
	"sync"
	"sync/atomic"

	"github.com/cockroachdb/errors"

	"github.com/fescuecourse/fescuecourse/pkg/bundle"
	"github.com/fescuecourse/fescuecourse/pkg/ident"
	"github.com/fescuecourse/fescuecourse/pkg/invariant"
	"github.com/fescuecourse/fescuecourse/pkg/logging"
)

// Errors of adoption.
var (
	// ErrVersionNotHigher reports a root whose version is not above the active one.
	ErrVersionNotHigher = errors.New("bundle version is not above the active one")
	// ErrMissingParts reports a bundle that is not complete.
	ErrMissingParts = errors.New("bundle has missing parts")
	// ErrPreviousMismatch reports a root that does not follow the active one.
	ErrPreviousMismatch = errors.New("root record does not follow the active one")
)

// ActiveBundle is an adopted bundle with its stored form. It is immutable.
type ActiveBundle struct {
	Root   *bundle.Root
	Record []byte
	// Parts holds the contents by part name.
	Parts map[string]string
}

// Syncer adopts verified bundles with rising versions into a Holder.
type Syncer struct {
	holder *Holder
	first  bundle.Reviewers
	log    logging.Logger

	mu      sync.Mutex // serializes adoption
	active  atomic.Pointer[ActiveBundle]
	changed atomic.Pointer[chan struct{}]
}

// NewSyncer returns a syncer for the holder. Until a bundle is active, the
// first reviewers from the settings are trusted.
func NewSyncer(h *Holder, first bundle.Reviewers, log logging.Logger) *Syncer {
	s := &Syncer{holder: h, first: first, log: log.For(logging.ComponentBundle)}
	ch := make(chan struct{})
	s.changed.Store(&ch)
	return s
}

// ActiveBundle returns the adopted bundle, or nil.
func (s *Syncer) ActiveBundle() *ActiveBundle { return s.active.Load() }

// Version returns the version of the active bundle, or 0.
func (s *Syncer) Version() ident.BundleVersion { return s.holder.Version() }

// NextAdoption returns a channel that is closed at the next adoption.
func (s *Syncer) NextAdoption() <-chan struct{} { return *s.changed.Load() }

// Check decodes and verifies a root record and returns the names of the parts
// that are missing here. It returns ErrNotHigher for a version that is not
// above the active one.
func (s *Syncer) Check(record []byte) (*bundle.Root, []string, error) {
	root, err := bundle.DecodeRoot(record)
	if err != nil {
		return nil, nil, err
	}
	active := s.active.Load()
	if root.Version <= s.holder.Version() {
		return nil, nil, ErrVersionNotHigher
	}
	if err := s.verify(root, active); err != nil {
		return nil, nil, err
	}
	return root, missing(root, active), nil
}

func (s *Syncer) verify(root *bundle.Root, active *ActiveBundle) error {
	if active == nil {
		return root.Verify(s.first, 0)
	}
	if root.Version == active.Root.Version+1 && root.Previous != active.Root.Hash() {
		return ErrPreviousMismatch
	}
	return root.Verify(active.Root.TrustedReviewers(s.first), active.Root.Version)
}

// missing returns each part of root that is not in active once.
func missing(root *bundle.Root, active *ActiveBundle) []string {
	var out []string
	seen := map[string]bool{}
	for _, name := range root.Parts {
		if seen[name] {
			continue
		}
		seen[name] = true
		if active != nil {
			if _, ok := active.Parts[name]; ok {
				continue
			}
		}
		out = append(out, name)
	}
	return out
}

// Adopt verifies a root record, completes it with the given parts and those of
// the active bundle, and makes it the active bundle.
func (s *Syncer) Adopt(record []byte, parts map[string]string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	root, _, err := s.Check(record)
	if err != nil {
		return err
	}
	next, list, err := s.complete(root, record, parts)
	if err != nil {
		return err
	}
	b, found := bundle.Compile(root.Version, list)
	if err := found.Err(); err != nil {
		return err
	}
	if !b.Reviewers().Equal(root.Reviewers) {
		return errors.Wrap(bundle.ErrMalformedRoot, "reviewers differ from those of the bundle")
	}
	invariant.Check(s.verify(root, s.active.Load()) == nil, invariant.BundleVerified, "adopted %d", root.Version)
	if !s.holder.Adopt(b) {
		return ErrVersionNotHigher
	}
	s.active.Store(next)
	s.notify()
	s.log.Info().Uint("version", uint64(root.Version)).Str("rollout", root.RolloutID).Str("operator", root.Operator).Msg("bundle adopted")
	return nil
}

// complete collects the parts of root and checks the hashes of new ones.
func (s *Syncer) complete(root *bundle.Root, record []byte, parts map[string]string) (*ActiveBundle, []bundle.Part, error) {
	active := s.active.Load()
	next := &ActiveBundle{Root: root, Record: record, Parts: make(map[string]string, len(root.Parts))}
	list := make([]bundle.Part, 0, len(root.Parts))
	for _, name := range root.Parts {
		content, ok := "", false
		if active != nil {
			content, ok = active.Parts[name]
		}
		if !ok {
			content, ok = parts[name]
			if !ok {
				return nil, nil, errors.Wrapf(ErrMissingParts, "part %s", name)
			}
			if bundle.PartName(content) != name {
				return nil, nil, errors.Wrapf(bundle.ErrPartMismatch, "part %s", name)
			}
		}
		next.Parts[name] = content
		list = append(list, bundle.Part{Name: name, Content: content})
	}
	return next, list, nil
}

func (s *Syncer) notify() {
	ch := make(chan struct{})
	close(*s.changed.Swap(&ch))
}
