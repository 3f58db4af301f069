//go:build overload

package e2e

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// Tests named TestOverload start processes with the limits of a small VM and send them a
// crowd of clients that do not behave. They run one at a time and apart from other tests,
// because they measure memory:
//
//	go test -tags overload -run '^TestOverload' ./e2e

const (
	// overloadMemoryMB is the memory of the VM of a process under test, in MiB.
	overloadMemoryMB = 96
	// overloadDescriptors is the limit of open descriptors in tests that use them up, and
	// descriptorBound the part that callers leave: the rest is for connections to servers, the
	// store and peers.
	overloadDescriptors = 500
	descriptorBound     = overloadDescriptors * 3 / 4
	// overloadBodyBytes is the largest request body that is allowed.
	overloadBodyBytes = 1 << 20
	// writeLimit bounds how long a client of a crowd sends.
	writeLimit = 4 * time.Second
	// watchTime is how long a process is watched after its crowd has sent everything.
	watchTime = 3 * time.Second
	// sampleInterval is the time between two samples of what a process uses.
	sampleInterval = 20 * time.Millisecond
	// crowdHost is the address of the clients of a crowd. Ordinary callers have another one.
	crowdHost = "127.0.0.9"
)

// target is where a crowd sends its requests.
type target struct {
	address string
	// head is the beginning of a request up to further header lines.
	head string
}

// member is one connection of a crowd.
type member struct {
	net.Conn
	target *target
}

// form is a way in which the clients of a crowd behave.
type form struct {
	name    string
	members int
	// descriptors limits the open descriptors of the process, unless it is 0.
	descriptors int
	// reconnects makes clients connect again whenever their connection ends.
	reconnects bool
	// send sends what the client sends. The connection stays open afterwards.
	send func(m *member) error
}

const pieceBytes = 16 << 10

var piece = bytes.Repeat([]byte("x"), pieceBytes)

// begin sends the head of a request with more header lines.
func (m *member) begin(lines ...string) error {
	_, err := io.WriteString(m, m.target.head+strings.Join(lines, "\r\n")+"\r\n\r\n")
	return err
}

// fill sends n bytes in pieces, and pauses after each of them.
func (m *member) fill(n int, pause time.Duration) error {
	for n > 0 {
		size := min(n, pieceBytes)
		if _, err := m.Write(piece[:size]); err != nil {
			return err
		}
		n -= size
		time.Sleep(pause)
	}
	return nil
}

// repeat sends text until the connection fails or the time of the client has passed.
func (m *member) repeat(text string) error {
	block := strings.Repeat(text, pieceBytes/len(text)+1)
	for {
		if _, err := io.WriteString(m, block); err != nil {
			return err
		}
	}
}

// announced begins a request with a body of n bytes.
func (m *member) announced(n int64) error {
	return m.begin("Content-Length: " + strconv.FormatInt(n, 10))
}

func (m *member) chunked() error { return m.begin("Transfer-Encoding: chunked") }

// bodyForms are the crowds of large and endless bodies.
var bodyForms = []form{
	{name: "whole", members: 300, send: func(m *member) error {
		_ = m.announced(overloadBodyBytes)
		return m.fill(overloadBodyBytes, 0)
	}},
	{name: "almost-whole", members: 300, send: func(m *member) error {
		_ = m.announced(overloadBodyBytes)
		return m.fill(overloadBodyBytes-1, 0)
	}},
	{name: "pieces", members: 300, send: func(m *member) error {
		_ = m.announced(overloadBodyBytes)
		return m.fill(overloadBodyBytes-1, 20*time.Millisecond)
	}},
	{name: "one-chunk", members: 300, send: func(m *member) error {
		_ = m.chunked()
		_, _ = fmt.Fprintf(m, "%x\r\n", overloadBodyBytes)
		return m.fill(overloadBodyBytes-1, 0)
	}},
	{name: "chunks-of-one-byte", members: 300, send: func(m *member) error {
		_ = m.chunked()
		_, err := io.WriteString(m, strings.Repeat("1\r\nx\r\n", overloadBodyBytes/16))
		return err
	}},
	{name: "announced-over-the-limit", members: 400, send: func(m *member) error {
		_ = m.announced(1 << 40)
		return m.repeat("x")
	}},
	{name: "endless-chunks", members: 400, send: func(m *member) error {
		_ = m.chunked()
		return m.repeat("1000\r\n" + strings.Repeat("x", 0x1000) + "\r\n")
	}},
	{name: "chunk-extensions", members: 300, send: func(m *member) error {
		_ = m.chunked()
		_, _ = io.WriteString(m, "1;")
		return m.repeat("x")
	}},
	{name: "trailers", members: 300, send: func(m *member) error {
		_ = m.chunked()
		_, _ = io.WriteString(m, "1\r\nx\r\n0\r\n")
		return m.repeat("T: " + strings.Repeat("x", 1000) + "\r\n")
	}},
	{name: "continue", members: 300, send: func(m *member) error {
		_ = m.begin("Expect: 100-continue", "Content-Length: "+strconv.Itoa(overloadBodyBytes))
		return m.fill(overloadBodyBytes-1, 0)
	}},
	{name: "upgrade", members: 300, send: func(m *member) error {
		_ = m.begin("Connection: Upgrade", "Upgrade: h2c", "Content-Encoding: gzip", "Content-Length: "+strconv.Itoa(overloadBodyBytes))
		return m.fill(overloadBodyBytes-1, 0)
	}},
	{name: "requests-without-reading", members: 200, send: func(m *member) error {
		return m.repeat(m.target.head + "Content-Length: 1\r\n\r\nx")
	}},
}

