// Package connlimit bounds what the connections of an HTTP/1.1 server use: how many are open, how
// much each of them may have received that nobody has read, how large the head of a request is
// and how long it takes, and how long a client may leave a response unread. Once there are too
// many connections, those that are furthest from a response make room for new ones.
package connlimit

import (
	"syscall"
	"time"
)

const (
	// receiveBufferBytes is the receive buffer of a connection. Linux doubles it for its own
	// structures.
	receiveBufferBytes = 16 << 10
	// sendBufferBytes is the send buffer of a connection, which Linux doubles as well.
	sendBufferBytes = 64 << 10
	// connBytes is the most that a connection holds beside bodies and responses: its full
	// receive buffer, the head of a request and the buffers of the HTTP server.
	connBytes = 64 << 10
	// memoryShare is the part of the memory of the process for connections.
	memoryShare = 0.35
	// descriptorShare is the part of the descriptors for connections of callers. Each request
	// needs another one to a server, and the rest lead to the store and to other processes.
	descriptorShare = 0.4
	// otherDescriptors is the number of descriptors that are used for something else than
	// connections.
	otherDescriptors = 200
	// minConns is the least number of connections that a limit allows.
	minConns = 64
	// discardShare is the part of the connections whose refused bodies are read and dropped.
	discardShare = 1.0 / 16
	// writeTimeout is how long a client may read nothing of a response.
	writeTimeout = 10 * time.Second
	// bodyTimeout is how long a client may send nothing of a body.
	bodyTimeout = 10 * time.Second
	// headSlackBytes is what may be read beyond the head of a request, because bytes are read
	// in blocks.
	headSlackBytes = 4 << 10
)

// HeadLimits bound the head of a request: its size in bytes, and the time from its first byte, or
// from the connection, to its end.
type HeadLimits struct {
	Bytes int
	Time  time.Duration
}

// DefaultHeadLimits apply where no configuration sets others.
var DefaultHeadLimits = HeadLimits{Bytes: 64 << 10, Time: 10 * time.Second}

// Limits bound the connections of one listener.
type Limits struct {
	// MaxConns is the number of connections at the same time.
	MaxConns int
	// Head returns the limits that are in force. If it is nil, DefaultHeadLimits apply.
	Head func() HeadLimits
}

func (l *Limits) head() HeadLimits {
	if l.Head == nil {
		return DefaultHeadLimits
	}
	return l.Head()
}

// MaxConns returns the number of connections of callers that fit into a process with the given
// memory, in MiB, and the given number of descriptors. 0 stands for no limit of the memory, and
// for the number of descriptors that the operating system allows.
func MaxConns(memoryMB float64, descriptors int) int {
	if descriptors == 0 {
		descriptors = allowedDescriptors()
	}
	conns := descriptorShare * float64(max(descriptors-otherDescriptors, 0))
	if memoryMB > 0 {
		conns = min(conns, memoryShare*memoryMB*(1<<20)/connBytes)
	}
	return max(int(conns), minConns)
}

// fallbackDescriptors is the number of descriptors where the operating system names none.
const fallbackDescriptors = 1024

// maxDescriptors bounds the number of descriptors where the operating system sets no limit.
const maxDescriptors = 1 << 20

func allowedDescriptors() int {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return fallbackDescriptors
	}
	return int(min(limit.Cur, maxDescriptors))
}
