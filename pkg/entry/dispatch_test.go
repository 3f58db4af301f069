package entry

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"google.golang.org/grpc"
	"gotest.tools/v3/assert"

	"github.com/fescuecourse/fescuecourse/api/fescuev1"
	"github.com/fescuecourse/fescuecourse/pkg/ident"
	"github.com/fescuecourse/fescuecourse/pkg/invariant"
	"github.com/fescuecourse/fescuecourse/pkg/membership"
)

const (
	modelKind   = fescuev1.EndpointKind_ENDPOINT_KIND_MODEL
	serviceKind = fescuev1.EndpointKind_ENDPOINT_KIND_SERVICE
	completions = "/v1/completions"
	handoff     = "/v1/services/desk/handoff"
	streamBody  = `{"model":"tokachi/summary@1","prompt":"p","stream":true}`
	plainBody   = `{"model":"tokachi/summary@1","prompt":"p"}`
)

func streamText(n int) string {
	var b strings.Builder
	for i := range n {
		fmt.Fprintf(&b, "data: {\"choices\":[{\"text\":\"t%d \"}]}\n\n", i)
	}
	return b.String()
}

// Guards against a response with lost or repeated events, or with events of another
// request, after the endpoint of the first attempt has failed in one of several ways.
// The second attempt resumes the response.
func TestStreamSurvivesMisbehaviour(t *testing.T) {
	previous := invariant.SetHandler(nil)
	t.Cleanup(func() { invariant.SetHandler(previous) })
	duplicate := func(in []*fescuev1.RunFrame) []*fescuev1.RunFrame {
		return append(in[:3:3], append([]*fescuev1.RunFrame{in[0], in[1], in[2]}, in[3:]...)...)
	}
	gap := func(in []*fescuev1.RunFrame) []*fescuev1.RunFrame { return append(in[:2:2], in[3:]...) }
	short := func(in []*fescuev1.RunFrame) []*fescuev1.RunFrame { return append(in[:2:2], in[len(in)-1]) }
	noHeader := func(in []*fescuev1.RunFrame) []*fescuev1.RunFrame { return in[1:] }
	foreign := func(in []*fescuev1.RunFrame) []*fescuev1.RunFrame {
		in[2].Ref = &fescuev1.AttemptRef{RequestId: "other", Attempt: 1}
		return in
	}
	wrongAdapter := func(in []*fescuev1.RunFrame) []*fescuev1.RunFrame {
		in[0].GetHeader().ServedAdapter = "tokachi/summary@2"
		return in
	}
	rows := map[string]script{
		"no status":                  answer(5, true, nil, withStatus(0)),
		"silence before the run":     silent,
		"silence during the run":     answer(2, false, silent),
		"silence after the run":      answer(5, false, silent),
		"broken before the run":      broken,
		"broken after n events":      answer(3, false, broken),
		"stream ends without an end": answer(3, false, nil),
		"duplicate frames":           answer(5, true, nil, duplicate),
		"gap":                        answer(5, true, nil, gap),
		"short end":                  answer(5, true, nil, short),
		"no header":                  answer(5, true, nil, noHeader),
		"frame of another request":   answer(5, true, nil, foreign),
		"wrong adapter":              answer(5, true, nil, wrongAdapter),
	}
	for name, s := range rows {
		t.Run(name, func(t *testing.T) {
			b := newTestBed(t, modelKind, []script{s}, []script{answer(5, true, nil)})
			b.e.policy = firstEndpoint{}
			got := b.post(t, completions, streamBody)
			assert.Equal(t, got.body, streamText(5)+"data: [DONE]\n\n")
			assert.Equal(t, got.outcome, ident.Answered.String())
		})
	}
}

// withStatus replaces the status in the header of an answer.
func withStatus(status uint32) func([]*fescuev1.RunFrame) []*fescuev1.RunFrame {
	return func(in []*fescuev1.RunFrame) []*fescuev1.RunFrame {
		in[0].GetHeader().Status = status
		return in
	}
}

