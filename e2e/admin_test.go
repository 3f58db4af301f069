package e2e

import (
	"bytes"
	"crypto/ed25519"
	"encoding/base64"
	"encoding/json"
	"io"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/fescuecourse/fescuecourse/pkg/admin"
)

// Guards against an administration API that changes the configuration without the
// approval of two reviewers, or whose rollouts do not reach the nodes.
func TestAdministrationAPI(t *testing.T) {
	d := newDeployment(t)
	item := admin.Item{Fields: []admin.Field{
		{Name: "base_model", Value: baseModel}, {Name: "versions", Value: "3"}, {Name: "current", Value: "3"},
	}}
	body, err := json.Marshal(item)
	assert.NilError(t, err)
	status, _ := d.admin(t, "", http.MethodPut, "/adapters/tokachi/api", body)
	assert.Equal(t, status, http.StatusUnauthorized, "without a signature")

	status, response := d.admin(t, "alice", http.MethodPut, "/adapters/tokachi/api", body)
	assert.Equal(t, status, http.StatusCreated, response)
	var p admin.PendingProposal
	assert.NilError(t, json.Unmarshal([]byte(response), &p))
	assert.NilError(t, p.Proposal.Approve("alice", d.key(t, "alice")))
	status, response = d.rolloutPending(t, &p)
	assert.Assert(t, status >= 400 && status < 500, "one signature: %d %s", status, response)

	assert.NilError(t, p.Proposal.Approve("bob", d.key(t, "bob")))
	status, response = d.rolloutPending(t, &p)
	assert.Equal(t, status, http.StatusOK, response)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		got, err := d.client(1).Chat.Completions.New(t.Context(), chatParams("tokachi/api"))
		if err != nil {
			return poll.Continue("new adapter: %v", err)
		}
		assert.Equal(t, got.Model, "tokachi/api@3")
		return poll.Success()
	}, poll.WithTimeout(startLimit))
}

func (d *deployment) rolloutPending(t *testing.T, p *admin.PendingProposal) (int, string) {
	t.Helper()
	body, err := json.Marshal(p.Proposal)
	assert.NilError(t, err)
	return d.admin(t, "alice", http.MethodPost, "/rollouts", body)
}

// admin sends a request to the administration API and returns the status and the body
// of the response. The request is signed unless reviewer is empty.
func (d *deployment) admin(t *testing.T, reviewer, method, path string, body []byte) (int, string) {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), method, "http://"+d.entries[0].address+"/admin/v1"+path, bytes.NewReader(body))
	assert.NilError(t, err)
	if reviewer != "" {
		admin.SignRequest(req, reviewer, d.key(t, reviewer), time.Now(), body)
	}
	resp, err := http.DefaultClient.Do(req)
	assert.NilError(t, err)
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	return resp.StatusCode, string(text)
}

// key returns the private key of a reviewer.
func (d *deployment) key(t *testing.T, reviewer string) ed25519.PrivateKey {
	t.Helper()
	raw, err := os.ReadFile(d.file(reviewer + ".key"))
	assert.NilError(t, err)
	seed, err := base64.StdEncoding.DecodeString(strings.TrimSpace(string(raw)))
	assert.NilError(t, err)
	return ed25519.NewKeyFromSeed(seed)
}
