package endpoint

import (
	"context"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/fescuecourse/fescuecourse/api/fescuev1"
	"github.com/fescuecourse/fescuecourse/pkg/attempts"
	"github.com/fescuecourse/fescuecourse/pkg/bundle"
	"github.com/fescuecourse/fescuecourse/pkg/ident"
	"github.com/fescuecourse/fescuecourse/pkg/scheduler"
)

// acceptedInterval is the time between the Accepted frames of an attempt.
const acceptedInterval = time.Second

// server implements the gRPC service of an endpoint.
type server struct {
	fescuev1.UnimplementedEndpointServer
	e *Endpoint
}

// Run executes one attempt and streams its frames. A NotRun frame proves that the
// attempt was not executed. An attempt that the endpoint already knows, or may have
// known and removed from its records, fails with codes.AlreadyExists.
func (s *server) Run(req *fescuev1.RunRequest, stream grpc.ServerStreamingServer[fescuev1.RunFrame]) error {
	id := attemptID(req.GetRef())
	sent := s.e.sentAt(req.GetEndpointClockMs())
	out := &frameWriter{ref: req.GetRef(), stream: stream, keep: !req.GetIdempotent()}
	nr := s.e.precheck(req)
	size := bodyBytes(req)
	if nr == nil && !s.e.bodies.Reserve(size, size) {
		nr = &fescuev1.NotRun{Reason: fescuev1.NotRunReason_NOT_RUN_REASON_QUEUE_FULL, Detail: "no memory is left for the body"}
	}
	if nr != nil {
		s.e.metrics.recordRefusal(nr.GetReason())
		if st := s.e.ledger.Refuse(time.Now(), id, sent); st != attempts.Refused {
			return status.Error(codes.AlreadyExists, "attempt is known")
		}
		return out.notRun(nr)
	}
	defer s.e.bodies.Release(size)
	switch s.e.ledger.Register(id, sent, !req.GetIdempotent()) {
	case attempts.Absent:
	case attempts.Refused:
		return out.notRun(&fescuev1.NotRun{Reason: fescuev1.NotRunReason_NOT_RUN_REASON_REVOKED})
	default:
		return status.Error(codes.AlreadyExists, "attempt is known")
	}
	return s.execute(req, id, out)
}

// bodyBytes returns the size of the body in a request.
func bodyBytes(req *fescuev1.RunRequest) int64 {
	return int64(len(req.GetModel().GetBody()) + len(req.GetService().GetBody()))
}

// execute submits the attempt to the scheduler, waits until it starts and runs it.
func (s *server) execute(req *fescuev1.RunRequest, id ident.AttemptID, out *frameWriter) error {
	queued := time.Now()
	deadline := queued.Add(time.Duration(req.GetDeadlineMs()) * time.Millisecond)
	result := make(chan decision, 1)
	s.e.control.send(submitEvent{work: s.e.work(req, id, deadline), result: result})
	v := s.await(out, id, result)
	if !v.started {
		return out.notRun(&fescuev1.NotRun{Reason: v.reason})
	}
	defer s.e.control.send(runDoneEvent{id: id})
	limited, stop := s.runContext(out.stream.Context(), req.GetIdempotent(), deadline)
	defer stop()
	ctx, cancel := context.WithCancelCause(limited)
	defer cancel(nil)
	s.e.runs.add(id, v.restarts, cancel)
	defer s.e.runs.remove(id)
	s.e.metrics.queueWaitUS.Update(time.Since(queued).Microseconds())
	r := &run{e: s.e, req: req, id: id, out: out, stall: v.stall, queued: time.Since(queued)}
	ok := r.perform(ctx)
	if r.notStarted {
		s.e.ledger.MarkNotStarted(time.Now(), id)
	}
	s.e.ledger.Finish(time.Now(), id, ok, out.kept())
	return nil
}

// runContext returns the context of a run. It ends at the deadline, and for an
// idempotent run also when the stream ends. A non-idempotent run continues without
// its stream, because cancelling it would leave its result unknown.
func (s *server) runContext(stream context.Context, idempotent bool, deadline time.Time) (context.Context, context.CancelFunc) {
	if idempotent {
		return context.WithDeadline(stream, deadline)
	}
	return context.WithDeadline(context.WithoutCancel(stream), deadline)
}

// await waits for the decision on a submitted attempt and sends Accepted frames
// meanwhile. If the stream ends, it revokes the attempt.
func (s *server) await(out *frameWriter, id ident.AttemptID, result <-chan decision) decision {
	heartbeat := time.NewTicker(acceptedInterval)
	defer heartbeat.Stop()
	out.accepted()
	done := out.stream.Context().Done()
	for {
		select {
		case v := <-result:
			return v
		case <-s.e.control.done:
			return decision{}
		case <-heartbeat.C:
			out.accepted()
		case <-done:
			done = nil
			s.e.control.revoke(id, time.Now())
		}
	}
}