func doneReply() *fescuev1.RevokeReply {
	req := &fescuev1.RunRequest{Ref: &fescuev1.AttemptRef{}, Work: &fescuev1.RunRequest_Service{Service: &fescuev1.ServiceCall{}}}
	return &fescuev1.RevokeReply{State: fescuev1.RevokeReply_STATE_DONE, Answer: frames(req, 0, 4, true)}
}

// Guards against a second run of a non-idempotent request whose stream was lost, a
// wrong outcome, and the loss of a response that the endpoint has stored.
func TestNonIdempotentAfterLostStream(t *testing.T) {
	running := state(fescuev1.RevokeReply_STATE_RUNNING)
	rows := []struct {
		name     string
		run      script
		revokes  []*fescuev1.RevokeReply
		status   int
		outcome  ident.Outcome
		attempts int
	}{
		{"never run", silent, []*fescuev1.RevokeReply{state(fescuev1.RevokeReply_STATE_NOT_RUN)}, 200, ident.Answered, 2},
		{"answer lost after the run", silent, []*fescuev1.RevokeReply{doneReply()}, 200, ident.Answered, 1},
		{"answer broken off", answer(2, false, broken), []*fescuev1.RevokeReply{doneReply()}, 200, ident.Answered, 1},
		{"still running, then done", broken, []*fescuev1.RevokeReply{running, running, running, doneReply()}, 200, ident.Answered, 1},
		{"run failed", broken, []*fescuev1.RevokeReply{state(fescuev1.RevokeReply_STATE_FAILED)}, 502, ident.Unknown, 1},
		{"other incarnation", broken, []*fescuev1.RevokeReply{state(fescuev1.RevokeReply_STATE_OTHER_INCARNATION)}, 502, ident.Unknown, 1},
		{"answer not kept", broken, []*fescuev1.RevokeReply{state(fescuev1.RevokeReply_STATE_DONE)}, 502, ident.Unknown, 1},
		{"answer without a status", answer(4, true, nil, withStatus(0)), []*fescuev1.RevokeReply{state(fescuev1.RevokeReply_STATE_FAILED)}, 502, ident.Unknown, 1},
		{"answer with status 101", answer(4, true, nil, withStatus(101)), []*fescuev1.RevokeReply{state(fescuev1.RevokeReply_STATE_FAILED)}, 502, ident.Unknown, 1},
		{"answer with status 999", answer(4, true, nil, withStatus(999)), []*fescuev1.RevokeReply{state(fescuev1.RevokeReply_STATE_FAILED)}, 502, ident.Unknown, 1},
		{"no reply", broken, nil, 502, ident.Unknown, 1},
		{"not run after a part of the answer", answer(2, false, broken), []*fescuev1.RevokeReply{state(fescuev1.RevokeReply_STATE_NOT_RUN)}, 502, ident.Unknown, 1},
	}
	for _, r := range rows {
		t.Run(r.name, func(t *testing.T) {
			b := newTestBed(t, serviceKind, []script{r.run}, []script{answer(4, true, nil)})
			b.e.policy = firstEndpoint{}
			b.fake[0].revokes = r.revokes
			got := b.post(t, handoff, "x")
			assert.Equal(t, got.status, r.status, got.body)
			assert.Equal(t, got.outcome, r.outcome.String())
			assert.Equal(t, b.fake[0].attempts()+b.fake[1].attempts(), r.attempts)
			if r.status == 200 {
				assert.Equal(t, got.body, "0123")
			}
		})
	}
}

// Guards against a proof of not-run that is not retried or not reported to the
// caller, for each reason that endpoints give.
func TestNotRunIsRetriedAndReported(t *testing.T) {
	for value, name := range fescuev1.NotRunReason_name {
		reason := fescuev1.NotRunReason(value)
		if reason == fescuev1.NotRunReason_NOT_RUN_REASON_OLD_BUNDLE {
			continue
		}
		t.Run(name, func(t *testing.T) {
			b := newTestBed(t, serviceKind, []script{refuse(reason, 0)}, []script{answer(4, true, nil)})
			b.e.policy = firstEndpoint{}
			got := b.post(t, handoff, "x")
			assert.Equal(t, got.body, "0123")
			b = newTestBed(t, serviceKind, []script{refuse(reason, 0)})
			got = b.post(t, handoff, "x")
			assert.Equal(t, got.status, 503)
			assert.Equal(t, got.outcome, ident.NotRun.String())
			assert.Assert(t, got.retryAfter != "")
		})
	}
}

