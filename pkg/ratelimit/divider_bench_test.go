package ratelimit

import (
	"testing"
	"time"
)

// BenchmarkTake measures one decision on a permit.
func BenchmarkTake(b *testing.B) {
	d := NewDivider()
	now := time.Unix(1000, 0)
	q := Demand{Server: Server{ID: "s"}, PerSecond: 4}
	for i := range b.N {
		d.Take(now.Add(time.Duration(i)*time.Millisecond), q)
	}
}
