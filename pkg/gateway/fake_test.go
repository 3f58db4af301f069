package gateway

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"google.golang.org/grpc"
	"gotest.tools/v3/assert"

	"github.com/fescuecourse/fescuecourse/api/fescuev1"
	"github.com/fescuecourse/fescuecourse/pkg/connlimit"
	"github.com/fescuecourse/fescuecourse/pkg/fleet"
	"github.com/fescuecourse/fescuecourse/pkg/kv"
	"github.com/fescuecourse/fescuecourse/pkg/locality"
	"github.com/fescuecourse/fescuecourse/pkg/logging"
	"github.com/fescuecourse/fescuecourse/pkg/origin"
	"github.com/fescuecourse/fescuecourse/pkg/quota"
	"github.com/fescuecourse/fescuecourse/pkg/ratelimit"
	"github.com/fescuecourse/fescuecourse/pkg/route"
)

// fakeHeaders is a minimal header format: Id, Budget-Ms, Key, Model and Prompt (a list of
// ID:TOKENS pairs) in requests, Version, Fetch, Team and Priority in those to endpoints, and Not-Run,
// Stamp, Instance, Weights, Limit, Retry-After and Leaving in responses.
type fakeHeaders struct{}

func (fakeHeaders) ReadyPath() string { return "/ready" }

func (fakeHeaders) Call(h http.Header) (Call, error) {
	c := Call{RequestID: h.Get("Id"), LastEventID: h.Get("Last-Event-Id"), Resumes: h.Get("Resumes"), APIKey: h.Get("Key")}
	c.Key.Model, c.Key.Name, _ = strings.Cut(h.Get("Model"), "/")
	if v := h.Get("Budget-Ms"); v != "" {
		d, err := time.ParseDuration(v + "ms")
		if err != nil {
			return c, err
		}
		c.MaxWait = d
	}
	if v := h.Get("Prompt"); v != "" {
		for field := range strings.SplitSeq(v, ",") {
			id, count, _ := strings.Cut(field, ":")
			tokens, err := strconv.Atoi(count)
			if err != nil {
				return c, err
			}
			c.Prefix = append(c.Prefix, locality.Part{ID: id, Tokens: tokens})
			c.PromptTokens += tokens
		}
	}
	return c, nil
}

func (fakeHeaders) Forward(h http.Header, a *Attempt) http.Header {
	out := h.Clone()
	out.Set("Expect", string(a.Endpoint))
	out.Del("Expect")
	out.Del("Team")
	if a.HideAPIKey {
		out.Del("Key")
	}
	if a.Team != "" {
		out.Set("Team", string(a.Team))
	}
	out.Set("Priority", strconv.Itoa(a.Priority))
	if a.LastEventID != "" {
		out.Set("Last-Event-Id", a.LastEventID)
	}
	out.Set("Version", fmt.Sprint(a.Version))
	if a.FetchFrom != "" {
		out.Set("Fetch", a.FetchFrom)
	}
	return out
}

func (fakeHeaders) ResponseID(h http.Header) string { return h.Get("Id") }

func (fakeHeaders) Reply(status int, h http.Header) Reply {
	weights, err := strconv.Atoi(h.Get("Weights"))
	if err != nil {
		weights = 0
	}
	return Reply{
		NotRun:         h.Get("Not-Run") != "" || status == 421,
		FromPlatform:   h.Get("Stamp") != "",
		Instance:       fleet.ID(h.Get("Instance")),
		WeightsVersion: weights,
		Limit:          fakeLimit(h.Get("Limit")),
		Backoff:        fakeBackoff(h.Get("Retry-After")),
		Leaving:        h.Get("Leaving") != "",
	}
}

func fakeBackoff(v string) fleet.Backoff {
	seconds, err := strconv.ParseFloat(v, 64)
	return fleet.Backoff{Asked: err == nil, For: time.Duration(seconds * float64(time.Second))}
}

func fakeLimit(v string) fleet.NamedLimit {
	perSecond, err := strconv.ParseFloat(v, 64)
	return fleet.NamedLimit{Named: err == nil, PerSecond: perSecond}
}

// fakeCatalog decodes nothing: tests set the snapshot themselves.
type fakeCatalog struct{ Catalog }

func (fakeCatalog) Prefix() string { return "" }

// testGateway is a gateway with fake servers on loopback addresses.
type testGateway struct {
	t         *testing.T
	gateway   *Gateway
	front     *httptest.Server
	directory *fleet.Directory
	servers   int
}

const (
	plainService = "desk"
	modelService = "pool"
)

