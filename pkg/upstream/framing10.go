package upstream

import (
	"bufio"
	"bytes"
	"net/http"
	"net/textproto"

	"github.com/cockroachdb/errors"
)

// versionHTTP10 begins the head of a response of HTTP/1.0.
const versionHTTP10 = "HTTP/1.0 "

// checkHTTP10 returns an error, marked ErrMalformed, if the next response is one of HTTP/1.0 with a
// Transfer-Encoding, which that version does not have. net/http drops the field, so that chunks
// would reach the caller as they are. The head must fit into the buffer of the reader. What cannot be
// read is left to net/http.
func checkHTTP10(r *bufio.Reader) error {
	version, err := r.Peek(len(versionHTTP10))
	if err != nil || string(version) != versionHTTP10 {
		return nil //nolint:nilerr // net/http returns the error
	}
	head, err := peekHead(r)
	if err != nil {
		if errors.Is(err, bufio.ErrBufferFull) {
			return errors.Wrap(ErrMalformed, "the head of an HTTP/1.0 response is too large to be checked")
		}
		return nil
	}
	if hasTransferEncoding(head) {
		return errors.Wrap(ErrMalformed, "Transfer-Encoding in an HTTP/1.0 response")
	}
	return nil
}

// peekHead returns the bytes up to the blank line that ends the next head, without reading them. It
// returns bufio.ErrBufferFull if they do not fit into the buffer.
func peekHead(r *bufio.Reader) ([]byte, error) {
	for {
		head, _ := r.Peek(r.Buffered()) // what is buffered can be read
		if end := headEnd(head); end > 0 {
			return head[:end], nil
		}
		if _, err := r.Peek(len(head) + 1); err != nil {
			return nil, err //nolint:wrapcheck // only compared
		}
	}
}

// headEnd returns the length of the head at the start of some bytes, or 0 if its end is missing.
// Lines end in CRLF or LF.
func headEnd(b []byte) int {
	for i := 0; i < len(b); {
		size := bytes.IndexByte(b[i:], '\n') + 1
		if size == 0 {
			return 0
		}
		if len(bytes.TrimRight(b[i:i+size], "\r\n")) == 0 {
			return i + size
		}
		i += size
	}
	return 0
}

// hasTransferEncoding reports whether a head names a transfer coding.
func hasTransferEncoding(head []byte) bool {
	_, fields, _ := bytes.Cut(head, []byte("\n"))
	h, err := textproto.NewReader(bufio.NewReader(bytes.NewReader(fields))).ReadMIMEHeader()
	return err == nil && len(http.Header(h).Values("Transfer-Encoding")) > 0
}
