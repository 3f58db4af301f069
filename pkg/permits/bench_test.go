package permits

import (
	"fmt"
	"testing"
	"time"

	"github.com/fescuecourse/fescuecourse/pkg/ident"
)

// BenchmarkPermits measures one release with the grant that follows it, and a new
// request of the released endpoint, while every endpoint has a request.
func BenchmarkPermits(b *testing.B) {
	for _, endpoints := range []int{1, 10, 100, 1000, 2800} {
		b.Run(fmt.Sprint(endpoints), func(b *testing.B) {
			now := time.Unix(0, 0)
			c := New(Config{MaxConcurrent: 1, GrantTTL: time.Minute})
			var held []Key
			for i := range endpoints {
				k := Key{Endpoint: ident.EndpointID(fmt.Sprint(i)), Adapter: ident.Adapter{Team: "t", Name: "a", Version: "1"}}
				held = append(held, c.Request(now, Request{Key: k, Waiting: i%7 + 1, Weight: 1, Priority: ident.PriorityNormal})...)
			}
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(time.Millisecond)
				k := held[0]
				held = append(held[:0], c.Release(now, k)...)
				held = append(held, c.Request(now, Request{Key: k, Waiting: 1, Weight: 1, Priority: ident.PriorityNormal})...)
			}
		})
	}
}