func newTestGateway(t *testing.T, routes ...route.Route) *testGateway {
	t.Helper()
	for i := range routes {
		routes[i].Host = "h.example"
		routes[i].MaxAttempts = max(routes[i].MaxAttempts, 1)
	}
	var store kv.Store
	g, err := New(Settings{ID: "e1", Zone: "z1", ResidencyPort: 1, Grace: time.Second, RetryRatio: 0.2}, store, fakeCatalog{}, fakeHeaders{}, logging.Nop())
	assert.NilError(t, err)
	synced := time.Now().Add(-directorySettleTime)
	g.control.syncedAt.Store(&synced)
	g.control.source = currentSource{g.control}
	w := &testGateway{t: t, gateway: g, directory: fleet.NewDirectory()}
	w.directory.SetConfig(route.Config{Version: 1, Routes: routes, Services: []route.Service{
		{Name: plainService},
		{Name: modelService, Engine: &route.Engine{MaxAdapters: 4}},
	}})
	w.publish()
	w.front = httptest.NewUnstartedServer(http.HandlerFunc(g.serve))
	lis := connlimit.New(w.front.Listener, g.connLimits())
	w.front.Listener = lis
	w.front.Config.ConnContext, w.front.Config.ConnState = connlimit.WithConn, lis.Track
	w.front.Start()
	t.Cleanup(w.front.Close)
	return w
}

// configure makes a test server that has not started the server for the callers of g.
func (g *Gateway) configure(requests context.Context, front *httptest.Server) {
	lis := connlimit.New(front.Listener, g.connLimits())
	front.Listener = lis
	front.Config = g.newServer(requests, lis)
}

func (w *testGateway) publish() { w.gateway.control.show(w.directory.Snapshot()) }

// serve starts an endpoint with the given handler and adds it to the directory.
func (w *testGateway) serve(service string, h http.HandlerFunc) *fleet.Endpoint {
	w.t.Helper()
	return w.serveSoftware(service, "", h)
}

// serveSoftware starts an endpoint that runs the given software version.
func (w *testGateway) serveSoftware(service, version string, h http.HandlerFunc) *fleet.Endpoint {
	w.t.Helper()
	w.servers++
	srv := w.startServer(h)
	id := fleet.ID(fmt.Sprintf("s%d", w.servers))
	w.directory.SetEndpoint(time.Now(), fleet.Endpoint{ID: id, Service: service, Address: srv.Listener.Addr().String(), Zone: "z1", SoftwareVersion: version, Slots: 4, State: fleet.Ready, Born: 1})
	w.publish()
	e := w.find(service, id)
	if service == modelService {
		w.connect(e, newFakeSidecar())
	}
	return e
}

// startServer starts a server on a loopback address of its own, as servers on different
// machines have.
func (w *testGateway) startServer(h http.HandlerFunc) *httptest.Server {
	w.t.Helper()
	lis, err := net.Listen("tcp", fmt.Sprintf("127.0.0.%d:0", w.servers))
	assert.NilError(w.t, err)
	srv := httptest.NewUnstartedServer(h)
	assert.NilError(w.t, srv.Listener.Close())
	srv.Listener = lis
	srv.Start()
	w.t.Cleanup(srv.Close)
	return srv
}

// serveConns listens on a loopback address and passes each connection to a function.
func serveConns(t *testing.T, serve func(net.Conn)) (address string) {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { lis.Close() })
	go func() {
		for {
			c, err := lis.Accept()
			if err != nil {
				return
			}
			go serve(c)
		}
	}()
	return lis.Addr().String()
}

// find returns an endpoint of the directory.
func (w *testGateway) find(service string, id fleet.ID) *fleet.Endpoint {
	for _, e := range w.gateway.control.snapshot.Load().Services[service] {
		if e.ID == id {
			return e
		}
	}
	return nil
}

// connect replaces the sidecar of a model server.
func (w *testGateway) connect(e *fleet.Endpoint, s *fakeSidecar) {
	l := newOriginLink()
	l.connected(s)
	w.gateway.control.originLinks.Store(e.Runtime, l)
}

// fakeSidecar answers questions for the origins of streams and for permits.
type fakeSidecar struct {
	fescuev1.ResidencyClient
	registry *origin.Registry
	divider  *ratelimit.Divider
	keeper   *quota.Keeper
	// leases counts the requests for credit.
	leases atomic.Int32
	// unreachable makes questions wait until their time ends.
	unreachable atomic.Bool
	// delay is the time before permits are answered, in nanoseconds.
	delay atomic.Int64
	// asked counts the questions.
	asked atomic.Int32
}

// lastMinute is the period of which a process knows all software versions if it has been up
// for long.
func lastMinute(now time.Time) origin.Period {
	return origin.Period{Since: now.Add(-origin.Retention), Until: now}
}

// currentSource is a source of the directory that is always current.
type currentSource struct{ control *control }

func (s currentSource) Followed() (since, until time.Time, ok bool) {
	at := s.control.syncedAt.Load()
	if at == nil {
		return time.Time{}, time.Time{}, false
	}
	return *at, time.Now(), true
}

func (s currentSource) Confirm(context.Context) error { return nil }

// newFakeSidecar returns a sidecar that has known all software versions for long.
func newFakeSidecar() *fakeSidecar {
	s := &fakeSidecar{registry: origin.NewRegistry(), divider: ratelimit.NewDivider(), keeper: quota.NewKeeper(time.Now())}
	s.registry.VersionsKnown(lastMinute(time.Now()))
	return s
}

