package endpoint

import (
	"context"
	"encoding/json"
	"io"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/grpc"

	"github.com/fescuecourse/fescuecourse/api/fescuev1"
	"github.com/fescuecourse/fescuecourse/pkg/engine"
	"github.com/fescuecourse/fescuecourse/pkg/ident"
	"github.com/fescuecourse/fescuecourse/pkg/invariant"
	"github.com/fescuecourse/fescuecourse/pkg/membership"
	"github.com/fescuecourse/fescuecourse/pkg/service"
	"github.com/fescuecourse/fescuecourse/pkg/upstream"
)

// maxKeptBytes limits the payload of a stored answer. Larger answers are not stored.
const maxKeptBytes = 256 << 10

// frameWriter sends the frames of one attempt. If keep is set, it also stores the
// frames of the answer for later Revoke calls.
type frameWriter struct {
	ref    *fescuev1.AttemptRef
	stream grpc.ServerStreamingServer[fescuev1.RunFrame]
	keep   bool

	mu     sync.Mutex
	broken bool
	frames []*fescuev1.RunFrame
	bytes  int
}

// send writes a frame to the stream. After a failed write it sends no more frames, but
// sendAndKeep still stores them.
func (w *frameWriter) send(f *fescuev1.RunFrame) {
	f.Ref = w.ref
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.broken && w.stream.Send(f) != nil {
		w.broken = true
	}
}

// sendAndKeep sends a frame and stores it if the answer is kept.
func (w *frameWriter) sendAndKeep(f *fescuev1.RunFrame) {
	w.send(f)
	if !w.keep {
		return
	}
	w.bytes += len(f.GetData().GetPayload())
	if w.bytes > maxKeptBytes {
		w.keep, w.frames = false, nil
		return
	}
	w.frames = append(w.frames, f)
}

func (w *frameWriter) kept() []*fescuev1.RunFrame { return w.frames }

// accepted sends an Accepted frame, which tells the entry that the attempt is alive.
func (w *frameWriter) accepted() {
	w.send(&fescuev1.RunFrame{Body: &fescuev1.RunFrame_Accepted{Accepted: &fescuev1.Accepted{}}})
}

func (w *frameWriter) notRun(nr *fescuev1.NotRun) error {
	w.send(&fescuev1.RunFrame{Body: &fescuev1.RunFrame_NotRun{NotRun: nr}})
	return nil
}

// run is a running attempt.
type run struct {
	e      *Endpoint
	req    *fescuev1.RunRequest
	id     ident.AttemptID
	out    *frameWriter
	stall  time.Duration
	queued time.Duration
	// engineVersion is the version of the engine that answers.
	engineVersion ident.EngineVersion
	// notStarted is true if the attempt ended before the engine began to process it.
	notStarted bool
}

// perform runs the attempt and reports whether its answer is complete.
func (r *run) perform(ctx context.Context) bool {
	stop := r.heartbeat()
	defer stop()
	if m := r.req.GetModel(); m != nil {
		return r.generate(ctx, m)
	}
	return r.service(ctx, r.req.GetService())
}

// heartbeat sends Accepted frames periodically until stop is called, so that the
// entry can tell a slow run from a broken connection.
func (r *run) heartbeat() (stop func()) {
	done := make(chan struct{})
	var wg sync.WaitGroup
	wg.Go(func() {
		t := time.NewTicker(acceptedInterval)
		defer t.Stop()
		for {
			select {
			case <-done:
				return
			case <-t.C:
				r.out.accepted()
			}
		}
	})
	return func() {
		close(done)
		wg.Wait()
	}
}

func (r *run) header(status uint32, contentType, adapter string) {
	r.out.sendAndKeep(&fescuev1.RunFrame{Body: &fescuev1.RunFrame_Header{Header: &fescuev1.Header{
		Status:        status,
		ContentType:   contentType,
		ServedAdapter: adapter,
		LoadStallUs:   uint64(r.stall.Microseconds()),
		QueueUs:       uint64(r.queued.Microseconds()),
		EngineVersion: membership.EngineVersionMessage(r.engineVersion),
	}}})
}

