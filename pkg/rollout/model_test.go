package rollout

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/fescuecourse/fescuecourse/internal/testkey"
	"github.com/fescuecourse/fescuecourse/pkg/bundle"
	"github.com/fescuecourse/fescuecourse/pkg/ident"
	"github.com/fescuecourse/fescuecourse/pkg/kv"
	"github.com/fescuecourse/fescuecourse/pkg/logging"
)

// rolloutModel is the state of a model-based test: operators and nodes that share
// one store and run one call at a time.
type rolloutModel struct {
	store            *fakeStore
	initialReviewers bundle.Reviewers
	operators        [3]*attempt
	bases            []*bundle.Root // roots that operators have read
	nodes            []*Syncer
	seen             []ident.BundleVersion
	proposals        int
}

func newRolloutModel() *rolloutModel {
	m := &rolloutModel{store: newFakeStore(), initialReviewers: testReviewers("a", "b"), bases: []*bundle.Root{nil}}
	for range 4 {
		m.nodes = append(m.nodes, NewSyncer(&Holder{}, m.initialReviewers, logging.Nop()))
	}
	m.seen = make([]ident.BundleVersion, len(m.nodes))
	return m
}

// start lets an operator propose a bundle. Its base may be outdated, and its
// signatures may not be sufficient.
func (m *rolloutModel) start(t *rapid.T, i int) {
	m.proposals++
	base := m.bases[len(m.bases)-1-rapid.IntRange(0, min(3, len(m.bases)-1)).Draw(t, "age")]
	version := 1
	if base != nil {
		version = int(base.Version) + 1
	}
	sets := []bundle.Reviewers{testReviewers("a", "b"), testReviewers("b", "c"), testReviewers("c", "d", "e")}
	// With few different contents, rollouts often restore an older one whose parts
	// are listed for deletion.
	content := rapid.IntRange(0, 3).Draw(t, "content")
	text := testText(version, 3, content, rapid.SampledFrom(sets).Draw(t, "reviewers"))
	trusted := base.TrustedReviewers(m.initialReviewers)
	signers := []string{trusted[0].Name, trusted[len(trusted)-1].Name}
	if rapid.IntRange(0, 5).Draw(t, "unsigned") == 0 {
		signers = []string{signers[0], signers[0], "mallory"}
	}
	p := propose(fmt.Sprint("operator-", i), text, base, signers...)
	root, parts, err := p.Build()
	assert.NilError(t, err)
	record, err := root.Encode()
	assert.NilError(t, err)
	clock := time.Duration(rapid.IntRange(-2, 2).Draw(t, "clock")) * time.Hour
	policy := retention{minVersions: retainedRoots, minAge: time.Hour, maxVersions: 4, maxDeletes: 2, maxInlineParts: rapid.IntRange(0, 1).Draw(t, "inline"), maxInlineBytes: 1 << 20, names: 100}
	m.operators[i] = &attempt{
		store: m.store, root: root, record: record, parts: parts, initialReviewers: m.initialReviewers, policy: policy,
		now: func() time.Time { return time.Unix(1e9, 0).Add(clock) },
	}
}

// step lets an operator start a rollout or attempt it once, and compares the result
// with the roots that the store has accepted.
func (m *rolloutModel) step(t *rapid.T, i int) {
	a := m.operators[i]
	if a == nil {
		m.start(t, i)
		return
	}
	done, err := a.try(context.Background())
	if errors.Is(err, kv.ErrUnavailable) || errors.Is(err, errRetry) {
		return
	}
	m.operators[i] = nil
	won := m.accepted(a.root.Version) == a.root.RolloutID
	conflict := &ConflictError{}
	switch {
	case done:
		assert.Assert(t, won, "an operator got success for a rollout that was not accepted")
	case errors.As(err, &conflict):
		assert.Assert(t, !won, "an operator got a conflict for a rollout that was accepted")
		assert.Equal(t, m.accepted(conflict.Winner.Version), conflict.Winner.RolloutID)
	case errors.Is(err, bundle.ErrUnverified):
		assert.Assert(t, !won)
	default:
		assert.NilError(t, err)
	}
}

func (m *rolloutModel) accepted(v ident.BundleVersion) string {
	if v == 0 || int(v) > len(m.store.accepted) {
		return ""
	}
	return m.store.accepted[v-1].RolloutID
}

func (m *rolloutModel) readBase() {
	root, _, err := ReadRoot(context.Background(), m.store)
	if err == nil && root != nil {
		m.bases = append(m.bases, root)
	}
}

// transfer sends the bundle of one node to another. The damage "drop" leaves a part
// out, "change" modifies a part, and "forge" replaces the version and the signatures.
func (m *rolloutModel) transfer(from, to *Syncer, damage string) error {
	active := from.ActiveBundle()
	if active == nil {
		return nil
	}
	record := active.Record
	if damage == "forge" {
		forged := *active.Root
		forged.Version += 3
		forged.Signatures = []bundle.Signature{forged.Sign("a", testkey.Private("a")), forged.Sign("x", testkey.Private("x"))}
		record, _ = forged.Encode()
	}
	_, names, err := to.Check(record)
	if err != nil {
		return err
	}
	parts := map[string]string{}
	for _, n := range names {
		parts[n] = active.Parts[n]
	}
	if damage == "drop" && len(names) > 0 {
		delete(parts, names[0])
	}
	if damage == "change" && len(names) > 0 {
		parts[names[0]] += "\n"
	}
	return to.Adopt(record, parts)
}

// retainedRoots is how many roots before the accepted one must still have all parts.
const retainedRoots = 2

