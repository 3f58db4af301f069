package bench

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"runtime"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/fescuecourse/fescuecourse/pkg/demo"
	"github.com/fescuecourse/fescuecourse/pkg/ident"
	"github.com/fescuecourse/fescuecourse/pkg/logging"
	"github.com/fescuecourse/fescuecourse/pkg/workload"
)

const (
	teamKey = "demo-key-tokachi"
	// callsPerWindow is the number of consecutive calls of one kind that each caller
	// makes. Direct calls and calls through the entry alternate, so that a change in the
	// speed of the host affects both.
	callsPerWindow = 50
)

var adapter = ident.Adapter{Team: "tokachi", Name: workload.AdapterName(0), Version: workload.CurrentVersion}

// sample is the latency of one call at the caller, until the first byte of the response
// body and in total.
type sample struct{ first, total time.Duration }

// callStats collects the measurements of the calls of one kind.
type callStats struct {
	samples []sample
	wall    time.Duration
	cpu     time.Duration
	allocs  uint64
}

// percentile returns the p-quantile (0 to 1) of a latency in microseconds.
func (s *callStats) percentile(p float64, of func(sample) time.Duration) float64 {
	all := make([]time.Duration, len(s.samples))
	for i, v := range s.samples {
		all[i] = of(v)
	}
	slices.Sort(all)
	return float64(all[int(p*float64(len(all)-1))].Nanoseconds()) / 1e3
}

func first(s sample) time.Duration { return s.first }
func total(s sample) time.Duration { return s.total }

// processCPU returns the CPU time that this process has used.
func processCPU() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u) // getrusage for the own process cannot fail
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

func mallocs() uint64 {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.Mallocs
}

// call sends one request and reads the complete response.
func call(hc *http.Client, url, body string) (sample, error) {
	req, err := http.NewRequest(http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		return sample{}, err
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Authorization", "Bearer "+teamKey)
	began := time.Now()
	resp, err := hc.Do(req)
	if err != nil {
		return sample{}, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		detail, _ := io.ReadAll(resp.Body)
		return sample{}, fmt.Errorf("status %d: %s", resp.StatusCode, detail)
	}
	r := bufio.NewReader(resp.Body)
	if _, err := r.Peek(1); err != nil {
		return sample{}, err
	}
	s := sample{first: time.Since(began)}
	if _, err := io.Copy(io.Discard, r); err != nil {
		return sample{}, err
	}
	s.total = time.Since(began)
	return s, nil
}

// runCalls makes calls from concurrent callers. Each caller makes one call at a time.
func (s *callStats) runCalls(b *testing.B, hc *http.Client, url, body string, callers int) {
	b.Helper()
	var wg sync.WaitGroup
	results := make([][]sample, callers)
	errs := make(chan error, callers)
	allocs, cpu, began := mallocs(), processCPU(), time.Now()
	for i := range callers {
		wg.Go(func() {
			for range callsPerWindow {
				got, err := call(hc, url, body)
				if err != nil {
					errs <- err
					return
				}
				results[i] = append(results[i], got)
			}
		})
	}
	wg.Wait()
	s.wall += time.Since(began)
	s.cpu += processCPU() - cpu
	s.allocs += mallocs() - allocs
	for _, r := range results {
		s.samples = append(s.samples, r...)
	}
	select {
	case err := <-errs:
		b.Fatal(err)
	default:
	}
}

func startCluster(b *testing.B, decode time.Duration) *demo.Cluster {
	b.Helper()
	opts := demo.DefaultOptions()
	opts.Entries, opts.ModelServers, opts.ServiceServers = 1, 1, 0
	opts.Positions = 128
	opts.Prefill, opts.Decode = 0, decode
	opts.DrainTimeout = 5 * time.Second
	opts.Residents = []ident.Adapter{adapter}
	opts.Log = logging.New(io.Discard, zerolog.InfoLevel)
	c, err := demo.Start(b.Context(), opts)
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { _ = c.Stop() })
	return c
}

// BenchmarkDataPath compares calls through an entry and an endpoint with direct calls to
// the fake engine in the same run. The nodes, the fake engine and the callers share one
// host. The added CPU time and allocations are differences between the two kinds of
// calls; they include the entry, the endpoint and the caller's connection to the entry.
func BenchmarkDataPath(b *testing.B) {
	for _, mode := range []struct {
		name   string
		stream bool
		tokens int
		decode time.Duration
	}{
		{"unary-1", false, 1, 0},
		{"stream-1", true, 1, 0},
		{"stream-64", true, 64, 0},
		{"stream-64-paced", true, 64, time.Millisecond},
	} {
		b.Run(mode.name, func(b *testing.B) {
			c := startCluster(b, mode.decode)
			for _, callers := range []int{1, 16, 64} {
				b.Run(fmt.Sprintf("callers=%d", callers), func(b *testing.B) {
					benchDataPath(b, c, mode.stream, mode.tokens, callers)
				})
			}
		})
	}
}

func benchDataPath(b *testing.B, c *demo.Cluster, stream bool, tokens, callers int) {
	hc := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: callers}}
	defer hc.CloseIdleConnections()
	body := fmt.Sprintf(`{"model":%q,"prompt":"credit summary","max_tokens":%d,"stream":%t}`, adapter.String(), tokens, stream)
	direct := "http://" + c.Servers[0].BackendAddr() + "/v1/completions"
	viaEntry := "http://" + c.Addrs()[0] + "/v1/completions"
	var warm, directStats, entryStats callStats
	warm.runCalls(b, hc, direct, body, callers)
	warm.runCalls(b, hc, viaEntry, body, callers)
	for b.Loop() {
		directStats.runCalls(b, hc, direct, body, callers)
		entryStats.runCalls(b, hc, viaEntry, body, callers)
	}
	report(b, &directStats, &entryStats, tokens)
}

func report(b *testing.B, directStats, entryStats *callStats, tokens int) {
	n := float64(len(entryStats.samples))
	for _, p := range []struct {
		name string
		at   float64
	}{{"p50", 0.5}, {"p95", 0.95}, {"p99", 0.99}} {
		b.ReportMetric(entryStats.percentile(p.at, first)-directStats.percentile(p.at, first), "added_first_us_"+p.name)
		b.ReportMetric(entryStats.percentile(p.at, total)-directStats.percentile(p.at, total), "added_total_us_"+p.name)
	}
	b.ReportMetric(n/entryStats.wall.Seconds(), "requests/s")
	b.ReportMetric(n*float64(tokens)/entryStats.wall.Seconds(), "tokens/s")
	b.ReportMetric(n/directStats.wall.Seconds(), "direct_requests/s")
	cpu := float64((entryStats.cpu - directStats.cpu).Nanoseconds()) / 1e3 / n
	allocs := (float64(entryStats.allocs) - float64(directStats.allocs)) / n
	b.ReportMetric(cpu, "added_cpu_us/request")
	b.ReportMetric(allocs, "added_allocs/request")
	if tokens > 1 {
		b.ReportMetric(cpu/float64(tokens), "added_cpu_us/token")
		b.ReportMetric(allocs/float64(tokens), "added_allocs/token")
	}
	b.ReportMetric(0, "ns/op")
}