// Guards against an unknown result of an idempotent request that could be retried at
// the only endpoint, and against a retry there of a non-idempotent one.
func TestOnlyEndpointIsTriedAgain(t *testing.T) {
	b := newTestBed(t, modelKind, []script{broken, answer(5, true, nil)})
	b.e.policy = firstEndpoint{}
	got := b.post(t, completions, streamBody)
	assert.Equal(t, got.body, streamText(5)+"data: [DONE]\n\n")
	b = newTestBed(t, serviceKind, []script{broken, answer(4, true, nil)})
	b.e.policy = firstEndpoint{}
	assert.Equal(t, b.post(t, handoff, "x").outcome, ident.Unknown.String())
	assert.Equal(t, b.fake[0].attempts(), 1)
}

// Guards against a request that is processed under an old bundle although its
// endpoint has a newer one, and against a stream that switches to another adapter
// version after the bundle has changed.
func TestOldBundleIsResolvedAgain(t *testing.T) {
	var b *testBed
	next := testBundle(t, 2, "")
	// The entry gets the new bundle after the refusal, so that it has to wait for it.
	old := func(f *fakeEndpoint, req *fescuev1.RunRequest, stream grpc.ServerStreamingServer[fescuev1.RunFrame]) error {
		time.AfterFunc(20*time.Millisecond, func() { b.b.Adopt(next) })
		return refuse(fescuev1.NotRunReason_NOT_RUN_REASON_OLD_BUNDLE, 2)(f, req, stream)
	}
	b = newTestBed(t, modelKind, []script{answer(2, false, broken), old, answer(4, true, nil)})
	b.e.policy = keepEndpoint{}
	got := b.post(t, completions, strings.Replace(streamBody, "@1", "", 1))
	assert.Equal(t, got.body, streamText(4)+"data: [DONE]\n\n")
	last := b.fake[0].got[2]
	assert.Equal(t, last.GetBundleVersion(), uint64(2))
	assert.Equal(t, last.GetModel().GetVersion(), "1")
	assert.Equal(t, last.GetModel().GetResumeEvents(), uint64(2))
}

// Guards against a request that runs past its deadline, a status other than 504 for
// its unknown result, and a normal end of a stream that was cut off.
func TestDeadlineAndBrokenStream(t *testing.T) {
	for _, s := range []script{silent, broken} {
		b := newTestBed(t, serviceKind, []script{s})
		b.fake[0].revokes = []*fescuev1.RevokeReply{state(fescuev1.RevokeReply_STATE_RUNNING)}
		got := b.post(t, handoff, "x", headerDeadline, "300")
		assert.Equal(t, got.status, 504)
		assert.Equal(t, got.outcome, ident.Unknown.String())
	}

	b := newTestBed(t, modelKind, []script{answer(2, false, broken)})
	got := b.post(t, completions, streamBody)
	assert.Equal(t, got.outcome, ident.Unknown.String())
	assert.Assert(t, strings.HasPrefix(got.body, streamText(2)+"data: {\"error\":"), got.body)
	assert.Assert(t, !strings.Contains(got.body, "[DONE]"))
}

// memoryClaims is an in-memory claim store that can simulate an outage.
type memoryClaims struct {
	mu      sync.Mutex
	records map[string]ClaimRecord
	down    bool
}

var errDown = errors.New("store is down")

func (m *memoryClaims) Claim(_ context.Context, _ ident.Team, key string, rec ClaimRecord) (ClaimRecord, bool, error) {
	return m.TakeOver(context.Background(), "", key, ClaimRecord{}, rec)
}

