package sidecar

import (
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/protobuf/proto"

	"github.com/fescuecourse/fescuecourse/api/fescuev1"
	"github.com/fescuecourse/fescuecourse/pkg/fleet"
	"github.com/fescuecourse/fescuecourse/pkg/residency"
)

const (
	// loadInterval bounds how often changed load figures are sent. A changed set of
	// adapters is sent at once.
	loadInterval = 200 * time.Millisecond
	// stateInterval is the interval of states without a change.
	stateInterval = 500 * time.Millisecond
	// urgentTokens is the change of the backlog that is sent at once: about 100 ms of
	// a server's work. Other entries would choose the same server meanwhile.
	urgentTokens = 4000
)

// hub connects the entries: it collects their demand and sends them states.
type hub struct {
	fescuev1.UnimplementedResidencyServer
	wake chan struct{}

	mu      sync.Mutex
	entries map[*peer]struct{}
	state   *fescuev1.ServerState
	light   *fescuev1.ServerState // state without the models and adapters
	held    string                // the models and adapters of state
	backlog uint64                // prompt tokens of all classes in state
	// asked are the instances named by entries that led to a look at the server,
	// while it is the one in askedAs.
	asked   map[string]bool
	askedAs string
	// parts are those of the instance in partsOf.
	parts   *partLog
	partsOf string
}

// peer is one connected entry.
type peer struct {
	update *fescuev1.DemandUpdate
	// arrivals are those not yet counted by the planner.
	arrivals map[fleet.AdapterKey]int
	notify   chan struct{}
	// position is how far the entry has been told of the parts.
	position int
}

func newHub(wake chan struct{}) *hub {
	return &hub{wake: wake, entries: map[*peer]struct{}{}, asked: map[string]bool{}, parts: newPartLog()}
}

// Sync implements fescuev1.ResidencyServer.
func (h *hub) Sync(stream grpc.BidiStreamingServer[fescuev1.DemandUpdate, fescuev1.ServerState]) error {
	p := &peer{arrivals: map[fleet.AdapterKey]int{}, notify: make(chan struct{}, 1)}
	h.mu.Lock()
	h.entries[p] = struct{}{}
	h.mu.Unlock()
	defer h.leave(p)
	failed := make(chan error, 1)
	go func() { failed <- h.receive(p, stream) }()
	return h.send(p, stream, failed)
}

func (h *hub) leave(p *peer) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.entries, p)
}

func (h *hub) receive(p *peer, stream grpc.BidiStreamingServer[fescuev1.DemandUpdate, fescuev1.ServerState]) error {
	for {
		m, err := stream.Recv()
		if err != nil {
			return err //nolint:wrapcheck // a status of the stream
		}
		if h.record(p, m) {
			signal(h.wake)
		}
	}
}

// record stores the demand of an entry. It reports whether requests wait.
func (h *hub) record(p *peer, m *fescuev1.DemandUpdate) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	p.update = m
	if m.GetInstanceId() == h.partsOf {
		h.parts.add(time.Now(), p, m.GetReadParts())
	}
	waiting := false
	for _, a := range m.GetAdapters() {
		p.arrivals[keyOf(a)] += int(a.GetArrivals())
		waiting = waiting || a.GetWaiting() > 0
	}
	h.announceBacklog()
	return waiting
}

// announceBacklog makes a backlog known at once that has changed much. It is called
// with mu held.
func (h *hub) announceBacklog() {
	sum := h.sumBacklog()
	if h.state == nil || apart(total(sum), h.backlog) < urgentTokens {
		return
	}
	m, ok := proto.Clone(h.state).(*fescuev1.ServerState)
	if !ok {
		return // a clone has the type of its original
	}
	m.BacklogTokens = sum
	h.state, h.light, h.backlog = m, withoutHoldings(m), total(sum)
	h.notifyAll()
}

func total(tokens []uint64) uint64 {
	sum := uint64(0)
	for _, n := range tokens {
		sum += n
	}
	return sum
}

func apart(a, b uint64) uint64 { return max(a, b) - min(a, b) }

// notifyAll is called with mu held.
func (h *hub) notifyAll() {
	for p := range h.entries {
		signal(p.notify)
	}
}

func keyOf(a *fescuev1.AdapterDemand) fleet.AdapterKey {
	return fleet.AdapterKey{Model: a.GetModel(), Name: a.GetAdapter()}
}

