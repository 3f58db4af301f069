package fleet

import (
	"maps"

	"github.com/cespare/xxhash/v2"
)

// UrgentBacklogChange is the change of a server's backlog, in prompt tokens, from which its
// sidecar reports it at once. It is about 100 ms of work for a server. With a delay, other
// entries would choose the same server in the meantime.
const UrgentBacklogChange = 4000

// Hash returns a hash that identifies the adapter in messages between processes.
func (k AdapterKey) Hash() uint64 { return xxhash.Sum64String(k.Model + "/" + k.Name) }

// Work is the number of prompt tokens that a server has to process for some entries.
type Work struct {
	// Backlog holds the tokens of requests that have been sent to the server and whose
	// first event has not arrived.
	Backlog Backlog
	// Waiting holds the tokens of requests that wait for the server to load an adapter, by
	// AdapterKey.Hash. They are sent as soon as it is loaded.
	Waiting map[uint64]Backlog
}

// BacklogOf returns the backlog of a list of tokens by priority class, as in messages.
func BacklogOf(tokens []uint64) Backlog {
	var b Backlog
	for i, n := range tokens {
		b[PriorityClass(i)] += int64(n)
	}
	return b
}

// Tokens returns the backlog as a list for messages.
func (b Backlog) Tokens() []uint64 {
	out := make([]uint64, 0, len(b))
	for _, n := range b {
		out = append(out, uint64(max(n, 0)))
	}
	return out
}

// Add returns the sum of two backlogs.
func (b Backlog) Add(other Backlog) Backlog {
	for i := range b {
		b[i] += other[i]
	}
	return b
}

// Without returns the backlog less that of some of its entries.
func (b Backlog) Without(part Backlog) Backlog {
	for i := range b {
		b[i] = max(b[i]-part[i], 0)
	}
	return b
}

// Total returns the number of tokens of all classes.
func (b Backlog) Total() int64 { return b.Ahead(PriorityClasses - 1) }

// StartWait counts a request of this process that waits for the server to load an adapter.
func (r *Runtime) StartWait(k AdapterKey, priority int, tokens int64) {
	r.Waiting.Add(1)
	r.addWaiting(k, priority, tokens)
}

// EndWait ends a wait that was counted with the same arguments.
func (r *Runtime) EndWait(k AdapterKey, priority int, tokens int64) {
	r.Waiting.Add(-1)
	r.addWaiting(k, priority, -tokens)
}

func (r *Runtime) addWaiting(k AdapterKey, priority int, tokens int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	hash := k.Hash()
	b := r.waitingTokens[hash]
	b[PriorityClass(priority)] += tokens
	if b == (Backlog{}) {
		delete(r.waitingTokens, hash)
		return
	}
	r.waitingTokens[hash] = b
}

// OwnWaiting returns the prompt tokens of the requests of this process that wait for the
// server to load an adapter, given by its hash.
func (r *Runtime) OwnWaiting(adapter uint64) Backlog {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.waitingTokens[adapter]
}

// OwnWork returns the work of this process at the server.
func (r *Runtime) OwnWork() Work {
	w := Work{Backlog: r.OwnBacklog()}
	r.mu.Lock()
	defer r.mu.Unlock()
	w.Waiting = maps.Clone(r.waitingTokens)
	return w
}
