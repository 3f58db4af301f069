package demo

import (
	"context"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fescuecourse/fescuecourse/pkg/wait"
	"github.com/fescuecourse/fescuecourse/pkg/workload"
	"github.com/fescuecourse/fescuecourse/standin/fault"
)

// Parameters of fault runs.
const (
	faultRequestsPerSecond = 80
	faultDeadline          = 15 * time.Second
	// faultServiceDelay keeps calls in progress at most times, so that a stop that
	// interrupts them is detected.
	faultServiceDelay = 300 * time.Millisecond
	faultProgress     = 5 * time.Second
)

// FaultClusterOptions returns the options of the cluster in fault runs.
func FaultClusterOptions(seed uint64) Options {
	o := DefaultOptions()
	o.ModelServers, o.ServiceServers = 4, 2
	o.Decode = 5 * time.Millisecond
	o.ServiceDelay = faultServiceDelay
	o.Relays = true
	o.VMListLag = time.Second
	o.UnreadyDelay = faultUnreadyDelay
	o.FaultSeed = seed
	return o
}

// faultRun injects the faults of a plan into a cluster under open-loop load.
type faultRun struct {
	c       *Cluster
	results *runRecorder
	// repeatKeyed makes callers repeat requests that have an idempotency key and an
	// unknown outcome.
	repeatKeyed    bool
	balancer       *balancer
	bundleHistory  *bundleHistory
	versionMonitor *versionMonitor
	operator       *operator
	platformPlan   []PlannedPlatformFault
	start          time.Time
	out            io.Writer

	mu       sync.Mutex
	injected map[FaultKind]int
	skipped  int
	// silenced and cut count the connections that faults blackholed and closed.
	silenced int
	cut      int
	repeated int
	// broken counts requests whose connection broke because their entry was killed.
	broken     int
	leaves     []leave
	errs       error
	busy       map[int]bool
	entryBusy  bool
	violations []workload.Violation
	wg         sync.WaitGroup
}

// leave is one graceful stop of an endpoint.
type leave struct {
	server   *Server
	from, to time.Time
}

// FaultRunOptions configure a fault run.
type FaultRunOptions struct {
	Seed     uint64
	Duration time.Duration
	// RepeatKeyed makes callers repeat requests that have an idempotency key and an
	// unknown outcome.
	RepeatKeyed bool
	// ActiveLimit is the longest allowed time from the acceptance of a bundle until
	// it is active on every node. Zero means the limit of the design,
	// defaultActiveLimit.
	ActiveLimit time.Duration
}

// RunFaults starts a cluster, sends load to it while it injects the faults of the
// seed's plan, and checks what callers and fakes observed. It returns ErrViolated if
// a requirement was violated.
func RunFaults(ctx context.Context, opts Options, run FaultRunOptions, out io.Writer) error {
	seed, duration := run.Seed, run.Duration
	c, err := Start(ctx, opts)
	if err != nil {
		return err
	}
	printSize(out, c)
	spec := specFor(&c.Opts, faultRequestsPerSecond)
	spec.Load.Deadline = faultDeadline
	arrivals := workload.Schedule(spec, seed, duration)
	plan := PlanFaults(seed, duration, ClusterSize{ModelServers: c.Opts.ModelServers, ServiceServers: c.Opts.ServiceServers, Entries: c.Opts.Entries})
	f := newFaultRun(c, run, out)
	f.setFaultRules()
	f.run(ctx, plan, arrivals, duration)
	if err := c.Stop(); err != nil {
		return err
	}
	if f.errs != nil {
		return f.errs
	}
	found := append(f.results.violations(c), f.leaveViolations()...)
	found = append(found, f.versionMonitor.found()...)
	found = append(found, f.violations...)
	if err := f.print(duration); err != nil {
		return err
	}
	workload.WriteViolations(out, found)
	if len(found) > 0 {
		return ErrViolated
	}
	return nil
}

func newFaultRun(c *Cluster, run FaultRunOptions, out io.Writer) *faultRun {
	h := &bundleHistory{limit: run.ActiveLimit}
	if h.limit == 0 {
		h.limit = defaultActiveLimit
	}
	now := time.Now()
	h.add(acceptedBundle{bundleContent: newContent(&c.Opts), at: now})
	f := &faultRun{
		c: c, repeatKeyed: run.RepeatKeyed, results: newRunRecorder(), out: out, start: now,
		injected: map[FaultKind]int{}, busy: map[int]bool{},
		balancer: newBalancer(c.Entries), bundleHistory: h, versionMonitor: newMonitor(h),
	}
	f.operator = newOperator(f, run.Seed)
	f.platformPlan = PlanPlatformFaults(run.Seed, 1+int(run.Duration/time.Second))
	return f
}

