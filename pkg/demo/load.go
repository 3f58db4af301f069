package demo

import (
	"context"
	"net/url"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fescuecourse/fescuecourse/pkg/workload"
	fakeengine "github.com/fescuecourse/fescuecourse/standin/engine"
)

// minOfferedS keeps the efficiency of engines that have not run at all defined.
const minOfferedS = 1e-9

// LoadOptions configure a load run.
type LoadOptions struct {
	Workload string
	Seed     uint64
	Duration time.Duration
	// Target is the URL of a running entry. If it is empty, a cluster with fakes
	// is started in the process.
	Target string
	// Policy is used by a cluster with fakes.
	Policy Policy
	// ReportDir gets plots and an index page unless it is empty.
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

// loadTarget drives a running entry, whose bundle must have the teams and
// adapters of the workload. Texts are not checked.
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
	rep.Engines = c.engineFigures(took)
	rep.Engines.LoadsNeeded = workload.LoadsNeeded(arrivals, c.Opts.Residents, c.Opts.ModelServers*c.Opts.Slots)
	rep.Engines.Pooled = workload.SimulatePooledSlots(arrivals, c.Opts.Residents, c.Opts.ModelServers*c.Opts.Slots, time.Duration(float64(time.Second)/c.Opts.LoadsPerSecond))
	rep.Engines.LoadsAllowed = c.Opts.LoadsPerSecond * opts.Duration.Seconds()
	return r.recorder, ctx.Err()
}

// engineFigures relates the used batch positions to those offered in the time.
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
