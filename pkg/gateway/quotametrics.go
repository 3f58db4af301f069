package gateway

import (
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"

	"github.com/fescuecourse/fescuecourse/pkg/ident"
	"github.com/fescuecourse/fescuecourse/pkg/quota"
)

// errNoConnection means that there is no connection to a sidecar.
var errNoConnection = errors.New("no connection to the sidecar")

type histogram = metrics.Histogram

// newQuotaWaits returns the histogram of the times that requests wait for credit.
func newQuotaWaits() histogram {
	sample := metrics.NewExpDecaySample(histogramSamples, 0.015)
	return metrics.GetOrRegisterHistogram("gateway.quota_wait_us", metrics.DefaultRegistry, sample)
}

// quotaMetrics has the metrics of one team's quota.
type quotaMetrics struct {
	prefix              string
	overQuota, noKeeper metrics.Counter
}

// quotaGauges are the figures of an account that are shown as metrics, by name.
var quotaGauges = map[string]func(s *quota.State) float64{
	"rate_per_s":      func(s *quota.State) float64 { return s.PerSecond },
	"burst":           func(s *quota.State) float64 { return s.Burst },
	"entry_use_per_s": func(s *quota.State) float64 { return s.EntryPerSecond },
	"fleet_use_per_s": func(s *quota.State) float64 { return s.FleetPerSecond },
	"used_share": func(s *quota.State) float64 {
		if s.PerSecond <= 0 {
			return 0
		}
		return s.FleetPerSecond / s.PerSecond
	},
	"credit":       func(s *quota.State) float64 { return s.Credit },
	"lease_age_ms": func(s *quota.State) float64 { return float64(s.LeaseAge.Milliseconds()) },
}

func newQuotaMetrics(team ident.Team, a *quota.Account) *quotaMetrics {
	r := metrics.DefaultRegistry
	m := &quotaMetrics{prefix: "gateway.quota." + string(team) + "."}
	m.overQuota = metrics.GetOrRegisterCounter(m.prefix+"refused_"+quota.OverQuota.String(), r)
	m.noKeeper = metrics.GetOrRegisterCounter(m.prefix+"refused_"+quota.NoKeeper.String(), r)
	for name, value := range quotaGauges {
		metrics.NewRegisteredFunctionalGaugeFloat64(m.prefix+name, r, func() float64 {
			s := a.State(time.Now())
			return value(&s)
		})
	}
	return m
}

func (m *quotaMetrics) refused(c quota.Cause) metrics.Counter {
	if c == quota.NoKeeper {
		return m.noKeeper
	}
	return m.overQuota
}

// unregister removes the metrics of a team that has left the configuration.
func (m *quotaMetrics) unregister() {
	for name := range quotaGauges {
		metrics.Unregister(m.prefix + name)
	}
	metrics.Unregister(m.prefix + "refused_" + quota.OverQuota.String())
	metrics.Unregister(m.prefix + "refused_" + quota.NoKeeper.String())
}
