package sidecar

import (
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/protobuf/proto"

	"github.com/fescuecourse/fescuecourse/api/fescuev1"
	"github.com/fescuecourse/fescuecourse/pkg/fleet"
	"github.com/fescuecourse/fescuecourse/pkg/origin"
	"github.com/fescuecourse/fescuecourse/pkg/pace"
	"github.com/fescuecourse/fescuecourse/pkg/quota"
	"github.com/fescuecourse/fescuecourse/pkg/ratelimit"
)

const (
	// utilizationInterval is the minimum interval between messages that only carry
	// changed utilization figures on which choices depend. Other figures are sent with the
	// next heartbeat. Changed holdings, which are the models and adapters of the server,
	// are sent at once.
	utilizationInterval = 200 * time.Millisecond
	// notableBacklogChange is the change of the backlog, in prompt tokens, on which choices
	// depend, and notableRequestsChange that of the number of requests. A server processes
	// so many tokens in about 25 ms.
	notableBacklogChange  = 1000
	notableRequestsChange = 8
	// heartbeatInterval is the interval at which an unchanged state is sent again.
	heartbeatInterval = 500 * time.Millisecond
)

// hub implements the gRPC service for entries: it collects their demand and sends
// them the state of the server.
type hub struct {
	fescuev1.UnimplementedResidencyServer
	// wake triggers a step of the control goroutine.
	wake chan struct{}

	mu          sync.Mutex
	entries     map[*peer]struct{}
	state       *fescuev1.ServerState
	compact     *fescuev1.ServerState // state without its models and adapters
	holdingsKey string                // holdingsKeyOf(state)
	backlog     uint64                // workTokens(state)
	// queriedIDs are the ids, other than queriedInstance, that entries have named
	// and that have led to a query of the server's id. The set is cleared when the
	// server's id changes.
	queriedIDs      map[string]bool
	queriedInstance string
	// parts holds the prompt parts processed by the instance partsInstance.
	parts         *partLog
	partsInstance string
	// pace estimates the slowdown of the instance partsInstance.
	pace pace.Estimator
	// origins holds where the streams began of which this sidecar keeps the record.
	origins *origin.Registry
	// limits divides the limits of servers among the entries.
	limits *ratelimit.Divider
	// operator holds the operator's items.
	operator operatorItems
	// quotas grants parts of the quotas of teams to the entries.
	quotas *quota.Keeper
}

// peer is one connected entry.
type peer struct {
	// update is the latest demand that the entry has sent, which arrived at updatedAt.
	update    *fescuev1.DemandUpdate
	updatedAt time.Time
	// arrivals counts the requests per adapter that have not been passed to the
	// planner yet.
	arrivals map[fleet.AdapterKey]int
	// notify wakes the sending goroutine of the entry.
	notify chan struct{}
	// position is the position in the log of prompt parts of the next part to send to
	// the entry.
	position int
	// covered is the number of the last update of the entry that the sums of the published
	// state include.
	covered uint64
}

func newHub(wake chan struct{}) *hub {
	return &hub{wake: wake, entries: map[*peer]struct{}{}, queriedIDs: map[string]bool{}, parts: newPartLog(), origins: origin.NewRegistry(), limits: ratelimit.NewDivider(), quotas: quota.NewKeeper(time.Now())}
}

// Sync implements fescuev1.ResidencyServer. It returns when the stream ends or
// fails.
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

// record stores the demand of an entry. It reports whether any of its requests wait
// for a load.
func (h *hub) record(p *peer, m *fescuev1.DemandUpdate) bool {
	h.recordOrigins(time.Now(), m)
	h.mu.Lock()
	defer h.mu.Unlock()
	p.update, p.updatedAt = m, time.Now()
	if m.GetInstanceId() == h.partsInstance {
		h.parts.add(time.Now(), p, m.GetReadParts())
		h.pace.Add(time.Now(), firstEvents(m))
	}
	waiting := false
	for _, a := range m.GetAdapters() {
		p.arrivals[adapterKey(a)] += int(a.GetArrivals())
		waiting = waiting || a.GetWaiting() > 0
	}
	h.announceBacklog()
	return waiting
}

// firstEvents returns the times to first events of an update.
func firstEvents(m *fescuev1.DemandUpdate) pace.Samples {
	return pace.Samples{
		Expected: time.Duration(m.GetExpectedFirstEventsMs()) * time.Millisecond,
		Actual:   time.Duration(m.GetActualFirstEventsMs()) * time.Millisecond,
	}
}

// announceBacklog publishes the backlog to all entries if it differs from the
// published one by at least fleet.UrgentBacklogChange. The caller holds mu.
func (h *hub) announceBacklog() {
	if h.state == nil || absDiff(h.workTokens(time.Now()), h.backlog) < fleet.UrgentBacklogChange {
		return
	}
	m, ok := proto.Clone(h.state).(*fescuev1.ServerState)
	if !ok {
		return // not reached: a clone has the type of its original
	}
	h.setSums(m)
	h.cover()
	h.state, h.compact, h.backlog = m, withoutHoldings(m), workTokens(m)
	h.notifyAll()
}

func absDiff(a, b uint64) uint64 { return max(a, b) - min(a, b) }

// notifyAll wakes the senders of all entries. The caller holds mu.
func (h *hub) notifyAll() {
	for p := range h.entries {
		signal(p.notify)
	}
}

