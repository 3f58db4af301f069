package gateway

import (
	"time"

	"github.com/fescuecourse/fescuecourse/pkg/config"
)

// Settings holds the configuration of a gateway process.
type Settings struct {
	ID       string
	Zone     string
	Listen   string
	Ready    string
	Metrics  string
	KV       string
	LogLevel string
	// ResidencyPort is the port of the sidecars of the model servers.
	ResidencyPort int
	// Grace is the time between SIGTERM and the forced end of the process.
	Grace time.Duration
	// RetryRatio is the fraction (0 to 1) of a service's requests that may be retried.
	RetryRatio float64
	// RetrySlack is the number of retries in 10 s that all entries together may make
	// beyond RetryRatio, or 0 if it is not known.
	RetrySlack float64
	// MemoryMB is the memory limit of the process in MB, or 0 for no limit.
	MemoryMB float64
	// MaxDescriptors is the number of descriptors that the process may open, or 0 for the
	// number that the operating system allows.
	MaxDescriptors int
	// ConfigLimit is the time within which an accepted configuration must be in force, and
	// DrainLimit the time within which an endpoint that leaves must get no new requests.
	ConfigLimit time.Duration
	DrainLimit  time.Duration
	// QuotaWindow is the period in which the use of a team may exceed its quota by the
	// fraction QuotaOverage and by QuotaSlack, in the unit of the quota.
	QuotaWindow  time.Duration
	QuotaOverage float64
	QuotaSlack   float64
	// FirstStart is true if the process starts together with the whole system for the first
	// time, so that no stream has begun before.
	FirstStart bool
}

const (
	// watchPauseShare is the pause between the calls of a watch as a fraction of the time
	// within which changes must be in force. The rest is for the calls themselves.
	watchPauseShare = 0.45
	// minChangeLimit is the shortest time within which changes can be in force.
	minChangeLimit = 500 * time.Millisecond
	// maxWatchPause limits the pause, because entries learn of new endpoints by it.
	maxWatchPause = 2 * time.Second
	// defaultQuotaWindow is the default of QuotaWindow, and minQuotaWindow its minimum: leases
	// of credit last for a window and have to be longer than the messages that renew them.
	defaultQuotaWindow = 8 * time.Second
	minQuotaWindow     = time.Second
)

// WatchPause returns the delay between two calls of a watch of the key-value store that
// bring changes. A longer pause batches the changes of many endpoints into fewer calls.
func (s *Settings) WatchPause() time.Duration {
	limit := min(s.ConfigLimit, s.DrainLimit)
	return min(time.Duration(watchPauseShare*float64(limit)), maxWatchPause)
}

// Register defines the settings in a configuration set.
func (s *Settings) Register(set *config.Set) {
	set.StringVar(&s.ID, "id", "", "unique `name` of the entry")
	set.StringVar(&s.Zone, "zone", "", "availability `zone` of the VM")
	set.StringVar(&s.Listen, "listen", "127.0.0.1:8080", "`address` for callers (HTTP)")
	set.StringVar(&s.Ready, "ready-listen", "127.0.0.1:8081", "`address` of the readiness check (HTTP)")
	set.StringVar(&s.Metrics, "metrics-listen", "", "`address` of the metrics (HTTP), none if empty")
	set.StringVar(&s.KV, "kv", "", "`address` of the platform's store")
	set.StringVar(&s.LogLevel, "log-level", "info", "lowest `level` that is logged")
	set.IntVar(&s.ResidencyPort, "residency-port", 0, "`port` of the processes beside the model servers")
	set.DurationVar(&s.Grace, "grace", 8*time.Second, "time between SIGTERM and the forced end")
	set.Float64Var(&s.RetryRatio, "retry-ratio", 0.1, "share of a service's requests that may be sent again")
	set.Float64Var(&s.RetrySlack, "retry-slack", 0, "retries in 10s of all entries together beyond this share, 0 if not known")
	set.DurationVar(&s.ConfigLimit, "config-limit", 2*time.Second, "time within which an accepted configuration must be in force")
	set.DurationVar(&s.DrainLimit, "drain-limit", 2*time.Second, "time within which an endpoint that leaves must get no new requests")
	set.DurationVar(&s.QuotaWindow, "quota-window", defaultQuotaWindow, "period in which the use of a team is compared with its quota")
	set.Float64Var(&s.QuotaOverage, "quota-overage", 0, "fraction by which the use of a team may exceed its quota in each quota-window")
	set.Float64Var(&s.QuotaSlack, "quota-slack", 0, "use of a team beyond that in each quota-window, in the unit of its quota")
	set.BoolVar(&s.FirstStart, "first-start", false, "whether the whole system starts for the first time")
	set.Float64Var(&s.MemoryMB, "memory-mb", 0, "memory that the process may use, 0 for no bound")
	set.IntVar(&s.MaxDescriptors, "max-descriptors", 0, "descriptors that the process may open, 0 for the limit of the operating system")
}

// Check reports invalid settings to a configuration set.
func (s *Settings) Check(set *config.Set) {
	set.Requiref(s.ID != "", "id", "must be set")
	set.Requiref(s.Zone != "", "zone", "must be set")
	set.Requiref(s.KV != "", "kv", "must be set")
	set.Requiref(s.ResidencyPort > 0 && s.ResidencyPort < 1<<16, "residency-port", "must be a port between 1 and 65535")
	set.Requiref(s.Grace >= time.Second, "grace", "must be 1s or more")
	set.Requiref(s.RetryRatio >= 0 && s.RetryRatio <= 1, "retry-ratio", "must be between 0 and 1")
	set.Requiref(s.RetrySlack >= 0, "retry-slack", "must not be negative")
	set.Requiref(s.ConfigLimit >= minChangeLimit, "config-limit", "must be %s or more", minChangeLimit)
	set.Requiref(s.DrainLimit >= minChangeLimit, "drain-limit", "must be %s or more", minChangeLimit)
	set.Requiref(s.QuotaWindow >= minQuotaWindow, "quota-window", "must be %s or more", minQuotaWindow)
	set.Requiref(s.QuotaOverage >= 0, "quota-overage", "must not be negative")
	set.Requiref(s.QuotaSlack >= 0, "quota-slack", "must not be negative")
	set.Requiref(s.MemoryMB >= 0, "memory-mb", "must not be negative")
	set.Requiref(s.MaxDescriptors >= 0, "max-descriptors", "must not be negative")
}
