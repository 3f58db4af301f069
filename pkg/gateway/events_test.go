package gateway

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against events that are held back, or forwarded in part, because of the line ends
// that their server uses, and against resuming after an event that was not forwarded.
func TestCompleteEvents(t *testing.T) {
	rows := []struct {
		part string
		// complete is the length of the complete events.
		complete int
		inside   bool
		id       string
	}{
		{"", 0, false, ""},
		{"\n", 1, false, ""},
		{"id: 1\n", 0, true, ""},
		{"id: 1\n\n", 7, false, "1"},
		{"id: 1\n\nid: 2\n", 7, true, "1"},
		{"id: 1\n\nid: 2\ndata\n\nid", 19, true, "2"},
		{"id: 1\r\n\r\n", 9, false, "1"},
		{"id: 1\r\n\r", 0, true, ""},
		{"id: 1\r\ndata\r\n\r\nid: 2\r\n", 15, true, "1"},
		{"id: 1\r\r", 7, false, "1"},
		{"id: 1\rdata\r\rid: 2\r", 12, true, "1"},
		{"id: 1\n\r\n", 8, false, "1"},
		{"\nid:7\n\n", 7, false, "7"},
		{"data\n\n\n\n", 8, false, ""},
		{": comment\n\nid", 11, true, ""},
	}
	for _, r := range rows {
		n := completeEvents([]byte(r.part))
		assert.Equal(t, n, r.complete, "%q", r.part)
		assert.Equal(t, insideEvent([]byte(r.part[n:])), r.inside, "%q", r.part)
		assert.Equal(t, lastID([]byte(r.part[:n])), r.id, "%q", r.part)
	}
}

// Guards against a response of another type on a streaming route that is taken for a stream
// that broke off.
func TestIsEventStream(t *testing.T) {
	for value, want := range map[string]bool{
		"":                                 true,
		"text/event-stream":                true,
		"Text/Event-Stream; charset=utf-8": true,
		"application/json":                 false,
		"text/":                            false,
	} {
		h := http.Header{}
		if value != "" {
			h.Set("Content-Type", value)
		}
		assert.Equal(t, isEventStream(h), want, "%q", value)
	}
}
