package entry

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"gotest.tools/v3/assert"

	"github.com/fescuecourse/fescuecourse/api/fescuev1"
	"github.com/fescuecourse/fescuecourse/pkg/bundle"
	"github.com/fescuecourse/fescuecourse/pkg/ident"
	"github.com/fescuecourse/fescuecourse/pkg/logging"
	"github.com/fescuecourse/fescuecourse/pkg/membership"
	"github.com/fescuecourse/fescuecourse/pkg/placement"
	"github.com/fescuecourse/fescuecourse/pkg/rollout"
	"github.com/fescuecourse/fescuecourse/pkg/vmlist"
)

const (
	testKey     = "test-key"
	testAdapter = "tokachi/summary@1"
)

func testBundle(t *testing.T, version int, limits string) *bundle.Bundle {
	t.Helper()
	return versionsBundle(t, version, limits, "1, 2", strconv.Itoa(min(version, 2)))
}

// versionsBundle returns a bundle with the given versions of the adapter.
func versionsBundle(t *testing.T, version int, limits, versions, current string) *bundle.Bundle {
	t.Helper()
	sum := sha256.Sum256([]byte(testKey))
	text := fmt.Sprintf("[bundle]\nversion = %d\n[deployment]\nname = test\nretry_budget = 1\n[team \"tokachi\"]\nkey_sha256 = %s\nweight = 1\npriority = high\n%s\n"+
		"[adapter \"tokachi/summary\"]\nbase_model = kuma-7b\nversions = %s\ncurrent = %s\n[service \"desk\"]\n", version, hex.EncodeToString(sum[:]), limits, versions, current)
	b, found := bundle.Parse("test", text)
	assert.NilError(t, found.Err())
	return b
}

// script determines what the fake endpoint does with one attempt.
type script func(f *fakeEndpoint, req *fescuev1.RunRequest, stream grpc.ServerStreamingServer[fescuev1.RunFrame]) error

// fakeEndpoint is an endpoint that follows scripts. Each attempt uses the next
// script; the last one is repeated.
type fakeEndpoint struct {
	fescuev1.UnimplementedEndpointServer
	id     string
	server *grpc.Server

	mu      sync.Mutex
	scripts []script
	revokes []*fescuev1.RevokeReply
	revoked int
	got     []*fescuev1.RunRequest
}

func (f *fakeEndpoint) Run(req *fescuev1.RunRequest, stream grpc.ServerStreamingServer[fescuev1.RunFrame]) error {
	f.mu.Lock()
	s := f.scripts[0]
	if len(f.scripts) > 1 {
		f.scripts = f.scripts[1:]
	}
	f.got = append(f.got, req)
	f.mu.Unlock()
	return s(f, req, stream)
}

func (f *fakeEndpoint) Revoke(_ context.Context, req *fescuev1.RevokeRequest) (*fescuev1.RevokeReply, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.revoked++
	if len(f.revokes) == 0 {
		return nil, status.Error(codes.Unavailable, "no reply")
	}
	r := f.revokes[0]
	for _, fr := range r.GetAnswer() {
		fr.Ref = req.GetRef()
	}
	if len(f.revokes) > 1 {
		f.revokes = f.revokes[1:]
	}
	return r, nil
}

func (f *fakeEndpoint) attempts() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.got)
}

// Helpers that build scripts and their frames.

func frames(req *fescuev1.RunRequest, from, to int, end bool) []*fescuev1.RunFrame {
	adapter := ""
	if req.GetModel() != nil {
		adapter = testAdapter
	}
	out := []*fescuev1.RunFrame{{Body: &fescuev1.RunFrame_Header{Header: &fescuev1.Header{Status: 200, ContentType: "text/plain", ServedAdapter: adapter}}}}
	for i := from; i < to; i++ {
		payload := fmt.Sprintf(`{"choices":[{"text":"t%d "}]}`, i)
		if req.GetService() != nil {
			payload = fmt.Sprint(i % 10)
		}
		out = append(out, &fescuev1.RunFrame{Body: &fescuev1.RunFrame_Data{Data: &fescuev1.Data{Offset: uint64(i), Payload: []byte(payload)}}})
	}
	if end {
		out = append(out, &fescuev1.RunFrame{Body: &fescuev1.RunFrame_End{End: &fescuev1.End{Total: uint64(to)}}})
	}
	for _, fr := range out {
		fr.Ref = req.GetRef()
	}
	return out
}

// answer sends the frames from the resume offset up to event n, with an End frame if
// end is set, and continues with rest.
func answer(n int, end bool, rest script, change ...func([]*fescuev1.RunFrame) []*fescuev1.RunFrame) script {
	return func(f *fakeEndpoint, req *fescuev1.RunRequest, stream grpc.ServerStreamingServer[fescuev1.RunFrame]) error {
		list := frames(req, int(req.GetModel().GetResumeEvents()), n, end)
		for _, c := range change {
			list = c(list)
		}
		for _, fr := range list {
			if err := stream.Send(fr); err != nil {
				return err
			}
		}
		if rest != nil {
			return rest(f, req, stream)
		}
		return nil
	}
}

func silent(_ *fakeEndpoint, _ *fescuev1.RunRequest, stream grpc.ServerStreamingServer[fescuev1.RunFrame]) error {
	<-stream.Context().Done()
	return stream.Context().Err()
}

func broken(*fakeEndpoint, *fescuev1.RunRequest, grpc.ServerStreamingServer[fescuev1.RunFrame]) error {
	return status.Error(codes.Unavailable, "broken")
}

