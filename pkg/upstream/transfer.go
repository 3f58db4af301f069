package upstream

import "slices"

// writePieceBytes is the largest part of a body that is written at once.
const writePieceBytes = 64 << 10

// transferReader and transferWriter call transferred for the bytes of a connection.
type (
	transferReader struct{ c *Conn }
	transferWriter struct{ c *Conn }
)

func (t transferReader) Read(p []byte) (int, error) {
	n, err := t.c.net.Read(p)
	if n > 0 {
		t.c.transferred()
	}
	return n, err //nolint:wrapcheck // a transparent reader
}

// Write writes in pieces, so that a long body shows its progress.
func (t transferWriter) Write(p []byte) (int, error) {
	written := 0
	for piece := range slices.Chunk(p, writePieceBytes) {
		n, err := t.c.net.Write(piece)
		written += n
		if err != nil {
			return written, err //nolint:wrapcheck // a transparent writer
		}
		t.c.transferred()
	}
	return written, nil
}

func (c *Conn) transferred() {
	if c.onTransfer != nil {
		c.onTransfer()
	}
}
