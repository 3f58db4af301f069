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

// Errors returned when a bundle is adopted.
var (
	// ErrVersionNotHigher means that the version is not above the active one.
	ErrVersionNotHigher = errors.New("bundle version is not above the active one")
	// ErrMissingParts means that not all parts of the bundle are available.
	ErrMissingParts = errors.New("bundle has missing parts")
	// ErrPreviousMismatch means that the root has the next version, but its Previous
	// hash is not that of the active root.
	ErrPreviousMismatch = errors.New("root record does not follow the active one")
)

// ActiveBundle is an adopted bundle in the form in which it is stored and sent to
// peers. It is immutable.
type ActiveBundle struct {
	Root *bundle.Root
	// Record is the encoded root record.
	Record []byte
	// Parts holds the contents of the parts by name.
	Parts map[string]string
}

// Syncer verifies bundles and adopts them into a Holder, each with a higher version
// than the one before. It is safe for concurrent use.
type Syncer struct {
	holder           *Holder
	initialReviewers bundle.Reviewers
	log              logging.Logger

	mu      sync.Mutex // serializes adoption
	active  atomic.Pointer[ActiveBundle]
	adopted atomic.Pointer[chan struct{}]
}

// NewSyncer returns a syncer that adopts bundles into h. Until a bundle is active,
// bundles must be signed by initialReviewers, which come from the settings.
func NewSyncer(h *Holder, initialReviewers bundle.Reviewers, log logging.Logger) *Syncer {
	s := &Syncer{holder: h, initialReviewers: initialReviewers, log: log.For(logging.ComponentBundle)}
	ch := make(chan struct{})
	s.adopted.Store(&ch)
	return s
}

// ActiveBundle returns the active bundle, or nil before the first adoption.
func (s *Syncer) ActiveBundle() *ActiveBundle { return s.active.Load() }

// Version returns the version of the active bundle, or 0 if there is none.
func (s *Syncer) Version() ident.BundleVersion { return s.holder.Version() }

// NextAdoption returns a channel that is closed when the next bundle is adopted.
func (s *Syncer) NextAdoption() <-chan struct{} { return *s.adopted.Load() }

// Check decodes and verifies an encoded root record. It returns the root and the
// names of its parts that the active bundle does not have. Its errors are those of
// bundle.DecodeRoot, ErrVersionNotHigher, ErrPreviousMismatch and
// bundle.ErrUnverified.
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
	return root, missingParts(root, active), nil
}

func (s *Syncer) verify(root *bundle.Root, active *ActiveBundle) error {
	if active == nil {
		return root.Verify(s.initialReviewers, 0)
	}
	if root.Version == active.Root.Version+1 && root.Previous != active.Root.Hash() {
		return ErrPreviousMismatch
	}
	return root.Verify(active.Root.TrustedReviewers(s.initialReviewers), active.Root.Version)
}

// missingParts returns the names of the parts of root that active does not have,
// without duplicates.
func missingParts(root *bundle.Root, active *ActiveBundle) []string {
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

// Adopt verifies an encoded root record, takes its parts from the active bundle and
// from the given parts (contents by name), and makes the result the active bundle.
// Besides the errors of Check it returns ErrMissingParts, bundle.ErrPartMismatch,
// bundle.ErrMalformedRoot or a findings.List.
func (s *Syncer) Adopt(record []byte, parts map[string]string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	root, _, err := s.Check(record)
	if err != nil {
		return err
	}
	next, list, err := s.assemble(root, record, parts)
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
	s.notifyAdoption()
	s.log.Info().Uint("version", uint64(root.Version)).Str("rollout", root.RolloutID).Str("operator", root.Operator).Msg("bundle adopted")
	return nil
}

// assemble collects the parts of root from the active bundle and from parts. It
// checks the content hash of each part that is not in the active bundle.
func (s *Syncer) assemble(root *bundle.Root, record []byte, parts map[string]string) (*ActiveBundle, []bundle.Part, error) {
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

func (s *Syncer) notifyAdoption() {
	ch := make(chan struct{})
	close(*s.adopted.Swap(&ch))
}
