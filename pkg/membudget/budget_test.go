package membudget

import (
	"bytes"
	"io"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// Guards against a buffer that loses or repeats bytes, exceeds its limit or keeps a part of the
// budget.
func TestBufferHoldsWhatWasRead(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.IntRange(0, 300<<10).Draw(t, "size")
		limit := rapid.IntRange(0, 300<<10).Draw(t, "limit")
		whole := make([]byte, size)
		for i := range whole {
			whole[i] = byte(i * 7 >> 3)
		}
		readers := map[string]func(io.Reader) io.Reader{
			"whole": func(r io.Reader) io.Reader { return r }, "halves": iotest.HalfReader, "end with data": iotest.DataErrReader,
		}
		wrap := readers[rapid.SampledFrom([]string{"whole", "halves", "end with data"}).Draw(t, "reader")]
		budget := New(1 << 20)
		b := NewBuffer(budget, -1)
		err := b.Fill(wrap(bytes.NewReader(whole)), int64(limit))
		assert.Equal(t, errors.Is(err, ErrTooLong), size > limit)
		got := bytes.Join(b.Blocks(), nil)
		assert.Assert(t, bytes.HasPrefix(whole, got))
		assert.Equal(t, int64(len(got)), b.Len())
		assert.Assert(t, size > limit || len(got) == size)
		assert.Assert(t, budget.Used() <= int64(2*len(got)+firstBlockBytes), "%d bytes reserved for %d", budget.Used(), len(got))
		assert.Assert(t, bytes.Equal(b.Bytes(), got))
		var written bytes.Buffer
		_, err = b.WriteTo(&written)
		assert.NilError(t, err)
		assert.Assert(t, bytes.Equal(written.Bytes(), got))
		b.Release()
		assert.Equal(t, budget.Used(), int64(0))
	})
}

// Guards against buffers that together exceed their budget, and against small ones for which
// large ones leave nothing.
func TestLargeBuffersLeaveRoomForSmallOnes(t *testing.T) {
	budget := New(4 << 20)
	failed := 0
	for range 100 {
		if err := NewBuffer(budget, 1<<20).Fill(strings.NewReader(strings.Repeat("x", 1<<20)), 1<<30); err != nil {
			assert.ErrorIs(t, err, ErrNoBudget)
			failed++
		}
	}
	assert.Assert(t, failed > 0 && failed < 100)
	assert.Assert(t, budget.Used() <= 4<<20)
	for range 10 {
		assert.NilError(t, NewBuffer(budget, -1).Fill(strings.NewReader(strings.Repeat("x", 20<<10)), 1<<30))
	}
}

// Guards against an error of the reader that looks like the end of the data.
func TestBrokenReaderIsAnError(t *testing.T) {
	b := NewBuffer(New(1<<20), -1)
	broken := io.MultiReader(strings.NewReader("part"), iotest.ErrReader(io.ErrUnexpectedEOF))
	assert.ErrorIs(t, b.Fill(broken, 100), io.ErrUnexpectedEOF)
	assert.Equal(t, b.Len(), int64(4))
}

// pipeBuffer is a buffer that is filled from a pipe.
type pipeBuffer struct {
	*Buffer
	in  *io.PipeWriter
	err chan error
}

func fillFromPipe(b *Budget, expected int64) *pipeBuffer {
	out, in := io.Pipe()
	p := &pipeBuffer{Buffer: NewBuffer(b, expected), in: in, err: make(chan error, 1)}
	p.Preemptible(func() { go out.CloseWithError(io.ErrUnexpectedEOF) })
	go func() {
		err := p.Fill(out, expected)
		if err != nil {
			p.Release()
			out.Close()
		}
		p.err <- err
	}()
	return p
}

func (p *pipeBuffer) write(t *testing.T, n int64) {
	t.Helper()
	_, err := p.in.Write(make([]byte, n))
	assert.NilError(t, err)
}

// Guards against buffers that all fail although some of them would fit: what has nearly arrived
// is given up for what has just begun, or both are.
func TestBufferThatMissesLessIsKept(t *testing.T) {
	const size = 256 << 10
	budget := New(size * 17 / 10)
	near, far := fillFromPipe(budget, size), fillFromPipe(budget, size)
	near.write(t, 200<<10)
	far.write(t, 40<<10)
	go near.in.Write(make([]byte, 56<<10))
	time.Sleep(10 * time.Millisecond)
	near.in.Close()
	assert.NilError(t, <-near.err)
	far.in.Write(make([]byte, size-40<<10)) // fails once the buffer has given up
	assert.ErrorIs(t, <-far.err, ErrNoBudget)
	near.Release()
	assert.Equal(t, budget.Used(), int64(0))
}

// Guards against buffers that get no bytes and keep the memory that others need.
func TestStalledBufferMakesRoom(t *testing.T) {
	const size = 256 << 10
	budget := New(size * 17 / 10)
	stalled := fillFromPipe(budget, size)
	stalled.write(t, 200<<10)
	time.Sleep(stallTime + 50*time.Millisecond)
	b := NewBuffer(budget, size)
	b.Preemptible(func() { t.Error("the buffer that gets bytes was preempted") })
	assert.NilError(t, b.Fill(bytes.NewReader(make([]byte, size)), size))
	assert.ErrorIs(t, <-stalled.err, ErrNoBudget)
	b.Release()
	assert.Equal(t, budget.Used(), int64(0))
}
