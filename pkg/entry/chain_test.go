package entry

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"google.golang.org/grpc"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
	"pgregory.net/rapid"

	"github.com/fescuecourse/fescuecourse/api/fescuev1"
	"github.com/fescuecourse/fescuecourse/pkg/ident"
	"github.com/fescuecourse/fescuecourse/pkg/limits"
	"github.com/fescuecourse/fescuecourse/pkg/membership"
	"github.com/fescuecourse/fescuecourse/pkg/retry"
)

// drawnEnds is a filter that replaces dispatch and gives attempts random results.
type drawnEnds struct {
	t    *rapid.T
	ends []retry.Result
	sent []bool
}

func (*drawnEnds) Name() string { return "drawn" }

func (d *drawnEnds) Do(_ context.Context, x *Exchange, _ Handler) *Failure {
	end := rapid.SampledFrom([]retry.Result{retry.NotRun, retry.NotRun, retry.Unknown, retry.Answered, retry.CallerGone}).Draw(d.t, "end")
	sent := end != retry.NotRun || rapid.Bool().Draw(d.t, "sent")
	if sent {
		x.markSent()
	}
	reason := rapid.SampledFrom([]fescuev1.NotRunReason{
		fescuev1.NotRunReason_NOT_RUN_REASON_LEAVING, fescuev1.NotRunReason_NOT_RUN_REASON_QUEUE_FULL, fescuev1.NotRunReason_NOT_RUN_REASON_OLD_BUNDLE,
	}).Draw(d.t, "reason")
	x.result = attemptResult{end: end, reason: reason, timeout: rapid.IntRange(0, 9).Draw(d.t, "timeout") == 0}
	if end == retry.Answered {
		x.response.header(&fescuev1.Header{Status: 200})
		x.endResponse()
	}
	d.ends, d.sent = append(d.ends, end), append(d.sent, sent)
	return nil
}

// aborts reports whether a handler aborts the response, which makes net/http close the
// connection.
func aborts(handler func()) (aborted bool) {
	defer func() {
		p := recover()
		if p != nil && p != http.ErrAbortHandler { //nolint:errorlint // net/http compares in the same way
			panic(p)
		}
		aborted = p != nil
	}()
	handler()
	return false
}

// Runs the whole chain with random results of attempts and missing endpoints. Guards
// against a non-idempotent request that is sent again after an attempt that may have
// run, and against an outcome that the results of the attempts do not support.
func TestChainOutcomesAgainstOracle(t *testing.T) {
	b := newTestBed(t, serviceKind, []script{silent}, []script{silent}, []script{silent})
	b.e.timing.bundleWait = time.Millisecond
	rapid.Check(t, func(t *rapid.T) {
		b.e.limiter = limits.New() // resets the rate limit, which is not under test
		d := &drawnEnds{t: t}
		b.e.handler = chain(authenticate{b.e}, resolve{b.e}, admit{b.e}, retryFilter{b.e}, place{b.e}, claim{b.e}, d)
		idempotent := rapid.SampledFrom([]string{"true", "false"}).Draw(t, "idempotent")
		req := httptest.NewRequest(http.MethodPost, handoff, strings.NewReader("x"))
		req.Header.Set("Authorization", "Bearer "+testKey)
		req.Header.Set(headerIdempotent, idempotent)
		rec := httptest.NewRecorder()
		aborted := aborts(func() { b.e.routes().ServeHTTP(rec, req) })

		mayHaveRun, answered := 0, false
		for _, end := range d.ends {
			assert.Assert(t, idempotent == "true" || mayHaveRun == 0, "sent again: %v", d.ends)
			assert.Assert(t, !answered, "sent again after the answer: %v", d.ends)
			if end != retry.NotRun {
				mayHaveRun++
			}
			answered = end == retry.Answered
		}
		want := ident.NotRun
		if mayHaveRun > 0 {
			want = ident.Unknown
		}
		if answered {
			want = ident.Answered
		}
		gone := d.ends[len(d.ends)-1] == retry.CallerGone
		assert.Equal(t, aborted, gone, "%v", d.ends)
		if !gone { // nobody reads this response
			assert.Equal(t, rec.Header().Get(headerOutcome), want.String(), "%v", d.ends)
		}
		assert.Equal(t, b.e.limiter.InFlight("tokachi"), 0)
	})
}

