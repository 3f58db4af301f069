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

// DroppedPartsKey is the key of the list of parts that wait for their deletion. It
// is not below RootKey, so that nodes neither read nor watch it.
const DroppedPartsKey = "/fescue/bundle/dropped"

// retention bounds how long parts stay stored that the root does not name, and
// the size of a root transaction.
type retention struct {
	// versions and age must both have passed before a part is deleted.
	versions ident.BundleVersion
	age      time.Duration
	// certain is the number of versions after which a part is deleted whatever
	// the clocks of the operators say.
	certain ident.BundleVersion
	// deletes bounds the deletions of one root transaction.
	deletes int
	// inlineParts and inlineBytes bound the parts that are written in the root
	// transaction.
	inlineParts, inlineBytes int
	// names bounds the list. Older ones are forgotten and stay stored.
	names int
}

// defaultRetention keeps 42 parts at 6,100 changes a day. A root transaction has
// at most 98 operations, because etcd allows 128 by default. The list stays
// below the value limit of 1 MB.
var defaultRetention = retention{
	versions: 32, age: 10 * time.Minute, certain: 128,
	deletes: 64, inlineParts: 32, inlineBytes: 256 << 10, names: 8192,
}

// droppedGroup lists the parts that one version dropped, or that were written
// for a rollout of this version and may never be named by a root.
type droppedGroup struct {
	Version ident.BundleVersion `json:"version"`
	// AtMs is the operator's wall clock in milliseconds.
	AtMs  int64    `json:"at_ms"`
	Parts []string `json:"parts"`
}

// dropped is the value of DroppedKey, oldest group first.
type dropped struct {
	Groups []droppedGroup `json:"groups"`
}

// readDropped returns the list and its ModRevision. A list that cannot be read
// counts as empty: its parts stay stored, but rollouts go on.
func readDropped(ctx context.Context, store kv.Store) (dropped, int64, error) {
	var d dropped
	pair, err := store.Get(ctx, DroppedPartsKey)
	if errors.Is(err, kv.ErrNotFound) {
		return d, 0, nil
	}
	if err != nil {
		return d, 0, err
	}
	if json.Unmarshal(pair.Value, &d) != nil {
		d = dropped{}
	}
	return d, pair.ModRevision, nil
}

func (d dropped) op() kv.Op {
	raw, _ := json.Marshal(d) // never fails for these types
	return kv.Op{Type: kv.OpPut, Key: DroppedPartsKey, Value: raw}
}

// without returns the list without the parts that root names.
func (d dropped) without(named map[string]bool) dropped {
	var out dropped
	for _, g := range d.Groups {
		g.Parts = slices.DeleteFunc(slices.Clone(g.Parts), func(n string) bool { return named[n] })
		if len(g.Parts) > 0 {
			out.Groups = append(out.Groups, g)
		}
	}
	return out
}

// with returns the list with a new group. A part that is listed already moves
// to the new group.
func (d dropped) with(v ident.BundleVersion, now time.Time, parts []string) dropped {
	if len(parts) == 0 {
		return d
	}
	out := d.without(nameSet(parts))
	out.Groups = append(out.Groups, droppedGroup{Version: v, AtMs: now.UnixMilli(), Parts: parts})
	return out
}

// expire splits off the parts that the root transaction of version v deletes.
func (d dropped) expire(v ident.BundleVersion, now time.Time, r retention) (dropped, []string) {
	var keep dropped
	var remove []string
	for _, g := range d.Groups {
		n := 0
		if g.expired(v, now, r) {
			n = min(len(g.Parts), r.deletes-len(remove))
		}
		remove = append(remove, g.Parts[:n]...)
		g.Parts = g.Parts[n:]
		if len(g.Parts) > 0 {
			keep.Groups = append(keep.Groups, g)
		}
	}
	return keep.bounded(r.names), remove
}

func (g *droppedGroup) expired(v ident.BundleVersion, now time.Time, r retention) bool {
	if v < g.Version+r.versions {
		return false
	}
	return v >= g.Version+r.certain || now.Sub(time.UnixMilli(g.AtMs)) >= r.age
}

// bounded forgets the oldest parts above the limit.
func (d dropped) bounded(limit int) dropped {
	total := 0
	for i := len(d.Groups) - 1; i >= 0; i-- {
		total += len(d.Groups[i].Parts)
		if total > limit {
			return dropped{Groups: slices.Clone(d.Groups[i+1:])}
		}
	}
	return d
}

// retire returns the operations that a root transaction needs beside the root:
// the deletions and the new list. Parts that the accepted root names and the
// new one does not join the list.
func (r *attempt) retire(current *bundle.Root, d dropped) []kv.Op {
	now, v := r.now(), r.root.Version
	named := nameSet(r.root.Parts)
	var left []string
	if current != nil {
		left = slices.DeleteFunc(slices.Clone(current.Parts), func(n string) bool { return named[n] })
		slices.Sort(left)
		left = slices.Compact(left)
	}
	next, remove := d.without(named).with(v, now, left).expire(v, now, r.keep)
	ops := []kv.Op{next.op()}
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
