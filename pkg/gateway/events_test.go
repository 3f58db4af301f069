package gateway

import (
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
		id       string
	}{
		{"", 0, ""},
		{"\n", 1, ""},
		{"id: 1\n", 0, ""},
		{"id: 1\n\n", 7, "1"},
		{"id: 1\n\nid: 2\n", 7, "1"},
		{"id: 1\n\nid: 2\ndata\n\nid", 19, "2"},
		{"id: 1\r\n\r\n", 9, "1"},
		{"id: 1\r\n\r", 0, ""},
		{"id: 1\r\ndata\r\n\r\nid: 2\r\n", 15, "1"},
		{"id: 1\r\r", 7, "1"},
		{"id: 1\rdata\r\rid: 2\r", 12, "1"},
		{"id: 1\n\r\n", 8, "1"},
		{"\nid:7\n\n", 7, "7"},
		{"data\n\n\n\n", 8, ""},
		{": comment\n\nid", 11, ""},
	}
	for _, r := range rows {
		n := completeEvents([]byte(r.part))
		assert.Equal(t, n, r.complete, "%q", r.part)
		assert.Equal(t, lastID([]byte(r.part[:n])), r.id, "%q", r.part)
	}
}
