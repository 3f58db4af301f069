// Package rollout brings configuration bundles into effect. Operators roll out a
// bundle by a compare-and-swap of its root record in the key-value service. Entries
// read it from there, and entries and endpoints pass it on to each other. Each of these
// nodes verifies a bundle before it adopts it.
package rollout

import (
	"sync/atomic"

	"github.com/fescuecourse/fescuecourse/pkg/bundle"
	"github.com/fescuecourse/fescuecourse/pkg/ident"
	"github.com/fescuecourse/fescuecourse/pkg/invariant"
)

// Holder holds the active bundle of a process. Reads are lock-free.
type Holder struct {
	current atomic.Pointer[bundle.Bundle]
}

// Current returns the active bundle, or nil before the first adoption.
func (h *Holder) Current() *bundle.Bundle { return h.current.Load() }

// Version returns the version of the active bundle, or 0.
func (h *Holder) Version() ident.BundleVersion {
	if b := h.current.Load(); b != nil {
		return b.Version()
	}
	return 0
}

// Adopt makes b the active bundle if its version is higher than the active one, and
// reports whether it did.
func (h *Holder) Adopt(b *bundle.Bundle) bool {
	for {
		old := h.current.Load()
		if old != nil && b.Version() <= old.Version() {
			return false
		}
		if h.current.CompareAndSwap(old, b) {
			invariant.Check(old == nil || old.Version() < b.Version(), invariant.BundleVersionRises, "adopted %d", b.Version())
			return true
		}
	}
}
