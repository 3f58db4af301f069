package bench

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/fescuecourse/fescuecourse/pkg/attempts"
	"github.com/fescuecourse/fescuecourse/pkg/bundle"
	"github.com/fescuecourse/fescuecourse/pkg/ident"
	"github.com/fescuecourse/fescuecourse/pkg/membership"
	"github.com/fescuecourse/fescuecourse/pkg/rollout"
)

// heapBytes returns the size of the live heap in bytes.
func heapBytes() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// retained reports the heap memory that the result of build retains, per item of n.
func retained[T any](b *testing.B, n int, build func() T) {
	var held T
	before := heapBytes()
	for b.Loop() {
		held = build()
	}
	b.ReportMetric((heapBytes()-before)/float64(n), "retained_bytes/item")
	runtime.KeepAlive(held)
}

// BenchmarkDirectoryMemory measures the memory of the directory and its published
// snapshot, per endpoint.
func BenchmarkDirectoryMemory(b *testing.B) {
	for _, n := range []int{215, 2800} {
		b.Run(fmt.Sprintf("endpoints=%d", n), func(b *testing.B) {
			f := &fakeEndpoints{adapters: 98000}
			type held struct {
				d *membership.Directory
				s *membership.Snapshot
			}
			retained(b, n, func() held {
				d := membership.New()
				for i := range n {
					d.Apply(time.Unix(0, 0), f.fullReport(i))
				}
				return held{d: d, s: d.Snapshot()}
			})
		})
	}
}

// BenchmarkLedgerMemory measures the memory of the ledger without stored answers, per
// attempt.
func BenchmarkLedgerMemory(b *testing.B) {
	const n = 10000
	retained(b, n, func() *attempts.Ledger {
		l := attempts.New()
		now := time.Now()
		for range n {
			id := ident.AttemptID{Request: ident.NewRequestID(), Attempt: 1}
			l.Register(id, now, false)
			l.Start(id)
			l.Finish(now, id, true, nil)
		}
		return l
	})
}

// BenchmarkBundleMemory measures the memory of the compiled bundle and its parts, which
// every entry and endpoint holds, and the size of the root record.
func BenchmarkBundleMemory(b *testing.B) {
	for _, n := range []int{1000, 10000, 98000} {
		b.Run(fmt.Sprintf("adapters=%d", n), func(b *testing.B) {
			p := startFakePlatform(b, n)
			record, err := p.root.Encode()
			if err != nil {
				b.Fatal(err)
			}
			b.Run("compiled", func(b *testing.B) {
				retained(b, n, func() *bundle.Bundle {
					c, _ := bundle.Parse("bench", bundleText(1, n, 1))
					return c
				})
			})
			b.Run("with-parts", func(b *testing.B) {
				retained(b, n, func() *rollout.Syncer { return p.syncer(b) })
				b.ReportMetric(float64(len(record)), "root_bytes")
				b.ReportMetric(float64(len(p.root.Parts)), "parts")
			})
		})
	}
}