// Guards against a wrong status, code or outcome of refused requests.
func TestRefusals(t *testing.T) {
	b := newTestBed(t, modelKind, []script{answer(3, true, nil)})
	rows := []struct {
		name, path, body string
		headers          []string
		status           int
		code             string
	}{
		{"no key", completions, plainBody, []string{"Authorization", "x"}, 401, "missing_key"},
		{"wrong key", completions, plainBody, []string{"Authorization", "Bearer x"}, 401, "invalid_key"},
		{"not JSON", completions, "{", nil, 400, "malformed_json"},
		{"malformed model", completions, `{"model":"x"}`, nil, 400, "invalid_model"},
		{"unknown adapter", completions, `{"model":"tokachi/x"}`, nil, 404, "model_not_found"},
		{"unknown version", completions, `{"model":"tokachi/summary@9"}`, nil, 404, "model_not_found"},
		{"unknown service", "/v1/services/x/y", "", nil, 404, "service_not_found"},
		{"too large", completions, strings.Repeat("x", 1<<16+1), nil, 413, "body_too_large"},
		{"deadline", completions, plainBody, []string{headerDeadline, "0"}, 400, "invalid_deadline"},
		{"idempotent", completions, plainBody, []string{headerIdempotent, "yes"}, 400, "invalid_idempotent"},
		{"key", completions, plainBody, []string{headerKey, strings.Repeat("k", 256)}, 400, "invalid_idempotency_key"},
		{"no endpoint", handoff, "x", nil, 503, "no_endpoint"},
	}
	for _, r := range rows {
		got := b.post(t, r.path, r.body, r.headers...)
		assert.Equal(t, got.status, r.status, r.name)
		assert.Equal(t, got.outcome, ident.NotRun.String(), r.name)
		assert.Assert(t, strings.Contains(got.body, `"code":"`+r.code+`"`), "%s: %s", r.name, got.body)
	}
	assert.Equal(t, b.fake[0].attempts(), 0)
}

// Guards against limits that are not enforced, a refusal without Retry-After, and a
// new bundle that resets the counters of the limits.
func TestTeamLimit(t *testing.T) {
	b := newTestBed(t, modelKind, []script{answer(3, true, nil)})
	b.b.Adopt(testBundle(t, 2, "rate = 0.01"))
	assert.Equal(t, b.post(t, completions, plainBody).status, 200)
	next := testBundle(t, 3, "rate = 0.01")
	b.b.Adopt(next)
	b.e.ApplyConfig(next)
	got := b.post(t, completions, plainBody)
	assert.Equal(t, got.status, 429)
	assert.Equal(t, got.outcome, ident.NotRun.String())
	seconds, err := strconv.Atoi(got.retryAfter)
	assert.NilError(t, err)
	assert.Assert(t, seconds > 1 && seconds <= 100, "Retry-After is %d s", seconds)
}

// panics is a filter that panics after it has marked the request as sent, or before.
type panics struct{ sent bool }

func (panics) Name() string { return "panics" }

func (p panics) Do(_ context.Context, x *Exchange, _ Handler) *Failure {
	if p.sent {
		x.markSent()
	}
	panic("fault in a filter")
}

// Guards against a panic that leaves a request without an outcome, and against
// outcome not-run for a request that was sent.
func TestPanic(t *testing.T) {
	b := newTestBed(t, modelKind, []script{silent})
	for _, sent := range []bool{false, true} {
		b.e.handler = chain(authenticate{b.e}, resolve{b.e}, admit{b.e}, panics{sent})
		got := b.post(t, completions, plainBody)
		want := ident.NotRun
		if sent {
			want = ident.Unknown
		}
		assert.Equal(t, got.outcome, want.String())
		assert.Equal(t, b.e.limiter.InFlight("tokachi"), 0)
	}
}

