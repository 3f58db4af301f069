package claims

import (
	"context"
	"sync"
	"time"

	"github.com/fescuecourse/fescuecourse/pkg/kv"
)

// bucketsPerRetention sets the width of a bucket: at a retention of 15 min an
// entry grants one lease in 3 min, and 330 entries 1.8 leases/s.
const bucketsPerRetention = 5

// bucketLease is the key-value lease of all claims of one bucket. Its time to
// live is the retention and two widths: one while claims use it, and one for
// replies that come late.
type bucketLease struct {
	id        kv.LeaseID
	sent      time.Time // before the grant was sent
	retention time.Duration
}

func (l bucketLease) width() time.Duration { return l.retention / bucketsPerRetention }

func (l bucketLease) usable(now time.Time, retention time.Duration) bool {
	return l.id != 0 && l.retention == retention && now.Sub(l.sent) < l.width()
}

// reliable reports whether a record written before now lives for the retention.
func (l bucketLease) reliable(now time.Time) bool { return now.Sub(l.sent) < 2*l.width() }

type bucket struct {
	mu    sync.Mutex
	lease bucketLease
}

// lease returns the lease of the current bucket. Callers that need a new one
// wait for a single grant.
func (c *Claims) lease(ctx context.Context) (bucketLease, error) {
	c.bucket.mu.Lock()
	defer c.bucket.mu.Unlock()
	now := c.set.Now()
	retention := c.set.Retention()
	if c.bucket.lease.usable(now, retention) {
		return c.bucket.lease, nil
	}
	ctx, cancel := context.WithTimeout(ctx, c.set.CallTimeout)
	defer cancel()
	l := bucketLease{sent: now, retention: retention}
	id, err := c.store.Grant(ctx, retention+2*l.width())
	if err != nil {
		return bucketLease{}, err
	}
	l.id = id
	c.bucket.lease = l
	return l, nil
}

// forget ends the use of a lease that the service does not know any more.
func (b *bucket) forget(id kv.LeaseID) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.lease.id == id {
		b.lease = bucketLease{}
	}
}