// setFaultRules sets the probabilities of the faults that the fakes inject.
func (f *faultRun) setFaultRules() {
	f.c.WeightFaults.Set(fault.StoreReadFailed, fault.Rule{Probability: 0.02})
	f.c.WeightFaults.Set(fault.StoreReadSlow, fault.Rule{Probability: 0.02, Delay: 200 * time.Millisecond})
	for _, s := range f.c.Servers {
		s.Faults.Set(fault.LoadFailed, fault.Rule{Probability: 0.03})
		s.Faults.Set(fault.LoadSlow, fault.Rule{Probability: 0.03, Delay: 300 * time.Millisecond})
		s.Faults.Set(fault.StreamCut, fault.Rule{Probability: 0.01, AfterEvents: 3})
		s.Faults.Set(fault.WrongModel, fault.Rule{Probability: 0.005})
		s.Faults.Set(fault.SlowStart, fault.Rule{Probability: 0.02, Delay: 200 * time.Millisecond})
		s.Faults.Set(fault.StatusLate, fault.Rule{Probability: 0.1})
		s.Faults.Set(fault.AnswerLost, fault.Rule{Probability: 0.05})
		s.Faults.Set(fault.ServiceSlow, fault.Rule{Probability: 0.02, Delay: 200 * time.Millisecond})
	}
}

func (f *faultRun) run(ctx context.Context, plan []PlannedFault, arrivals []workload.Arrival, duration time.Duration) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var background sync.WaitGroup
	background.Go(func() { f.inject(ctx, plan) })
	background.Go(func() { f.followPhases(ctx) })
	background.Go(func() { f.operator.run(ctx, f.platformPlan) })
	probeCtx, stopProbe := context.WithCancel(context.WithoutCancel(ctx))
	var probes sync.WaitGroup
	probes.Go(func() { f.probe(probeCtx) })
	client := workload.NewClient()
	defer client.Close()
	f.sendArrivals(ctx, client, arrivals)
	if wait := time.Until(f.start.Add(duration)); wait > 0 && ctx.Err() == nil {
		time.Sleep(wait)
	}
	cancel()
	background.Wait()
	f.wg.Wait()
	stopProbe()
	probes.Wait()
}

// sendArrivals sends each arrival at its intended time, without waiting for earlier
// answers, and returns when all answers have arrived.
func (f *faultRun) sendArrivals(ctx context.Context, client *workload.Client, arrivals []workload.Arrival) {
	var wg sync.WaitGroup
	defer wg.Wait()
	for i := range arrivals {
		intended := f.start.Add(arrivals[i].At)
		if !wait.For(ctx, time.Until(intended)) {
			return
		}
		wg.Go(func() {
			r := arrivals[i].Request
			f.send(ctx, client, i, &r, intended)
		})
	}
}

// injectors returns the fault injectors of all fakes.
func (f *faultRun) injectors() []*fault.Injector {
	out := []*fault.Injector{f.c.WeightFaults}
	for _, s := range f.c.Servers {
		out = append(out, s.Faults)
	}
	return out
}

// followPhases pauses the faults of the fakes outside fault phases and prints
// progress.
func (f *faultRun) followPhases(ctx context.Context) {
	tick := time.NewTicker(100 * time.Millisecond)
	defer tick.Stop()
	printed := f.start
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-tick.C:
			paused := phaseAt(now.Sub(f.start)) != phaseFaults
			for _, i := range f.injectors() {
				i.Pause(paused)
			}
			if now.Sub(printed) >= faultProgress {
				printed = now
				fmt.Fprintf(f.out, "%3.0f s: %d requests ended, %d disturbances\n", now.Sub(f.start).Seconds(), f.results.count(), f.total())
			}
		}
	}
}

func (f *faultRun) total() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, k := range f.injected {
		n += k
	}
	return n
}

// inject executes the plan. It skips a fault if an earlier fault of the same server,
// or of an entry, is still in progress.
func (f *faultRun) inject(ctx context.Context, plan []PlannedFault) {
	for _, p := range plan {
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Until(f.start.Add(p.At))):
		}
		if !f.reserve(p) {
			continue
		}
		f.wg.Go(func() {
			err := f.apply(ctx, p)
			f.mu.Lock()
			defer f.mu.Unlock()
			f.release(p)
			f.errs = errors.CombineErrors(f.errs, err)
		})
	}
}

// reserve reserves the server or the entries for a fault and reports whether the
// fault can be injected. Only one entry is down at a time.
func (f *faultRun) reserve(p PlannedFault) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	noEngine := p.Kind == FaultEngineRestart && f.c.Servers[p.ServerIndex].Engine == nil
	if noEngine || (p.Kind.targetsEntry() && f.entryBusy) || (!p.Kind.targetsEntry() && f.busy[p.ServerIndex]) {
		f.skipped++
		return false
	}
	if p.Kind.targetsEntry() {
		f.entryBusy = true
	} else {
		f.busy[p.ServerIndex] = true
	}
	f.injected[p.Kind]++
	return true
}