// Guards against an entry that reports ready without an endpoint or while it shuts
// down.
func TestReadiness(t *testing.T) {
	b := newTestBed(t, modelKind, []script{silent})
	assert.Equal(t, len(b.e.unreadyReasons()), 0)
	b.e.stopping.Store(true)
	assert.DeepEqual(t, b.e.unreadyReasons(), []string{"stopping"})
	b.e.stopping.Store(false)
	assert.DeepEqual(t, newTestBed(t, modelKind).e.unreadyReasons(), []string{"no endpoint is ready"})
}

// Guards against an attempt that is cut off because the entry replaces the connection
// after another attempt on it went silent.
func TestSilentCallDoesNotBreakOthers(t *testing.T) {
	finish := make(chan struct{})
	slow := func(f *fakeEndpoint, req *fescuev1.RunRequest, stream grpc.ServerStreamingServer[fescuev1.RunFrame]) error {
		heartbeat := time.NewTicker(10 * time.Millisecond)
		defer heartbeat.Stop()
		for {
			select {
			case <-finish:
				return answer(3, true, nil)(f, req, stream)
			case <-heartbeat.C:
				if err := stream.Send(&fescuev1.RunFrame{Ref: req.GetRef(), Body: &fescuev1.RunFrame_Accepted{Accepted: &fescuev1.Accepted{}}}); err != nil {
					return err
				}
			}
		}
	}
	b := newTestBed(t, modelKind, []script{slow, silent}, []script{answer(3, true, nil)})
	b.e.policy = firstEndpoint{}
	first := make(chan reply, 1)
	go func() { first <- b.post(t, completions, streamBody) }()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if b.fake[0].attempts() == 0 {
			return poll.Continue("first attempt has not arrived")
		}
		return poll.Success()
	}, poll.WithDelay(time.Millisecond))
	l := b.e.connector.link("endpoint-0")
	before := l.acquire()
	l.release(before)
	assert.Equal(t, b.post(t, completions, streamBody).body, streamText(3)+"data: [DONE]\n\n")
	after := l.acquire()
	l.release(after)
	assert.Assert(t, after != before, "silent connection is still in use")
	close(finish)
	assert.Equal(t, (<-first).body, streamText(3)+"data: [DONE]\n\n")
	assert.Equal(t, b.fake[1].attempts(), 1)
}

// An attempt that goes silent must also end a control stream without reports.
// Otherwise a frozen endpoint gets new requests, and permits are lost on the dead
// stream, until its own report timeout. Guards also against cancelling a control
// stream that still delivers reports.
func TestSilentRunEndsSilentControlStream(t *testing.T) {
	for name, reporting := range map[string]bool{"without reports": false, "with reports": true} {
		t.Run(name, func(t *testing.T) {
			b := newTestBed(t, modelKind, []script{silent}, []script{answer(3, true, nil)})
			b.e.policy = firstEndpoint{}
			l := b.e.connector.link("endpoint-0")
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			conn := l.acquire()
			defer l.release(conn)
			l.setControlStream(conn, cancel)
			if reporting {
				l.mu.Lock()
				conn.lastReport = time.Now().Add(time.Hour)
				l.mu.Unlock()
			}
			assert.Equal(t, b.post(t, completions, streamBody).body, streamText(3)+"data: [DONE]\n\n")
			assert.Equal(t, ctx.Err() == nil, reporting)
		})
	}
}

// Guards against new requests for an endpoint whose next frame is overdue, and
// against refusals when it is the only endpoint.
func TestSuspectedEndpointIsAvoided(t *testing.T) {
	b := newTestBed(t, modelKind, []script{silent}, []script{answer(3, true, nil)})
	b.e.policy = firstEndpoint{}
	first := make(chan reply, 1)
	go func() { first <- b.post(t, completions, streamBody) }()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if len(b.e.connector.suspected()) == 0 {
			return poll.Continue("the endpoint is not in doubt")
		}
		return poll.Success()
	}, poll.WithDelay(time.Millisecond))
	want := streamText(3) + "data: [DONE]\n\n"
	assert.Equal(t, b.post(t, completions, streamBody).body, want)
	assert.Equal(t, (<-first).body, want)
	assert.Equal(t, b.fake[0].attempts(), 1)
	b = newTestBed(t, modelKind, []script{answer(3, true, nil)})
	b.e.connector.link("endpoint-0").suspected.Store(true)
	assert.Equal(t, b.post(t, completions, streamBody).body, want)
	assert.Equal(t, len(b.e.connector.suspected()), 0)
}

