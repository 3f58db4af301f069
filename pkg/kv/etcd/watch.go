package etcd

import (
	"context"
	"encoding/json"
	"io"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fescuecourse/fescuecourse/pkg/kv"
)

// Watch implements kv.Store. It asks for notifications of progress. A service
// that sends them less often than the silence limit lets an idle watch end at
// that limit; the caller lists and watches again.
func (c *Client) Watch(ctx context.Context, prefix string, revision int64) (<-chan kv.Event, error) {
	ctx, cancel := context.WithCancel(ctx)
	idle := time.AfterFunc(c.opts.CallTimeout, cancel)
	stream := &watchStream{cancel: cancel, idle: idle, silence: c.opts.WatchIdleTimeout}
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
	stream.decoder = json.NewDecoder(body)
	first, err := stream.next()
	if err != nil || !first.Created {
		stream.stop()
		return nil, c.unavailable(errors.CombineErrors(err, errors.New("watch was not created")))
	}
	out := make(chan kv.Event)
	go stream.run(ctx, out, first.Events)
	return out, nil
}

type watchStream struct {
	cancel  context.CancelFunc
	idle    *time.Timer
	silence time.Duration
	body    io.ReadCloser
	decoder *json.Decoder
}

// next reads one message. The connection is closed if it takes longer than the
// silence limit.
func (s *watchStream) next() (*WatchResult, error) {
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
		// The time that the consumer takes is not silence of the connection.
		s.idle.Stop()
		if !send(ctx, out, events) {
			return
		}
		s.idle.Reset(s.silence)
		result, err := s.next()
		if err != nil {
			return
		}
		events = result.Events
	}
}

func (s *watchStream) stop() {
	s.idle.Stop()
	s.cancel()
	if s.body != nil {
		s.body.Close()
	}
}

func send(ctx context.Context, out chan<- kv.Event, events []Event) bool {
	for i := range events {
		select {
		case out <- event(&events[i]):
		case <-ctx.Done():
			return false
		}
	}
	return true
}

func event(e *Event) kv.Event {
	if e.Type == EventDelete {
		return kv.Event{Type: kv.EventDelete, Pair: e.KV.Pair()}
	}
	return kv.Event{Type: kv.EventPut, Pair: e.KV.Pair()}
}
