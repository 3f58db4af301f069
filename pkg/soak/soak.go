// Package soak runs fescued processes on one host against fake platform servers,
// injects faults from outside the processes and checks the guarantees of the system
// from what clients and servers observe. Faults of entries, faults of everything else and
// planned changes (releases, versions, configurations) are drawn from a seed, each kind
// on its own schedule; they come in series and overlap. Callers resume broken streams. At
// the end, some servers name limits, ask for a backoff or say that they leave.
package soak

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fescuecourse/fescuecourse/pkg/wait"
)

// Options configure a soak test.
type Options struct {
	// Seed determines the faults and the requests.
	Seed uint64
	// Duration is the time during which faults are injected.
	Duration time.Duration
	// Entries is the number of routed-entry processes.
	Entries int
	// Servers is the number of model servers at the start, with two software versions.
	// A routed-endpoint process runs as a sidecar of each of them.
	Servers int
	// Binary is the path of the fescued program.
	Binary string
	// Dir is the directory for the settings and logs of the processes.
	Dir string
	// Out receives a line for each injected fault.
	Out io.Writer
}

const (
	plainServerCount = 2
	callerCount      = 20
	// settleTime is the time without faults before the recovery phase, and the
	// length of the recovery phase at the end of a run.
	settleTime = 4 * time.Second
	// startTime bounds the wait for all entries to become ready.
	startTime = 20 * time.Second
	// minRecoveryShare is the fraction of the requests of the recovery phase that
	// must be answered.
	minRecoveryShare = 0.9
)

// Report is the result of a soak test. Requests is the sum of Answered, Refused
// (a status that says that the request did not run) and Unknown (all others).
type Report struct {
	Seed     uint64
	Requests int
	Answered int
	Refused  int
	Unknown  int
	// Faults is the number of injected faults.
	Faults int
	// RecoveryRequests and RecoveryAnswered count the requests sent in the recovery
	// phase, after all faults have ended, and the answered ones among them.
	RecoveryRequests int
	RecoveryAnswered int
	// Begun and Resumed count the new and the resumed streams at undisturbed processes,
	// and Fetches the runs with prompt memory of another server.
	Begun   Share
	Resumed Share
	Fetches int
	// Violations describes each guarantee that was found broken.
	Violations []string
}

// Run runs one soak test. It returns an error only if the test could not be carried
// out; broken guarantees are in the report.
func Run(ctx context.Context, o Options) (*Report, error) {
	if err := os.MkdirAll(o.Dir, 0o755); err != nil {
		return nil, errors.Wrap(err, "create directory")
	}
	tb, err := newTestbed(&o)
	if err != nil {
		return nil, err
	}
	defer tb.close()
	if err := tb.awaitReady(ctx); err != nil {
		return nil, err
	}
	h := newHistory()
	callCtx, stop := context.WithCancel(ctx)
	var wg sync.WaitGroup
	for i := range callerCount {
		wg.Go(func() { newCaller(tb, h, o.Seed, i).run(callCtx) })
	}
	faults := tb.injectAll(ctx, o.Seed, o.Duration)
	tb.clearFaults()
	wait.For(ctx, settleTime)
	h.beginRecovery()
	wait.For(ctx, settleTime)
	h.endRecovery()
	checkLimits := tb.nameLimits()
	checkRefusals := tb.refuseRequests()
	wait.For(ctx, limitTime)
	stop()
	wg.Wait()
	r := h.report(tb, o.Seed, faults)
	r.Violations = append(r.Violations, checkLimits()...)
	r.Violations = append(r.Violations, checkRefusals()...)
	return r, nil
}

// Print writes a human-readable report.
func (r *Report) Print(w io.Writer) {
	fmt.Fprintf(w, "seed %d: %d requests, %d answered, %d refused, %d unknown, %d faults, calm %d of %d, streams begun %s, resumed %s, %d fetches, %d violations\n",
		r.Seed, r.Requests, r.Answered, r.Refused, r.Unknown, r.Faults, r.RecoveryAnswered, r.RecoveryRequests,
		&r.Begun, &r.Resumed, r.Fetches, len(r.Violations))
	for _, v := range r.Violations {
		fmt.Fprintln(w, "  violation:", v)
	}
}

// logPath returns the path of the log file of a process.
func (o *Options) logPath(name string) string {
	return filepath.Join(o.Dir, fmt.Sprintf("seed-%d-%s.log", o.Seed, name))
}
