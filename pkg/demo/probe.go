package demo

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"github.com/fescuecourse/fescuecourse/api/fescuev1"
	"github.com/fescuecourse/fescuecourse/pkg/ident"
)

// Interval and timeout of queries for bundle versions.
const (
	probeInterval = 100 * time.Millisecond
	probeTimeout  = 2 * time.Second
)

var errNoVersion = errors.New("response has no bundle version")

// probe queries the bundle versions of all nodes until ctx ends.
func (f *faultRun) probe(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	for _, e := range f.c.Entries {
		wg.Go(func() {
			f.probeNode(ctx, e.settings.ID, func() (int, bool, string) {
				generation, live := e.live()
				return generation, live, e.Addr()
			}, f.entryVersion)
		})
	}
	for _, s := range f.c.Servers {
		wg.Go(func() { f.probeNode(ctx, string(s.ID), s.live, endpointVersion) })
	}
}

// probeNode queries the bundle version of one node at regular intervals. A response
// counts only if the process is the same before and after the query.
func (f *faultRun) probeNode(ctx context.Context, node string, live func() (int, bool, string), query func(context.Context, string) (ident.BundleVersion, error)) {
	tick := time.NewTicker(probeInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		generation, ok, addr := live()
		if !ok {
			f.versionMonitor.forget(node)
			continue
		}
		asked := time.Now()
		queryCtx, cancel := context.WithTimeout(ctx, probeTimeout)
		v, err := query(queryCtx, addr)
		cancel()
		if after, _, _ := live(); err == nil && after == generation {
			f.versionMonitor.observe(node, generation, asked, v)
		}
	}
}

// entryVersion returns the bundle version in the response headers of an entry. The
// request names an unknown adapter, so that it reaches no endpoint.
func (f *faultRun) entryVersion(ctx context.Context, addr string) (ident.BundleVersion, error) {
	team := &f.c.Opts.Teams[0]
	body := strings.NewReader(`{"model":"` + string(team.Name) + `/none","prompt":"version"}`)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+"/v1/completions", body)
	if err != nil {
		return 0, errors.Wrap(err, "build HTTP request")
	}
	req.Header.Set("Authorization", "Bearer "+team.Key)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, errors.Wrap(err, "query bundle version of entry")
	}
	defer resp.Body.Close()
	text := resp.Header.Get("Fescue-Bundle-Version")
	if text == "" && resp.StatusCode == http.StatusServiceUnavailable {
		return 0, nil // no bundle yet
	}
	v, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0, errors.Mark(err, errNoVersion)
	}
	return ident.BundleVersion(v), nil
}

// endpointVersion returns the version of the bundle that an endpoint offers to other
// nodes.
func endpointVersion(ctx context.Context, addr string) (ident.BundleVersion, error) {
	conn, err := grpc.NewClient("passthrough:///"+addr, grpc.WithTransportCredentials(insecure.NewCredentials()), grpc.WithNoProxy())
	if err != nil {
		return 0, errors.Wrap(err, "connect to endpoint")
	}
	defer conn.Close()
	stream, err := fescuev1.NewEndpointClient(conn).FetchBundle(ctx, &fescuev1.FetchBundleRequest{})
	if err != nil {
		return 0, errors.Wrap(err, "query bundle version of endpoint")
	}
	frame, err := stream.Recv()
	if errors.Is(err, io.EOF) {
		return 0, nil // no bundle yet
	}
	if err != nil {
		return 0, errors.Wrap(err, "query bundle version of endpoint")
	}
	return ident.BundleVersion(frame.GetRoot().GetVersion()), nil
}
