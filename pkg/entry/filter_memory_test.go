package entry

import (
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/fescuecourse/fescuecourse/api/fescuev1"
	"github.com/fescuecourse/fescuecourse/pkg/membudget"
)

// Guards against an entry that runs out of memory because callers send many bodies at once, each
// within the limit of one body.
func TestBodiesOfAllRequestsShareABudget(t *testing.T) {
	b := newTestBed(t, fescuev1.EndpointKind_ENDPOINT_KIND_MODEL, nil)
	const bodyBytes = 40 << 10
	b.e.bodies = membudget.New(3 * bodyBytes)
	release := make(chan struct{})
	var refused, others atomic.Int32
	var wg sync.WaitGroup
	for range 10 {
		wg.Go(func() {
			req, err := http.NewRequest(http.MethodPost, b.http.URL+"/v1/completions", &heldBody{rest: strings.Repeat("x", bodyBytes), release: release})
			if !assert.Check(t, err) {
				return
			}
			req.Header.Set("Authorization", "Bearer "+testKey)
			resp, err := http.DefaultClient.Do(req)
			if err != nil {
				others.Add(1)
				return
			}
			defer resp.Body.Close()
			if resp.StatusCode != http.StatusServiceUnavailable {
				others.Add(1)
				return
			}
			assert.Check(t, resp.Header.Get("Retry-After") != "")
			if refused.Add(1) == 7 {
				close(release)
			}
		})
	}
	wg.Wait()
	assert.Assert(t, refused.Load() >= 7, "%d refused, %d others", refused.Load(), others.Load())
	assert.Equal(t, b.e.bodies.Used(), int64(0), "the memory is not given back")
}

// heldBody is a body whose last byte comes once release is closed.
type heldBody struct {
	rest    string
	release chan struct{}
}

func (b *heldBody) Read(p []byte) (int, error) {
	if len(b.rest) <= 1 {
		<-b.release
	}
	n := copy(p, b.rest[:max(len(b.rest)-1, 1)])
	b.rest = b.rest[n:]
	if b.rest == "" {
		return n, io.EOF
	}
	return n, nil
}
