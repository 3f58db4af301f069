package admin

import (
	"bytes"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fescuecourse/fescuecourse/internal/testkey"
	"github.com/fescuecourse/fescuecourse/pkg/bundle"
	"github.com/fescuecourse/fescuecourse/pkg/logging"
	"github.com/fescuecourse/fescuecourse/pkg/rollout"
	"github.com/fescuecourse/fescuecourse/standin/kvstore"
)

type testEnv struct {
	t      *testing.T
	now    time.Time
	store  *kvstore.Memory
	syncer *rollout.Syncer
	server *Server
}

// newTestEnv returns a server whose active bundle has two reviewers, two teams and five
// adapters.
func newTestEnv(t *testing.T) *testEnv {
	text := "[bundle]\nversion = 1\n[deployment]\nname = test\n[team \"t\"]\nrate = 7\n[team \"u\"]\n"
	var first bundle.Reviewers
	for _, n := range []string{"alice", "bob"} {
		key := testkey.Public(n)
		first = append(first, bundle.Reviewer{Name: n, Key: key})
		text += fmt.Sprintf("[reviewer %q]\npublic_key = %s\n", n, base64.StdEncoding.EncodeToString(key))
	}
	for i := range 5 {
		text += fmt.Sprintf("[adapter \"t/a%d\"]\nbase_model = m\nversions = 1, 2\ncurrent = 1\n", i)
	}
	b := &testEnv{t: t, now: time.Unix(1_000_000, 0), store: kvstore.NewMemory(time.Now)}
	p, err := bundle.Propose("test", text, "olga", nil)
	assert.NilError(t, err)
	assert.NilError(t, p.Approve("alice", testkey.Private("alice")))
	assert.NilError(t, p.Approve("bob", testkey.Private("bob")))
	_, err = rollout.Rollout(t.Context(), b.store, p, first)
	assert.NilError(t, err)
	b.syncer = rollout.NewSyncer(&rollout.Holder{}, first, logging.Nop())
	b.server = New(b.syncer, b.store, first, func() time.Time { return b.now })
	b.sync()
	return b
}

func (b *testEnv) sync() {
	_, err := b.syncer.Sync(b.t.Context(), b.store)
	assert.NilError(b.t, err)
}

// call sends a request signed by alice, checks the status and decodes the response.
func (b *testEnv) call(want int, method, path string, in, out any) {
	b.t.Helper()
	body, err := json.Marshal(in)
	assert.NilError(b.t, err)
	r := httptest.NewRequest(method, "/admin/v1"+path, bytes.NewReader(body))
	SignRequest(r, "alice", testkey.Private("alice"), b.now, body)
	w := httptest.NewRecorder()
	b.server.Routes().ServeHTTP(w, r)
	assert.Equal(b.t, w.Code, want, w.Body.String())
	if out != nil {
		assert.NilError(b.t, json.Unmarshal(w.Body.Bytes(), out))
	}
}

func (b *testEnv) approve(p *PendingProposal, reviewer string) {
	b.t.Helper()
	root, _, err := p.Proposal.Build()
	assert.NilError(b.t, err)
	assert.Equal(b.t, root.Hash(), p.Hash)
	b.call(http.StatusOK, http.MethodPost, "/approvals", Approval{Proposal: p.Proposal, Signature: root.Sign(reviewer, testkey.Private(reviewer))}, p)
}

