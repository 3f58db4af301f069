package main

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// storeDelay is the time that the store takes for an answer, as on the sheets.
const storeDelay = 4 * time.Millisecond

// pageItems is the number of items of a page of a list, as in PROTOCOL.md.
const pageItems = 500

type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"created,omitempty"`
	Lease    int64  `json:"lease"`
	Deleted  bool   `json:"deleted,omitempty"`
}

// store is the platform's metadata store. Each machine reaches it at an address of its own, so
// that the store can turn single machines away.
type store struct {
	mu       sync.Mutex
	era      int64
	revision int64
	items    map[string]item
	history  []item
	oldest   int64 // watches from before this revision get 410
	changed  chan struct{}
	doors    map[string]*door
}

// door is the address of the store for one machine.
type door struct {
	st      *store
	machine string
	lis     net.Listener
	srv     *http.Server
	// refuse answers all calls with 503.
	refuse atomic.Bool
	// read is the highest revision up to which a watch of the machine was answered.
	read atomic.Int64
	// rejectWatch makes the store answer the next call of a watch with 503.
	rejectWatch atomic.Bool
}

func newStore() *store {
	return &store{era: 1, revision: 1, items: map[string]item{}, changed: make(chan struct{}), doors: map[string]*door{}}
}

// open returns the address of the store for a machine.
func (s *store) open(machine string) string {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	check(err)
	d := &door{st: s, machine: machine, lis: lis}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/kv-key", d.get)
	mux.HandleFunc("GET /api/kv-range", d.list)
	mux.HandleFunc("GET /api/kv-watch", d.watch)
	d.srv = &http.Server{Handler: d.guard(mux)}
	go d.srv.Serve(lis)
	s.mu.Lock()
	s.doors[machine] = d
	s.mu.Unlock()
	return lis.Addr().String()
}

func (s *store) put(key, value string) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	created := s.revision
	if old, ok := s.items[key]; ok {
		created = old.Created
	}
	it := item{Key: key, Value: []byte(value), Revision: s.revision, Created: created}
	s.items[key] = it
	s.record(it)
	return s.revision
}

func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.items[key]; !ok {
		return
	}
	s.revision++
	delete(s.items, key)
	s.record(item{Key: key, Revision: s.revision, Deleted: true})
}

func (s *store) record(it item) {
	s.history = append(s.history, it)
	close(s.changed)
	s.changed = make(chan struct{})
}

// snapshot is a copy from which the store may come back.
type snapshot struct {
	revision int64
	items    map[string]item
}

func (s *store) copy() snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := snapshot{revision: s.revision, items: map[string]item{}}
	for k, v := range s.items {
		c.items[k] = v
	}
	return c
}

// restore returns the store to a copy. It has no history from before.
func (s *store) restore(c snapshot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era++
	s.revision, s.items, s.history, s.oldest = c.revision, map[string]item{}, nil, c.revision
	for k, v := range c.items {
		s.items[k] = v
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

func (d *door) guard(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(storeDelay)
		d.st.mu.Lock()
		w.Header().Set("Store-Era", strconv.FormatInt(d.st.era, 10))
		d.st.mu.Unlock()
		if d.refuse.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		next.ServeHTTP(w, r)
	})
}

func (d *door) reply(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(v)
}

func (d *door) get(w http.ResponseWriter, r *http.Request) {
	d.st.mu.Lock()
	it, ok := d.st.items[r.URL.Query().Get("key")]
	d.st.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	d.reply(w, it)
}

func (d *door) list(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	d.st.mu.Lock()
	var keys []string
	for k := range d.st.items {
		if strings.HasPrefix(k, prefix) && (after == "" || k > after) {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	out := struct {
		Items     []item `json:"items"`
		Truncated bool   `json:"truncated"`
		AsOf      int64  `json:"asOf"`
	}{Items: []item{}, AsOf: d.st.revision}
	if len(keys) > pageItems {
		keys, out.Truncated = keys[:pageItems], true
	}
	for _, k := range keys {
		out.Items = append(out.Items, d.st.items[k])
	}
	d.st.mu.Unlock()
	d.reply(w, out)
}

func (d *door) watch(w http.ResponseWriter, r *http.Request) {
	prefix := r.URL.Query().Get("prefix")
	after, err := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	wait, err2 := strconv.Atoi(r.URL.Query().Get("waitMs"))
	if err != nil || err2 != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(wait)*time.Millisecond)
	defer cancel()
	if d.rejectWatch.CompareAndSwap(true, false) {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	d.st.mu.Lock()
	era := d.st.era
	d.st.mu.Unlock()
	for {
		d.st.mu.Lock()
		if d.st.era != era || after < d.st.oldest || after > d.st.revision {
			w.Header().Set("Store-Era", strconv.FormatInt(d.st.era, 10))
			d.st.mu.Unlock()
			w.WriteHeader(http.StatusGone)
			return
		}
		out := struct {
			Events []item `json:"events"`
			AsOf   int64  `json:"asOf"`
		}{Events: []item{}, AsOf: d.st.revision}
		for _, e := range d.st.history {
			if e.Revision > after && strings.HasPrefix(e.Key, prefix) {
				out.Events = append(out.Events, e)
			}
		}
		changed := d.st.changed
		d.st.mu.Unlock()
		if d.refuse.Load() {
			w.WriteHeader(http.StatusServiceUnavailable) // a watch that waits may be cut
			return
		}
		if len(out.Events) > 0 || ctx.Err() != nil {
			if r.Context().Err() == nil {
				d.reply(w, out)
				d.read.Store(out.AsOf)
			}
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}

// turnAway makes the store answer 503 to the calls of a machine, or serve it again.
func (s *store) turnAway(machine string, refuse bool) {
	s.mu.Lock()
	d := s.doors[machine]
	d.refuse.Store(refuse)
	close(s.changed) // cuts the watches that wait
	s.changed = make(chan struct{})
	s.mu.Unlock()
}

// turnAllAway makes the store answer 503 to all calls, or serve again.
func (s *store) turnAllAway(refuse bool) {
	s.mu.Lock()
	var names []string
	for n := range s.doors {
		names = append(names, n)
	}
	s.mu.Unlock()
	for _, n := range names {
		s.turnAway(n, refuse)
	}
}
