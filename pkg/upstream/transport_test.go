package upstream

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"testing"

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
