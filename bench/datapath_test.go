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
	// windowCalls is the number of consecutive calls of one kind. Direct calls and
	// calls through the entry alternate, so that a change of the machine's speed
	// affects both.
	windowCalls = 50
)

var adapter = ident.Adapter{Team: "tokachi", Name: workload.AdapterName(0), Version: workload.CurrentVersion}

// sample is one call as its caller sees it.
type sample struct{ first, total time.Duration }

// side collects the calls of one kind.
type side struct {
	samples []sample
	wall    time.Duration
	cpu     time.Duration
	allocs  uint64
}

func (s *side) percentile(p float64, of func(sample) time.Duration) float64 {
	all := make([]time.Duration, len(s.samples))
	for i, v := range s.samples {
		all[i] = of(v)
	}
	slices.Sort(all)
	return float64(all[int(p*float64(len(all)-1))].Nanoseconds()) / 1e3
}

func first(s sample) time.Duration { return s.first }
func total(s sample) time.Duration { return s.total }

// processCPU is the processor time that this process has used.
func processCPU() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u) // cannot fail for this process
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

func mallocs() uint64 {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.Mallocs
}

// call sends one request and reads the whole answer.
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

// window makes calls from concurrent callers, each with one call at a time.
func (s *side) window(b *testing.B, hc *http.Client, url, body string, callers int) {
	b.Helper()
	var wg sync.WaitGroup
	results := make([][]sample, callers)
	errs := make(chan error, callers)
	allocs, cpu, began := mallocs(), processCPU(), time.Now()
	for i := range callers {
		wg.Go(func() {
			for range windowCalls {
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

// BenchmarkDataPath compares calls through entry and endpoint with direct calls
// to the fake engine in the same run. All processes, the fake engine and the
// callers share one machine; cpu and allocs are differences between the two
// kinds of call and belong to entry, endpoint and their caller-side connection.
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
	through := "http://" + c.Addrs()[0] + "/v1/completions"
	var warm, base, own side
	warm.window(b, hc, direct, body, callers)
	warm.window(b, hc, through, body, callers)
	for b.Loop() {
		base.window(b, hc, direct, body, callers)
		own.window(b, hc, through, body, callers)
	}
	report(b, &base, &own, tokens)
}

func report(b *testing.B, base, own *side, tokens int) {
	n := float64(len(own.samples))
	for _, p := range []struct {
		name string
		at   float64
	}{{"p50", 0.5}, {"p95", 0.95}, {"p99", 0.99}} {
		b.ReportMetric(own.percentile(p.at, first)-base.percentile(p.at, first), "added_first_us_"+p.name)
		b.ReportMetric(own.percentile(p.at, total)-base.percentile(p.at, total), "added_total_us_"+p.name)
	}
	b.ReportMetric(n/own.wall.Seconds(), "requests/s")
	b.ReportMetric(n*float64(tokens)/own.wall.Seconds(), "tokens/s")
	b.ReportMetric(n/base.wall.Seconds(), "direct_requests/s")
	cpu := float64((own.cpu - base.cpu).Nanoseconds()) / 1e3 / n
	allocs := (float64(own.allocs) - float64(base.allocs)) / n
	b.ReportMetric(cpu, "added_cpu_us/request")
	b.ReportMetric(allocs, "added_allocs/request")
	if tokens > 1 {
		b.ReportMetric(cpu/float64(tokens), "added_cpu_us/token")
		b.ReportMetric(allocs/float64(tokens), "added_allocs/token")
	}
	b.ReportMetric(0, "ns/op")
}
