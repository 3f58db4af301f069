package sidecar

import (
	"context"
	"slices"
	"sync"

	"github.com/fescuecourse/fescuecourse/api/fescuev1"
	"github.com/fescuecourse/fescuecourse/pkg/kv"
	"github.com/fescuecourse/fescuecourse/pkg/mirror"
)

// maxItemBytes limits the values of one response with the operator's items, unless a single
// one is longer. The key-value store accepts values of up to 1 MB.
const maxItemBytes = 1 << 20

// operatorItems keeps the operator's items for entries that cannot read the key-value store.
type operatorItems struct {
	mu    sync.Mutex
	era   kv.Era
	items map[string]kv.Pair
	// revision is the highest one of the items of the era.
	revision int64
	// complete is true once the first list has been read.
	complete bool
}

// apply records changed items. A call without changes means that the first list is complete.
func (o *operatorItems) apply(changes []mirror.Change) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(changes) == 0 {
		o.complete = true
	}
	for i := range changes {
		ch := &changes[i]
		if ch.Deleted {
			delete(o.items, ch.Pair.Key)
			continue
		}
		if o.items == nil || ch.Era != o.era {
			o.era, o.items, o.revision = ch.Era, map[string]kv.Pair{}, 0
		}
		o.items[ch.Pair.Key] = ch.Pair
		o.revision = max(o.revision, ch.Pair.ModRevision)
	}
}

// latest returns the highest revision of the items, or 0 before the first list is complete.
func (o *operatorItems) latest() int64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.complete {
		return 0
	}
	return o.revision
}

// after returns the items with a higher revision than the given one, in the order of their
// revisions.
func (o *operatorItems) after(revision int64) ([]kv.Pair, kv.Era) {
	o.mu.Lock()
	defer o.mu.Unlock()
	var out []kv.Pair
	for key := range o.items {
		if p := o.items[key]; p.ModRevision > revision {
			out = append(out, p)
		}
	}
	slices.SortFunc(out, func(a, b kv.Pair) int { return int(a.ModRevision - b.ModRevision) })
	return out, o.era
}

// ReadOperatorItems implements fescuev1.ResidencyServer.
func (h *hub) ReadOperatorItems(_ context.Context, r *fescuev1.ReadOperatorItemsRequest) (*fescuev1.ReadOperatorItemsResponse, error) {
	pairs, era := h.operator.after(r.GetAfterRevision())
	resp := &fescuev1.ReadOperatorItemsResponse{Era: uint64(era)}
	size := 0
	for i := range pairs {
		p := &pairs[i]
		size += len(p.Value)
		if i > 0 && size > maxItemBytes && p.ModRevision > pairs[i-1].ModRevision {
			break
		}
		resp.Items = append(resp.Items, &fescuev1.OperatorItem{Key: p.Key, Value: p.Value, Revision: p.ModRevision})
	}
	return resp, nil
}
