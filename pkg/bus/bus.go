// Package bus carries typed control events over watermill topics inside one
// process. Requests do not travel on the bus.
package bus

import (
	"context"

	"github.com/ThreeDotsLabs/watermill"
	"github.com/ThreeDotsLabs/watermill/message"
	"github.com/ThreeDotsLabs/watermill/message/router/middleware"
	"github.com/ThreeDotsLabs/watermill/pubsub/gochannel"
	"github.com/cockroachdb/errors"
)

// Bus is a set of in-process topics with one router.
type Bus struct {
	pubsub *gochannel.GoChannel
	router *message.Router
}

// New returns a bus. Handlers must be added before Run.
func New() (*Bus, error) {
	logger := watermill.NopLogger{}
	router, err := message.NewRouter(message.RouterConfig{}, logger)
	if err != nil {
		return nil, errors.Wrap(err, "create router")
	}
	router.AddMiddleware(middleware.Recoverer)
	// Without waiting for the acknowledgement, watermill delivers each message
	// from a goroutine of its own and the order of events is lost.
	config := gochannel.Config{BlockPublishUntilSubscriberAck: true, PreserveContext: true}
	pubsub := gochannel.NewGoChannel(config, logger)
	return &Bus{pubsub: pubsub, router: router}, nil
}

// Run delivers events until ctx ends.
func (b *Bus) Run(ctx context.Context) error {
	err := b.router.Run(ctx)
	return errors.CombineErrors(err, b.pubsub.Close())
}

// Running is closed once all handlers are subscribed. Events published earlier are lost.
func (b *Bus) Running() <-chan struct{} { return b.router.Running() }

type valueKey struct{}

// Topic is a named stream of events of type T.
type Topic[T any] struct {
	bus  *Bus
	name string
}

// NewTopic returns the topic of the given name.
func NewTopic[T any](b *Bus, name string) Topic[T] { return Topic[T]{bus: b, name: name} }

// Publish sends an event to all handlers of the topic and returns when they have
// handled it, so events of one publisher keep their order. The value is passed
// by reference and must not be changed afterwards. Events have no ids of their
// own: nothing reads them, and a random id would cost more than the delivery.
func (t Topic[T]) Publish(v T) error {
	msg := message.NewMessage(t.name, nil)
	msg.SetContext(context.WithValue(context.Background(), valueKey{}, v))
	return errors.Wrapf(t.bus.pubsub.Publish(t.name, msg), "publish to %s", t.name)
}

// Handle calls fn for every event, one at a time.
func (t Topic[T]) Handle(handler string, fn func(T)) {
	t.bus.router.AddConsumerHandler(handler, t.name, t.bus.pubsub, func(msg *message.Message) error {
		if v, ok := msg.Context().Value(valueKey{}).(T); ok {
			fn(v)
		}
		return nil
	})
}
