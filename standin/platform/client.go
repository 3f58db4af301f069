package platform

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

// ClientRequest is what a client says in the headers of a request.
type ClientRequest struct {
	ID      string
	Host    string
	Timeout time.Duration
	// Model and Adapter are empty for plain services.
	Model   string
	Adapter string
	// UniqueSegment is the id of the last part of the prompt.
	UniqueSegment int
}

// Sizes of the prompts and answers that clients ask for, in tokens.
const (
	sharedTokens = 300
	ownTokens    = 200
	answerTokens = 48
)

// Apply sets the host and the headers of a request.
func (c *ClientRequest) Apply(r *http.Request) {
	r.Host = c.Host
	r.Header.Set("X-Fescuecourse-Request-Id", c.ID)
	r.Header.Set("X-Fescuecourse-Deadline-Ms", fmt.Sprint(c.Timeout.Milliseconds()))
	if c.Model == "" {
		return
	}
	r.Header.Set("X-Fescuecourse-Model", c.Model+"/"+c.Adapter)
	r.Header.Set("X-Fescuecourse-Token-Count", fmt.Sprintf("%d,%d", sharedTokens+ownTokens, answerTokens))
	r.Header.Set("X-Fescuecourse-Prompt-Prefix", fmt.Sprintf("aa:%d,%x:%d", sharedTokens, c.UniqueSegment, ownTokens))
}

// HasServerStamp reports whether a response bears the mark of a server.
func HasServerStamp(h http.Header) bool { return h.Get("X-Fescuecourse-Server-Stamp") != "" }

// Ready asks an entry, as the balancer does, whether it is ready.
func Ready(ctx context.Context, address string) (bool, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/api/ready", nil)
	if err != nil {
		return false, errors.Wrap(err, "build readiness check")
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false, errors.Wrap(err, "check readiness")
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK, nil
}
