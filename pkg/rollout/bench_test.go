package rollout

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fescuecourse/fescuecourse/pkg/bundle"
	"github.com/fescuecourse/fescuecourse/pkg/logging"
)

// BenchmarkAdopt measures the adoption of a bundle with 98,000 adapters, one of which
// differs from the active bundle.
func BenchmarkAdopt(b *testing.B) {
	const adapters = 98_000
	var base *bundle.Root
	records := make([][]byte, 2)
	parts := make([]map[string]string, 2)
	for v := range records {
		p := propose("op", testText(v+1, adapters, v, initialReviewers), base, "a", "b")
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
		s := NewSyncer(&Holder{}, initialReviewers, logging.Nop())
		assert.NilError(b, s.Adopt(records[0], parts[0]))
		b.StartTimer()
		assert.NilError(b, s.Adopt(records[1], parts[1]))
	}
	b.ReportMetric(float64(len(records[1])), "root_bytes")
	b.ReportMetric(float64(len(base.Parts)), "parts")
}

// BenchmarkStoredBytes measures the bytes that stay stored after 1,000 rollouts at
// 6,100 rollouts a day. Each rollout changes one of 3,000 adapters.
func BenchmarkStoredBytes(b *testing.B) {
	all := defaultRetention
	all.maxDeletes = 0
	for _, bc := range []struct {
		name string
		keep retention
	}{{"KeepAll", all}, {"Default", defaultRetention}} {
		b.Run(bc.name, func(b *testing.B) {
			for b.Loop() {
				store := rolloutMany(b, 1000, 3000, bc.keep)
				bytes, parts := store.partBytes()
				b.ReportMetric(float64(bytes), "stored_part_bytes")
				b.ReportMetric(float64(parts), "stored_parts")
				b.ReportMetric(float64(len(store.pairs[DroppedPartsKey].Value)), "list_bytes")
				b.ReportMetric(float64(store.txns)/1000, "txns/rollout")
			}
		})
	}
}

// rolloutMany runs n rollouts, each of which changes one adapter.
func rolloutMany(t testing.TB, n, adapters int, policy retention) *fakeStore {
	store := newFakeStore()
	now := time.Unix(1e9, 0)
	text := testText(1, adapters, 0, initialReviewers)
	var base *bundle.Root
	for v := 1; v <= n; v++ {
		text = strings.Replace(text, fmt.Sprintf("version = %d\n", v-1), fmt.Sprintf("version = %d\n", v), 1)
		section := fmt.Sprintf("[adapter \"t/a%d\"]\nbase_model = m", v*7%adapters)
		text = strings.Replace(text, section+"0\n", section+fmt.Sprint(v)+"\n", 1)
		root, parts, err := propose("op", text, base, "a", "b").Build()
		assert.NilError(t, err)
		record, err := root.Encode()
		assert.NilError(t, err)
		a := &attempt{store: store, root: root, record: record, parts: parts, initialReviewers: initialReviewers, policy: policy, now: func() time.Time { return now }}
		done, err := a.try(t.Context())
		assert.NilError(t, err)
		assert.Assert(t, done)
		base = root
		now = now.Add(24 * time.Hour / 6100)
	}
	return store
}

// Guards against unreferenced parts that are never deleted. At the target rate of
// changes they would add about 100 MB a day.
func TestOldPartsAreDeleted(t *testing.T) {
	store := rolloutMany(t, 150, 300, defaultRetention)
	_, parts := store.partBytes()
	assert.Assert(t, parts <= 1+43, "%d parts are stored", parts)
	assert.Assert(t, parts > int(defaultRetention.minVersions), "%d parts are stored", parts)
}