// release undoes reserve. The caller holds the mutex.
func (f *faultRun) release(p PlannedFault) {
	if p.Kind.targetsEntry() {
		f.entryBusy = false
	} else {
		f.busy[p.ServerIndex] = false
	}
}

func (f *faultRun) count(k FaultKind) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.injected[k]++
}

func (f *faultRun) addViolation(v workload.Violation) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.violations = append(f.violations, v)
}

func (f *faultRun) apply(ctx context.Context, p PlannedFault) error {
	s := f.c.Servers[p.ServerIndex]
	switch p.Kind {
	case FaultEndpointKill:
		if err := s.Kill(); err != nil {
			return err
		}
		time.Sleep(p.Downtime)
		return s.Start()
	case FaultEndpointLeave:
		return f.leave(s, p.Downtime)
	case FaultEngineRestart:
		s.Engine.Restart()
	case FaultEndpointFreeze:
		s.Freeze()
		time.Sleep(p.Downtime)
		s.Thaw()
	case FaultEntryKill, FaultEntryLeave:
		return f.restartEntry(ctx, p.EntryIndex, p.Kind, p.Downtime)
	case FaultConnectionCut:
		f.addTo(&f.cut, s.relays[p.EntryIndex].CloseConnections())
	case FaultConnectionSilence:
		f.addTo(&f.silenced, s.relays[p.EntryIndex].Blackhole())
	}
	return nil
}

func (f *faultRun) addTo(total *int, n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	*total += n
}

func (f *faultRun) leave(s *Server, down time.Duration) error {
	l := leave{server: s, from: time.Now()}
	err := s.Leave()
	time.Sleep(down)
	l.to = time.Now()
	f.mu.Lock()
	f.leaves = append(f.leaves, l)
	f.mu.Unlock()
	return errors.CombineErrors(err, s.Start())
}

// leaveLimit is the longest time for which a leaving endpoint may get new work.
const leaveLimit = 2 * time.Second

// leaveViolations checks that leaving endpoints got no new work and that graceful
// stops interrupted no request.
func (f *faultRun) leaveViolations() []workload.Violation {
	var out []workload.Violation
	for i := range f.results.samples {
		s := &f.results.samples[i]
		out = append(out, f.newWorkWhileLeaving(s)...)
		if f.interruptedInLeavePhase(s) {
			detail := fmt.Sprintf("request %d: outcome %q from %s, %v", s.Request.Seq, s.Answer.Outcome, s.Answer.Endpoint, s.Answer.Err)
			out = append(out, workload.Violation{Kind: workload.InterruptedByStop, Detail: detail})
		}
	}
	return out
}

func (f *faultRun) newWorkWhileLeaving(s *workload.Sample) []workload.Violation {
	var out []workload.Violation
	for _, l := range f.leaves {
		limit := l.from.Add(leaveLimit)
		if s.Answer.Start.Before(limit) {
			continue
		}
		for _, at := range l.server.Starts(s.Request.Content()) {
			if at.After(limit) && at.Before(l.to) {
				out = append(out, workload.Violation{Kind: workload.NewWorkWhileLeaving, Detail: fmt.Sprintf("request %d at %s", s.Request.Seq, l.server.ID)})
			}
		}
	}
	return out
}

// interruptedInLeavePhase reports whether a request that started and ended in the
// same leave phase was neither answered nor refused as not run.
func (f *faultRun) interruptedInLeavePhase(s *workload.Sample) bool {
	from, to := s.Answer.Start.Sub(f.start), s.Answer.End.Sub(f.start)
	if phaseAt(from) != phaseLeaves || phaseAt(to) != phaseLeaves || to-from > leavePhaseLength {
		return false
	}
	if s.Answer.ErrorCode == codeClaimsUnavailable && !f.startedDuring(s) {
		// While the key-value service is unavailable, a request with an idempotency
		// key is not dispatched, and its outcome is unknown, because an earlier
		// request with the same key may have run.
		return false
	}
	return s.Answer.Outcome != "answered" && s.Answer.Outcome != "not-run"
}

// startedDuring reports whether any server started to run the request while the
// caller waited for the answer.
func (f *faultRun) startedDuring(s *workload.Sample) bool {
	for _, server := range f.c.Servers {
		for _, at := range server.Starts(s.Request.Content()) {
			if !at.Before(s.Answer.Start) && !at.After(s.Answer.End) {
				return true
			}
		}
	}
	return false
}

// codeClaimsUnavailable is the error code of requests with an idempotency key that
// were refused because the key-value service was unavailable.
const codeClaimsUnavailable = "claims_unavailable"
