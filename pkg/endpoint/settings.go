// Package endpoint implements the process that runs beside each model engine or plain
// service. It accepts attempts from entries, schedules them, and loads and unloads
// the adapters of the engine.
package endpoint

import (
	"time"

	"github.com/fescuecourse/fescuecourse/pkg/config"
	"github.com/fescuecourse/fescuecourse/pkg/scheduler"
)

// Settings configures an endpoint process. Register documents the fields that have
// no comment.
type Settings struct {
	ID     string
	Zone   string
	Listen string
	// MetricsListen is the address of /metrics and /healthz, empty for none.
	MetricsListen string
	Kind          string
	Backend       string
	Address       string
	KV            string
	Fencing       string
	LogLevel      string

	// BodyMemoryMB is the memory for the bodies of queued and running attempts, in MiB, 64 if
	// zero, and MemoryMB that of the process, or 0 for no limit.
	BodyMemoryMB float64
	MemoryMB     float64

	MaxQueued    int
	Positions    int
	DrainTimeout time.Duration
	LeaseTTL     time.Duration
	// MaxDeadline is the longest time limit that an attempt may have, 10 minutes if
	// zero.
	MaxDeadline time.Duration
	// WeightStore is the name of the store from which the engine loads adapters.
	WeightStore string
	// ShareInterval is the time between two loads while no entry grants permits. Set
	// it to the number of endpoints that load from the weight store, divided by the
	// loads that the store can serve per second: 18 endpoints at 4 loads/s give 4.5 s.
	// All endpoints together then stay within the rate of the store.
	ShareInterval time.Duration

	// EvictionPolicy, LoadPermits and QueuePolicy select algorithms; empty means the
	// default. The other values are baselines for comparison in load tests.
	EvictionPolicy string
	LoadPermits    string
	QueuePolicy    string
}

// minLeaseTTL is the shortest allowed time to live of the engine lease. It leaves
// time for slow replies of the key-value service between two renewals.
const minLeaseTTL = 5 * time.Second

const (
	// defaultBodyMemoryMB is the default of Settings.BodyMemoryMB.
	defaultBodyMemoryMB = 64
	// minBodyMemoryMB leaves room for two of the largest bodies.
	minBodyMemoryMB = 8
)

// Values of the kind setting.
const (
	KindModel   = "model"
	KindService = "service"
)

// Defaults and limits of the deadline and drain settings.
const (
	defaultMaxDeadline  = 10 * time.Minute
	defaultDrainTimeout = 11 * time.Minute
	// drainMargin is the time that a drain allows for the last frames and commands
	// after the latest possible deadline of an attempt.
	drainMargin = 30 * time.Second
)

// Values of the fencing setting.
const (
	FencingChecked = "checked"
	FencingIgnored = "ignored"
)

// Values of the eviction-policy setting.
const (
	EvictionReloadCost = "reload-cost"
	EvictionLRU        = "lru"
)

// Values of the load-permits setting.
const (
	PermitsCoordinated = "coordinated"
	PermitsNone        = "none"
)

// Values of the queue-policy setting.
const (
	QueueFair = "fair"
	QueueFIFO = "fifo"
)

