package platform

import (
	"context"
	"fmt"
	"net/http"
	"strings"
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
	// Prompt lists the parts of the prompt in order. The last one belongs to the request
	// itself.
	Prompt []PromptPart
	// LastEventID is the last event that the client has of a stream that it resumes, and
	// Resumes the id of the client attempt that brought the stream's first event.
	LastEventID string
	Resumes     string
	// Entry names the entry that the client asks, for the records of the servers.
	Entry string
	// APIKey is sent in the Authorization header, unless it is empty.
	APIKey string
}

// PromptPart is one part of a prompt. Requests with the same ID share it.
type PromptPart struct {
	ID     string
	Tokens int
}

// answerTokens is the number of output tokens that clients announce.
const answerTokens = 48

// Apply sets the host and the headers of r.
func (c *ClientRequest) Apply(r *http.Request) {
	r.Host = c.Host
	r.Header.Set("X-Fescuecourse-Request-Id", c.ID)
	r.Header.Set("X-Fescuecourse-Deadline-Ms", fmt.Sprint(c.Timeout.Milliseconds()))
	r.Header.Set("Test-Entry", c.Entry)
	if c.APIKey != "" {
		r.Header.Set("Authorization", "Token "+c.APIKey)
	}
	if c.Model == "" {
		return
	}
	model := c.Model
	if c.Adapter != "" {
		model += "/" + c.Adapter
	}
	r.Header.Set("X-Fescuecourse-Model", model)
	c.applyPrompt(r.Header)
	if c.LastEventID != "" {
		r.Header.Set("Last-Event-Id", c.LastEventID)
		r.Header.Set("Resumes", c.Resumes)
	}
}

func (c *ClientRequest) applyPrompt(h http.Header) {
	tokens := 0
	var parts []string
	for _, p := range c.Prompt {
		tokens += p.Tokens
		parts = append(parts, fmt.Sprintf("%s:%d", p.ID, p.Tokens))
	}
	h.Set("X-Fescuecourse-Token-Count", fmt.Sprintf("%d,%d", tokens, answerTokens))
	h.Set("X-Fescuecourse-Prompt-Prefix", strings.Join(parts, ","))
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
