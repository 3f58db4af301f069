package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	_ "github.com/fescuecourse/fescuecourse/pkg/daemon" // part of the tested program; a change must invalidate cached results
	"github.com/fescuecourse/fescuecourse/pkg/wait"
	"github.com/fescuecourse/fescuecourse/standin/platform"
)

const (
	suspendSeed    = 1
	suspendStreams = 32
	// suspendTimeout is the deadline of the streams. It exceeds the suspension and the
	// time after which the entry ends a stream without events.
	suspendTimeout = 10 * time.Second
	// minSuspension exceeds the 2 s after which callers leave a stream without events.
	minSuspension = 2200 * time.Millisecond
	maxSuspension = 3200 * time.Millisecond
	// warmupTime bounds the time in which the servers load the adapters.
	warmupTime = 20 * time.Second
)

// suspendTest is an entry process with streams that are running when it is suspended.
type suspendTest struct {
	t       *testing.T
	tb      *testbed
	h       *history
	started atomic.Int32
	// halfStarted is closed once half of the streams have begun.
	halfStarted chan struct{}
}

func newSuspendTest(t *testing.T) *suspendTest {
	t.Helper()
	binary := filepath.Join(t.TempDir(), "fescued")
	out, err := exec.Command("go", "build", "-o", binary, "github.com/fescuecourse/fescuecourse/cmd/fescued").CombinedOutput()
	assert.NilError(t, err, string(out))
	tb, err := newTestbed(&Options{Seed: suspendSeed, Entries: 1, Servers: 2, Binary: binary, Dir: t.TempDir(), Out: io.Discard})
	assert.NilError(t, err)
	t.Cleanup(tb.close)
	assert.NilError(t, tb.awaitReady(t.Context()))
	return &suspendTest{t: t, tb: tb, h: newHistory(), halfStarted: make(chan struct{})}
}

// stream sends one request for a stream that may be resumed and returns the record of
// its response.
func (s *suspendTest) stream(id, adapter string, onStart func()) *requestRecord {
	rec := &requestRecord{id: id, route: testRoutes[1], adapter: adapter, sent: time.Now()}
	ctx, cancel := context.WithTimeout(s.t.Context(), 2*suspendTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+s.tb.entries[0].listen+rec.route.prefix+"x", http.NoBody)
	if err != nil {
		s.t.Error(err)
		return rec
	}
	headers := platform.ClientRequest{ID: id, Host: hostName, Timeout: suspendTimeout, Model: modelName, Adapter: adapter, APIKey: steadyKey}
	headers.Apply(req)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return rec
	}
	defer resp.Body.Close()
	onStart()
	rec.status, rec.hasServerStamp = resp.StatusCode, platform.HasServerStamp(resp.Header)
	body, err := io.ReadAll(resp.Body)
	rec.body, rec.complete = string(body), err == nil
	return rec
}

// warmUp waits until the servers have loaded the adapter.
func (s *suspendTest) warmUp(adapter string) {
	s.t.Helper()
	for end := time.Now().Add(warmupTime); time.Now().Before(end); {
		if s.stream("warm-"+adapter, adapter, func() {}).answered() {
			return
		}
		wait.For(s.t.Context(), 50*time.Millisecond)
	}
	s.t.Fatalf("no server has loaded %s", adapter)
}

func (s *suspendTest) countStart() {
	if s.started.Add(1) == suspendStreams/2 {
		close(s.halfStarted)
	}
}

func (s *suspendTest) awaitHalfStarted() {
	s.t.Helper()
	select {
	case <-s.halfStarted:
	case <-time.After(warmupTime):
		s.t.Fatalf("only %d streams have started", s.started.Load())
	}
}

// suspend suspends the entry for the duration d while no data from the servers
// arrives.
func (s *suspendTest) suspend(d time.Duration) {
	for _, l := range s.tb.links {
		l.blackhole()
	}
	undo := freeze(s.tb.entries[0].process)
	wait.For(s.t.Context(), d)
	undo()
}

// closingCauses returns the cause in the closing log line of each request, keyed by
// request ID.
func (s *suspendTest) closingCauses() map[string]string {
	s.t.Helper()
	text, err := os.ReadFile(s.tb.o.logPath(s.tb.entries[0].name))
	assert.NilError(s.t, err)
	out := map[string]string{}
	for line := range strings.Lines(string(text)) {
		var fields struct{ Message, Request, Cause string }
		if json.Unmarshal([]byte(line), &fields) == nil && fields.Message == "entry: request ended" {
			out[fields.Request] = fields.Cause
		}
	}
	return out
}

// assertClosingLines fails the test unless each stream has a closing log line, which
// gives a cause if the stream was cut.
func (s *suspendTest) assertClosingLines() {
	s.t.Helper()
	poll.WaitOn(s.t, func(poll.LogT) poll.Result {
		causes := s.closingCauses()
		for _, r := range s.h.records {
			cause, logged := causes[r.id]
			if !logged {
				return poll.Continue("no closing line for %s", r.id)
			}
			if r.status == http.StatusOK && !r.complete && (cause == "" || cause == "none") {
				return poll.Error(fmt.Errorf("no cause for %s, which was cut", r.id))
			}
		}
		return poll.Success()
	}, poll.WithTimeout(warmupTime))
}

// Guards against a cut stream that looks complete to its caller after the entry was
// suspended, and against requests that end without a closing log line: the check for
// lost servers, the stall timer and the status reports are then all late at once.
func TestSuspendedEntryNeverCompletesCutStreams(t *testing.T) {
	s := newSuspendTest(t)
	rng := rand.New(rand.NewPCG(suspendSeed, 0))
	adapters := []string{"a1", "a2", "a3"}
	for _, a := range adapters {
		s.warmUp(a)
	}
	var wg sync.WaitGroup
	for i := range suspendStreams {
		adapter := adapters[rng.IntN(len(adapters))]
		wg.Go(func() { s.h.add(s.stream(fmt.Sprintf("s-%d", i), adapter, s.countStart)) })
	}
	s.awaitHalfStarted()
	s.suspend(minSuspension + time.Duration(rng.Int64N(int64(maxSuspension-minSuspension))))
	wg.Wait()
	r := s.h.report(s.tb, suspendSeed, 1)
	t.Logf("%d answered, %d refused, %d unknown", r.Answered, r.Refused, r.Unknown)
	assert.Assert(t, r.Answered < suspendStreams, "no stream was running when the entry was suspended")
	assert.Equal(t, len(r.Violations), 0, "%q", r.Violations)
	s.assertClosingLines()
}
