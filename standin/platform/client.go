package platform

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

// ClientRequest holds the values that a client sends in the headers of a request.
type ClientRequest struct {
	// ID is the request ID.
	ID string
	// Host selects the route, together with the path.
	Host string
	// Timeout is sent as the deadline of the request.
	Timeout time.Duration
	// Model and Adapter are empty for plain services.
	Model   string
	Adapter string
	// UniqueSegment is the ID of the last segment of the prompt. The first segment is
	// the same for all requests.
	UniqueSegment int
}

// Token counts that clients announce, of the two segments of the prompt and of the
// response.
const (
	sharedTokens = 300
	uniqueTokens = 200
	answerTokens = 48
)

// Apply sets the host and the headers of r.
func (c *ClientRequest) Apply(r *http.Request) {
	r.Host = c.Host
	r.Header.Set("X-Fescuecourse-Request-Id", c.ID)
	r.Header.Set("X-Fescuecourse-Deadline-Ms", fmt.Sprint(c.Timeout.Milliseconds()))
	if c.Model == "" {
		return
	}
	r.Header.Set("X-Fescuecourse-Model", c.Model+"/"+c.Adapter)
	r.Header.Set("X-Fescuecourse-Token-Count", fmt.Sprintf("%d,%d", sharedTokens+uniqueTokens, answerTokens))
	r.Header.Set("X-Fescuecourse-Prompt-Prefix", fmt.Sprintf("aa:%d,%x:%d", sharedTokens, c.UniqueSegment, uniqueTokens))
}

// HasServerStamp reports whether a response header has the stamp that servers
// set on responses to requests that they ran.
func HasServerStamp(h http.Header) bool { return h.Get("X-Fescuecourse-Server-Stamp") != "" }

// Ready sends the readiness check of the load balancer to the entry at address
// (host:port) and reports whether the entry is ready.
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
