package claims

import (
	"context"
	"sync"
	"time"

	"github.com/fescuecourse/fescuecourse/pkg/kv"
)

// bucketsPerRetention is the number of buckets, and so of leases, in one retention
// period. At a retention of 15 min an entry grants one lease in 3 min, and 330
// entries grant 1.8 leases/s.
const bucketsPerRetention = 5

// bucketLease is the lease in the key-value service that all claims of one bucket
// share. A bucket covers the claims of one period, whose length is the width. The time
// to live of the lease is the retention plus two widths: one for the period in which
// claims use the lease, and one for replies that arrive late.
type bucketLease struct {
	id          kv.LeaseID
	requestedAt time.Time // time before the grant request was sent
	retention   time.Duration
}

func (l bucketLease) width() time.Duration { return l.retention / bucketsPerRetention }

func (l bucketLease) usable(now time.Time, retention time.Duration) bool {
	return l.id != 0 && l.retention == retention && now.Sub(l.requestedAt) < l.width()
}

// coversRetention reports whether a record that was written before now is kept for
// at least the retention.
func (l bucketLease) coversRetention(now time.Time) bool { return now.Sub(l.requestedAt) < 2*l.width() }

// bucket holds the lease of the current bucket.
type bucket struct {
	mu    sync.Mutex
	lease bucketLease
}

// lease returns the lease of the current bucket. If a new one is needed,
// concurrent callers wait for a single grant.
func (c *Claims) lease(ctx context.Context) (bucketLease, error) {
	c.bucket.mu.Lock()
	defer c.bucket.mu.Unlock()
	now := c.settings.Now()
	retention := c.settings.Retention()
	if c.bucket.lease.usable(now, retention) {
		return c.bucket.lease, nil
	}
	ctx, cancel := context.WithTimeout(ctx, c.settings.CallTimeout)
	defer cancel()
	l := bucketLease{requestedAt: now, retention: retention}
	id, err := c.store.Grant(ctx, retention+2*l.width())
	if err != nil {
		return bucketLease{}, err
	}
	l.id = id
	c.bucket.lease = l
	return l, nil
}

// invalidate discards a lease that the key-value service no longer knows.
func (b *bucket) invalidate(id kv.LeaseID) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.lease.id == id {
		b.lease = bucketLease{}
	}
}