// Guards against rollouts without the approval of two reviewers or without the
// compare-and-swap, and against changes to other items than the requested one.
func TestChangeNeedsTwoReviewers(t *testing.T) {
	b := newTestEnv(t)
	item := Item{Fields: []Field{{"base_model", "m"}, {"versions", "1, 2, 3"}, {"current", "3"}}}
	one, two := &PendingProposal{}, &PendingProposal{}
	b.call(http.StatusCreated, http.MethodPut, "/adapters/t/a1", item, one)
	b.call(http.StatusCreated, http.MethodDelete, "/adapters/t/a2", nil, two)
	b.approve(one, "alice")
	b.approve(one, "alice")
	b.call(http.StatusForbidden, http.MethodPost, "/rollouts", one.Proposal, nil)
	root, _, err := one.Proposal.Build()
	assert.NilError(t, err)
	forged := Approval{Proposal: one.Proposal, Signature: root.Sign("bob", testkey.Private("mallory"))}
	b.call(http.StatusForbidden, http.MethodPost, "/approvals", forged, nil)
	b.approve(one, "bob")
	assert.DeepEqual(t, one.Signers, []string{"alice", "bob"})
	b.approve(two, "alice")
	b.approve(two, "bob")
	b.call(http.StatusOK, http.MethodPost, "/rollouts", one.Proposal, nil)
	b.call(http.StatusOK, http.MethodPost, "/rollouts", one.Proposal, nil)
	lost := Problem{}
	b.call(http.StatusConflict, http.MethodPost, "/rollouts", two.Proposal, &lost)
	assert.Equal(t, lost.Winner.RolloutID, one.Proposal.RolloutID)

	before, err := bundle.Join(1, parts(b.syncer.ActiveBundle()))
	assert.NilError(t, err)
	b.sync()
	after, err := bundle.Join(2, parts(b.syncer.ActiveBundle()))
	assert.NilError(t, err)
	changes, _ := bundle.Diff(before, after)
	assert.Equal(t, fmt.Sprint(changes), "[changed [bundle] version: 1 -> 2 changed [adapter \"t/a1\"] current: 1 -> 3 changed [adapter \"t/a1\"] versions: 1, 2 -> 1, 2, 3]")
}

func parts(a *rollout.ActiveBundle) []bundle.Part {
	var out []bundle.Part
	for _, n := range a.Root.Parts {
		out = append(out, bundle.Part{Name: n, Content: a.Parts[n]})
	}
	return out
}

// Guards against paginated lists that skip or repeat items, and against a change of a
// team's priority that drops its other settings.
func TestReadItems(t *testing.T) {
	b := newTestEnv(t)
	page := Page{}
	var names []string
	for after := ""; ; after = names[len(names)-1] {
		b.call(http.StatusOK, http.MethodGet, "/adapters?limit=2&after="+after, nil, &page)
		for _, i := range page.Items {
			names = append(names, i.Name)
		}
		if !page.More {
			break
		}
	}
	assert.DeepEqual(t, names, []string{"t/a0", "t/a1", "t/a2", "t/a3", "t/a4"})
	b.call(http.StatusNotFound, http.MethodGet, "/adapters/t/none", nil, nil)
	b.call(http.StatusNotFound, http.MethodGet, "/nothing", nil, nil)
	pending := PendingProposal{}
	b.call(http.StatusCreated, http.MethodPut, "/priorities/t", Priority{"high", 4}, &pending)
	assert.Assert(t, strings.Contains(pending.Proposal.Text, "[team \"t\"]\npriority = high\nrate = 7\nweight = 4\n"))
	bad := Problem{}
	b.call(http.StatusUnprocessableEntity, http.MethodPut, "/priorities/t", Priority{"urgent", 0}, &bad)
	assert.Equal(t, len(bad.Findings), 2)
	b.call(http.StatusBadRequest, http.MethodPut, "/teams/x", Item{Fields: []Field{{"rate", "1\n[team \"y\"]"}}}, nil)
}

// Guards against accepting requests that no trusted reviewer has signed, that were
// modified after signing, or that are too old.
func TestRequestsNeedASignature(t *testing.T) {
	b := newTestEnv(t)
	send := func(change func(*http.Request)) int {
		r := httptest.NewRequest(http.MethodPut, "/admin/v1/teams/x", strings.NewReader("{}"))
		SignRequest(r, "alice", testkey.Private("alice"), b.now, []byte("{}"))
		change(r)
		w := httptest.NewRecorder()
		b.server.Routes().ServeHTTP(w, r)
		return w.Code
	}
	assert.Equal(t, send(func(*http.Request) {}), http.StatusCreated)
	changes := []func(*http.Request){
		func(r *http.Request) { r.Header.Del(HeaderSignature) },
		func(r *http.Request) { r.Header.Set(HeaderReviewer, "bob") },
		func(r *http.Request) { r.Header.Set(HeaderTime, "1000001") },
		func(r *http.Request) { r.Method = http.MethodDelete },
		func(r *http.Request) { r.URL.Path = "/admin/v1/teams/y" },
		func(r *http.Request) { r.Body = http.NoBody },
		func(r *http.Request) { SignRequest(r, "mallory", testkey.Private("mallory"), b.now, []byte("{}")) },
		func(r *http.Request) {
			SignRequest(r, "alice", testkey.Private("alice"), b.now.Add(-maxSkew-time.Second), []byte("{}"))
		},
	}
	for i, c := range changes {
		assert.Equal(t, send(c), http.StatusUnauthorized, "change %d", i)
	}
}
