package demo

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/fescuecourse/fescuecourse/pkg/ident"
	"github.com/fescuecourse/fescuecourse/pkg/workload"
)

// activeLimit is the longest time until an accepted bundle is active everywhere.
const activeLimit = 8 * time.Second

// acceptedBundle is one accepted bundle.
type acceptedBundle struct {
	content content
	// at is the time at which the accepted write of the root was sent.
	at time.Time
}

// history lists the accepted bundles, ordered by version.
type history struct {
	limit time.Duration

	mu   sync.Mutex
	list []acceptedBundle
}

func (h *history) add(b acceptedBundle) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.list = append(h.list, b)
}

func (h *history) all() []acceptedBundle {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.list[:len(h.list):len(h.list)]
}

// resolve names the version that had to answer a request without one. It is the
// version of the answer if that was current in a bundle that was in force at
// any time of the request. Otherwise the request keeps the version of the
// latest such bundle, so that the answer is a violation.
func (h *history) resolve(s *workload.Sample) {
	r := &s.Request
	if !r.IsModel() || strings.Contains(r.Model, "@") {
		return
	}
	name := adapterName{Team: r.Adapter.Team, Name: r.Adapter.Name}
	for _, b := range h.inForce(s.Answer.Start, s.Answer.End) {
		r.Adapter.Version = b.content.Current[name]
		if r.Adapter.String() == s.Answer.Adapter {
			return
		}
	}
}

// inForce returns the bundles that may have been in force between two times: a
// bundle ends when its successor is active everywhere.
func (h *history) inForce(from, to time.Time) []acceptedBundle {
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

// observed is what is known of one node.
type observed struct {
	generation int
	since      time.Time
	version    ident.BundleVersion
}

// monitor checks that accepted bundles become active at every live node in time
// and that no node goes back.
type monitor struct {
	history *history

	mu         sync.Mutex
	nodes      map[string]*observed
	violations []workload.Violation
	// late holds the nodes and bundles that were reported as late.
	late map[string]bool
}

func newMonitor(h *history) *monitor {
	return &monitor{history: h, nodes: map[string]*observed{}, late: map[string]bool{}}
}

// observe notes the version of a node, asked for at the time asked.
func (m *monitor) observe(node string, generation int, asked time.Time, v ident.BundleVersion) {
	m.mu.Lock()
	defer m.mu.Unlock()
	o := m.nodes[node]
	if o == nil || o.generation != generation {
		o = &observed{generation: generation, since: asked}
		m.nodes[node] = o
	}
	if v < o.version {
		m.violations = append(m.violations, workload.Violation{Kind: workload.BundleReverted, Detail: fmt.Sprintf("%s from %d to %d", node, o.version, v)})
	}
	o.version = v
	m.checkTime(node, o, asked)
}

// version returns what a node last had in a generation, or 0.
func (m *monitor) version(node string, generation int) ident.BundleVersion {
	m.mu.Lock()
	defer m.mu.Unlock()
	if o := m.nodes[node]; o != nil && o.generation == generation {
		return o.version
	}
	return 0
}

// checkAnswer checks that an answer was resolved under no older bundle than the
// entry had before the request. Answers without a version are early refusals.
func (m *monitor) checkAnswer(node string, before, got ident.BundleVersion) {
	if got == 0 || got >= before {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.violations = append(m.violations, workload.Violation{Kind: workload.BundleReverted, Detail: fmt.Sprintf("%s answered under %d after %d", node, got, before)})
}

// gone forgets a node that does not answer because of a fault of its process.
func (m *monitor) gone(node string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.nodes, node)
}

// checkTime checks that the node has every bundle that has been accepted for
// longer than the limit. The time runs from the start of the node if that is
// later.
func (m *monitor) checkTime(node string, o *observed, asked time.Time) {
	for _, b := range m.history.all() {
		begin := b.at
		if o.since.After(begin) {
			begin = o.since
		}
		key := fmt.Sprintf("%s generation %d bundle %d", node, o.generation, b.content.Version)
		if o.version >= b.content.Version || asked.Before(begin.Add(m.history.limit)) || m.late[key] {
			continue
		}
		m.late[key] = true
		m.violations = append(m.violations, workload.Violation{Kind: workload.BundleActivatedLate, Detail: fmt.Sprintf("%s has %d after %v", key, o.version, asked.Sub(begin).Round(time.Millisecond))})
	}
}

// activeAt reports whether every observed node has version v.
func (m *monitor) activeAt(v ident.BundleVersion) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, o := range m.nodes {
		if o.version < v {
			return false
		}
	}
	return len(m.nodes) > 0
}

// seenBy reports whether any entry has version v.
func (m *monitor) seenBy(entries []*EntryServer, v ident.BundleVersion) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, e := range entries {
		if o := m.nodes[e.set.ID]; o != nil && o.version >= v {
			return true
		}
	}
	return false
}

func (m *monitor) found() []workload.Violation {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.violations
}
