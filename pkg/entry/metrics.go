package entry

import (
	"github.com/rcrowley/go-metrics"

	"github.com/fescuecourse/fescuecourse/api/fescuev1"
)

// sampleSize and sampleAlpha are the customary parameters of an exponentially
// decaying sample that is biased towards the last five minutes.
const (
	sampleSize  = 1028
	sampleAlpha = 0.015
)

// entryMetrics are the metrics of request processing.
type entryMetrics struct {
	inFlight   metrics.Counter
	retries    metrics.Counter
	firstToken metrics.Histogram
	loadStall  metrics.Histogram
	queue      metrics.Histogram
}

func newMetrics() *entryMetrics {
	histogram := func(name string) metrics.Histogram {
		return metrics.GetOrRegisterHistogram(name, metrics.DefaultRegistry, metrics.NewExpDecaySample(sampleSize, sampleAlpha))
	}
	return &entryMetrics{
		inFlight:   metrics.GetOrRegisterCounter("entry.in_flight", metrics.DefaultRegistry),
		retries:    metrics.GetOrRegisterCounter("entry.retries", metrics.DefaultRegistry),
		firstToken: histogram("entry.first_token_us"),
		loadStall:  histogram("entry.load_stall_us"),
		queue:      histogram("entry.queue_us"),
	}
}

// header records the load stall and the queueing time that the endpoint
// reports.
func (m *entryMetrics) header(h *fescuev1.Header) {
	m.loadStall.Update(int64(h.GetLoadStallUs()))
	m.queue.Update(int64(h.GetQueueUs()))
}

// countFailure counts a failed request under its error code.
func (m *entryMetrics) countFailure(f *Failure) {
	metrics.GetOrRegisterCounter("entry.failed."+f.Code, metrics.DefaultRegistry).Inc(1)
}
