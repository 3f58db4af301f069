package endpoint

import (
	"hash/fnv"
	"sync"
	"time"

	"google.golang.org/grpc"

	"github.com/fescuecourse/fescuecourse/api/fescuev1"
	"github.com/fescuecourse/fescuecourse/pkg/ident"
	"github.com/fescuecourse/fescuecourse/pkg/logging"
	"github.com/fescuecourse/fescuecourse/pkg/scheduler"
)

// Settings of the control streams.
const (
	// reportInterval is the time between periodic reports. Changes of the state, the
	// resident set or the bundle version are reported at once. Entries stop using an
	// endpoint after three intervals without a report.
	reportInterval = 2 * time.Second
	// streamBuffer is the number of permit messages buffered per stream.
	streamBuffer = 256
)

// hub holds the control streams of the connected entries and selects the permit
// coordinator, the entry that grants load permits to this endpoint.
type hub struct {
	e   *Endpoint
	log logging.Logger

	mu      sync.Mutex
	streams map[ident.EntryID]*controlStream
	// elected is the stream of the permit coordinator, nil if no entry is connected.
	elected   *controlStream
	closed    chan struct{}
	closeOnce sync.Once
}

// controlStream is the control stream of one entry. out holds permit messages to
// send; changed signals that a report may be due.
type controlStream struct {
	entry   ident.EntryID
	out     chan *fescuev1.ControlResponse
	changed chan struct{}
}

func (s *controlStream) wake() {
	select {
	case s.changed <- struct{}{}:
	default:
	}
}

func newHub(e *Endpoint) *hub {
	return &hub{e: e, log: e.log.For(logging.ComponentPermit), streams: map[ident.EntryID]*controlStream{}, closed: make(chan struct{})}
}

// notify wakes the report goroutines of all streams.
func (h *hub) notify() {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, s := range h.streams {
		s.wake()
	}
}

func (h *hub) add(s *controlStream) {
	h.mu.Lock()
	h.streams[s.entry] = s
	changed := h.elect()
	h.mu.Unlock()
	h.notifyPermitsLost(changed)
}

func (h *hub) remove(s *controlStream) {
	h.mu.Lock()
	if h.streams[s.entry] == s {
		delete(h.streams, s.entry)
	}
	changed := h.elect()
	h.mu.Unlock()
	h.notifyPermitsLost(changed)
}

// close ends all control streams.
func (h *hub) close() { h.closeOnce.Do(func() { close(h.closed) }) }

// notifyPermitsLost tells the scheduler that the coordinator has changed, so that it
// requests its permits again.
func (h *hub) notifyPermitsLost(changed bool) {
	if changed {
		h.e.control.send(permitsLostEvent{})
	}
}

func (h *hub) connected() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.streams)
}

// coordinator returns the stream of the permit coordinator, or nil if no entry is
// connected.
func (h *hub) coordinator() *controlStream {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.elected
}

// elect chooses the permit coordinator by rendezvous hashing: the connected entry for
// which the hash of weight store and entry id is highest. All endpoints that load from
// one weight store and are connected to the same entries therefore choose the same
// coordinator. elect reports whether the coordinator has changed. The caller holds
// h.mu.
func (h *hub) elect() bool {
	var best *controlStream
	var bestHash uint64
	for id, s := range h.streams {
		f := fnv.New64a()
		_, _ = f.Write([]byte(h.e.set.WeightStore + "\x00" + string(id))) // hash.Hash never fails
		if n := f.Sum64(); best == nil || n > bestHash {
			best, bestHash = s, n
		}
	}
	changed := best != h.elected
	h.elected = best
	return changed
}

func (h *hub) requestPermit(a scheduler.Action) {
	h.sendToCoordinator(&fescuev1.ControlResponse{Body: &fescuev1.ControlResponse_PermitRequest{PermitRequest: &fescuev1.PermitRequest{
		Adapter:         a.Adapter.String(),
		Team:            string(a.Adapter.Team),
		WaitingRequests: uint32(a.Waiting),
		WaitedMs:        uint64(a.Waited.Milliseconds()),
		Priority:        fescuev1.Priority(a.Priority),
		Loading:         a.Loading,
		WeightStore:     h.e.set.WeightStore,
	}}})
}

func (h *hub) releasePermit(a scheduler.Action) {
	h.sendToCoordinator(&fescuev1.ControlResponse{Body: &fescuev1.ControlResponse_PermitRelease{PermitRelease: &fescuev1.PermitRelease{Adapter: a.Adapter.String(), Loaded: a.Loaded}}})
}

func (h *hub) sendToCoordinator(m *fescuev1.ControlResponse) {
	s := h.coordinator()
	if s == nil {
		return
	}
	select {
	case s.out <- m:
	default:
		h.log.Warn().Str("entry", string(s.entry)).Msg("control stream buffer full; dropping permit message")
	}
}

// Control serves the control stream of one entry.
func (s *server) Control(stream grpc.BidiStreamingServer[fescuev1.ControlRequest, fescuev1.ControlResponse]) error {
	e := s.e
	first, err := stream.Recv()
	if err != nil {
		return err
	}
	cs := &controlStream{
		entry:   ident.EntryID(first.GetHello().GetEntryId()),
		out:     make(chan *fescuev1.ControlResponse, streamBuffer),
		changed: make(chan struct{}, 1),
	}
	e.hub.add(cs)
	defer e.hub.remove(cs)
	e.log.For(logging.ComponentEndpoint).Info().Str("entry", string(cs.entry)).Msg("entry connected")
	go e.receiveControl(stream)
	return e.sendReports(stream, cs)
}

// receiveControl passes permit grants to the control goroutine until the stream ends.
// A grant with ValidMs 0 permits nothing: it confirms that the request is queued.
func (e *Endpoint) receiveControl(stream grpc.BidiStreamingServer[fescuev1.ControlRequest, fescuev1.ControlResponse]) {
	for {
		m, err := stream.Recv()
		if err != nil {
			return
		}
		if g := m.GetPermitGrant(); g != nil {
			if a, err := ident.ParseAdapter(g.GetAdapter()); err == nil {
				e.control.send(permitEvent{adapter: a, queued: g.GetValidMs() == 0})
			}
		}
	}
}

// sendReports sends permit messages as they come, and reports when the state has
// changed and at the report interval. Reports after the first one omit
// constant fields and unchanged resident adapters.
func (e *Endpoint) sendReports(stream grpc.BidiStreamingServer[fescuev1.ControlRequest, fescuev1.ControlResponse], s *controlStream) error {
	last := e.report()
	if err := sendReport(stream, last); err != nil {
		return err
	}
	sent := time.Now()
	next := time.NewTimer(reportInterval)
	defer next.Stop()
	for {
		select {
		case <-e.hub.closed:
			return nil
		case <-stream.Context().Done():
			return stream.Context().Err()
		case m := <-s.out:
			if err := stream.Send(m); err != nil {
				return err
			}
			continue
		case <-s.changed:
		case <-next.C:
		}
		r := e.report()
		if !reportDue(last, r, time.Since(sent)) {
			continue
		}
		if err := sendReport(stream, delta(last, r)); err != nil {
			return err
		}
		last, sent = r, time.Now()
		next.Reset(reportInterval)
	}
}

func sendReport(stream grpc.BidiStreamingServer[fescuev1.ControlRequest, fescuev1.ControlResponse], r *fescuev1.Report) error {
	return stream.Send(&fescuev1.ControlResponse{Body: &fescuev1.ControlResponse_Report{Report: r}})
}
