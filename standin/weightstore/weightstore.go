// Package weightstore is a fake weight store. Concurrent loads share its
// bandwidth, so a load is fast only while it is alone.
package weightstore

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fescuecourse/fescuecourse/standin/fault"
)

// ErrReadFailed is an injected failure.
var ErrReadFailed = errors.New("weight store read failed")

// progressStep is the resolution of the bandwidth model.
const progressStep = 5 * time.Millisecond

// Store models a rate-limited weight store.
type Store struct {
	loadTime time.Duration
	faults   *fault.Injector

	mu     sync.Mutex
	active int // reads in progress
	loads  int // reads begun
	peak   int // highest number of concurrent reads
}

// New returns a store that completes loadsPerSecond loads when they run one at
// a time. The injector may be nil.
func New(loadsPerSecond float64, faults *fault.Injector) *Store {
	return &Store{loadTime: time.Duration(float64(time.Second) / loadsPerSecond), faults: faults}
}

// Read transfers one adapter. With n concurrent readers each gets 1/n of the
// bandwidth. It returns ErrReadFailed for an injected failure, or ctx's error.
func (s *Store) Read(ctx context.Context) error {
	s.enter()
	defer s.leave()
	remaining := s.loadTime
	if rule, ok := s.faults.Hit(fault.StoreReadSlow); ok {
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
			remaining -= now.Sub(last) / time.Duration(s.readers())
			last = now
		}
	}
	if _, ok := s.faults.Hit(fault.StoreReadFailed); ok {
		return ErrReadFailed
	}
	return nil
}

func (s *Store) enter() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.active++
	s.loads++
	s.peak = max(s.peak, s.active)
}

func (s *Store) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.active--
}

func (s *Store) readers() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return max(s.active, 1)
}

// Stats are the counters of a store.
type Stats struct {
	// Loads counts the reads that have begun.
	Loads int
	// PeakConcurrent is the highest number of reads at the same time.
	PeakConcurrent int
}

// Stats returns the counters so far.
func (s *Store) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Stats{Loads: s.loads, PeakConcurrent: s.peak}
}