// checkStored checks that the parts of the latest roots exist, and that every
// stored part that the accepted root does not reference is listed for deletion.
func (m *rolloutModel) checkStored(t *rapid.T) {
	named := map[string]bool{}
	n := len(m.store.accepted)
	for i, root := range m.store.accepted[max(0, n-1-retainedRoots):] {
		named = nameSet(root.Parts)
		for name := range named {
			_, ok := m.store.pairs[PartKey(name)]
			assert.Assert(t, ok, "part %s is not stored, but root %d of the latest ones references it", name, i)
		}
	}
	var list droppedParts
	if p, ok := m.store.pairs[DroppedPartsKey]; ok {
		assert.NilError(t, json.Unmarshal(p.Value, &list))
	}
	for _, g := range list.Groups {
		for _, name := range g.Parts {
			assert.Assert(t, !named[name], "part %s of the accepted root is listed for deletion", name)
			named[name] = true
		}
	}
	for key := range m.store.pairs {
		if name, ok := strings.CutPrefix(key, partPrefix); ok {
			assert.Assert(t, named[name], "part %s is neither referenced nor listed for deletion", name)
		}
	}
}

func (m *rolloutModel) check(t *rapid.T) {
	m.checkStored(t)
	for i, r := range m.store.accepted {
		assert.Equal(t, int(r.Version), i+1, "versions of accepted rollouts have a gap or two winners")
	}
	for i, n := range m.nodes {
		v := n.Version()
		assert.Assert(t, v >= m.seen[i], "bundle version of node %d fell from %d to %d", i, m.seen[i], v)
		m.seen[i] = v
		if v > 0 {
			assert.Equal(t, n.ActiveBundle().Root.Hash(), m.store.accepted[v-1].Hash(), "node %d has a bundle that was never accepted", i)
			assert.Equal(t, n.ActiveBundle().Root.Version, v)
		}
	}
}

// converge ends all faults, lets each node update its bundle once, and checks that
// all nodes have the latest version.
func (m *rolloutModel) converge(t *rapid.T) {
	m.store.setDown(false)
	m.store.applyDelayed()
	m.store.nextRootFault, m.store.beforeRoot, m.store.beforePart = faultNone, nil, nil
	for _, n := range m.nodes[:2] {
		_, err := n.Sync(context.Background(), m.store)
		assert.NilError(t, err)
	}
	for _, n := range m.nodes[2:] {
		if err := m.transfer(m.nodes[0], n, ""); err != nil {
			assert.ErrorIs(t, err, ErrVersionNotHigher)
		}
	}
	for i, n := range m.nodes {
		assert.Equal(t, int(n.Version()), len(m.store.accepted), "node %d did not converge", i)
	}
}

// Guards against these faults under random interleavings of concurrent rollouts,
// lost calls and damaged transfers: two accepted rollouts of one version, a wrong
// result returned to an operator, deletion of parts of the accepted root, other
// parts that are never deleted, nodes that return to a lower version or adopt a
// bundle that was not accepted, and nodes that do not converge after the faults.
// Nodes 0 and 1 are entries that read the key-value service; 2 and 3 are endpoints.
func TestRolloutModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newRolloutModel()
		operator := rapid.IntRange(0, len(m.operators)-1)
		node := rapid.IntRange(0, len(m.nodes)-1)
		t.Repeat(map[string]func(*rapid.T){
			"":          m.check,
			"operator":  func(t *rapid.T) { m.step(t, operator.Draw(t, "operator")) },
			"operator2": func(t *rapid.T) { m.step(t, operator.Draw(t, "operator")) },
			"give up":   func(t *rapid.T) { m.operators[operator.Draw(t, "operator")] = nil },
			"read base": func(*rapid.T) { m.readBase() },
			"race": func(t *rapid.T) {
				i := operator.Draw(t, "operator")
				m.store.beforeRoot = func() {
					if m.operators[i] != nil {
						_, _ = m.operators[i].try(context.Background())
					}
				}
			},
			"overtaken": func(t *rapid.T) {
				i := operator.Draw(t, "operator")
				m.store.nextRootFault = faultLostReply
				m.step(t, i)
				m.readBase()
				for range 2 {
					m.step(t, (i+1)%len(m.operators))
				}
				m.step(t, i)
			},
			"replaced during a read": func(t *rapid.T) {
				i := operator.Draw(t, "operator")
				m.store.beforePart = func() {
					for range 12 { // replaces the root often enough for deletions
						m.readBase()
						m.step(t, i)
					}
				}
				_, err := m.nodes[0].Sync(context.Background(), m.store)
				m.store.beforePart = nil
				assert.Assert(t, err == nil || errors.Is(err, kv.ErrUnavailable), "%v", err)
			},
			"fate":   func(t *rapid.T) { m.store.nextRootFault = txnFault(rapid.IntRange(1, 3).Draw(t, "fate")) },
			"late":   func(*rapid.T) { m.store.applyDelayed() },
			"outage": func(t *rapid.T) { m.store.setDown(rapid.IntRange(0, 3).Draw(t, "down") == 0) },
			"sync": func(t *rapid.T) {
				_, _ = m.nodes[rapid.IntRange(0, 1).Draw(t, "entry")].Sync(context.Background(), m.store)
			},
			"transfer": func(t *rapid.T) {
				damage := rapid.SampledFrom([]string{"", "", "drop", "change", "forge"}).Draw(t, "damage")
				_ = m.transfer(m.nodes[node.Draw(t, "from")], m.nodes[node.Draw(t, "to")], damage)
			},
		})
		m.converge(t)
		m.check(t)
	})
}