// precheck returns the reason to refuse an attempt before it is queued, or nil.
func (e *Endpoint) precheck(req *fescuev1.RunRequest) *fescuev1.NotRun {
	refuse := func(r fescuev1.NotRunReason) *fescuev1.NotRun { return &fescuev1.NotRun{Reason: r} }
	backoff := e.backoff.remaining(time.Now())
	version := uint64(e.bundles.Version())
	switch {
	case req.GetIncarnation() != uint64(e.incarnation) || req.GetEndpointId() != string(e.id):
		return refuse(fescuev1.NotRunReason_NOT_RUN_REASON_WRONG_INCARNATION)
	case e.leaving.Load():
		return refuse(fescuev1.NotRunReason_NOT_RUN_REASON_LEAVING)
	case e.clockMS()-min(req.GetEndpointClockMs(), e.clockMS()) > uint64(attempts.MaxAttemptAge.Milliseconds()):
		return refuse(fescuev1.NotRunReason_NOT_RUN_REASON_STALE_ATTEMPT)
	case version == 0:
		return refuse(fescuev1.NotRunReason_NOT_RUN_REASON_NOT_READY)
	case req.GetBundleVersion() < version:
		return &fescuev1.NotRun{Reason: fescuev1.NotRunReason_NOT_RUN_REASON_OLD_BUNDLE, BundleVersion: version}
	case backoff > 0:
		return inBackoff(backoff)
	case !e.serves(req):
		return refuse(fescuev1.NotRunReason_NOT_RUN_REASON_WRONG_BACKEND)
	case req.GetDeadlineMs() == 0 || req.GetDeadlineMs() > uint64(e.set.MaxDeadline.Milliseconds()):
		return refuse(fescuev1.NotRunReason_NOT_RUN_REASON_DEADLINE)
	}
	return nil
}

func (e *Endpoint) serves(req *fescuev1.RunRequest) bool {
	if m := req.GetModel(); m != nil {
		return e.set.Kind == KindModel && m.GetBaseModel() == e.set.Backend
	}
	return req.GetService() != nil && e.set.Kind == KindService && req.GetService().GetService() == e.set.Backend
}

// work converts a request to the scheduler's type, with the weight of its team from
// the active bundle.
func (e *Endpoint) work(req *fescuev1.RunRequest, id ident.AttemptID, deadline time.Time) scheduler.Work {
	w := scheduler.Work{
		ID:       id,
		Team:     ident.Team(req.GetTeam()),
		Priority: ident.Priority(req.GetPriority()),
		Weight:   1,
		Deadline: deadline,
	}
	if p, ok := e.teamPolicy(w.Team); ok {
		w.Weight = p.Weight
	}
	if m := req.GetModel(); m != nil && m.GetAdapter() != "" {
		w.Adapter = ident.Adapter{Team: w.Team, Name: m.GetAdapter(), Version: m.GetVersion()}
	}
	if e.set.QueuePolicy == QueueFIFO {
		// With a single team and priority, the scheduler serves in order of arrival.
		w.Team, w.Priority, w.Weight = "", ident.PriorityNormal, 1
	}
	return w
}

func (e *Endpoint) teamPolicy(t ident.Team) (bundle.TeamPolicy, bool) {
	b := e.bundles.Current()
	if b == nil {
		return bundle.TeamPolicy{}, false
	}
	return b.Team(t)
}

// Revoke prevents an attempt from starting, also if it arrives later, and returns its
// state. For a finished attempt the reply contains the stored answer, if any.
func (s *server) Revoke(_ context.Context, req *fescuev1.RevokeRequest) (*fescuev1.RevokeReply, error) {
	if req.GetIncarnation() != uint64(s.e.incarnation) {
		return &fescuev1.RevokeReply{State: fescuev1.RevokeReply_STATE_OTHER_INCARNATION}, nil
	}
	id := attemptID(req.GetRef())
	switch s.e.control.revoke(id, s.e.sentAt(req.GetEndpointClockMs())) {
	case attempts.Refused:
		return &fescuev1.RevokeReply{State: fescuev1.RevokeReply_STATE_NOT_RUN}, nil
	case attempts.Done:
		_, answer := s.e.ledger.Lookup(id)
		return &fescuev1.RevokeReply{State: fescuev1.RevokeReply_STATE_DONE, Answer: answer}, nil
	case attempts.Running:
		return &fescuev1.RevokeReply{State: fescuev1.RevokeReply_STATE_RUNNING}, nil
	default:
		return &fescuev1.RevokeReply{State: fescuev1.RevokeReply_STATE_FAILED}, nil
	}
}

func attemptID(ref *fescuev1.AttemptRef) ident.AttemptID {
	return ident.AttemptID{Request: ident.RequestID(ref.GetRequestId()), Attempt: ref.GetAttempt()}
}