func refuse(reason fescuev1.NotRunReason, version uint64) script {
	return func(_ *fakeEndpoint, req *fescuev1.RunRequest, stream grpc.ServerStreamingServer[fescuev1.RunFrame]) error {
		return stream.Send(&fescuev1.RunFrame{Ref: req.GetRef(), Body: &fescuev1.RunFrame_NotRun{NotRun: &fescuev1.NotRun{Reason: reason, BundleVersion: version}}})
	}
}

func state(s fescuev1.RevokeReply_State) *fescuev1.RevokeReply {
	return &fescuev1.RevokeReply{State: s}
}

// testBed is an entry that is connected to fake endpoints.
type testBed struct {
	e    *Entry
	http *httptest.Server
	fake []*fakeEndpoint
	b    *rollout.Holder
	d    *membership.Directory
}

// setEngineVersions makes the endpoints report the versions of their engines.
func (b *testBed) setEngineVersions(versions []*fescuev1.EngineVersion) {
	for i, v := range versions {
		b.d.Apply(time.Now().Add(time.Hour), &fescuev1.Report{EndpointId: b.fake[i].id, Incarnation: 7, State: fescuev1.EndpointState_ENDPOINT_STATE_READY, PositionsTotal: 4, CanLoad: true, EngineVersion: v})
	}
	b.e.directory.Store(b.d.Snapshot())
}

// close closes the connections and servers of the test bed before the end of the test.
func (b *testBed) close() {
	b.http.Close()
	for _, l := range b.e.connector.links {
		l.close()
	}
	for _, f := range b.fake {
		f.server.Stop()
	}
}

// newTestBed starts an entry with one fake endpoint for each list of scripts.
func newTestBed(t *testing.T, kind fescuev1.EndpointKind, scripts ...[]script) *testBed {
	t.Helper()
	h := &rollout.Holder{}
	h.Adopt(testBundle(t, 1, ""))
	set := Settings{ID: "entry-1", Zone: "a", VMList: "127.0.0.1:1", DefaultDeadline: 20 * time.Second, MaxDeadline: time.Minute, MaxBodyBytes: 1 << 16}
	e, err := New(set, h, logging.Nop())
	assert.NilError(t, err)
	e.timing = timing{progressTimeout: 400 * time.Millisecond, suspicion: 100 * time.Millisecond, revoke: 5 * time.Second, revokeIdempotent: 5 * time.Second, pollInterval: time.Millisecond, deadlineGrace: 20 * time.Millisecond, bundleWait: 5 * time.Second, bundlePollInterval: time.Millisecond}
	d := membership.New()
	out := &testBed{e: e, b: h, d: d}
	for i, s := range scripts {
		out.fake = append(out.fake, startFake(t, e, d, fmt.Sprintf("endpoint-%d", i), kind, s))
	}
	e.directory.Store(d.Snapshot())
	out.http = httptest.NewServer(e.routes())
	t.Cleanup(out.http.Close)
	return out
}

func startFake(t *testing.T, e *Entry, d *membership.Directory, id string, kind fescuev1.EndpointKind, s []script) *fakeEndpoint {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	srv := grpc.NewServer()
	f := &fakeEndpoint{id: id, server: srv, scripts: s}
	fescuev1.RegisterEndpointServer(srv, f)
	go func() { _ = srv.Serve(lis) }()
	t.Cleanup(srv.Stop)
	l, err := e.connector.newLink(vmlist.VM{Endpoint: ident.EndpointID(id), Address: lis.Addr().String()}, func() {})
	assert.NilError(t, err)
	t.Cleanup(l.close)
	e.connector.links[l.id] = l
	backend := "kuma-7b"
	if kind == fescuev1.EndpointKind_ENDPOINT_KIND_SERVICE {
		backend = "desk"
	}
	d.Apply(time.Now().Add(time.Hour), &fescuev1.Report{EndpointId: id, Incarnation: 7, Kind: kind, Backend: backend, State: fescuev1.EndpointState_ENDPOINT_STATE_READY, PositionsTotal: 4, CanLoad: true})
	return f
}

// reply is the response that the caller receives.
type reply struct {
	status     int
	outcome    string
	body       string
	retryAfter string
	headers    http.Header
}

func (b *testBed) post(t *testing.T, path, body string, headers ...string) reply {
	t.Helper()
	req, err := http.NewRequest(http.MethodPost, b.http.URL+path, bytes.NewBufferString(body))
	assert.NilError(t, err)
	req.Header.Set("Authorization", "Bearer "+testKey)
	for i := 0; i+1 < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	res, err := http.DefaultClient.Do(req)
	assert.NilError(t, err)
	defer res.Body.Close()
	var text bytes.Buffer
	_, err = text.ReadFrom(res.Body)
	assert.NilError(t, err)
	r := reply{status: res.StatusCode, outcome: res.Header.Get(headerOutcome), body: text.String(), retryAfter: res.Header.Get("Retry-After"), headers: res.Header}
	if r.outcome == "" {
		r.outcome = res.Trailer.Get(headerOutcome)
	}
	return r
}

// firstEndpoint is a placement policy that chooses the first endpoint that is not
// excluded.
type firstEndpoint struct{}

func (firstEndpoint) Name() string { return "first" }

func (firstEndpoint) Place(r *placement.Request, s *membership.Snapshot) (placement.Decision, error) {
	for _, e := range s.Endpoints {
		if !slices.Contains(r.Excluded, e.ID) {
			return placement.Decision{Endpoint: e}, nil
		}
	}
	return placement.Decision{}, placement.ErrNoEndpoint
}

// keepEndpoint is a placement policy that always chooses the first endpoint, even if
// it is excluded.
type keepEndpoint struct{}

func (keepEndpoint) Name() string { return "keep" }

func (keepEndpoint) Place(_ *placement.Request, s *membership.Snapshot) (placement.Decision, error) {
	return placement.Decision{Endpoint: s.Endpoints[0]}, nil
}
