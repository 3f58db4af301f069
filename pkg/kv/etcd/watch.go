package etcd

import (
	"context"
	"encoding/json"
	"io"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fescuecourse/fescuecourse/pkg/kv"
)

// Watch implements kv.Store. It requests progress notifications, which keep a watch
// without changes open. If the server sends them less often than WatchIdleTimeout, the
// watch ends after that time, and the caller must list and watch again.
func (c *Client) Watch(ctx context.Context, prefix string, revision int64) (<-chan kv.Event, error) {
	ctx, cancel := context.WithCancel(ctx)
	idleTimer := time.AfterFunc(c.opts.CallTimeout, cancel)
	stream := &watchStream{cancel: cancel, idleTimer: idleTimer, idleTimeout: c.opts.WatchIdleTimeout}
	req := WatchRequest{Create: WatchCreateRequest{
		Key:            []byte(prefix),
		RangeEnd:       PrefixEnd(prefix),
		StartRevision:  revision,
		ProgressNotify: true,
	}}
	body, err := c.post(ctx, PathWatch, req)
	if err != nil {
		stream.stop()
		return nil, err
	}
	stream.body = body
	stream.limiter = &messageLimiter{r: body}
	stream.decoder = json.NewDecoder(stream.limiter)
	first, err := stream.next()
	if err != nil || !first.Created {
		stream.stop()
		return nil, c.unavailable(errors.CombineErrors(err, errors.New("watch was not created")))
	}
	out := make(chan kv.Event)
	go stream.run(ctx, out, first.Events)
	return out, nil
}

// watchStream is the response stream of one watch.
type watchStream struct {
	cancel      context.CancelFunc
	idleTimer   *time.Timer
	idleTimeout time.Duration
	body        io.ReadCloser
	limiter     *messageLimiter
	decoder     *json.Decoder
}

// messageLimiter limits the bytes that are read for one message to maxReplyBytes.
type messageLimiter struct {
	r    io.Reader
	left int
}

var errMessageTooLarge = errors.New("a message of the watch is too large")

func (l *messageLimiter) Read(p []byte) (int, error) {
	if l.left <= 0 {
		return 0, errMessageTooLarge
	}
	n, err := l.r.Read(p[:min(len(p), l.left)])
	l.left -= n
	return n, err //nolint:wrapcheck // a transparent reader
}

// next reads one message. The idle timer closes the connection if none arrives in
// time.
func (s *watchStream) next() (*WatchResult, error) {
	s.limiter.left = maxReplyBytes
	var resp WatchResponse
	if err := s.decoder.Decode(&resp); err != nil {
		return nil, errors.Wrap(err, "read watch")
	}
	if resp.Result == nil || resp.Result.Canceled {
		return nil, errors.New("watch cancelled by the service")
	}
	return resp.Result, nil
}

func (s *watchStream) run(ctx context.Context, out chan<- kv.Event, events []Event) {
	defer close(out)
	defer s.stop()
	for {
		// The timer is stopped while the consumer receives the events, because only
		// the wait for the server counts as idle time.
		s.idleTimer.Stop()
		if !sendEvents(ctx, out, events) {
			return
		}
		s.idleTimer.Reset(s.idleTimeout)
		result, err := s.next()
		if err != nil {
			return
		}
		events = result.Events
	}
}

func (s *watchStream) stop() {
	s.idleTimer.Stop()
	s.cancel()
	if s.body != nil {
		s.body.Close()
	}
}

func sendEvents(ctx context.Context, out chan<- kv.Event, events []Event) bool {
	for i := range events {
		select {
		case out <- toEvent(&events[i]):
		case <-ctx.Done():
			return false
		}
	}
	return true
}

func toEvent(e *Event) kv.Event {
	if e.Type == EventDelete {
		return kv.Event{Type: kv.EventDelete, Pair: e.KV.Pair()}
	}
	return kv.Event{Type: kv.EventPut, Pair: e.KV.Pair()}
}
