// Package weightstore is a fake weight store. Concurrent reads share its bandwidth, so
// each additional reader slows the others down.
package weightstore

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fescuecourse/fescuecourse/standin/fault"
)

// ErrReadFailed is the error of an injected read failure.
var ErrReadFailed = errors.New("weight store read failed")

// progressStep is the interval at which the progress of a read is recomputed, because
// the number of concurrent reads may change.
const progressStep = 5 * time.Millisecond

// Store is a weight store with limited bandwidth.
type Store struct {
	loadTime time.Duration
	faults   *fault.Injector

	mu     sync.Mutex
	active int // reads in progress
	loads  int // reads started
	peak   int // highest number of concurrent reads
}

// New returns a store that completes loadsPerSecond reads per second if they run one
// at a time. The injector may be nil.
func New(loadsPerSecond float64, faults *fault.Injector) *Store {
	return &Store{loadTime: time.Duration(float64(time.Second) / loadsPerSecond), faults: faults}
}

// Read takes the time that one adapter needs. With n concurrent readers each gets 1/n
// of the bandwidth. It returns ErrReadFailed for an injected failure, or the error of
// ctx if that ends first.
func (s *Store) Read(ctx context.Context) error {
	s.beginRead()
	defer s.endRead()
	remaining := s.loadTime
	if rule, ok := s.faults.ShouldInject(fault.StoreReadSlow); ok {
		remaining += rule.Delay
	}
	ticker := time.NewTicker(progressStep)
	defer ticker.Stop()
	last := time.Now()
	for remaining > 0 {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case now := <-ticker.C:
			remaining -= now.Sub(last) / time.Duration(s.activeReaders())
			last = now
		}
	}
	if _, ok := s.faults.ShouldInject(fault.StoreReadFailed); ok {
		return ErrReadFailed
	}
	return nil
}

func (s *Store) beginRead() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.active++
	s.loads++
	s.peak = max(s.peak, s.active)
}

func (s *Store) endRead() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.active--
}

func (s *Store) activeReaders() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return max(s.active, 1)
}

// Stats are the counters of a store.
type Stats struct {
	// Loads is the number of reads started.
	Loads int
	// PeakConcurrent is the highest number of concurrent reads.
	PeakConcurrent int
}

// Stats returns a copy of the counters.
func (s *Store) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Stats{Loads: s.loads, PeakConcurrent: s.peak}
}
