package upstream

import "net/http"

// Framing is how a response marks the end of its body.
type Framing uint8

// Framings of responses.
const (
	// FramedByLength means that the length of the body is known from the head. Responses
	// that cannot have a body count as such.
	FramedByLength Framing = iota + 1
	// FramedByChunks means that a last chunk ends the body.
	FramedByChunks
	// FramedByClose means that the end of the connection ends the body. A sender that
	// stops early closes the connection as well.
	FramedByClose
)

// String returns the name of the framing used in logs.
func (f Framing) String() string {
	switch f {
	case FramedByLength:
		return "length"
	case FramedByChunks:
		return "chunks"
	case FramedByClose:
		return "close"
	default:
		return "none"
	}
}

// FramingOf returns the framing of a response that was read by net/http.
func FramingOf(r *http.Response) Framing {
	switch {
	case r.ContentLength >= 0 || r.Body == http.NoBody:
		return FramedByLength
	case len(r.TransferEncoding) > 0:
		return FramedByChunks
	default:
		return FramedByClose
	}
}
