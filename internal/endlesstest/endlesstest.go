// Package endlesstest checks that a client bounds what a server sends without end.
package endlesstest

import (
	"runtime"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fescuecourse/fescuecourse/standin/endless"
)

const (
	// maxCallTime limits the time of a call.
	maxCallTime = 3 * time.Second
	// maxAllocated limits the memory that a call allocates: a few times the largest body
	// that a client reads.
	maxAllocated = 400 << 20
)

// response is a response that does not end.
type response struct{ name, beginning, rest string }

func responses() []response {
	const head = "HTTP/1.1 200 OK\r\n"
	return []response{
		{"status line", "", "H"},
		{"header line", head + "X: ", "a"},
		{"headers", head, "X: a\r\n"},
		{"string", head + "\r\n{\"a\":\"", "a"},
		{"spaces", head + "\r\n", " "},
		{"chunks", head + "Transfer-Encoding: chunked\r\n\r\n", "1\r\n \r\n"},
	}
}

// Check calls a client of a server whose responses do not end. The call must fail, in a
// limited time and with a limited amount of memory, and close its connection.
func Check(t *testing.T, call func(address string) error) {
	t.Helper()
	for _, r := range responses() {
		t.Run(r.name, func(t *testing.T) {
			s, err := endless.NewServer(r.beginning, r.rest)
			assert.NilError(t, err)
			defer s.Close()
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			began := time.Now()
			err = call(s.Address())
			took := time.Since(began)
			runtime.ReadMemStats(&after)
			assert.Check(t, err != nil, "the call succeeds")
			assert.Check(t, took < maxCallTime, "the call takes %v", took)
			allocated := after.TotalAlloc - before.TotalAlloc
			assert.Check(t, allocated < maxAllocated, "%d MiB allocated", allocated>>20)
			select {
			case <-s.Lost():
			case <-time.After(time.Second):
				t.Error("the server keeps its connection")
			}
		})
	}
}
