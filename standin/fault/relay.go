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

// Relay forwards TCP connections to a target. Existing connections can be made
// silent or be cut while new ones work, and each direction can be delayed.
type Relay struct {
	lis   net.Listener
	delay atomic.Int64

	mu     sync.Mutex
	target string
	pairs  map[*pair]bool
	closed bool
	// frozen is closed when delivery goes on. It is nil while the relay delivers.
	frozen chan struct{}
	wg     sync.WaitGroup
}

// NewRelay listens on a loopback port and forwards to target (host:port).
func NewRelay(target string) (*Relay, error) { return NewRelayAt("127.0.0.1:0", target) }

// NewRelayAt listens on an address and forwards to target (host:port).
func NewRelayAt(address, target string) (*Relay, error) {
	lis, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "listen for the relay")
	}
	r := &Relay{lis: lis, target: target, pairs: map[*pair]bool{}}
	r.wg.Go(r.accept)
	return r, nil
}

// Addr returns the address of the relay.
func (r *Relay) Addr() string { return r.lis.Addr().String() }

// SetTarget changes the target of new connections.
func (r *Relay) SetTarget(target string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.target = target
}

// SetDelay sets the one-way latency of data read from now on.
func (r *Relay) SetDelay(d time.Duration) { r.delay.Store(int64(d)) }

// Blackhole stops delivery on the existing connections in both directions. They
// stay open. It returns their number.
func (r *Relay) Blackhole() int {
	return r.each(func(p *pair) {
		p.toServer.silent.Store(true)
		p.toClient.silent.Store(true)
	})
}

// BlackholeResponses stops delivery on the existing connections in the direction of the
// clients only. What clients send still arrives.
func (r *Relay) BlackholeResponses() int {
	return r.each(func(p *pair) { p.toClient.silent.Store(true) })
}

// CloseConnections closes the existing connections and returns their number.
func (r *Relay) CloseConnections() int { return r.each((*pair).close) }

// each applies a change to the existing connections and returns their number.
func (r *Relay) each(change func(*pair)) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	for p := range r.pairs {
		change(p)
	}
	return len(r.pairs)
}

// Freeze holds back all data of existing and new connections until Thaw, as if
// the process behind the relay had stopped running. Connections stay open.
func (r *Relay) Freeze() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.frozen == nil {
		r.frozen = make(chan struct{})
	}
}

// Thaw delivers the held data and all that follows.
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

// Close ends the relay and all its connections.
func (r *Relay) Close() error {
	err := r.lis.Close()
	r.mu.Lock()
	r.closed = true
	r.thaw()
	for p := range r.pairs {
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
	p := &pair{client: client, server: server}
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

func (r *Relay) add(p *pair) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return false
	}
	r.pairs[p] = true
	return true
}

func (r *Relay) remove(p *pair) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.pairs, p)
}

// pair is one forwarded connection.
type pair struct {
	client net.Conn
	server net.Conn
	// The two directions.
	toServer, toClient direction
}

// direction is one way of a forwarded connection. A silent one drops what it reads.
type direction struct{ silent atomic.Bool }

func (p *pair) close() {
	p.client.Close()
	p.server.Close()
}

// chunk is data with the time at which it is delivered.
type chunk struct {
	due  time.Time
	data []byte
}

// forward copies one direction until either side ends. A silent one drops what it
// reads, so that the sender notices nothing.
func (r *Relay) forward(p *pair, d *direction, dst, src net.Conn) {
	chunks := make(chan chunk, chunksInFlight)
	var wg sync.WaitGroup
	wg.Go(func() { r.deliver(p, d, dst, chunks) })
	buf := make([]byte, chunkBytes)
	for {
		n, err := src.Read(buf)
		if n > 0 && !d.silent.Load() {
			due := time.Now().Add(time.Duration(r.delay.Load()))
			chunks <- chunk{due: due, data: append([]byte(nil), buf[:n]...)}
		}
		if err != nil {
			break
		}
	}
	close(chunks)
	wg.Wait()
	if !d.silent.Load() {
		p.close()
	}
}

// deliver writes each chunk when it is due. A silent direction drops it.
func (r *Relay) deliver(p *pair, d *direction, dst net.Conn, chunks <-chan chunk) {
	for c := range chunks {
		if wait := time.Until(c.due); wait > 0 {
			time.Sleep(wait)
		}
		r.awaitThaw()
		if d.silent.Load() {
			continue
		}
		if _, err := dst.Write(c.data); err != nil {
			p.close()
		}
	}
}