// connectionForms are the crowds that hold connections with little or nothing sent.
var connectionForms = []form{
	{name: "heads", members: 150, send: unfinishedHead},
	{name: "silent", members: 800, descriptors: overloadDescriptors, reconnects: true, send: func(*member) error { return nil }},
	{name: "head-begun", members: 800, descriptors: overloadDescriptors, reconnects: true, send: func(m *member) error {
		_, err := io.WriteString(m, m.target.head)
		return err
	}},
	{name: "body-begun", members: 800, descriptors: overloadDescriptors, reconnects: true, send: func(m *member) error {
		_ = m.announced(1000)
		return m.fill(10, 0)
	}},
	{name: "idle", members: 800, descriptors: overloadDescriptors, reconnects: true, send: func(m *member) error {
		_ = m.announced(1)
		return m.fill(1, 0)
	}},
}

// unfinishedHead sends a head of almost 1 MiB that does not end.
func unfinishedHead(m *member) error {
	_, _ = io.WriteString(m, m.target.head+"Long: ")
	return m.fill(1<<20-8<<10, 0)
}

// crowd is a number of connections of one form.
type crowd struct {
	cancel context.CancelFunc
	wg     sync.WaitGroup
	// sent counts the clients that have sent everything, or were cut off, once.
	sent sync.WaitGroup
}

// startCrowd starts the clients of a form.
func startCrowd(t *testing.T, f *form, to *target) *crowd {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	c := &crowd{cancel: cancel}
	c.sent.Add(f.members)
	for range f.members {
		c.wg.Go(func() { c.behave(ctx, f, to) })
	}
	t.Cleanup(c.stop)
	return c
}

// stop closes the connections.
func (c *crowd) stop() {
	c.cancel()
	c.wg.Wait()
}

// reconnectPause is the time after which a client whose connection has ended connects again.
const reconnectPause = 50 * time.Millisecond

func (c *crowd) behave(ctx context.Context, f *form, to *target) {
	var once sync.Once
	defer once.Do(c.sent.Done)
	dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(crowdHost)}, Timeout: writeLimit}
	for ctx.Err() == nil {
		conn, err := dialer.DialContext(ctx, "tcp", to.address)
		if err == nil {
			stop := context.AfterFunc(ctx, func() { conn.Close() })
			_ = conn.SetWriteDeadline(time.Now().Add(writeLimit))
			_ = f.send(&member{Conn: conn, target: to}) // the process may refuse what it is sent
			once.Do(c.sent.Done)
			awaitEnd(ctx, conn, f)
			stop()
			conn.Close()
		}
		if !f.reconnects {
			return
		}
		time.Sleep(reconnectPause)
	}
}

// awaitEnd waits until the process has closed the connection. Clients that come back find that
// out by reading; others read nothing.
func awaitEnd(ctx context.Context, conn net.Conn, f *form) {
	if f.reconnects {
		_, _ = io.Copy(io.Discard, conn)
		return
	}
	<-ctx.Done()
}

// usage is the most that a process has used.
type usage struct {
	memory, unread, resident, descriptors atomic.Int64
}

// watch samples what a process uses until ctx ends. Bytes that its sockets have received count
// as its memory.
func (u *usage) watch(ctx context.Context, pid int, ports map[int]bool) {
	tick := time.NewTicker(sampleInterval)
	defer tick.Stop()
	for ctx.Err() == nil {
		unread, resident := unreadBytes(ports), residentBytes(pid)
		if sum := unread + resident; sum > u.memory.Load() {
			u.memory.Store(sum)
			u.unread.Store(unread)
			u.resident.Store(resident)
		}
		if n, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid)); err == nil {
			u.descriptors.Store(max(u.descriptors.Load(), int64(len(n))))
		}
		select {
		case <-ctx.Done():
		case <-tick.C:
		}
	}
}

