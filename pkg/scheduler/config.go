package scheduler

import "time"

// Config holds the limits and intervals of a scheduler. Intervals that are zero or
// negative take their defaults.
type Config struct {
	// Slots is the number of adapters that the engine can hold.
	Slots int
	// Positions is the number of attempts that can run at the same time.
	Positions int
	// MaxQueued limits the number of queued attempts. A team below its share may
	// still submit to a full queue; the newest attempt of the team with the most
	// queued attempts per weight is then refused.
	MaxQueued int
	// FairnessWindow is the number of started attempts within which every team with
	// ready work is served at least once.
	FairnessWindow int
	// PermitRetry is the interval at which an unanswered permit request is sent
	// again.
	PermitRetry time.Duration
	// PermitTimeout is the time without an answer from the coordinator after which
	// adapters are loaded without a permit.
	PermitTimeout time.Duration
	// ShareInterval is the minimum time between two loads without a permit.
	ShareInterval time.Duration
	// BackoffMin and BackoffMax limit the delay before the load of an adapter is
	// retried after a failure.
	BackoffMin time.Duration
	BackoffMax time.Duration
	// CommandDeadline is the time after which the engine no longer acts on a
	// command.
	CommandDeadline time.Duration
	// StallWeight and BatchWeight set the relative importance of short load stalls,
	// which are waits for an adapter load, and of batch efficiency. Only their ratio
	// matters; if both are zero, they count as equal.
	StallWeight float64
	BatchWeight float64
	// Evictor chooses the adapter to evict. The default is LowestReloadCost.
	Evictor Evictor
}

// Default intervals.
const (
	defaultPermitRetry   = 2 * time.Second
	defaultPermitTimeout = 10 * time.Second
	defaultShareInterval = 5 * time.Second
	defaultBackoffMin    = 500 * time.Millisecond
	defaultBackoffMax    = time.Minute
	// DefaultCommandDeadline equals the command deadline of the engine lease.
	DefaultCommandDeadline = 5 * time.Second
	// commandMargin is the time that the engine may take between checking the
	// deadline of a command and carrying it out.
	commandMargin = time.Second
)

// Delays that are multiplied by Config.batchShare.
const (
	// drainAfter is how long work waits for a slot before an adapter in use is
	// drained for it, at a batch share of 1.
	drainAfter = time.Second
	// batchLoadDelay is how long a load that only batch-class work needs is delayed
	// so that more work can accumulate, at a batch share of 1.
	batchLoadDelay = 2 * time.Second
)

func (c Config) withDefaults() Config {
	c.PermitRetry = orDefault(c.PermitRetry, defaultPermitRetry)
	c.PermitTimeout = orDefault(c.PermitTimeout, defaultPermitTimeout)
	c.ShareInterval = orDefault(c.ShareInterval, defaultShareInterval)
	c.BackoffMin = orDefault(c.BackoffMin, defaultBackoffMin)
	c.BackoffMax = orDefault(c.BackoffMax, defaultBackoffMax)
	c.CommandDeadline = orDefault(c.CommandDeadline, DefaultCommandDeadline)
	if c.Evictor == nil {
		c.Evictor = LowestReloadCost{}
	}
	return c
}

func orDefault(d, fallback time.Duration) time.Duration {
	if d <= 0 {
		return fallback
	}
	return d
}

// batchShare returns the weight of batch efficiency as a share between 0 and 1. With
// a low share, an adapter in use is soon drained for work that waits for a load. With
// a high share, adapters with queued work stay resident longer, and batch-class work
// accumulates before its adapter is loaded.
func (c Config) batchShare() float64 {
	sum := c.StallWeight + c.BatchWeight
	if sum <= 0 {
		return 0.5
	}
	return c.BatchWeight / sum
}

func (c Config) drainAfter() time.Duration { return scale(drainAfter, c.batchShare()) }

func (c Config) batchLoadDelay() time.Duration { return scale(batchLoadDelay, c.batchShare()) }

func (c Config) gatherTime() time.Duration { return scale(gatherTime, c.batchShare()) }

func scale(d time.Duration, share float64) time.Duration {
	return time.Duration(float64(d) * share)
}