// dataFrame combines a data frame and its nested messages in one allocation.
type dataFrame struct {
	frame fescuev1.RunFrame
	body  fescuev1.RunFrame_Data
	data  fescuev1.Data
}

func (r *run) data(offset uint64, payload []byte) {
	f := &dataFrame{}
	f.data.Offset, f.data.Payload = offset, payload
	f.body.Data = &f.data
	f.frame.Body = &f.body
	r.out.sendAndKeep(&f.frame)
}

func (r *run) end(total uint64) bool {
	r.out.sendAndKeep(&fescuev1.RunFrame{Body: &fescuev1.RunFrame_End{End: &fescuev1.End{Total: total}}})
	return true
}

func (r *run) fail(reason fescuev1.FailedReason, detail string) bool {
	r.out.send(&fescuev1.RunFrame{Body: &fescuev1.RunFrame_Failed{Failed: &fescuev1.Failed{Reason: reason, Detail: detail}}})
	return false
}

// generate runs a generation on the engine. If an event was produced by a model or
// adapter other than the requested one, generate discards it and fails the run.
func (r *run) generate(ctx context.Context, m *fescuev1.ModelCall) bool {
	want := r.servedName(m)
	if m.GetAdapter() != "" && !r.e.authority.Exclusive() {
		return r.notRun(fescuev1.NotRunReason_NOT_RUN_REASON_NOT_READY, "another process commands the engine")
	}
	if v := r.e.control.snapshot.Load().engineVersion; !continues(m, v) {
		return r.notRun(fescuev1.NotRunReason_NOT_RUN_REASON_ENGINE_VERSION, "engine has version "+v.String())
	}
	body, err := setModel(m.GetBody(), want)
	if err != nil {
		return r.fail(fescuev1.FailedReason_FAILED_REASON_BACKEND_LOST, err.Error())
	}
	call := engine.Call{Path: m.GetPath(), Body: body, RequestID: r.id.Request, Priority: ident.Priority(r.req.GetPriority()), ResumeEvents: m.GetResumeEvents()}
	var st *engine.Stream
	err = r.e.callEngine(string(r.id.Request), func() (err error) {
		st, err = r.e.engine.Generate(ctx, call)
		return err
	})
	var backoff *upstream.BackoffError
	if errors.As(err, &backoff) {
		return r.notRunFor(backoff.For)
	}
	if errors.Is(err, engine.ErrRefused) {
		// The engine may have restarted or evicted the adapter, so read its state.
		r.e.control.pollNow()
		return r.notRun(fescuev1.NotRunReason_NOT_RUN_REASON_ENGINE_REFUSED, err.Error())
	}
	if err != nil {
		return r.failWith(ctx, err)
	}
	defer st.Close()
	r.engineVersion = r.versionOf(st)
	if !continues(m, r.engineVersion) {
		// The version in the status was late.
		r.e.control.pollNow()
		return r.fail(fescuev1.FailedReason_FAILED_REASON_ENGINE_VERSION, "engine has version "+r.engineVersion.String())
	}
	return r.relayEvents(ctx, st, want, m.GetResumeEvents())
}

// continues reports whether an engine of version v can continue the events that the call
// resumes after. A call that names no version, from an entry of an earlier release, is
// not checked.
func continues(m *fescuev1.ModelCall, v ident.EngineVersion) bool {
	return m.GetResumeVersion() == nil || membership.EngineVersion(m.GetResumeVersion()) == v
}

// versionOf returns the version of the engine that runs a generation. For an engine that
// names it only in its status, this is the version in the last status.
func (r *run) versionOf(st *engine.Stream) ident.EngineVersion {
	if v := st.Version(); v != (ident.EngineVersion{}) {
		return v
	}
	return r.e.control.snapshot.Load().engineVersion
}

// servedName returns the name by which the engine knows the requested adapter, or the
// base model if the call names none.
func (r *run) servedName(m *fescuev1.ModelCall) string {
	if m.GetAdapter() == "" {
		return m.GetBaseModel()
	}
	return ident.Adapter{Team: ident.Team(r.req.GetTeam()), Name: m.GetAdapter(), Version: m.GetVersion()}.String()
}

