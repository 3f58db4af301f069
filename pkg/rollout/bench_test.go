package rollout

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/fescuecourse/fescuecourse/pkg/bundle"
	"github.com/fescuecourse/fescuecourse/pkg/logging"
)

// BenchmarkAdopt measures the adoption of a bundle with 98,000 adapters of which
// one has changed.
func BenchmarkAdopt(b *testing.B) {
	const adapters = 98_000
	var base *bundle.Root
	records := make([][]byte, 2)
	parts := make([]map[string]string, 2)
	for v := range records {
		p := propose("op", testText(v+1, adapters, v, first), base, "a", "b")
		root, list, err := p.Build()
		assert.NilError(b, err)
		records[v], err = root.Encode()
		assert.NilError(b, err)
		parts[v] = map[string]string{}
		for _, part := range list {
			parts[v][part.Name] = part.Content
		}
		base = root
	}
	b.ReportAllocs()
	for b.Loop() {
		b.StopTimer()
		s := NewSyncer(&Holder{}, first, logging.Nop())
		assert.NilError(b, s.Adopt(records[0], parts[0]))
		b.StartTimer()
		assert.NilError(b, s.Adopt(records[1], parts[1]))
	}
	b.ReportMetric(float64(len(records[1])), "root_bytes")
	b.ReportMetric(float64(len(base.Parts)), "parts")
}