// Guards against an attempt that continues after the caller has disconnected, and
// against a request that is left without an outcome or keeps its place in the team
// limit.
func TestCallerGone(t *testing.T) {
	ended := make(chan struct{})
	run := answer(2, false, func(_ *fakeEndpoint, _ *fescuev1.RunRequest, stream grpc.ServerStreamingServer[fescuev1.RunFrame]) error {
		<-stream.Context().Done()
		return stream.Context().Err()
	})
	b := newTestBed(t, modelKind, []script{func(f *fakeEndpoint, req *fescuev1.RunRequest, stream grpc.ServerStreamingServer[fescuev1.RunFrame]) error {
		defer close(ended)
		return run(f, req, stream)
	}})
	b.e.timing.progressTimeout = time.Minute
	ctx, cancel := context.WithCancel(t.Context())
	req := httptest.NewRequestWithContext(ctx, http.MethodPost, completions, strings.NewReader(streamBody))
	req.Header.Set("Authorization", "Bearer "+testKey)
	x := newExchange(httptest.NewRecorder(), req)
	x.kind, x.route = modelKind, "completions"
	settled := make(chan struct{})
	go func() {
		assert.Check(t, aborts(func() { b.e.serve(x) }), "the response looks complete")
		close(settled)
	}()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if b.fake[0].attempts() == 0 {
			return poll.Continue("attempt has not arrived")
		}
		return poll.Success()
	}, poll.WithDelay(time.Millisecond))
	cancel()
	<-ended
	<-settled
	assert.Equal(t, x.settlement.Outcome(), ident.Unknown)
	assert.Equal(t, b.e.limiter.InFlight("tokachi"), 0)
	assert.Equal(t, b.fake[0].attempts(), 1)
}

// Guards against an endpoint that is removed because the end of its old control
// stream is handled after the first report of the new one, and against one that
// reappears through a late report of an ended stream.
func TestControlStreamOrder(t *testing.T) {
	table := streamTable{}
	first, second := streamID{"e", 1}, streamID{"e", 2}
	assert.Assert(t, table.accept(first))
	assert.Assert(t, table.accept(second))
	assert.Assert(t, !table.end(first), "end of an old stream removes the endpoint")
	assert.Assert(t, !table.accept(first), "late report of an old stream")
	assert.Assert(t, table.accept(second))
	assert.Assert(t, table.end(second))
	assert.Assert(t, !table.accept(second), "late report of an ended stream")
	assert.Assert(t, table.accept(streamID{"e", 3}))
}

func BenchmarkChain(b *testing.B) {
	pass := func(context.Context, *Exchange) *Failure { return nil }
	filters := make([]Filter, 7)
	for i := range filters {
		filters[i] = passOn{}
	}
	b.Run("direct", func(b *testing.B) {
		for b.Loop() {
			pass(context.Background(), nil)
		}
	})
	run := chain(filters...)
	b.Run("filters=7", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			run(context.Background(), nil)
		}
	})
}

type passOn struct{}

func (passOn) Name() string { return "pass" }

func (passOn) Do(ctx context.Context, x *Exchange, next Handler) *Failure { return next(ctx, x) }

// Guards against a new entry that reports ready while it knows only some of the
// endpoints, and against one that waits forever for an endpoint that has failed.
func TestNewEntryWaitsForEndpoints(t *testing.T) {
	b := newTestBed(t, modelKind, []script{answer(1, true, nil)}, []script{answer(1, true, nil)})
	known := b.e.directory.Load()
	b.e.started = time.Now()
	assert.Equal(t, len(b.e.unreadyReasons()), 0)
	b.e.directory.Store(membership.New().Snapshot())
	assert.Equal(t, len(b.e.unreadyReasons()), 2)
	b.e.started = time.Now().Add(-startupGrace)
	assert.Equal(t, len(b.e.unreadyReasons()), 1)
	b.e.directory.Store(known)
	assert.Equal(t, len(b.e.unreadyReasons()), 0)
}
