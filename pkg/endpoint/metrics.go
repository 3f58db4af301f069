package endpoint

import (
	"strings"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/fescuecourse/fescuecourse/api/fescuev1"
)

// sampleSize is the number of values in the sample of a histogram.
const sampleSize = 1028

// metricSet holds the metrics of an endpoint. Endpoints in one process share them.
type metricSet struct {
	registry         metrics.Registry
	stallUS          metrics.Histogram
	queueWaitUS      metrics.Histogram
	loadUS           metrics.Histogram
	loads            metrics.Counter
	loadFailures     metrics.Counter
	evictions        metrics.Counter
	evictionFailures metrics.Counter
	// usedMS and offeredMS are sums over time of the used and of all positions, in
	// position-milliseconds. usedMS divided by offeredMS is the batch efficiency.
	usedMS    metrics.Counter
	offeredMS metrics.Counter
}

func newMetricSet() *metricSet {
	r := metrics.DefaultRegistry
	return &metricSet{
		registry:         r,
		stallUS:          histogram("endpoint.load_stall_us", r),
		queueWaitUS:      histogram("endpoint.queue_wait_us", r),
		loadUS:           histogram("endpoint.load_us", r),
		loads:            metrics.GetOrRegisterCounter("endpoint.loads", r),
		loadFailures:     metrics.GetOrRegisterCounter("endpoint.load_failures", r),
		evictions:        metrics.GetOrRegisterCounter("endpoint.evictions", r),
		evictionFailures: metrics.GetOrRegisterCounter("endpoint.eviction_failures", r),
		usedMS:           metrics.GetOrRegisterCounter("endpoint.positions_used_ms", r),
		offeredMS:        metrics.GetOrRegisterCounter("endpoint.positions_offered_ms", r),
	}
}

func histogram(name string, r metrics.Registry) metrics.Histogram {
	return metrics.GetOrRegisterHistogram(name, r, metrics.NewUniformSample(sampleSize))
}

func (m *metricSet) recordLoad(took time.Duration) {
	m.loads.Inc(1)
	m.loadUS.Update(took.Microseconds())
}

func (m *metricSet) recordEviction(err error) {
	if err != nil {
		m.evictionFailures.Inc(1)
		return
	}
	m.evictions.Inc(1)
}

func (m *metricSet) recordRefusal(reason fescuev1.NotRunReason) {
	name := strings.ToLower(strings.TrimPrefix(reason.String(), "NOT_RUN_REASON_"))
	metrics.GetOrRegisterCounter("endpoint.refused."+name, m.registry).Inc(1)
}

func (m *metricSet) recordPositions(elapsed time.Duration, used, offered int) {
	m.usedMS.Inc(elapsed.Milliseconds() * int64(used))
	m.offeredMS.Inc(elapsed.Milliseconds() * int64(offered))
}
