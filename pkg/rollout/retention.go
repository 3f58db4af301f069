package rollout

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fescuecourse/fescuecourse/pkg/bundle"
	"github.com/fescuecourse/fescuecourse/pkg/ident"
	"github.com/fescuecourse/fescuecourse/pkg/kv"
)

// DroppedPartsKey is the key in the key-value service of the list of dropped parts:
// parts that the root does not reference and that a later rollout deletes. RootKey is
// not a prefix of it, so nodes that list or watch RootKey do not receive it.
const DroppedPartsKey = "/fescue/bundle/dropped"

// retention limits how long parts that the root does not reference stay stored, and
// the size of a root transaction.
type retention struct {
	// A part is deleted only when both minVersions versions and the time minAge have
	// passed since it was listed.
	minVersions ident.BundleVersion
	minAge      time.Duration
	// maxVersions is the number of versions after which a part is deleted regardless
	// of its age, because the clocks of operators may be wrong.
	maxVersions ident.BundleVersion
	// maxDeletes limits the deletions in one root transaction.
	maxDeletes int
	// maxInlineParts and maxInlineBytes limit the parts that the root transaction
	// writes. Above either limit all parts are written before it.
	maxInlineParts, maxInlineBytes int
	// names limits the number of part names in the list. Above it, the oldest groups
	// are removed from the list, and their parts are never deleted from the key-value
	// service.
	names int
}

// defaultRetention keeps 42 unreferenced parts at 6,100 changes a day, because each
// change drops one part and there are 42 changes in minAge. It allows at most 98
// operations in a root transaction (the root, the list, 32 parts and 64 deletions),
// below the key-value service's limit of 128, the default of etcd. The list stays below
// the value limit of 1 MB.
var defaultRetention = retention{
	minVersions: 32, minAge: 10 * time.Minute, maxVersions: 128,
	maxDeletes: 64, maxInlineParts: 32, maxInlineBytes: 256 << 10, names: 8192,
}

// droppedGroup lists the parts that a version no longer references, or the parts
// that were written before the root of a rollout of this version, which may fail.
type droppedGroup struct {
	Version ident.BundleVersion `json:"version"`
	// AtMs is the operator's wall clock time when the group was added, in Unix
	// milliseconds.
	AtMs  int64    `json:"at_ms"`
	Parts []string `json:"parts"`
}

// droppedParts is the value stored under DroppedPartsKey, oldest group first.
type droppedParts struct {
	Groups []droppedGroup `json:"groups"`
}

// readDropped returns the list and its ModRevision. A list that cannot be decoded
// counts as empty, so that rollouts still work; its parts then stay stored.
func readDropped(ctx context.Context, store kv.Store) (droppedParts, int64, error) {
	var d droppedParts
	pair, err := store.Get(ctx, DroppedPartsKey)
	if errors.Is(err, kv.ErrNotFound) {
		return d, 0, nil
	}
	if err != nil {
		return d, 0, err
	}
	if json.Unmarshal(pair.Value, &d) != nil {
		d = droppedParts{}
	}
	return d, pair.ModRevision, nil
}

// putOp returns the operation that writes the list.
func (d droppedParts) putOp() kv.Op {
	raw, _ := json.Marshal(d) // never fails for these types
	return kv.Op{Type: kv.OpPut, Key: DroppedPartsKey, Value: raw}
}

// withoutParts returns the list without the named parts.
func (d droppedParts) withoutParts(named map[string]bool) droppedParts {
	var out droppedParts
	for _, g := range d.Groups {
		g.Parts = slices.DeleteFunc(slices.Clone(g.Parts), func(n string) bool { return named[n] })
		if len(g.Parts) > 0 {
			out.Groups = append(out.Groups, g)
		}
	}
	return out
}

// withGroup returns the list with a new group. A part that is already listed moves
// to the new group.
func (d droppedParts) withGroup(v ident.BundleVersion, now time.Time, parts []string) droppedParts {
	if len(parts) == 0 {
		return d
	}
	out := d.withoutParts(nameSet(parts))
	out.Groups = append(out.Groups, droppedGroup{Version: v, AtMs: now.UnixMilli(), Parts: parts})
	return out
}

// splitExpired returns the list without the expired parts that the root transaction
// of version v deletes, and the names of these parts.
func (d droppedParts) splitExpired(v ident.BundleVersion, now time.Time, r retention) (droppedParts, []string) {
	var keep droppedParts
	var remove []string
	for _, g := range d.Groups {
		n := 0
		if g.expired(v, now, r) {
			n = min(len(g.Parts), r.maxDeletes-len(remove))
		}
		remove = append(remove, g.Parts[:n]...)
		g.Parts = g.Parts[n:]
		if len(g.Parts) > 0 {
			keep.Groups = append(keep.Groups, g)
		}
	}
	return keep.truncated(r.names), remove
}

// expired reports whether the rollout of version v may delete the parts of g.
func (g *droppedGroup) expired(v ident.BundleVersion, now time.Time, r retention) bool {
	if v < g.Version+r.minVersions {
		return false
	}
	return v >= g.Version+r.maxVersions || now.Sub(time.UnixMilli(g.AtMs)) >= r.minAge
}

// truncated returns the newest groups that together have at most limit parts.
func (d droppedParts) truncated(limit int) droppedParts {
	total := 0
	for i := len(d.Groups) - 1; i >= 0; i-- {
		total += len(d.Groups[i].Parts)
		if total > limit {
			return droppedParts{Groups: slices.Clone(d.Groups[i+1:])}
		}
	}
	return d
}

// retentionOps returns the operations of a root transaction that update the list
// of dropped parts and delete expired ones. It adds the parts that the accepted
// root references and the new one does not.
func (r *attempt) retentionOps(current *bundle.Root, d droppedParts) []kv.Op {
	now, v := r.now(), r.root.Version
	named := nameSet(r.root.Parts)
	var left []string
	if current != nil {
		left = slices.DeleteFunc(slices.Clone(current.Parts), func(n string) bool { return named[n] })
		slices.Sort(left)
		left = slices.Compact(left)
	}
	next, remove := d.withoutParts(named).withGroup(v, now, left).splitExpired(v, now, r.policy)
	ops := []kv.Op{next.putOp()}
	for _, name := range remove {
		ops = append(ops, kv.Op{Type: kv.OpDelete, Key: PartKey(name)})
	}
	return ops
}

func nameSet(names []string) map[string]bool {
	set := make(map[string]bool, len(names))
	for _, n := range names {
		set[n] = true
	}
	return set
}