func (m *memoryClaims) TakeOver(_ context.Context, _ ident.Team, key string, old, rec ClaimRecord) (ClaimRecord, bool, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.down {
		return ClaimRecord{}, false, errDown
	}
	if m.records[key] != old {
		return m.records[key], false, nil
	}
	m.records[key] = rec
	return rec, true, nil
}

func (m *memoryClaims) Lookup(_ context.Context, _ ident.Team, key string) (ClaimRecord, bool, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.down {
		return ClaimRecord{}, false, errDown
	}
	rec, ok := m.records[key]
	return rec, ok, nil
}

func (m *memoryClaims) Drop(_ context.Context, _ ident.Team, key string, rec ClaimRecord) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.records[key] != rec {
		return ErrClaimReplaced
	}
	delete(m.records, key)
	return nil
}

// Guards against a second run of a request with an idempotency key, a wrong response
// to a repeated request, and an attempt that runs without a claim record.
func TestIdempotencyKey(t *testing.T) {
	b := newTestBed(t, serviceKind, []script{answer(4, true, nil)})
	got := b.post(t, handoff, "x", headerKey, "k")
	assert.Equal(t, got.status, 502, "without a store")
	store := &memoryClaims{records: map[string]ClaimRecord{}, down: true}
	b.e.SetClaims(store)
	got = b.post(t, handoff, "x", headerKey, "k")
	assert.Equal(t, got.status, 502, "with the store down")
	assert.Equal(t, got.outcome, ident.Unknown.String(), "an earlier request with the key may have run")
	assert.Assert(t, got.retryAfter != "")
	assert.Equal(t, b.fake[0].attempts(), 0)
	store.down = false
	assert.Equal(t, b.post(t, handoff, "x", headerKey, "k").body, "0123")

	repeat := func(r *fescuev1.RevokeReply) reply {
		b.fake[0].revokes = nil
		if r != nil {
			b.fake[0].revokes = []*fescuev1.RevokeReply{r}
		}
		return b.post(t, handoff, "x", headerKey, "k")
	}
	got = repeat(doneReply())
	assert.Equal(t, got.body, "0123")
	assert.Equal(t, got.outcome, ident.Answered.String())
	got = repeat(state(fescuev1.RevokeReply_STATE_RUNNING))
	assert.Equal(t, got.status, 409)
	assert.Equal(t, got.outcome, ident.Unknown.String())
	assert.Assert(t, got.retryAfter != "")
	assert.Equal(t, repeat(nil).outcome, ident.Unknown.String())
	assert.Equal(t, b.post(t, handoff, "y", headerKey, "k").status, 400, "same key, other body")
	assert.Equal(t, b.fake[0].attempts(), 1)
	assert.Equal(t, repeat(state(fescuev1.RevokeReply_STATE_NOT_RUN)).body, "0123")
	assert.Equal(t, b.fake[0].attempts(), 2)

	for _, c := range []struct {
		name  string
		reply *fescuev1.RevokeReply
		down  bool
		want  ident.Outcome
	}{
		{"earlier request ran", doneReply(), false, ident.Answered},
		{"earlier request is running", state(fescuev1.RevokeReply_STATE_RUNNING), false, ident.Unknown},
		{"earlier request did not run", state(fescuev1.RevokeReply_STATE_NOT_RUN), false, ident.NotRun},
		{"store is down", nil, true, ident.Unknown},
	} {
		b.fake[0].revokes = []*fescuev1.RevokeReply{c.reply}
		store.down = c.down
		known := b.e.directory.Swap(membership.New().Snapshot())
		got = b.post(t, handoff, "x", headerKey, "k")
		assert.Equal(t, got.outcome, c.want.String(), "no endpoint left: %s", c.name)
		b.e.directory.Store(known)
		store.down = false
	}

	refused := newTestBed(t, serviceKind, []script{refuse(fescuev1.NotRunReason_NOT_RUN_REASON_LEAVING, 0)})
	refused.e.SetClaims(store)
	assert.Equal(t, refused.post(t, handoff, "x", headerKey, "dropped").status, 503)
	assert.Equal(t, len(store.records), 1, "claim of a request that did not run is kept")
}
