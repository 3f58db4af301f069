package upstream

import (
	"io"

	"github.com/cockroachdb/errors"
)

// ErrBodyTooLarge means that a body is longer than its reader allows.
var ErrBodyTooLarge = errors.New("the body is too large")

// MaxHeadBytes limits the head of a response that an http.Transport reads.
const MaxHeadBytes = maxHeadBytes

// ReadBody reads a body to its end. A body of more than limit bytes is an error marked
// ErrBodyTooLarge, so that a part of it is never taken for the whole.
func ReadBody(body io.Reader, limit int64) ([]byte, error) {
	text, err := io.ReadAll(io.LimitReader(body, limit+1))
	if err != nil {
		return nil, errors.Wrap(err, "read body")
	}
	if int64(len(text)) > limit {
		return nil, errors.Wrapf(ErrBodyTooLarge, "more than %d bytes", limit)
	}
	return text, nil
}