func residentBytes(pid int) int64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	fields := strings.Fields(string(text))
	if err != nil || len(fields) < 2 {
		return 0 // the process has ended, which is checked elsewhere
	}
	pages, _ := strconv.ParseInt(fields[1], 10, 64)
	return pages * int64(os.Getpagesize())
}

// tcpListen is the state of listening sockets in /proc/net/tcp.
const tcpListen = "0A"

// unreadBytes returns the received and unread bytes of all sockets with the local ports.
func unreadBytes(ports map[int]bool) int64 {
	file, err := os.Open("/proc/net/tcp")
	if err != nil {
		return 0
	}
	defer file.Close()
	total := int64(0)
	lines := bufio.NewScanner(file)
	for lines.Scan() {
		fields := strings.Fields(lines.Text())
		if len(fields) < 5 || fields[3] == tcpListen {
			continue
		}
		_, hexPort, _ := strings.Cut(fields[1], ":")
		port, _ := strconv.ParseInt(hexPort, 16, 32)
		if !ports[int(port)] {
			continue
		}
		_, hexUnread, _ := strings.Cut(fields[4], ":")
		unread, _ := strconv.ParseInt(hexUnread, 16, 64)
		total += unread
	}
	return total
}

// overloaded is a process that a crowd attacks.
type overloaded struct {
	*daemon
	// ports are those on which it listens.
	ports map[int]bool
	// ask sends an ordinary request and returns an error unless it is answered.
	ask func(ctx context.Context) error
}

// endure sends a crowd to a process and checks that it lives, that it stays within its memory
// and within its share of the descriptors, that an ordinary caller gets an answer while the
// crowd stays connected, and that the process stops once the crowd has gone.
func (o *overloaded) endure(t *testing.T, f *form, to *target) {
	t.Helper()
	o.awaitAnswer(t)
	var u usage
	ctx, cancel := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	wg.Go(func() { u.watch(ctx, o.cmd.Process.Pid, o.ports) })
	c := startCrowd(t, f, to)
	c.sent.Wait()
	time.Sleep(watchTime)
	o.awaitAnswer(t)
	cancel()
	wg.Wait()
	c.stop()
	t.Logf("%s: at most %d MiB, %d resident and %d unread, and %d descriptors; %d requests answered", f.name,
		u.memory.Load()>>20, u.resident.Load()>>20, u.unread.Load()>>20, u.descriptors.Load(),
		strings.Count(o.log.String(), `"outcome":"answered"`))
	assert.Check(t, u.memory.Load() <= overloadMemoryMB<<20, "%d MiB used", u.memory.Load()>>20)
	if f.descriptors > 0 {
		assert.Check(t, u.descriptors.Load() <= descriptorBound, "%d descriptors open", u.descriptors.Load())
	}
	assert.Equal(t, o.stop(t), 0, "exit code")
}

// mixedShare is the part of each crowd that takes part in a mixed one.
const mixedShare = 8

// endureAll sends a crowd of clients of all forms to a process, sends it SIGHUP, calls disturb, and
// stops the process while the crowd is connected. It checks that an ordinary caller gets an answer
// before the stop, and that the process stays within its memory and exits by itself.
func (o *overloaded) endureAll(t *testing.T, to *target, disturb func()) {
	t.Helper()
	o.awaitAnswer(t)
	var u usage
	ctx, cancel := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	wg.Go(func() { u.watch(ctx, o.cmd.Process.Pid, o.ports) })
	var crowds []*crowd
	for _, f := range slices.Concat(bodyForms, connectionForms) {
		f.members /= mixedShare
		crowds = append(crowds, startCrowd(t, &f, to))
	}
	assert.NilError(t, o.cmd.Process.Signal(syscall.SIGHUP))
	disturb()
	for _, c := range crowds {
		c.sent.Wait()
	}
	o.awaitAnswer(t)
	assert.Equal(t, o.stop(t), 0, "exit code")
	cancel()
	wg.Wait()
	t.Logf("at most %d MiB, %d resident and %d unread, and %d descriptors",
		u.memory.Load()>>20, u.resident.Load()>>20, u.unread.Load()>>20, u.descriptors.Load())
	assert.Check(t, u.memory.Load() <= overloadMemoryMB<<20, "%d MiB used", u.memory.Load()>>20)
}

// awaitAnswer waits until an ordinary request is answered. It fails if the process ends.
func (o *overloaded) awaitAnswer(t *testing.T) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		select {
		case <-o.exited:
			return poll.Error(fmt.Errorf("the process has ended: %v", o.cmd.ProcessState))
		default:
		}
		ctx, cancel := context.WithTimeout(t.Context(), writeLimit)
		defer cancel()
		if err := o.ask(ctx); err != nil {
			return poll.Continue("ordinary request: %v", err)
		}
		return poll.Success()
	}, poll.WithTimeout(startLimit), poll.WithDelay(200*time.Millisecond))
}
