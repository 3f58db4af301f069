package demo

import (
	"context"
	"net/url"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fescuecourse/fescuecourse/pkg/workload"
	fakeengine "github.com/fescuecourse/fescuecourse/standin/engine"
)

// minOfferedS, in position-seconds, avoids a division by zero if no engine was ever
// busy.
const minOfferedS = 1e-9

// LoadOptions configures a load run.
type LoadOptions struct {
	Workload string
	Seed     uint64
	Duration time.Duration
	// Target is the URL of a running entry. If it is empty, RunLoad starts a cluster
	// with fakes in this process.
	Target string
	// Policy is the policy of the cluster with fakes.
	Policy Policy
	// ReportDir is the directory for plots, the report and an index page. If it is
	// empty, none are written.
	ReportDir string
}

// RunLoad runs a workload and returns its report.
func RunLoad(ctx context.Context, opts LoadOptions) (*workload.Report, error) {
	spec, err := workload.Read(opts.Workload)
	if err != nil {
		return nil, err
	}
	rep := &workload.Report{Workload: spec.Deployment.Name, Policy: opts.Policy.Name, Seed: opts.Seed, DurationS: opts.Duration.Seconds(), Violations: []workload.Violation{}}
	var recorder *workload.Recorder
	if opts.Target != "" {
		recorder, err = loadTarget(ctx, spec, &opts, rep)
	} else {
		recorder, err = loadCluster(ctx, spec, &opts, rep)
	}
	if err != nil {
		return nil, err
	}
	rep.Rows = recorder.Rows()
	rep.Segments = recorder.Segments()
	rep.Windows = recorder.Windows()
	rep.ComputeRates()
	if opts.ReportDir != "" {
		return rep, recorder.WriteFiles(opts.ReportDir, rep)
	}
	return rep, nil
}

// loadTarget sends the load to a running entry, whose bundle must have the teams and
// adapters of the workload. Generated texts are not checked.
func loadTarget(ctx context.Context, spec *workload.Spec, opts *LoadOptions, rep *workload.Report) (*workload.Recorder, error) {
	u, err := url.Parse(opts.Target)
	if err != nil || u.Host == "" {
		return nil, errors.Newf("target must be a URL such as http://127.0.0.1:8080: %q", opts.Target)
	}
	client := workload.NewClient()
	defer client.Close()
	recorder := workload.NewRecorder(nil)
	workload.RunOpenLoop(ctx, client, []string{u.Host}, workload.Schedule(spec, opts.Seed, opts.Duration), recorder.Add)
	rep.Violations = append(rep.Violations, recorder.Violations()...)
	return recorder, ctx.Err()
}

func loadCluster(ctx context.Context, spec *workload.Spec, opts *LoadOptions, rep *workload.Report) (*workload.Recorder, error) {
	clusterOpts := optionsFor(spec)
	clusterOpts.Policy = opts.Policy
	c, err := Start(ctx, clusterOpts)
	if err != nil {
		return nil, err
	}
	client := workload.NewClient()
	defer client.Close()
	r := &runRecorder{recorder: workload.NewRecorder(fakeengine.OutputToken)}
	began := time.Now()
	arrivals := workload.Schedule(spec, opts.Seed, opts.Duration)
	workload.RunOpenLoop(ctx, client, c.Addrs(), arrivals, r.add)
	took := time.Since(began)
	if err := c.Stop(); err != nil {
		return nil, err
	}
	rep.Violations = append(rep.Violations, r.violations(c)...)
	rep.EngineStats = c.engineFigures(took)
	rep.EngineStats.LoadsNeeded = workload.LoadsNeeded(arrivals, c.Opts.Residents, c.Opts.ModelServers*c.Opts.Slots)
	rep.EngineStats.Pooled = workload.SimulatePooledSlots(arrivals, c.Opts.Residents, c.Opts.ModelServers*c.Opts.Slots, time.Duration(float64(time.Second)/c.Opts.LoadsPerSecond))
	rep.EngineStats.LoadsAllowed = c.Opts.LoadsPerSecond * opts.Duration.Seconds()
	return r.recorder, ctx.Err()
}

// engineFigures computes the batch efficiency of the engines over a run that took
// the given time.
func (c *Cluster) engineFigures(took time.Duration) *workload.EngineStats {
	t := c.engineTotals()
	offered := float64(c.Opts.ModelServers*c.Opts.Positions) * took.Seconds()
	busy := t.busyS * float64(c.Opts.Positions)
	return &workload.EngineStats{
		Loads: t.loads, Evictions: t.evictions, ConcurrentLoads: c.Weights.Stats().PeakConcurrent,
		UsedPositionS: t.usedPositionS, OfferedPositionS: offered, BatchEfficiency: t.usedPositionS / offered,
		OfferedBusyPositionS: busy, BusyBatchEfficiency: t.usedPositionS / max(busy, minOfferedS),
	}
}
