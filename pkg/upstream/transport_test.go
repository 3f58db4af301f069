package upstream

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"
)

// Guards against a client that uses net/http without the checks of a Transport.
func TestClientsUseATransport(t *testing.T) {
	for _, hc := range []*http.Client{{}, {Transport: &http.Transport{}}, {Transport: http.NewFileTransport(nil)}} {
		_, ok := Client(hc).Transport.(*Transport)
		assert.Check(t, ok)
	}
	hc := &http.Client{Transport: NewTransport(&http.Transport{})}
	assert.Check(t, Client(hc) == hc)
}

// Guards against a part of a response that looks whole to clients that use net/http.
func TestResetDuringAnUploadOfATransport(t *testing.T) {
	hc := Client(&http.Client{})
	for range endRuns {
		address := earlyServer(t, "HTTP/1.1 200 OK\r\n\r\npart", func(c *net.TCPConn) { _ = c.SetLinger(0) })
		resp, err := hc.Post("http://"+address, "text/plain", bytes.NewReader(make([]byte, largeBodyBytes)))
		if err != nil {
			continue
		}
		body, err := io.ReadAll(resp.Body)
		resp.Body.Close()
		assert.Check(t, err != nil, "%q", body)
	}
}

// Guards against a trailer whose fields are malformed and whose response counts as whole.
func TestMalformedTrailer(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nId: r1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n"
	for trailer, sound := range map[string]bool{"": true, "Good: v\r\n": true, "Bad Name: v\r\n": false} {
		address := startServer(t, func(_ int, c net.Conn, r *bufio.Reader) {
			readRequest(r)
			_, _ = io.WriteString(c, head+trailer+"\r\n") // the client may be gone
			_, _ = io.Copy(io.Discard, c)
		})
		_, err := exchange(t.Context(), NewPool(time.Second, net.KeepAliveConfig{}), address, "r1")
		assert.Check(t, (err == nil) == sound && (sound || errors.Is(err, ErrMalformed)), "connection, %q: %v", trailer, err)
		resp, err := Client(&http.Client{}).Get("http://" + address)
		assert.NilError(t, err)
		_, err = io.ReadAll(resp.Body)
		resp.Body.Close()
		assert.Check(t, (err == nil) == sound && (sound || errors.Is(err, ErrMalformed)), "transport, %q: %v", trailer, err)
	}
}

// Guards against informational responses without end, which net/http does not limit if they are
// checked.
func TestInformationalResponsesWithoutEnd(t *testing.T) {
	address := startServer(t, func(_ int, c net.Conn, r *bufio.Reader) {
		readRequest(r)
		for {
			if _, err := io.WriteString(c, "HTTP/1.1 103 Early Hints\r\nGood: v\r\n\r\n"); err != nil {
				return
			}
		}
	})
	resp, err := Client(&http.Client{Timeout: 5 * time.Second}).Get("http://" + address)
	if err == nil {
		resp.Body.Close()
	}
	assert.Check(t, errors.Is(err, ErrMalformed), "%v", err)
}

// Guards against a response that reaches another request, because the connection of a malformed
// response was used again.
func TestConnectionOfAMalformedResponseIsNotReused(t *testing.T) {
	for _, text := range []string{
		"HTTP/1.1 000 None\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nBad Name: v\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nBad Name: v\r\n\r\n",
	} {
		address := startServer(t, func(n int, c net.Conn, r *bufio.Reader) {
			for {
				if _, err := http.ReadRequest(r); err != nil {
					return
				}
				if n > 1 {
					answer(c, "", "second")
					continue
				}
				_, _ = io.WriteString(c, text) // the client closes the connection
				time.Sleep(20 * time.Millisecond)
				answer(c, "", "stray")
			}
		})
		hc := Client(&http.Client{})
		resp, err := hc.Get("http://" + address)
		if err == nil {
			_, err = io.ReadAll(resp.Body)
			resp.Body.Close()
		}
		assert.Check(t, errors.Is(err, ErrMalformed), "%q: %v", text, err)
		resp, err = hc.Get("http://" + address)
		assert.NilError(t, err)
		body, err := io.ReadAll(resp.Body)
		resp.Body.Close()
		assert.Check(t, err == nil && string(body) == "second", "%q: %q, %v", text, body, err)
	}
}
