package platform

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// MemoryVersion names the versions under which a server processes parts of a prompt:
// those of the base model's weights, of the adapter (0 without one) and of the
// server's software. Memory made under other versions does not fit a run.
type MemoryVersion struct {
	Weights  int    `json:"weights"`
	Adapter  int    `json:"adapter"`
	Software string `json:"software"`
}

// StalePart is a prompt part that was made under other versions than those of the run
// that used it.
type StalePart struct {
	ID        string
	MadeUnder MemoryVersion
}

// memoryKey identifies what a server keeps for the runs of one adapter under one
// MemoryVersion.
type memoryKey struct {
	adapter string
	version MemoryVersion
}

// keptPart is a prompt part that a server keeps. MadeUnder differs from the version in
// its memoryKey if the part was fetched from a server with other versions.
type keptPart struct {
	ID        string        `json:"id"`
	MadeUnder MemoryVersion `json:"madeUnder"`
	// order is the position of the part among all that the server has kept.
	order int
}

// promptMemory holds the prompt parts that a server keeps. It is not safe for
// concurrent use.
type promptMemory struct {
	parts map[memoryKey]map[string]keptPart
	next  int
}

func newPromptMemory() *promptMemory {
	return &promptMemory{parts: map[memoryKey]map[string]keptPart{}}
}

func (m *promptMemory) keep(k memoryKey, id string, madeUnder MemoryVersion) {
	if m.parts[k] == nil {
		m.parts[k] = map[string]keptPart{}
	}
	m.next++
	m.parts[k][id] = keptPart{ID: id, MadeUnder: madeUnder, order: m.next}
}

// leading returns the kept parts from the start of a prompt up to the first that is
// not kept under k.
func (m *promptMemory) leading(k memoryKey, ids []string) []keptPart {
	var out []keptPart
	for _, id := range ids {
		part, ok := m.parts[k][id]
		if !ok {
			break
		}
		out = append(out, part)
	}
	return out
}

// leadingOfAnyVersion is like leading, but takes the newest copy of each part whatever
// versions it was made under, as another server's fetch does.
func (m *promptMemory) leadingOfAnyVersion(adapter string, ids []string) []keptPart {
	var out []keptPart
	for _, id := range ids {
		newest, ok := m.newest(adapter, id)
		if !ok {
			break
		}
		out = append(out, newest)
	}
	return out
}

func (m *promptMemory) newest(adapter, id string) (keptPart, bool) {
	var newest keptPart
	for k, parts := range m.parts {
		part, ok := parts[id]
		if ok && k.adapter == adapter && part.order > newest.order {
			newest = part
		}
	}
	return newest, newest.order > 0
}

// process keeps a whole prompt for a run under k. fetched are the leading parts that
// another server returned. It returns the parts that the run used although they were made
// under other versions than those of k.
func (m *promptMemory) process(k memoryKey, ids []string, fetched []keptPart) []StalePart {
	for _, part := range fetched[min(len(m.leading(k, ids)), len(fetched)):] {
		m.keep(k, part.ID, part.MadeUnder)
	}
	used := m.leading(k, ids)
	for _, id := range ids[len(used):] {
		m.keep(k, id, k.version)
	}
	var stale []StalePart
	for _, part := range used {
		if part.MadeUnder != k.version {
			stale = append(stale, StalePart{ID: part.ID, MadeUnder: part.MadeUnder})
		}
	}
	return stale
}

// dropAdapter drops what is kept for an adapter, under all versions.
func (m *promptMemory) dropAdapter(adapter string) {
	for k := range m.parts {
		if k.adapter == adapter {
			delete(m.parts, k)
		}
	}
}

func (m *promptMemory) dropAll() { clear(m.parts) }

// promptIDs returns the ids of the parts of a request's prompt.
func promptIDs(r *http.Request) []string {
	var ids []string
	for part := range strings.SplitSeq(r.Header.Get("X-Fescuecourse-Prompt-Prefix"), ",") {
		if id, _, ok := strings.Cut(part, ":"); ok {
			ids = append(ids, id)
		}
	}
	return ids
}

const (
	// memoryPath is the path at which fake servers read each other's memory. It stands
	// for the transfer between real servers, whose format is not public.
	memoryPath = "/standin/memory"
	// fetchTimeout bounds a fetch, so that a fault on the link only makes a server
	// process the prompt itself.
	fetchTimeout = 200 * time.Millisecond
)

// serveMemory returns the leading parts of a prompt that the server keeps.
func (s *Server) serveMemory(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	parts := s.memory.leadingOfAnyVersion(q.Get("adapter"), q["part"])
	s.mu.Unlock()
	reply(w, http.StatusOK, parts)
}

// fetchMemory returns the leading parts of a prompt that the server at an address
// keeps.
func (s *Server) fetchMemory(ctx context.Context, address, adapter string, ids []string) ([]keptPart, error) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	target := "http://" + address + memoryPath + "?" + url.Values{"adapter": {adapter}, "part": ids}.Encode()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return nil, errors.Wrap(err, "build fetch of prompt memory")
	}
	resp, err := s.peers.Do(req)
	if err != nil {
		return nil, errors.Wrap(err, "fetch prompt memory")
	}
	defer resp.Body.Close()
	var parts []keptPart
	err = json.NewDecoder(resp.Body).Decode(&parts)
	return parts, errors.Wrap(err, "decode prompt memory")
}

// readPrompt processes the prompt of a run, with the memory of the server that
// Kv-Fetch names if there is one, and records what of it does not fit the run.
func (s *Server) readPrompt(r *http.Request, run *Run) {
	ids := promptIDs(r)
	var fetched []keptPart
	if from := r.Header.Get("Kv-Fetch"); from != "" {
		// After a failed fetch, the server processes the whole prompt itself.
		fetched, _ = s.fetchMemory(r.Context(), from, run.Adapter, ids)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	key := memoryKey{adapter: run.Adapter, version: MemoryVersion{Weights: run.Weights, Adapter: run.Version, Software: run.Software}}
	run.StaleMemory = s.memory.process(key, ids, fetched)
	run.Fetched = len(fetched) > 0
}
