package gateway

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fescuecourse/fescuecourse/pkg/credential"
	"github.com/fescuecourse/fescuecourse/pkg/fleet"
	"github.com/fescuecourse/fescuecourse/pkg/ident"
	"github.com/fescuecourse/fescuecourse/pkg/kv"
	"github.com/fescuecourse/fescuecourse/pkg/route"
)

var (
	keyedRoute = route.Route{Name: "keyed", Prefix: "/o/", Kind: route.NonIdempotent, Priority: 4, Services: []route.WeightedService{{Service: plainService}}}
	openRoute  = route.Route{Name: "open", Prefix: "/open/", Kind: route.Idempotent, Priority: 4, Open: true, Services: []route.WeightedService{{Service: plainService}}}
)

// keyedTeam returns a team that holds the given keys.
func keyedTeam(name string, keys ...string) route.Team {
	t := route.Team{Name: ident.Team(name)}
	for _, k := range keys {
		t.Keys = append(t.Keys, credential.DigestOf(k))
	}
	return t
}

// setTeams puts the next version of the configuration into force, with the given teams.
func (w *testGateway) setTeams(teams ...route.Team) {
	c := w.gateway.control.snapshot.Load().Table.Config
	c.Version++
	c.Teams = teams
	w.directory.SetConfig(c)
	w.publish()
}

// recorder keeps the headers of the requests that reach a server.
type recorder struct {
	mu   sync.Mutex
	seen []http.Header
}

func (r *recorder) handle(w http.ResponseWriter, req *http.Request) {
	r.mu.Lock()
	r.seen = append(r.seen, req.Header.Clone())
	r.mu.Unlock()
	markFromPlatform(w, req)
}

func (r *recorder) last() http.Header {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.seen[len(r.seen)-1]
}

func (r *recorder) count() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.seen)
}

// Guards against requests that run without a valid key or for another team than that of the
// key, against a team that callers name themselves and against servers that see keys.
func TestTeamIsThatOfTheKey(t *testing.T) {
	w := newTestGateway(t, keyedRoute, openRoute)
	var got recorder
	w.serve(plainService, got.handle)
	first := 0
	team := keyedTeam("a", "key-a")
	team.Priority = &first
	w.setTeams(team, keyedTeam("b", "key-b"))

	for _, tc := range []struct {
		path, key      string
		status         int
		team, priority string
	}{
		{path: "/o/x", status: http.StatusUnauthorized},
		{path: "/o/x", key: "wrong", status: http.StatusUnauthorized},
		{path: "/o/x", key: "key-a", status: http.StatusOK, team: "a", priority: "0"},
		{path: "/open/x", status: http.StatusOK, priority: "4"},
		{path: "/open/x", key: "wrong", status: http.StatusOK, priority: "4"},
		{path: "/open/x", key: "key-b", status: http.StatusOK, team: "b", priority: "4"},
	} {
		before := got.count()
		resp := w.do(http.MethodPost, tc.path, map[string]string{"Key": tc.key, "Team": "b"})
		assert.Equal(t, resp.status, tc.status)
		if tc.status != http.StatusOK {
			assert.Equal(t, got.count(), before)
			assert.Assert(t, tc.key == "" || !strings.Contains(resp.body, tc.key))
			continue
		}
		h := got.last()
		assert.Equal(t, h.Get("Team"), tc.team)
		assert.Equal(t, h.Get("Priority"), tc.priority)
		assert.Equal(t, h.Get("Key"), "")
	}
}

// Guards against keys that stay in force on connections that callers keep, and against new
// ones that are refused there.
func TestKeysChangeOnKeptConnection(t *testing.T) {
	w := newTestGateway(t, keyedRoute)
	var got recorder
	w.serve(plainService, got.handle)
	w.setTeams(keyedTeam("a", "old"))
	assert.Equal(t, w.do(http.MethodPost, "/o/x", map[string]string{"Key": "old"}).status, http.StatusOK)
	assert.Equal(t, w.do(http.MethodPost, "/o/x", map[string]string{"Key": "new"}).status, http.StatusUnauthorized)
	w.setTeams(keyedTeam("a", "new"))
	assert.Equal(t, w.do(http.MethodPost, "/o/x", map[string]string{"Key": "old"}).status, http.StatusUnauthorized)
	assert.Equal(t, w.do(http.MethodPost, "/o/x", map[string]string{"Key": "new"}).status, http.StatusOK)
}

// unreadBody fails a test if it is read.
type unreadBody struct{ t *testing.T }

func (b unreadBody) Read([]byte) (int, error) {
	b.t.Error("the body was read")
	return 0, io.EOF
}

// Guards against memory that callers without a valid key can claim with large bodies.
func TestBodyIsNotReadWithoutKey(t *testing.T) {
	w := newTestGateway(t, keyedRoute)
	w.setTeams(keyedTeam("a", "key"))
	req := httptest.NewRequest(http.MethodPost, "http://h.example/o/x", unreadBody{t})
	resp := httptest.NewRecorder()
	w.gateway.serve(resp, req)
	assert.Equal(t, resp.Code, http.StatusUnauthorized)
}

