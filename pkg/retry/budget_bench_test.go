package retry_test

import (
	"testing"
	"time"

	"github.com/fescuecourse/fescuecourse/pkg/retry"
)

// BenchmarkTakeRetry measures one request and one decision on a retry.
func BenchmarkTakeRetry(b *testing.B) {
	var budget retry.Budget
	now := time.Unix(1000, 0)
	for i := range b.N {
		at := now.Add(time.Duration(i) * time.Millisecond)
		budget.RecordRequest(at)
		budget.TakeRetry(at, 0.2, 10)
	}
}
