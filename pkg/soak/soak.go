// Package soak runs the real programs as separate processes on one machine,
// injects faults from outside them and checks the promises of the system from
// what callers and back ends see. Faults come from a seed, in series and overlapping.
package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fescuecourse/fescuecourse/pkg/wait"
)

// Options configure a soak.
type Options struct {
	Seed     uint64
	Duration time.Duration
	// Entries and Servers are the numbers of entries and model servers. Beside each
	// model server runs a process of its own.
	Entries int
	Servers int
	// Binary is the path of fescued.
	Binary string
	// Dir keeps settings and logs.
	Dir string
	Out io.Writer
}

const (
	plainServers = 2
	callers      = 12
	// settleTime is the calm at the start and at the end of a soak.
	settleTime = 4 * time.Second
	// startTime bounds the wait for the first entry to become ready.
	startTime = 20 * time.Second
	// faultGap is the mean pause between faults.
	faultGap = 700 * time.Millisecond
	// recoverShare is the share of requests that must be answered in the calm at the
	// end.
	recoverShare = 0.9
)

// Report is the result of a soak.
type Report struct {
	Seed             uint64
	Requests         int
	Answered         int
	Refused          int
	Unknown          int
	Faults           int
	RecoveryRequests int
	RecoveryAnswered int
	Violations       []string
}

// Run plays one soak. The error tells that it could not be played.
func Run(ctx context.Context, o Options) (*Report, error) {
	if err := os.MkdirAll(o.Dir, 0o755); err != nil {
		return nil, errors.Wrap(err, "create folder")
	}
	w, err := newWorld(&o)
	if err != nil {
		return nil, err
	}
	defer w.close()
	if err := w.awaitReady(ctx); err != nil {
		return nil, err
	}
	h := newHistory()
	callCtx, stop := context.WithCancel(ctx)
	var wg sync.WaitGroup
	for i := range callers {
		wg.Go(func() { newCaller(w, h, o.Seed, i).run(callCtx) })
	}
	faults := w.inject(ctx, rand.New(rand.NewPCG(o.Seed, 0)), o.Duration)
	w.heal()
	wait.For(ctx, settleTime)
	h.beginCalm()
	wait.For(ctx, settleTime)
	stop()
	wg.Wait()
	return h.report(w, o.Seed, faults), nil
}

// Print writes a report for people.
func (r *Report) Print(w io.Writer) {
	fmt.Fprintf(w, "seed %d: %d requests, %d answered, %d refused, %d unknown, %d faults, calm %d of %d, %d violations\n",
		r.Seed, r.Requests, r.Answered, r.Refused, r.Unknown, r.Faults, r.RecoveryAnswered, r.RecoveryRequests, len(r.Violations))
	for _, v := range r.Violations {
		fmt.Fprintln(w, "  violation:", v)
	}
}

// logPath is where the output of a process goes.
func (o *Options) logPath(name string) string {
	return filepath.Join(o.Dir, fmt.Sprintf("seed-%d-%s.log", o.Seed, name))
}
