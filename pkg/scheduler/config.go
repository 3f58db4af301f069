package scheduler

import "time"

// Config are the limits and intervals of a scheduler. Zero intervals get defaults.
type Config struct {
	// Slots is the number of adapters the engine can hold.
	Slots int
	// Positions is the number of attempts that run at once.
	Positions int
	// MaxQueued bounds the queue. When it is full, a team below its share
	// displaces the newest attempt of the team with the most attempts per weight.
	MaxQueued int
	// FairnessWindow is the number of starts within which every team with ready work is served.
	FairnessWindow int
	// PermitRetry is the interval of repeated permit requests.
	PermitRetry time.Duration
	// PermitTimeout is how long the coordinator may leave requests unanswered
	// before adapters are loaded without a permit.
	PermitTimeout time.Duration
	// ShareInterval is the time between two loads without a permit.
	ShareInterval time.Duration
	// BackoffMin and BackoffMax bound the time between attempts to load an
	// adapter whose load has failed.
	BackoffMin time.Duration
	BackoffMax time.Duration
	// CommandDeadline is the time after which the engine acts on no command.
	CommandDeadline time.Duration
	// StallWeight and BatchWeight weigh load stalls against batch efficiency. Only
	// their ratio matters; if both are zero they count as equal.
	StallWeight float64
	BatchWeight float64
	// Evictor chooses the adapters to evict, LowestReloadCost by default.
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
	// commandMargin is the time that the engine may take between the check of a
	// command's deadline and its effect.
	commandMargin = time.Second
)

// Times that the weights scale, see batchShare.
const (
	// drainAfter is how long work waits for a slot before a busy adapter is drained
	// for it, at a batch share of 1.
	drainAfter = time.Second
	// batchLoadDelay is how long a load for batch-class work alone is held back to
	// gather more work, at a batch share of 1.
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

// batchShare is the weight of batch efficiency between 0 and 1. A low share
// drains a busy adapter soon for stalled work; a high share keeps adapters with
// queued work longer and gathers batch-class work before its adapter is loaded.
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
