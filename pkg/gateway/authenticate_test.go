package gateway

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/fescuecourse/fescuecourse/pkg/credential"
	"github.com/fescuecourse/fescuecourse/pkg/ident"
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
