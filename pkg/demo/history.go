package demo

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/fescuecourse/fescuecourse/pkg/ident"
	"github.com/fescuecourse/fescuecourse/pkg/workload"
)

// defaultActiveLimit is the longest allowed time from the acceptance of a bundle
// until it is active on every node.
const defaultActiveLimit = 8 * time.Second

// acceptedBundle is a bundle whose rollout was accepted.
type acceptedBundle struct {
	bundleContent bundleContent
	// at is when the accepted write of the root record was sent.
	at time.Time
}

// bundleHistory lists the accepted bundles, sorted by version.
type bundleHistory struct {
	limit time.Duration

	mu   sync.Mutex
	list []acceptedBundle
}

func (h *bundleHistory) add(b acceptedBundle) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.list = append(h.list, b)
}

func (h *bundleHistory) all() []acceptedBundle {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.list[:len(h.list):len(h.list)]
}

// resolveVersion sets the expected adapter version of a request that names none.
// Several bundles may have been in force during the request. If the version of the
// answer was current in one of them, that version is expected. Otherwise the current
// version of the latest of them is expected, so that the answer counts as a violation.
func (h *bundleHistory) resolveVersion(s *workload.Sample) {
	r := &s.Request
	if !r.IsModel() || strings.Contains(r.Model, "@") {
		return
	}
	name := adapterName{Team: r.Adapter.Team, Name: r.Adapter.Name}
	for _, b := range h.inForce(s.Answer.Start, s.Answer.End) {
		r.Adapter.Version = b.bundleContent.Current[name]
		if r.Adapter.String() == s.Answer.Adapter {
			return
		}
	}
}

// inForce returns the bundles that may have been in force between two times. A
// bundle may be in force until its successor must be active everywhere.
func (h *bundleHistory) inForce(from, to time.Time) []acceptedBundle {
	list := h.all()
	var out []acceptedBundle
	for i, b := range list {
		replaced := i+1 < len(list) && list[i+1].at.Add(h.limit).Before(from)
		if !replaced && !b.at.After(to) {
			out = append(out, b)
		}
	}
	return out
}

// nodeState is the last known state of a node. firstSeen is the time of the first
// query that this generation of its process answered.
type nodeState struct {
	generation int
	firstSeen  time.Time
	version    ident.BundleVersion
}

// versionMonitor checks that accepted bundles become active on every live node in
// time and that no node reverts to an older bundle.
type versionMonitor struct {
	bundleHistory *bundleHistory

	mu         sync.Mutex
	nodes      map[string]*nodeState
	violations []workload.Violation
	// reportedLate holds the nodes and bundles that were already reported as late.
	reportedLate map[string]bool
}

func newMonitor(h *bundleHistory) *versionMonitor {
	return &versionMonitor{bundleHistory: h, nodes: map[string]*nodeState{}, reportedLate: map[string]bool{}}
}

// observe records that a node answered a query, sent at the time asked, with version
// v.
func (m *versionMonitor) observe(node string, generation int, asked time.Time, v ident.BundleVersion) {
	m.mu.Lock()
	defer m.mu.Unlock()
	o := m.nodes[node]
	if o == nil || o.generation != generation {
		o = &nodeState{generation: generation, firstSeen: asked}
		m.nodes[node] = o
	}
	if v < o.version {
		m.violations = append(m.violations, workload.Violation{Kind: workload.BundleReverted, Detail: fmt.Sprintf("%s from %d to %d", node, o.version, v)})
	}
	o.version = v
	m.checkActivation(node, o, asked)
}

// version returns the version that a node last had in a generation of its process,
// or 0.
func (m *versionMonitor) version(node string, generation int) ident.BundleVersion {
	m.mu.Lock()
	defer m.mu.Unlock()
	if o := m.nodes[node]; o != nil && o.generation == generation {
		return o.version
	}
	return 0
}

// checkAnswer checks that an answer was not resolved under an older bundle than the
// entry had before the request. Answers without a version are early refusals and are
// not checked.
func (m *versionMonitor) checkAnswer(node string, before, got ident.BundleVersion) {
	if got == 0 || got >= before {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.violations = append(m.violations, workload.Violation{Kind: workload.BundleReverted, Detail: fmt.Sprintf("%s answered under %d after %d", node, got, before)})
}

// forget removes a node whose process is stopped or frozen.
func (m *versionMonitor) forget(node string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.nodes, node)
}

// checkActivation checks that the node has every bundle that was accepted longer ago
// than the limit. If the node was first seen after the acceptance, the time runs
// from then.
func (m *versionMonitor) checkActivation(node string, o *nodeState, asked time.Time) {
	for _, b := range m.bundleHistory.all() {
		begin := b.at
		if o.firstSeen.After(begin) {
			begin = o.firstSeen
		}
		key := fmt.Sprintf("%s generation %d bundle %d", node, o.generation, b.bundleContent.Version)
		if o.version >= b.bundleContent.Version || asked.Before(begin.Add(m.bundleHistory.limit)) || m.reportedLate[key] {
			continue
		}
		m.reportedLate[key] = true
		m.violations = append(m.violations, workload.Violation{Kind: workload.BundleActivatedLate, Detail: fmt.Sprintf("%s has %d after %v", key, o.version, asked.Sub(begin).Round(time.Millisecond))})
	}
}

// activeAt reports whether every observed node has at least version v.
func (m *versionMonitor) activeAt(v ident.BundleVersion) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, o := range m.nodes {
		if o.version < v {
			return false
		}
	}
	return len(m.nodes) > 0
}

// seenBy reports whether any of the entries has at least version v.
func (m *versionMonitor) seenBy(entries []*EntryServer, v ident.BundleVersion) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, e := range entries {
		if o := m.nodes[e.settings.ID]; o != nil && o.version >= v {
			return true
		}
	}
	return false
}

func (m *versionMonitor) found() []workload.Violation {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.violations
}
