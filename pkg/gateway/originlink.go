package gateway

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/fescuecourse/fescuecourse/api/fescuev1"
	"github.com/fescuecourse/fescuecourse/pkg/origin"
)

// maxLinkOrigins limits the origins kept for one sidecar. They are kept for
// origin.Retention, so that a sidecar that restarts or was unreachable gets them.
const maxLinkOrigins = 2000

// originLink holds the origins that one sidecar has to keep for this entry, and the
// client for questions to it.
type originLink struct {
	// due holds a value if an update has to be sent at once, because of a new origin or a new
	// software version.
	due chan struct{}
	// opened is closed when the first connection is opened.
	opened chan struct{}
	open   sync.Once

	mu      sync.Mutex
	client  fescuev1.ResidencyClient
	records []origin.Record // oldest first
	// first is the position of records[0], counted from the creation of the link.
	first int
	// senders is the number of goroutines that send updates to the sidecar. That of a
	// broken connection may end after the next one has begun.
	senders int
}

func newOriginLink() *originLink {
	return &originLink{due: make(chan struct{}, 1), opened: make(chan struct{})}
}

// connected sets the client for questions, or nil when the connection is closed.
func (l *originLink) connected(c fescuev1.ResidencyClient) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.client = c
	l.open.Do(func() { close(l.opened) })
}

// connection returns the client for questions, or nil if there is no connection. It waits
// for the first one, which an entry opens a few milliseconds after it has learned of the
// server, until ctx ends.
func (l *originLink) connection(ctx context.Context) fescuev1.ResidencyClient {
	select {
	case <-ctx.Done():
		return nil
	case <-l.opened:
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.client
}

// addSenders changes the number of goroutines that send updates to the sidecar.
func (l *originLink) addSenders(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.senders += n
}

// add keeps an origin, which goes with the next update. If atOnce is set and the sidecar
// is connected, it makes that update due and reports true.
func (l *originLink) add(r origin.Record, atOnce bool) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.trim(r.At)
	l.records = append(l.records, r)
	if !atOnce || l.senders == 0 {
		return false
	}
	l.makeDue()
	return true
}

// makeDue makes the next update due at once.
func (l *originLink) makeDue() {
	select {
	case l.due <- struct{}{}:
	default:
	}
}

// trim drops the origins that are older than origin.Retention, and the oldest one while
// there are maxLinkOrigins. The caller holds mu.
func (l *originLink) trim(now time.Time) {
	n := 0
	for n < len(l.records) && (now.Sub(l.records[n].At) > origin.Retention || len(l.records)-n >= maxLinkOrigins) {
		n++
	}
	l.records = slices.Delete(l.records, 0, n)
	l.first += n
}

// since returns the origins from the given position on, grouped for a message, and the
// position to continue from. Position 0 is the oldest origin that is kept.
func (l *originLink) since(position int) (origins []*fescuev1.StreamOrigins, next int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	groups := map[origin.Origin]*fescuev1.StreamOrigins{}
	for _, r := range l.records[min(max(position-l.first, 0), len(l.records)):] {
		g := groups[r.Origin]
		if g == nil {
			g = &fescuev1.StreamOrigins{Service: r.Origin.Service, SoftwareVersion: r.Origin.SoftwareVersion}
			groups[r.Origin] = g
			origins = append(origins, g)
		}
		g.Streams = append(g.Streams, uint64(r.Stream))
	}
	return origins, l.first + len(l.records)
}