func adapterKey(a *fescuev1.AdapterDemand) fleet.AdapterKey {
	return fleet.AdapterKey{Model: a.GetModel(), Name: a.GetAdapter()}
}

// send streams the state to an entry: changed holdings and large changes of the
// backlog at once, other figures and unchanged states at their intervals.
func (h *hub) send(p *peer, stream grpc.BidiStreamingServer[fescuev1.DemandUpdate, fescuev1.ServerState], failed <-chan error) error {
	tick := time.NewTicker(utilizationInterval)
	defer tick.Stop()
	var (
		last publishedState
		at   time.Time
	)
	for {
		state, now := h.currentFor(p), time.Now()
		if state.message != nil && due(&state, &last, now.Sub(at)) {
			message := state.message
			if state.holdingsKey == last.holdingsKey {
				message = h.compactUpdate(p, state)
			}
			if err := stream.Send(covering(message, state.covered)); err != nil {
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

// due reports whether state must be sent to an entry that was last sent last, the
// given time ago.
func due(state, last *publishedState, since time.Duration) bool {
	switch {
	case since >= heartbeatInterval, state.holdingsKey != last.holdingsKey:
		return true
	case state.message == last.message:
		return false
	case absDiff(state.backlog, last.backlog) >= fleet.UrgentBacklogChange:
		return true
	default:
		return since >= utilizationInterval && notable(state, last)
	}
}

// notable reports whether choices depend on the difference between two states with the
// same holdings. Most changes are the start or the end of single requests, which every
// entry would be told of many times a second, for each of all servers.
func notable(state, last *publishedState) bool {
	a, b := state.message, last.message
	return absDiff(state.backlog, last.backlog) >= notableBacklogChange ||
		absDiff(requests(a), requests(b)) >= notableRequestsChange ||
		a.GetFree() != b.GetFree() || a.GetEvictable() != b.GetEvictable() || a.GetWanted() != b.GetWanted() ||
		a.GetLimited() != b.GetLimited() || a.GetLimitPerSecond() != b.GetLimitPerSecond() ||
		a.GetSlowdownPercent() != b.GetSlowdownPercent()
}

// requests returns the number of running and queued requests of a state.
func requests(m *fescuev1.ServerState) uint64 { return uint64(m.GetInFlight()) + uint64(m.GetQueued()) }

// compactUpdate returns the compact form of a state, with the prompt parts that the
// entry has not been told of.
func (h *hub) compactUpdate(p *peer, state publishedState) *fescuev1.ServerState {
	h.mu.Lock()
	defer h.mu.Unlock()
	parts, position := h.parts.since(p.position, p)
	p.position = position
	if len(parts) == 0 || state.message.GetInstanceId() != h.partsInstance {
		return state.compact
	}
	m := withoutHoldings(state.message)
	m.ReadParts = parts
	return m
}

// publishedState is a state together with values derived from it, as in the fields
// of hub.
type publishedState struct {
	message     *fescuev1.ServerState
	compact     *fescuev1.ServerState
	holdingsKey string
	backlog     uint64
	// covered is that of the entry to which the state is sent.
	covered uint64
}

// currentFor returns the published state for an entry.
func (h *hub) currentFor(p *peer) publishedState {
	h.mu.Lock()
	defer h.mu.Unlock()
	state := h.published()
	state.covered = p.covered
	return state
}

func (h *hub) current() publishedState {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.published()
}

// published returns the published state. The caller holds mu.
func (h *hub) published() publishedState {
	return publishedState{message: h.state, compact: h.compact, holdingsKey: h.holdingsKey, backlog: h.backlog}
}

// publish makes a state available to all entries. The message must not be changed
// afterwards.
func (h *hub) publish(m *fescuev1.ServerState) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.setSums(m)
	m.Entries = uint32(len(h.entries))
	m.OperatorRevision = h.operator.latest()
	m.LimitPerSecond, m.Limited = h.limits.Limit(time.Now(), m.GetInstanceId())
	if m.GetInstanceId() != h.partsInstance {
		h.parts, h.partsInstance, h.pace = newPartLog(), m.GetInstanceId(), pace.Estimator{}
		for p := range h.entries {
			p.position = 0
		}
	}
	m.SlowdownPercent = uint32(100 * h.pace.Slowdown(time.Now()))
	holdingsKey := holdingsKeyOf(m)
	changed := holdingsKey != h.holdingsKey
	h.cover() // also if the sums are the same, because entries keep only their last updates
	if !changed && h.state != nil && sameUtilization(h.state, m) {
		return
	}
	h.state, h.compact, h.holdingsKey, h.backlog = m, withoutHoldings(m), holdingsKey, workTokens(m)
	if changed {
		h.notifyAll()
	}
}

// namesOtherInstance reports whether an entry names an instance other than the given
// one. Either the server has restarted, or the entry still lists an earlier lifetime
// of it. Each id is reported once per lifetime, so that it causes a single query of
// the server.
func (h *hub) namesOtherInstance(instance string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if instance != h.queriedInstance && instance != "" {
		clear(h.queriedIDs)
		h.queriedInstance = instance
	}
	found := false
	for p := range h.entries {
		if id := p.update.GetInstanceId(); id != "" && id != instance && !h.queriedIDs[id] {
			h.queriedIDs[id] = true
			found = true
		}
	}
	return found
}