// relayEvents sends the events of the engine to the entry as data frames. want is the
// requested model name, offset the number of the first event.
func (r *run) relayEvents(ctx context.Context, st *engine.Stream, want string, offset uint64) bool {
	first := true
	for {
		ev, err := st.Next()
		if errors.Is(context.Cause(ctx), errEngineRestarted) {
			// Events that arrive after the restart may be incomplete or from another run.
			return r.failWith(ctx, errEngineRestarted)
		}
		if errors.Is(err, io.EOF) {
			return r.end(offset)
		}
		if err != nil {
			return r.failWith(ctx, err)
		}
		if ev.Model != want {
			// Check is called only on a violation, because its arguments cost allocations.
			invariant.Check(false, invariant.RightAdapter, "engine used %q, request names %q", ev.Model, want)
			return r.fail(fescuev1.FailedReason_FAILED_REASON_WRONG_ADAPTER, "engine used "+ev.Model)
		}
		if first {
			r.header(200, "text/event-stream", want)
			first = false
		}
		r.data(offset, ev.Payload)
		offset++
	}
}

// notRun ends a run that the engine did not start to process.
func (r *run) notRun(reason fescuev1.NotRunReason, detail string) bool {
	r.notStarted = true
	r.out.send(&fescuev1.RunFrame{Body: &fescuev1.RunFrame_NotRun{NotRun: &fescuev1.NotRun{Reason: reason, Detail: detail}}})
	return false
}

// notRunFor ends a run that the engine or service does not want now, but after the given time.
func (r *run) notRunFor(wait time.Duration) bool {
	r.notStarted = true
	r.out.send(&fescuev1.RunFrame{Body: &fescuev1.RunFrame_NotRun{NotRun: inBackoff(wait)}})
	return false
}

// failWith ends a run without a complete answer. The reason depends on whether the
// engine restarted, the deadline passed or the run was cancelled.
func (r *run) failWith(ctx context.Context, err error) bool {
	switch {
	case errors.Is(context.Cause(ctx), errEngineRestarted):
		return r.fail(fescuev1.FailedReason_FAILED_REASON_BACKEND_LOST, errEngineRestarted.Error())
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return r.fail(fescuev1.FailedReason_FAILED_REASON_DEADLINE, "deadline passed during the run")
	case ctx.Err() != nil:
		return r.fail(fescuev1.FailedReason_FAILED_REASON_CANCELLED, "run cancelled")
	default:
		return r.fail(fescuev1.FailedReason_FAILED_REASON_BACKEND_LOST, err.Error())
	}
}

// service runs one call of a plain service.
func (r *run) service(ctx context.Context, c *fescuev1.ServiceCall) bool {
	if wait := r.e.backoff.remaining(time.Now()); wait > 0 {
		return r.notRunFor(wait)
	}
	resp, err := r.e.service.Do(ctx, service.Call{
		Method:      c.GetMethod(),
		Path:        c.GetPath(),
		ContentType: c.GetContentType(),
		Body:        c.GetBody(),
		RequestID:   r.id.Request,
	})
	if err != nil {
		return r.failWith(ctx, err)
	}
	if resp.Backoff > 0 {
		r.e.recordBackoff(string(r.id.Request), resp.Backoff)
	}
	r.header(uint32(resp.Status), resp.ContentType, "")
	if len(resp.Body) > 0 {
		r.data(0, resp.Body)
	}
	return r.end(uint64(len(resp.Body)))
}

// setModel sets the model field of a JSON request and turns on streaming.
func setModel(body []byte, model string) ([]byte, error) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(body, &fields); err != nil {
		return nil, errors.Wrap(err, "decode request")
	}
	name, err := json.Marshal(model)
	if err != nil {
		return nil, errors.Wrap(err, "encode model name")
	}
	fields["model"] = name
	fields["stream"] = json.RawMessage("true")
	return json.Marshal(fields)
}