func (s *fakeSidecar) TakePermit(ctx context.Context, q *fescuev1.TakePermitRequest, _ ...grpc.CallOption) (*fescuev1.TakePermitResponse, error) {
	if s.unreachable.Load() {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	time.Sleep(time.Duration(s.delay.Load()))
	server := ratelimit.Server{ID: q.GetInstanceId(), Born: q.GetBorn()}
	if q.GetEnded() {
		s.divider.End(time.Now(), server)
		return &fescuev1.TakePermitResponse{Ended: true}, nil
	}
	g := s.divider.Take(time.Now(), ratelimit.Demand{
		Server:    server,
		PerSecond: q.GetLimitPerSecond(),
		NamedAgo:  time.Duration(q.GetNamedMsAgo()) * time.Millisecond,
		Fallback:  q.GetFallback(),
	})
	return &fescuev1.TakePermitResponse{Granted: g.Granted, RetryAfterMs: uint32(g.RetryAfter.Milliseconds()), Ended: g.Ended}, nil
}

func (s *fakeSidecar) LeaseCredit(ctx context.Context, r *fescuev1.LeaseCreditRequest, _ ...grpc.CallOption) (*fescuev1.LeaseCreditResponse, error) {
	s.leases.Add(1)
	if s.unreachable.Load() {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	time.Sleep(time.Duration(s.delay.Load()))
	g := s.keeper.Lease(time.Now(), quota.Demand{
		Entry:    r.GetEntryId(),
		Team:     r.GetTeam(),
		Limit:    quota.Limit{PerSecond: r.GetRatePerSecond(), Burst: r.GetBurst(), Version: r.GetConfigVersion()},
		Needed:   r.GetNeeded(),
		Expected: r.GetExpected(),
		Unspent:  r.GetUnspent(),
		Lifetime: time.Duration(r.GetLifetimeMs()) * time.Millisecond,
		Settled:  time.Duration(r.GetSettledMs()) * time.Millisecond,
	})
	return &fescuev1.LeaseCreditResponse{Granted: g.Credit, RetryAfterMs: uint32(g.RetryAfter.Milliseconds()), SpentPerSecond: g.SpentPerSecond}, nil
}

func (s *fakeSidecar) FindOrigin(ctx context.Context, q *fescuev1.FindOriginRequest, _ ...grpc.CallOption) (*fescuev1.FindOriginResponse, error) {
	s.asked.Add(1)
	if s.unreachable.Load() {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	now := time.Now()
	o, found := s.registry.Find(now, origin.StreamID(q.GetStream()))
	versions := s.registry.Versions(now, q.GetService())
	return &fescuev1.FindOriginResponse{Found: found, Service: o.Service, SoftwareVersion: o.SoftwareVersion, ServiceVersions: versions, SoftwareKnown: origin.EncodePeriod(now, s.registry.KnownPeriod())}, nil
}

// setResident makes a model server report the adapter as resident.
func setResident(e *fleet.Endpoint, k fleet.AdapterKey, version int) {
	e.Runtime.SetStatus(&fleet.Status{ReceivedAt: time.Now(), Models: map[string]int{k.Model: 1}, Residents: map[fleet.AdapterKey]int{k: version}, Free: 1})
}

type response struct {
	status int
	header http.Header
	body   string
	err    error
}

// do sends a request without a body to the gateway and reads the whole response.
func (w *testGateway) do(method, path string, header map[string]string) response {
	w.t.Helper()
	return w.doWithBody(method, path, header, "")
}

// doWithBody sends a request to the gateway and reads the whole response.
func (w *testGateway) doWithBody(method, path string, header map[string]string, content string) response {
	w.t.Helper()
	req, err := http.NewRequest(method, w.front.URL+path, strings.NewReader(content))
	assert.NilError(w.t, err)
	req.Host = "h.example"
	req.Header.Set("Id", "r1")
	for k, v := range header {
		req.Header.Set(k, v)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return response{err: err}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return response{status: resp.StatusCode, header: resp.Header, body: string(body), err: err}
}

// markFromPlatform sets the headers that identify a response of a platform server.
func markFromPlatform(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Stamp", "x")
	w.Header().Set("Id", r.Header.Get("Id"))
}

// abortResponse closes the connection before the response is complete.
func abortResponse() { panic(http.ErrAbortHandler) }

// addAt adds an endpoint at an address to the directory.
func (w *testGateway) addAt(service, address string) {
	w.t.Helper()
	w.servers++
	id := fleet.ID(fmt.Sprintf("s%d", w.servers))
	w.directory.SetEndpoint(time.Now(), fleet.Endpoint{ID: id, Service: service, Address: address, Zone: "z1", Slots: 4, State: fleet.Ready, Born: 1})
	w.publish()
	if service == modelService {
		w.connect(w.find(service, id), newFakeSidecar())
	}
}

// drain sends a request that may last one second and discards the body of the response.
func (w *testGateway) drain(path string) response {
	w.t.Helper()
	req, err := http.NewRequest(http.MethodGet, w.front.URL+path, http.NoBody)
	assert.NilError(w.t, err)
	req.Host = "h.example"
	req.Header.Set("Id", "r1")
	req.Header.Set("Budget-Ms", "1000")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return response{err: err}
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return response{status: resp.StatusCode, header: resp.Header, err: err}
}
