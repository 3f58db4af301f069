package locality

import (
	"sync"
	"time"

	"github.com/fescuecourse/fescuecourse/pkg/fleet"
)

// maxPrefixes limits the number of records, and so the memory of the index.
const maxPrefixes = 50_000

// prefixKey identifies a prompt part that a server has processed. The pointer
// distinguishes the lifetimes of a server, and the hash includes the scope.
type prefixKey struct {
	runtime *fleet.Runtime
	part    uint64
}

// PrefixIndex records which servers have processed which shared prompt parts. It is
// safe for concurrent use.
type PrefixIndex struct {
	mu   sync.Mutex
	seen map[prefixKey]time.Time
}

// NewPrefixIndex returns an empty index.
func NewPrefixIndex() *PrefixIndex { return &PrefixIndex{seen: map[prefixKey]time.Time{}} }

// CachedTokens returns the number of leading prompt tokens that the server is expected to
// have in its cache for use in a scope.
func (p *PrefixIndex) CachedTokens(now time.Time, runtime *fleet.Runtime, scope Scope, parts []Part) int {
	return p.cachedTokens(now, runtime, parts, partHashes(scope, parts))
}

// cachedTokens is CachedTokens for parts whose hashes are known.
func (p *PrefixIndex) cachedTokens(now time.Time, runtime *fleet.Runtime, parts []Part, hashes []uint64) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	tokens := 0
	for i, part := range parts {
		at, ok := p.seen[prefixKey{runtime: runtime, part: hashes[i]}]
		if !ok || now.Sub(at) > fleet.PrefixCacheTTL {
			break
		}
		tokens += part.Tokens
	}
	return tokens
}

// RecordPrompt records that a server has processed a prompt in a scope.
func (p *PrefixIndex) RecordPrompt(now time.Time, runtime *fleet.Runtime, scope Scope, parts []Part) {
	p.RecordParts(now, runtime, partHashes(scope, parts))
}

// RecordParts records the hashes of the prompt parts that a server has processed in
// one lifetime, for requests of this process or of another one.
func (p *PrefixIndex) RecordParts(now time.Time, runtime *fleet.Runtime, parts []uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.seen)+len(parts) > maxPrefixes {
		p.expire(now)
	}
	for _, part := range parts {
		p.seen[prefixKey{runtime: runtime, part: part}] = now
	}
}

// expire removes records older than fleet.PrefixCacheTTL. If more than half of
// maxPrefixes remain, it removes all of them.
func (p *PrefixIndex) expire(now time.Time) {
	for k, at := range p.seen {
		if now.Sub(at) > fleet.PrefixCacheTTL {
			delete(p.seen, k)
		}
	}
	if len(p.seen) > maxPrefixes/2 {
		clear(p.seen)
	}
}