// Register defines the settings and their defaults in set.
func (s *Settings) Register(set *config.Set) {
	set.StringVar(&s.ID, "id", "", "unique `name` of the endpoint")
	set.StringVar(&s.Zone, "zone", "", "availability `zone` of the VM")
	set.StringVar(&s.Listen, "listen", "127.0.0.1:0", "`address` for entries (gRPC)")
	set.StringVar(&s.MetricsListen, "metrics-listen", "", "`address` of /metrics and /healthz (HTTP), empty for none")
	set.StringVar(&s.Kind, "kind", KindModel, "kind of the back end: model or service")
	set.StringVar(&s.Backend, "backend", "", "base model or service `name`")
	set.StringVar(&s.Address, "backend-address", "", "`address` of the engine or service")
	set.StringVar(&s.KV, "kv", "", "`address` of the key-value service")
	set.StringVar(&s.Fencing, "fencing", FencingIgnored, "whether the engine checks fencing tokens: checked or ignored")
	set.StringVar(&s.LogLevel, "log-level", "info", "lowest `level` that is logged")
	set.IntVar(&s.MaxQueued, "max-queued", 256, "largest number of queued attempts")
	set.Float64Var(&s.BodyMemoryMB, "body-memory-mb", defaultBodyMemoryMB, "memory for the bodies of queued and running attempts")
	set.Float64Var(&s.MemoryMB, "memory-mb", 0, "memory that the process may use, 0 for no bound")
	set.IntVar(&s.Positions, "positions", 16, "concurrent calls to a plain service")
	set.StringVar(&s.WeightStore, "weight-store", "", "`name` of the weight store, for load permits")
	set.DurationVar(&s.ShareInterval, "share-interval", 5*time.Second, "time between two loads while no entry grants permits")
	set.StringVar(&s.EvictionPolicy, "eviction-policy", EvictionReloadCost, "which adapter is evicted: reload-cost or lru")
	set.StringVar(&s.LoadPermits, "load-permits", PermitsCoordinated, "whether loads wait for a permit: coordinated or none")
	set.StringVar(&s.QueuePolicy, "queue-policy", QueueFair, "order of queued attempts: fair or fifo")
	set.DurationVar(&s.LeaseTTL, "lease-ttl", 60*time.Second, "time to live of the engine lease; it is renewed three times as often")
	set.DurationVar(&s.MaxDeadline, "max-deadline", defaultMaxDeadline, "longest deadline of an attempt")
	set.DurationVar(&s.DrainTimeout, "drain-timeout", defaultDrainTimeout, "longest time that a stop waits for running requests")
}

// Check validates the settings and records each invalid one in set.
func (s *Settings) Check(set *config.Set) {
	set.Requiref(s.ID != "", "id", "must be set")
	set.Requiref(s.Zone != "", "zone", "must be set")
	set.Requiref(s.Backend != "", "backend", "must be set")
	set.Requiref(s.Address != "", "backend-address", "must be set")
	set.Requiref(s.Kind == KindModel || s.Kind == KindService, "kind", "must be model or service")
	set.Requiref(s.Fencing == FencingChecked || s.Fencing == FencingIgnored, "fencing", "must be checked or ignored")
	set.Requiref(s.BodyMemoryMB >= minBodyMemoryMB, "body-memory-mb", "must be %d or more", minBodyMemoryMB)
	set.Requiref(s.MemoryMB >= 0, "memory-mb", "must not be negative")
	set.Requiref(s.MaxQueued > 0, "max-queued", "must be above zero")
	set.Requiref(s.Positions > 0, "positions", "must be above zero")
	set.Requiref(s.EvictionPolicy == EvictionReloadCost || s.EvictionPolicy == EvictionLRU, "eviction-policy", "must be reload-cost or lru")
	set.Requiref(s.LoadPermits == PermitsCoordinated || s.LoadPermits == PermitsNone, "load-permits", "must be coordinated or none")
	set.Requiref(s.QueuePolicy == QueueFair || s.QueuePolicy == QueueFIFO, "queue-policy", "must be fair or fifo")
	set.RequirePositive("share-interval", s.ShareInterval)
	set.Requiref(s.LeaseTTL >= minLeaseTTL, "lease-ttl", "must be at least %s", minLeaseTTL)
	set.Requiref(s.KV != "", "kv", "must be set")
	set.RequirePositive("max-deadline", s.MaxDeadline)
	set.Requiref(s.DrainTimeout >= s.MaxDeadline+drainMargin, "drain-timeout", "must exceed max-deadline by %s or more", drainMargin)
}

// evictor returns the eviction policy, or nil for the default of the scheduler.
func (s *Settings) evictor() scheduler.Evictor {
	if s.EvictionPolicy == EvictionLRU {
		return scheduler.LRU{}
	}
	return nil
}