// Guards against an attempt for another team, or without one, after the first has failed.
func TestRetryKeepsTeam(t *testing.T) {
	w := newTestGateway(t, openRoute)
	var got recorder
	for range 2 {
		w.serve(plainService, func(rw http.ResponseWriter, r *http.Request) {
			got.handle(rw, r)
			if got.count() == 1 {
				rw.Header().Set("Not-Run", "1")
				rw.WriteHeader(http.StatusServiceUnavailable)
			}
		})
	}
	w.setTeams(keyedTeam("a", "key"))
	assert.Equal(t, w.do(http.MethodGet, "/open/x", map[string]string{"Key": "key"}).status, http.StatusOK)
	assert.Equal(t, got.count(), 2)
	assert.Equal(t, got.last().Get("Team"), "a")
}

// Guards against a key that an entry refuses because it has not read the configuration that
// adds it, and against one that still runs although that configuration lacks it.
func TestUnknownKeyFetchesTheConfiguration(t *testing.T) {
	w := newTestGateway(t, keyedRoute)
	var got recorder
	w.serve(plainService, got.handle)
	w.setTeams(keyedTeam("a", "old"))
	r := w.gateway.control.relay
	r.patience = time.Minute
	r.supply = func(_ context.Context, era kv.Era, pairs []kv.Pair) bool {
		w.setTeams(keyedTeam("a", "new"))
		r.read(era, pairs[0].ModRevision)
		return true
	}
	r.report(t.Context(), (&relaySidecar{revision: 2}).link(), 2)
	assert.Equal(t, w.do(http.MethodPost, "/o/x", map[string]string{"Key": "new"}).status, http.StatusOK)
	assert.Equal(t, w.do(http.MethodPost, "/o/x", map[string]string{"Key": "old"}).status, http.StatusUnauthorized)
}

// Guards against callers that do not try again, because an entry that may lack a configuration
// says that their key is wrong, and against wrong keys that occupy such an entry or make it
// ask for each of them.
func TestWrongKeysAtAnOutdatedEntry(t *testing.T) {
	w := newTestGateway(t, keyedRoute)
	w.setTeams(keyedTeam("a", "key"))
	r, lost := w.gateway.control.relay, &relaySidecar{}
	r.available = func() bool { return false }
	resp := w.do(http.MethodPost, "/o/x", map[string]string{"Key": "wrong"})
	assert.Equal(t, resp.status, http.StatusServiceUnavailable)
	assert.Assert(t, resp.header.Get("Retry-After") != "")

	r.report(t.Context(), lost.link(), 2)
	var wg sync.WaitGroup
	began := time.Now()
	for range 3 * maxKeyWaiters {
		wg.Go(func() {
			req := httptest.NewRequest(http.MethodPost, "http://h.example/o/x", http.NoBody)
			req.Header.Set("Key", "wrong")
			resp := httptest.NewRecorder()
			w.gateway.serve(resp, req)
			assert.Check(t, resp.Code == http.StatusServiceUnavailable, "status %d", resp.Code)
		})
	}
	wg.Wait()
	assert.Assert(t, time.Since(began) < relayPause)
	assert.Equal(t, lost.asked.Load(), int32(1))
}

// Guards against a revoked key that can still resume streams, and against a resumed stream that
// loses its team.
func TestResumedStreamIsAuthenticated(t *testing.T) {
	w := newTestGateway(t, streamRoute)
	var got recorder
	e := w.serve(modelService, func(rw http.ResponseWriter, r *http.Request) {
		got.handle(rw, r)
		_, _ = io.WriteString(rw, secondEvent)
	})
	setResident(e, adapterKey, 1)
	resume := map[string]string{"Key": "key", "Model": adapterKey.Model + "/" + adapterKey.Name, "Last-Event-Id": "1", "Resumes": "r0"}
	w.setTeams(keyedTeam("a", "key"))
	assert.Equal(t, w.do(http.MethodPost, streamRoute.Prefix+"x", resume).status, http.StatusOK)
	assert.Equal(t, got.last().Get("Team"), "a")
	w.setTeams(keyedTeam("a", "other"))
	assert.Equal(t, w.do(http.MethodPost, streamRoute.Prefix+"x", resume).status, http.StatusUnauthorized)
	assert.Equal(t, got.count(), 1)
}

// Guards against an entry that has restarted and refuses valid keys before it has read the
// configuration.
func TestRestartedEntryDoesNotJudgeKeys(t *testing.T) {
	w := newTestGateway(t, keyedRoute)
	w.gateway.control.snapshot.Store(fleet.NewDirectory().Snapshot())
	assert.Equal(t, w.do(http.MethodPost, "/o/x", map[string]string{"Key": "key"}).status, http.StatusServiceUnavailable)
}
