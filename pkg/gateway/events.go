package gateway

import (
	"bytes"
	"mime"
	"net/http"
)

const eventStreamType = "text/event-stream"

var eventIDName = []byte("id:")

// completeEvents returns the length of the complete events at the start of a part of an
// event stream. A blank line ends an event, and LF, CRLF or CR end a line. A CR at the end of
// the part is taken for the beginning of a CRLF, unless the line before ends in CR alone.
func completeEvents(part []byte) int {
	end, lineStart := 0, 0
	for i := 0; i < len(part); {
		width := lineEndWidth(part, i)
		switch {
		case width < 0:
			return end
		case width == 0:
			i++
			continue
		case i == lineStart:
			end = i + width
		}
		i += width
		lineStart = i
	}
	return end
}

// lineEndWidth returns the length of the line end at part[i], 0 if there is none, or -1 if
// the rest of it may be missing.
func lineEndWidth(part []byte, i int) int {
	switch {
	case part[i] == '\n':
		return 1
	case part[i] != '\r':
		return 0
	case i+1 < len(part) && part[i+1] == '\n':
		return 2
	case i+1 == len(part) && (i == 0 || part[i-1] != '\r'):
		return -1
	default:
		return 1
	}
}

// insideEvent reports whether a stream that ends with the given rest, which follows its last
// complete event, has broken off.
func insideEvent(rest []byte) bool { return len(bytes.Trim(rest, "\r\n")) > 0 }

// isEventStream reports whether a response declares that its body consists of events, or
// does not declare what it consists of.
func isEventStream(h http.Header) bool {
	declared := h.Get("Content-Type")
	if declared == "" {
		return true
	}
	mediaType, _, err := mime.ParseMediaType(declared)
	return err == nil && mediaType == eventStreamType
}

// lastID returns the id of the last event that has one, or an empty string.
func lastID(events []byte) string {
	lines := bytes.FieldsFunc(events, func(r rune) bool { return r == '\n' || r == '\r' })
	for i := len(lines) - 1; i >= 0; i-- {
		if id, ok := bytes.CutPrefix(lines[i], eventIDName); ok {
			return string(bytes.TrimSpace(id))
		}
	}
	return ""
}
