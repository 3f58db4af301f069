package fault

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

// Sizes of a relay's buffers.
const (
	chunkBytes = 32 << 10
	// chunksInFlight bounds the chunks that wait for their delay in one direction.
	chunksInFlight = 1024
)

// Relay forwards TCP connections to a target. Existing connections can be
// blackholed or closed while new ones work, and all data can be delayed or held back.
type Relay struct {
	lis   net.Listener
	delay atomic.Int64

	mu     sync.Mutex
	target string
	conns  map[*proxiedConn]bool
	closed bool
	// frozen is closed by Thaw. It is nil while the relay is not frozen.
	frozen chan struct{}
	wg     sync.WaitGroup
}

// NewRelay returns a relay that listens on a free loopback port and forwards to target
// (host:port).
func NewRelay(target string) (*Relay, error) { return NewRelayAt("127.0.0.1:0", target) }

// NewRelayAt returns a relay that listens on address and forwards to target (both
// host:port).
func NewRelayAt(address, target string) (*Relay, error) {
	lis, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "listen for the relay")
	}
	r := &Relay{lis: lis, target: target, conns: map[*proxiedConn]bool{}}
	r.wg.Go(r.accept)
	return r, nil
}

// Addr returns the address (host:port) of the relay.
func (r *Relay) Addr() string { return r.lis.Addr().String() }

// SetTarget changes the target of new connections.
func (r *Relay) SetTarget(target string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.target = target
}

// SetDelay sets the one-way latency that is added to data read from now on.
func (r *Relay) SetDelay(d time.Duration) { r.delay.Store(int64(d)) }

// Blackhole drops all data on the existing connections in both directions. The
// connections stay open. It returns their number.
func (r *Relay) Blackhole() int {
	return r.forEach(func(p *proxiedConn) {
		p.toServer.blackholed.Store(true)
		p.toClient.blackholed.Store(true)
	})
}

// BlackholeResponses drops the data sent to the clients of the existing connections.
// Data sent by the clients still arrives. It returns the number of connections.
func (r *Relay) BlackholeResponses() int {
	return r.forEach(func(p *proxiedConn) { p.toClient.blackholed.Store(true) })
}

// CloseConnections closes the existing connections and returns their number.
func (r *Relay) CloseConnections() int { return r.forEach((*proxiedConn).close) }

// forEach applies change to the existing connections and returns their number.
func (r *Relay) forEach(change func(*proxiedConn)) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	for p := range r.conns {
		change(p)
	}
	return len(r.conns)
}

// Freeze holds back all data of existing and new connections until Thaw, as if
// the process behind the relay were suspended. Connections stay open.
func (r *Relay) Freeze() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.frozen == nil {
		r.frozen = make(chan struct{})
	}
}

// Thaw ends Freeze: it delivers the data held back and resumes forwarding.
func (r *Relay) Thaw() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.thaw()
}

func (r *Relay) thaw() {
	if r.frozen != nil {
		close(r.frozen)
		r.frozen = nil
	}
}

// awaitThaw blocks while the relay is frozen.
func (r *Relay) awaitThaw() {
	r.mu.Lock()
	frozen := r.frozen
	r.mu.Unlock()
	if frozen != nil {
		<-frozen
	}
}

// Close stops the relay and closes all its connections.
func (r *Relay) Close() error {
	err := r.lis.Close()
	r.mu.Lock()
	r.closed = true
	r.thaw()
	for p := range r.conns {
		p.close()
	}
	r.mu.Unlock()
	r.wg.Wait()
	return errors.Wrap(err, "close relay")
}

func (r *Relay) accept() {
	for {
		c, err := r.lis.Accept()
		if err != nil {
			return
		}
		r.wg.Go(func() { r.serve(c) })
	}
}

func (r *Relay) serve(client net.Conn) {
	r.awaitThaw()
	r.mu.Lock()
	target := r.target
	r.mu.Unlock()
	server, err := net.Dial("tcp", target)
	if err != nil {
		client.Close()
		return
	}
	p := &proxiedConn{client: client, server: server}
	defer p.close()
	if !r.add(p) {
		return
	}
	defer r.remove(p)
	var wg sync.WaitGroup
	wg.Go(func() { r.forward(p, &p.toServer, server, client) })
	wg.Go(func() { r.forward(p, &p.toClient, client, server) })
	wg.Wait()
}

func (r *Relay) add(p *proxiedConn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return false
	}
	r.conns[p] = true
	return true
}

func (r *Relay) remove(p *proxiedConn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.conns, p)
}

// proxiedConn is one forwarded connection.
type proxiedConn struct {
	client             net.Conn
	server             net.Conn
	toServer, toClient direction
}

// direction is the state of one direction of a forwarded connection.
type direction struct {
	// blackholed makes the direction drop all data while the connection stays open.
	blackholed atomic.Bool
}

func (p *proxiedConn) close() {
	p.client.Close()
	p.server.Close()
}

// chunk is data and the time at which it is to be delivered.
type chunk struct {
	due  time.Time
	data []byte
}

// forward copies one direction until either side closes the connection. In a
// blackholed direction it keeps reading, drops the data and does not pass on the end
// of the connection, so that neither side notices the fault.
func (r *Relay) forward(p *proxiedConn, d *direction, dst, src net.Conn) {
	chunks := make(chan chunk, chunksInFlight)
	var wg sync.WaitGroup
	wg.Go(func() { r.deliver(p, d, dst, chunks) })
	buf := make([]byte, chunkBytes)
	for {
		n, err := src.Read(buf)
		if n > 0 && !d.blackholed.Load() {
			due := time.Now().Add(time.Duration(r.delay.Load()))
			chunks <- chunk{due: due, data: append([]byte(nil), buf[:n]...)}
		}
		if err != nil {
			break
		}
	}
	close(chunks)
	wg.Wait()
	if !d.blackholed.Load() {
		p.close()
	}
}

// deliver writes each chunk when it is due, or drops it in a blackholed direction.
func (r *Relay) deliver(p *proxiedConn, d *direction, dst net.Conn, chunks <-chan chunk) {
	for c := range chunks {
		if wait := time.Until(c.due); wait > 0 {
			time.Sleep(wait)
		}
		r.awaitThaw()
		if d.blackholed.Load() {
			continue
		}
		if _, err := dst.Write(c.data); err != nil {
			p.close()
		}
	}
}
