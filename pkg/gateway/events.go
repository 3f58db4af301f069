package gateway

import (
	"bytes"
	"mime"
	"net/http"
	"slices"
	"strconv"
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
	return h.Get("Content-Type") == "" || mediaType(h) == eventStreamType
}

// mediaType returns the media type of a response, or an empty string if it declares none.
func mediaType(h http.Header) string {
	declared, _, err := mime.ParseMediaType(h.Get("Content-Type"))
	if err != nil {
		return ""
	}
	return declared
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

// validEvents returns the length of the events at the start of a series of complete events that
// follow the syntax of event streams: each line is a comment, a name with a value, or one of the
// known names alone. The first event, comments aside, must have an id that comes after the given
// one, unless that is empty.
func validEvents(events []byte, after string) int {
	valid := 0
	for valid < len(events) {
		size := firstEventBytes(events[valid:])
		event := events[valid : valid+size]
		if !isEvent(event) {
			return valid
		}
		if after != "" && hasFields(event) {
			if !comesAfter(lastID(event), after) {
				return valid
			}
			after = ""
		}
		valid += size
	}
	return valid
}

// firstEventBytes returns the length of the first of a series of complete events.
func firstEventBytes(events []byte) int {
	lineStart := 0
	for i := 0; i < len(events); {
		width := lineEndWidth(events, i)
		if width < 0 {
			width = 1 // a last CR that ends an event
		}
		if width == 0 {
			i++
			continue
		}
		blank := i == lineStart
		i += width
		lineStart = i
		if blank {
			return i
		}
	}
	return len(events)
}

func eventLines(event []byte) [][]byte {
	return bytes.FieldsFunc(event, func(r rune) bool { return r == '\n' || r == '\r' })
}

func isEvent(event []byte) bool {
	for _, line := range eventLines(event) {
		if !isEventLine(line) {
			return false
		}
	}
	return true
}

// hasFields reports whether an event has more than comments.
func hasFields(event []byte) bool {
	return slices.ContainsFunc(eventLines(event), func(line []byte) bool { return line[0] != ':' })
}

// isEventLine reports whether a line that is not empty may be part of an event.
func isEventLine(line []byte) bool {
	name, _, hasValue := bytes.Cut(line, []byte(":"))
	if !hasValue {
		return slices.Contains([]string{"data", "event", "id", "retry"}, string(name))
	}
	return !bytes.ContainsFunc(name, func(c rune) bool {
		letter := c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z'
		return !letter && (c < '0' || c > '9') && c != '-' && c != '_'
	})
}

// comesAfter reports whether an event with the given id may follow the one with the other id.
// Ids increase where both are numbers.
func comesAfter(id, other string) bool {
	n, err := strconv.ParseUint(id, 10, 64)
	m, otherErr := strconv.ParseUint(other, 10, 64)
	if err != nil || otherErr != nil {
		return id != "" && id != other
	}
	return n > m
}
