package entry

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/fescuecourse/fescuecourse/api/fescuev1"
	"github.com/fescuecourse/fescuecourse/pkg/ident"
	"github.com/fescuecourse/fescuecourse/pkg/invariant"
)

// storedReply is the reply to a Revoke call for a finished attempt that the adapter
// answered with n events.
func storedReply(adapter string, n int) *fescuev1.RevokeReply {
	req := &fescuev1.RunRequest{Ref: &fescuev1.AttemptRef{}, Work: &fescuev1.RunRequest_Model{Model: &fescuev1.ModelCall{}}}
	list := frames(req, 0, n, true)
	list[0].GetHeader().ServedAdapter = adapter
	return &fescuev1.RevokeReply{State: fescuev1.RevokeReply_STATE_DONE, Answer: list}
}

// A request with an idempotency key is repeated after a bundle has changed the versions
// of its adapter. Guards against a stored response that is lost although its adapter
// version answers the request, against a response header that names another version
// than the one that ran, and against the response of a version that the request does
// not name.
func TestStoredResponseAfterVersionChange(t *testing.T) {
	previous := invariant.SetHandler(nil)
	t.Cleanup(func() { invariant.SetHandler(previous) })
	bundles := map[string][2]string{"unchanged": {"1, 2", "1"}, "other current version": {"1, 2", "2"}, "version dropped": {"2, 3", "3"}}
	for name, versions := range bundles {
		for _, model := range []string{"tokachi/summary", "tokachi/summary@1", "tokachi/summary@2"} {
			for _, served := range []string{"tokachi/summary@1", "tokachi/summary@2", "tokachi/other@1", "rival/summary@1"} {
				t.Run(fmt.Sprintf("%s/%s/%s", name, model, served), func(t *testing.T) {
					repeated := repeatAfter(t, versions, model, served)
					team, _, _ := strings.Cut(served, "@")
					if model != served && model != team {
						assert.Equal(t, repeated.outcome, ident.Unknown.String(), repeated.body)
						return
					}
					assert.Equal(t, repeated.outcome, ident.Answered.String(), repeated.body)
					assert.Equal(t, repeated.body, streamText(4)+"data: [DONE]\n\n")
					assert.Equal(t, repeated.headers.Get(headerAdapter), served)
				})
			}
		}
	}
}

// repeatAfter sends a request with an idempotency key, adopts a bundle with other
// versions of its adapter, and returns the response to the repeated request. The
// endpoint has stored a response of the adapter served.
func repeatAfter(t *testing.T, versions [2]string, model, served string) reply {
	t.Helper()
	b := newTestBed(t, modelKind, []script{answer(4, true, nil, func(in []*fescuev1.RunFrame) []*fescuev1.RunFrame {
		in[0].GetHeader().ServedAdapter = model
		if !strings.Contains(model, "@") {
			in[0].GetHeader().ServedAdapter = model + "@1"
		}
		return in
	})})
	b.e.SetClaims(&memoryClaims{records: map[string]ClaimRecord{}})
	body := fmt.Sprintf(`{"model":%q,"prompt":"p","stream":true}`, model)
	headers := []string{headerKey, "k", headerIdempotent, "false"}
	assert.Equal(t, b.post(t, completions, body, headers...).status, http.StatusOK)
	b.b.Adopt(versionsBundle(t, 2, "", versions[0], versions[1]))
	b.fake[0].revokes = []*fescuev1.RevokeReply{storedReply(served, 4)}
	repeated := b.post(t, completions, body, headers...)
	assert.Equal(t, b.fake[0].attempts(), 1)
	return repeated
}
