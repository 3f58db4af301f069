package e2e

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/fescuecourse/fescuecourse/standin/platform"
)

const (
	routedHost = "h.example"
	// routedTimeoutMS is the timeout of all routes, and routedTargetMS the latency target.
	routedTimeoutMS = 20000
	routedTargetMS  = 500
)

// routedOptions are the options of a routedDeployment.
type routedOptions struct {
	// descriptors limits the open descriptors of the entry, unless it is 0.
	descriptors int
	// memoryMB is the memory of the VM of each process, in MiB.
	memoryMB int
	// maxBodyBytes is the largest body of a request. Zero means 1 MiB.
	maxBodyBytes int64
	// responseBytes is the least size of a response of the plain server.
	responseBytes int
	// beforePlain and beforeModel handle requests before the plain server and the model server do.
	// They may be nil.
	beforePlain, beforeModel func(http.Handler) http.Handler
}

// routedDeployment is a routed entry with a store, a plain server, and a model server with its
// sidecar.
type routedDeployment struct {
	store          *platform.Store
	entry, sidecar *daemon
	listen, ready  string
	requests       atomic.Int64
	// timeout is the time for which the clients wait for a response.
	timeout time.Duration
}

// newRoutedDeployment starts the processes and waits until the entry is ready.
func newRoutedDeployment(t *testing.T, o routedOptions) *routedDeployment {
	t.Helper()
	d := &routedDeployment{store: platform.NewStore(), listen: freeAddress(t), ready: freeAddress(t), timeout: routedTimeoutMS * time.Millisecond}
	t.Cleanup(d.store.Close)
	route := func(prefix, kind, service string) platform.Route {
		return platform.Route{Name: prefix, Host: routedHost, Prefix: prefix, Kind: kind, TimeoutMS: routedTimeoutMS, TargetMS: routedTargetMS, Priority: 1, Service: service, MaxAttempts: 2, Resumable: true}
	}
	onceStream := route("/once/", "streaming", "pool")
	onceStream.Resumable, onceStream.MaxAttempts = false, 1
	d.store.PutConfig(&platform.Config{
		Version: 1, ModelService: "pool", Model: "base", Adapters: 4, MaxAdapters: 4, PlainService: "desk", MaxBodyBytes: o.maxBodyBytes,
		Routes: []platform.Route{
			route("/plain/", "idempotent", "desk"), route("/unsafe/", "non_idempotent", "desk"),
			route("/stream/", "streaming", "pool"), onceStream, route("/model/", "idempotent", "pool"),
		},
	})
	memory := fmt.Sprintf("memory-mb = %d", o.memoryMB)
	address := freeAddress(t)
	for _, cfg := range []platform.ServerConfig{
		{ID: "i-plain", Service: "desk", Zone: "a", Born: 1, ResponseBytes: o.responseBytes, Before: o.beforePlain},
		{ID: "i-model", Service: "pool", Zone: "a", Model: "base", MaxAdapters: 4, Events: 3, EventGap: time.Millisecond, Born: 1, Before: o.beforeModel},
	} {
		s, err := platform.NewServer(cfg)
		assert.NilError(t, err)
		t.Cleanup(s.Close)
		d.store.Put(s.Key(), s.Registration("ready"))
		if cfg.Model != "" {
			d.sidecar = startLimited(t, 0, "routed-endpoint", "sidecar-1", "listen = "+address, "kv = "+d.store.Address(), "server = "+s.Address(), "service = pool", memory)
		}
	}
	d.entry = startLimited(t, o.descriptors, "routed-entry", "entry-1", "zone = a", "listen = "+d.listen, "ready-listen = "+d.ready,
		"kv = "+d.store.Address(), fmt.Sprintf("residency-port = %d", portOf(t, address)), "grace = 2s", "first-start = true", memory)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		ok, err := platform.Ready(t.Context(), d.ready)
		if !ok {
			return poll.Continue("not ready: %v", err)
		}
		return poll.Success()
	}, poll.WithTimeout(startLimit))
	return d
}

// request returns a request of a client to the entry.
func (d *routedDeployment) request(ctx context.Context, path string, body io.Reader) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+d.listen+path, body)
	if err != nil {
		return nil, err
	}
	call := platform.ClientRequest{ID: fmt.Sprintf("ordinary-%d", d.requests.Add(1)), Host: routedHost, Timeout: d.timeout, Entry: "entry-1"}
	if path == "/stream/x" || path == "/once/x" || path == "/model/x" {
		call.Model, call.Prompt = "base", []platform.PromptPart{{ID: "a1", Tokens: 10}}
	}
	call.Apply(req)
	return req, nil
}

// post sends a request on a new connection and returns an error unless a server answers it.
func (d *routedDeployment) post(ctx context.Context, path string, body io.Reader) error {
	req, err := d.request(ctx, path, body)
	if err != nil {
		return err
	}
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil || resp.StatusCode != http.StatusOK || !platform.HasServerStamp(resp.Header) {
		return fmt.Errorf("status %d, %q, %w", resp.StatusCode, text, err)
	}
	return nil
}
