package bus_test

import (
	"context"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/fescuecourse/fescuecourse/pkg/bus"
	"github.com/fescuecourse/fescuecourse/pkg/invariant"
)

func start(tb testing.TB, b *bus.Bus) {
	tb.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- b.Run(ctx) }()
	<-b.Running()
	tb.Cleanup(func() {
		cancel()
		assert.NilError(tb, <-done)
	})
}

// Guards against lost or reordered control events. If an older status report is handled
// after a newer one, the outdated set of resident adapters replaces the current one.
func TestTopicKeepsOrder(t *testing.T) {
	b, err := bus.New()
	assert.NilError(t, err)
	topic := bus.NewTopic[int](b, "numbers")
	const events = 500
	got := make(chan int, events)
	topic.Handle("collect", func(n int) { got <- n })
	start(t, b)
	for i := range events {
		assert.NilError(t, topic.Publish(i))
	}
	for want := range events {
		assert.Equal(t, <-got, want)
	}
}

// BenchmarkTopicHop measures the delivery of one event over a topic, which would be
// the cost per frame if requests were sent over the bus.
func BenchmarkTopicHop(b *testing.B) {
	bs, err := bus.New()
	assert.NilError(b, err)
	topic := bus.NewTopic[int](bs, "numbers")
	topic.Handle("collect", func(int) {})
	start(b, bs)
	for b.Loop() {
		assert.NilError(b, topic.Publish(1))
	}
}

// BenchmarkChannelHop measures the alternative to a topic, a channel to a goroutine.
func BenchmarkChannelHop(b *testing.B) {
	in, got := make(chan int), make(chan int)
	go func() {
		for n := range in {
			got <- n
		}
	}()
	for b.Loop() {
		in <- 1
		<-got
	}
	close(in)
}

// Guards against control that stops after an event that its handler cannot bear: the event was
// delivered again and again, and those that followed were never handled.
func TestPanicHoldsUpNoLaterEvent(t *testing.T) {
	b, err := bus.New()
	assert.NilError(t, err)
	topic := bus.NewTopic[int](b, "numbers")
	got := make(chan int, 3)
	topic.Handle("collect", func(n int) {
		if n == 1 {
			panic("fault in a handler")
		}
		got <- n
	})
	start(t, b)
	before := invariant.Violations()
	for i := range 3 {
		assert.NilError(t, topic.Publish(i))
	}
	assert.Equal(t, <-got, 0)
	assert.Equal(t, <-got, 2)
	assert.Equal(t, invariant.Violations(), before+1)
}
