package fault

import (
	"io"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// startEchoServer starts a server that sends back what it receives and returns its
// address.
func startEchoServer(t *testing.T) string {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { lis.Close() })
	go func() {
		for {
			c, err := lis.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				_, _ = io.Copy(c, c)
			}()
		}
	}()
	return lis.Addr().String()
}

func dial(t *testing.T, r *Relay) net.Conn {
	c, err := net.Dial("tcp", r.Addr())
	assert.NilError(t, err)
	t.Cleanup(func() { c.Close() })
	return c
}

func roundTrip(t *testing.T, c net.Conn) {
	_, err := c.Write([]byte("ping"))
	assert.NilError(t, err)
	buf := make([]byte, 4)
	_, err = io.ReadFull(c, buf)
	assert.NilError(t, err)
	assert.Equal(t, string(buf), "ping")
}

// Guards against a Blackhole that closes connections, delivers data or affects new
// connections. Tests with blackholed connections would then test broken connections
// instead.
func TestRelayBlackhole(t *testing.T) {
	r, err := NewRelay(startEchoServer(t))
	assert.NilError(t, err)
	defer r.Close()
	old := dial(t, r)
	roundTrip(t, old)
	assert.Equal(t, r.Blackhole(), 1)
	_, err = old.Write([]byte("lost"))
	assert.NilError(t, err)
	roundTrip(t, dial(t, r))
	assert.NilError(t, old.SetReadDeadline(time.Now().Add(50*time.Millisecond)))
	_, err = old.Read(make([]byte, 1))
	timeout, ok := err.(net.Error) //nolint:errorlint // net.Conn returns the error unwrapped
	assert.Assert(t, ok && timeout.Timeout(), "error: %v", err)
}

// Guards against a BlackholeResponses that also drops what clients send, or that
// delivers responses. Tests of requests that run but whose response is lost would
// then test a different fault.
func TestRelayBlackholeResponses(t *testing.T) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer lis.Close()
	arrived := make(chan string, 1)
	go func() {
		c, err := lis.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		buf := make([]byte, 4)
		for {
			if _, err := io.ReadFull(c, buf); err != nil {
				return
			}
			arrived <- string(buf)
			if _, err := c.Write(buf); err != nil {
				return
			}
		}
	}()
	r, err := NewRelayAt("127.0.0.1:0", lis.Addr().String())
	assert.NilError(t, err)
	defer r.Close()
	c := dial(t, r)
	roundTrip(t, c)
	<-arrived
	assert.Equal(t, r.BlackholeResponses(), 1)
	_, err = c.Write([]byte("more"))
	assert.NilError(t, err)
	assert.Equal(t, <-arrived, "more")
	assert.NilError(t, c.SetReadDeadline(time.Now().Add(50*time.Millisecond)))
	_, err = c.Read(make([]byte, 1))
	timeout, ok := err.(net.Error) //nolint:errorlint // net.Conn returns the error unwrapped
	assert.Assert(t, ok && timeout.Timeout(), "error: %v", err)
}

// Guards against a frozen relay that closes connections, delivers data or loses it.
// The process behind the relay would then look terminated or restarted instead of
// suspended.
func TestRelayFreeze(t *testing.T) {
	r, err := NewRelay(startEchoServer(t))
	assert.NilError(t, err)
	defer r.Close()
	old := dial(t, r)
	roundTrip(t, old)
	r.Freeze()
	fresh := dial(t, r)
	for _, c := range []net.Conn{old, fresh} {
		_, err = c.Write([]byte("ping"))
		assert.NilError(t, err)
		assert.NilError(t, c.SetReadDeadline(time.Now().Add(50*time.Millisecond)))
		_, err = c.Read(make([]byte, 1))
		timeout, ok := err.(net.Error) //nolint:errorlint // net.Conn returns the error unwrapped
		assert.Assert(t, ok && timeout.Timeout(), "error: %v", err)
	}
	r.Thaw()
	for _, c := range []net.Conn{old, fresh} {
		assert.NilError(t, c.SetReadDeadline(time.Time{}))
		buf := make([]byte, 4)
		_, err = io.ReadFull(c, buf)
		assert.NilError(t, err)
		assert.Equal(t, string(buf), "ping")
	}
}

// Guards against a CloseConnections that leaves connections open or stops the relay.
func TestRelayCloseConnections(t *testing.T) {
	r, err := NewRelay(startEchoServer(t))
	assert.NilError(t, err)
	defer r.Close()
	old := dial(t, r)
	roundTrip(t, old)
	assert.Equal(t, r.CloseConnections(), 1)
	_, err = old.Read(make([]byte, 1))
	assert.Assert(t, err != nil)
	roundTrip(t, dial(t, r))
}

// Guards against fault sequences that are not reproducible from a seed or a script.
func TestInjectorIsDeterministic(t *testing.T) {
	now := time.Unix(0, 0)
	draw := func(seed uint64) (hits []bool) {
		i := New(seed, func() time.Time { return now })
		i.Set(LoadFailed, Rule{Probability: 0.3})
		for range 64 {
			_, hit := i.ShouldInject(LoadFailed)
			hits = append(hits, hit)
		}
		return hits
	}
	assert.DeepEqual(t, draw(7), draw(7))
	i := New(1, func() time.Time { return now })
	i.Set(EngineRestart, Rule{At: []time.Duration{2 * time.Second, time.Second}})
	for _, want := range []bool{false, true, true, false} {
		_, hit := i.ShouldInject(EngineRestart)
		assert.Equal(t, hit, want)
		now = now.Add(time.Second)
	}
}
