// Package bus delivers typed control events over watermill topics within one
// process. Requests are not sent over the bus.
package bus

import (
	"context"
	"runtime/debug"

	"github.com/ThreeDotsLabs/watermill"
	"github.com/ThreeDotsLabs/watermill/message"
	"github.com/ThreeDotsLabs/watermill/pubsub/gochannel"
	"github.com/cockroachdb/errors"

	"github.com/fescuecourse/fescuecourse/pkg/invariant"
)

// Bus is a set of in-process topics with a router that delivers their events.
type Bus struct {
	pubsub *gochannel.GoChannel
	router *message.Router
}

// New returns a bus. Handlers must be added before Run. If a handler panics, the event counts
// as handled: delivered again, it would cause the next panic and hold up all that follow.
func New() (*Bus, error) {
	logger := watermill.NopLogger{}
	router, err := message.NewRouter(message.RouterConfig{}, logger)
	if err != nil {
		return nil, errors.Wrap(err, "create router")
	}
	// If Publish did not wait for the acknowledgement, watermill would deliver each
	// message in a separate goroutine and the order of events would be lost.
	config := gochannel.Config{BlockPublishUntilSubscriberAck: true, PreserveContext: true}
	pubsub := gochannel.NewGoChannel(config, logger)
	return &Bus{pubsub: pubsub, router: router}, nil
}

// Run delivers events until ctx ends. It then closes the topics.
func (b *Bus) Run(ctx context.Context) error {
	err := b.router.Run(ctx)
	return errors.CombineErrors(err, b.pubsub.Close())
}

// Running returns a channel that is closed once all handlers are subscribed. Events
// published earlier are lost.
func (b *Bus) Running() <-chan struct{} { return b.router.Running() }

// valueKey is the context key of the event in a watermill message.
type valueKey struct{}

// Topic is a named stream of events of type T.
type Topic[T any] struct {
	bus  *Bus
	name string
}

// NewTopic returns the topic with the given name.
func NewTopic[T any](b *Bus, name string) Topic[T] { return Topic[T]{bus: b, name: name} }

// Publish sends an event to all handlers of the topic. It returns when they have
// handled it, so that events of one publisher keep their order. Handlers receive v
// itself, so the data that it refers to must not be changed afterwards. All messages
// of a topic have the same ID: nothing reads it, and generating a random ID would cost
// more than the delivery.
func (t Topic[T]) Publish(v T) error {
	msg := message.NewMessage(t.name, nil)
	msg.SetContext(context.WithValue(context.Background(), valueKey{}, v))
	return errors.Wrapf(t.bus.pubsub.Publish(t.name, msg), "publish to %s", t.name)
}

// Handle adds a handler that calls fn for every event, one at a time. The handler
// name must be unique in the bus.
func (t Topic[T]) Handle(handler string, fn func(T)) {
	t.bus.router.AddConsumerHandler(handler, t.name, t.bus.pubsub, func(msg *message.Message) error {
		if v, ok := msg.Context().Value(valueKey{}).(T); ok {
			defer t.recover()
			fn(v)
		}
		return nil
	})
}

// recover ends a panic of a handler of the topic.
func (t Topic[T]) recover() {
	if p := recover(); p != nil {
		invariant.Check(false, invariant.NoPanic, "handler of %s: %v\n%s", t.name, p, debug.Stack())
	}
}