// send passes states on: changed sets of adapters at once, load figures and
// unchanged states at their intervals.
func (h *hub) send(p *peer, stream grpc.BidiStreamingServer[fescuev1.DemandUpdate, fescuev1.ServerState], failed <-chan error) error {
	tick := time.NewTicker(loadInterval)
	defer tick.Stop()
	var (
		last published
		at   time.Time
	)
	for {
		state, now := h.current(), time.Now()
		if state.message != nil && due(&state, &last, now.Sub(at)) {
			message := state.message
			if state.held == last.held {
				message = h.news(p, state)
			}
			if err := stream.Send(message); err != nil {
				return err //nolint:wrapcheck // a status of the stream
			}
			last, at = state, now
		}
		select {
		case err := <-failed:
			return err
		case <-stream.Context().Done():
			return nil
		case <-p.notify:
		case <-tick.C:
		}
	}
}

// due reports whether a state is sent to an entry that was sent another one before.
func due(state, last *published, since time.Duration) bool {
	switch {
	case since >= stateInterval, state.held != last.held:
		return true
	case state.message == last.message:
		return false
	default:
		return since >= loadInterval || apart(state.backlog, last.backlog) >= urgentTokens
	}
}

// news returns the light form of a state with the parts that the entry has not been
// told of.
func (h *hub) news(p *peer, state published) *fescuev1.ServerState {
	h.mu.Lock()
	defer h.mu.Unlock()
	parts, position := h.parts.since(p.position, p)
	p.position = position
	if len(parts) == 0 || state.message.GetInstanceId() != h.partsOf {
		return state.light
	}
	m := withoutHoldings(state.message)
	m.ReadParts = parts
	return m
}

// published is a state with the key of what the server holds.
type published struct {
	message *fescuev1.ServerState
	light   *fescuev1.ServerState
	held    string
	backlog uint64
}

func (h *hub) current() published {
	h.mu.Lock()
	defer h.mu.Unlock()
	return published{message: h.state, light: h.light, held: h.held, backlog: h.backlog}
}

// publish makes a state known to all entries. Messages are not changed after.
func (h *hub) publish(m *fescuev1.ServerState) {
	h.mu.Lock()
	defer h.mu.Unlock()
	m.BacklogTokens = h.sumBacklog()
	m.Entries = uint32(len(h.entries))
	if m.GetInstanceId() != h.partsOf {
		h.parts, h.partsOf = newPartLog(), m.GetInstanceId()
		for p := range h.entries {
			p.position = 0
		}
	}
	held := heldKey(m)
	changed := held != h.held
	if !changed && h.state != nil && sameLoad(h.state, m) {
		return
	}
	h.state, h.light, h.held, h.backlog = m, withoutHoldings(m), held, total(m.GetBacklogTokens())
	if changed {
		h.notifyAll()
	}
}

// sumBacklog sums the tokens of all entries. It is called with mu held.
func (h *hub) sumBacklog() []uint64 {
	sum := make([]uint64, fleet.PriorityClasses)
	for p := range h.entries {
		for i, tokens := range p.update.GetBacklogTokens() {
			sum[fleet.PriorityClass(i)] += tokens
		}
	}
	return sum
}

// waiting reports whether any request waits for a load.
func (h *hub) waiting() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	for p := range h.entries {
		for _, a := range p.update.GetAdapters() {
			if a.GetWaiting() > 0 {
				return true
			}
		}
	}
	return false
}

// foreign reports whether an entry names another instance than the given one: the
// server may have started again, or the entry still lists an earlier lifetime. Each
// name leads to one look.
func (h *hub) foreign(instance string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if instance != h.askedAs && instance != "" {
		clear(h.asked)
		h.askedAs = instance
	}
	found := false
	for p := range h.entries {
		if id := p.update.GetInstanceId(); id != "" && id != instance && !h.asked[id] {
			h.asked[id] = true
			found = true
		}
	}
	return found
}

// wants sums the demand of all entries and passes new arrivals to the planner.
func (h *hub) wants(now time.Time, planner *residency.Planner) map[fleet.AdapterKey]residency.Demand {
	h.mu.Lock()
	defer h.mu.Unlock()
	out := map[fleet.AdapterKey]residency.Demand{}
	for p := range h.entries {
		for k, n := range p.arrivals {
			planner.Arrived(now, k, n)
		}
		clear(p.arrivals)
		for _, a := range p.update.GetAdapters() {
			k := keyOf(a)
			w := out[k]
			w.InFlight += int(a.GetInFlight())
			w.Waiting += int(a.GetWaiting())
			w.Version = max(w.Version, int(a.GetVersion()))
			w.Waited = max(w.Waited, time.Duration(a.GetWaitedMs())*time.Millisecond)
			out[k] = w
		}
	}
	return out
}
