// Package wait provides a sleep that ends early when a context ends.
package wait

import (
	"context"
	"time"
)

// For sleeps for d and returns true. If ctx ends first, it returns false at once.
func For(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}
