package platform

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/fescuecourse/fescuecourse/pkg/kv"
	"github.com/fescuecourse/fescuecourse/standin/kvstore"
)

// Store is a fake metadata store that listens on a loopback port.
type Store struct {
	mem *kvstore.Memory
	srv *httptest.Server

	mu     sync.Mutex
	faults StoreFaults
	calls  int
	// era is the number of restores, counted from 1.
	era uint64
}

// StoreFaults are the injected faults of a store. The zero value has none.
type StoreFaults struct {
	// FailStatus is the HTTP status with which every call fails. A negative value makes
	// every call hang.
	FailStatus int
	// CompactedRevision is the revision before which watches cannot start: they get
	// status 410.
	CompactedRevision int64
	// SuppressEvents makes watches time out without events.
	SuppressEvents bool
	// PageSize is the maximum number of items of one page. Zero means 500.
	PageSize int
}

// NewStore starts an empty store. The caller must close it.
func NewStore() *Store {
	s := &Store{mem: kvstore.NewMemory(time.Now), era: 1}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/kv-key", s.key)
	mux.HandleFunc("GET /api/kv-range", s.listRange)
	mux.HandleFunc("GET /api/kv-watch", s.watch)
	mux.HandleFunc("POST /api/kv-txn", s.txn)
	mux.HandleFunc("POST /api/kv-lease", s.grant)
	mux.HandleFunc("POST /api/kv-keep/{id}", s.keepAlive)
	mux.HandleFunc("DELETE /api/kv-lease-end/{id}", s.endLease)
	s.srv = httptest.NewServer(s.injectFaults(mux))
	return s
}

// Address returns the address (host:port) of the store.
func (s *Store) Address() string { return s.srv.Listener.Addr().String() }

// Close stops the store.
func (s *Store) Close() {
	s.srv.CloseClientConnections()
	s.srv.Close()
}

// Memory returns the in-memory store that holds the items.
func (s *Store) Memory() *kvstore.Memory { return s.mem }

// SetFaults replaces the injected faults.
func (s *Store) SetFaults(f StoreFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Calls returns the number of calls received so far.
func (s *Store) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// Restore returns the store to an earlier copy of its items and closes all
// connections.
func (s *Store) Restore(c kvstore.Copy) {
	s.mu.Lock()
	s.era++
	s.mem.Restore(c)
	s.mu.Unlock()
	s.srv.CloseClientConnections()
}

// CloseConnections closes all connections, including those of watches.
func (s *Store) CloseConnections() { s.srv.CloseClientConnections() }

// Put stores an item without a lease, as the operator and the servers do, and returns
// its revision.
func (s *Store) Put(key, value string) int64 {
	r, err := s.mem.Txn(context.Background(), kv.Txn{Ops: []kv.Op{{Type: kv.OpPut, Key: key, Value: []byte(value)}}})
	if err != nil {
		panic(err) // a put without a lease cannot fail
	}
	return r.Revision
}

// Remove deletes an item.
func (s *Store) Remove(key string) {
	if _, err := s.mem.Txn(context.Background(), kv.Txn{Ops: []kv.Op{{Type: kv.OpDelete, Key: key}}}); err != nil {
		panic(err) // a delete cannot fail
	}
}

func (s *Store) currentFaults() StoreFaults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

func (s *Store) injectFaults(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		s.calls++
		down := s.faults.FailStatus
		w.Header().Set("Store-Era", strconv.FormatUint(s.era, 10))
		s.mu.Unlock()
		switch {
		case down < 0:
			<-r.Context().Done()
		case down > 0:
			w.WriteHeader(down)
		default:
			next.ServeHTTP(w, r)
		}
	})
}

type storedItem struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"created,omitempty"`
	Lease    int64  `json:"lease"`
	Deleted  bool   `json:"deleted,omitempty"`
	AsOf     int64  `json:"asOf,omitempty"`
}

func toStoredItem(p kv.Pair) storedItem {
	return storedItem{Key: p.Key, Value: p.Value, Revision: p.ModRevision, Created: p.CreateRevision, Lease: int64(p.Lease)}
}

func reply(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v) // the client may have disconnected
}

func (s *Store) key(w http.ResponseWriter, r *http.Request) {
	p, err := s.mem.Get(r.Context(), r.URL.Query().Get("key"))
	if err != nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	item := toStoredItem(p)
	item.AsOf = s.mem.Revision()
	reply(w, http.StatusOK, item)
}

const defaultPageSize = 500

func (s *Store) listRange(w http.ResponseWriter, r *http.Request) {
	pairs, revision, err := s.mem.List(r.Context(), r.URL.Query().Get("prefix"))
	if err != nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	size := s.currentFaults().PageSize
	if size == 0 {
		size = defaultPageSize
	}
	out := struct {
		Items     []storedItem `json:"items"`
		Truncated bool         `json:"truncated"`
		AsOf      int64        `json:"asOf"`
	}{Items: []storedItem{}, AsOf: revision}
	for _, p := range pairs {
		if p.Key <= r.URL.Query().Get("after") {
			continue
		}
		if len(out.Items) == size {
			out.Truncated = true
			break
		}
		out.Items = append(out.Items, toStoredItem(p))
	}
	reply(w, http.StatusOK, out)
}

func (s *Store) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, err := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, err2 := strconv.Atoi(q.Get("waitMs"))
	if err != nil || err2 != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	f := s.currentFaults()
	if after < f.CompactedRevision || after > s.mem.Revision() {
		w.WriteHeader(http.StatusGone)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(wait)*time.Millisecond)
	defer cancel()
	events, err := s.mem.Watch(ctx, q.Get("prefix"), after+1)
	if err != nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	s.answerWatch(ctx, w, events, f.SuppressEvents, after)
}

// answerWatch waits for the first event and responds with it and all further events
// that are already available.
func (s *Store) answerWatch(ctx context.Context, w http.ResponseWriter, events <-chan kv.Event, suppressEvents bool, after int64) {
	out := struct {
		Events []storedItem `json:"events"`
		AsOf   int64        `json:"asOf"`
	}{Events: []storedItem{}, AsOf: after}
	if suppressEvents {
		<-ctx.Done()
		reply(w, http.StatusOK, out)
		return
	}
	for e := range events {
		item := toStoredItem(e.Pair)
		item.Deleted = e.Type == kv.EventDelete
		out.Events = append(out.Events, item)
		out.AsOf = max(out.AsOf, item.Revision)
		if len(events) == 0 {
			break
		}
	}
	reply(w, http.StatusOK, out)
}

func (s *Store) txn(w http.ResponseWriter, r *http.Request) {
	var in struct {
		Expected []struct {
			Key      string `json:"key"`
			Revision int64  `json:"revision"`
		} `json:"expected"`
		Puts []struct {
			Key   string `json:"key"`
			Value []byte `json:"value"`
			Lease int64  `json:"lease"`
		} `json:"puts"`
		Remove []string `json:"remove"`
	}
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	var t kv.Txn
	for _, c := range in.Expected {
		t.Compares = append(t.Compares, kv.Compare{Key: c.Key, ModRevision: c.Revision})
		t.OnFailure = append(t.OnFailure, c.Key)
	}
	for _, p := range in.Puts {
		// Only the operator and the servers write these keys, with Put.
		if strings.HasPrefix(p.Key, "op/") || strings.HasPrefix(p.Key, "servers/") {
			w.WriteHeader(http.StatusForbidden)
			return
		}
		t.Ops = append(t.Ops, kv.Op{Type: kv.OpPut, Key: p.Key, Value: p.Value, Lease: kv.LeaseID(p.Lease)})
	}
	for _, k := range in.Remove {
		t.Ops = append(t.Ops, kv.Op{Type: kv.OpDelete, Key: k})
	}
	result, err := s.mem.Txn(r.Context(), t)
	switch {
	case err != nil:
		w.WriteHeader(http.StatusNotFound)
	case result.Succeeded:
		reply(w, http.StatusOK, map[string]int64{"revision": result.Revision})
	default:
		items := []storedItem{}
		for _, p := range result.Read {
			items = append(items, toStoredItem(p))
		}
		reply(w, http.StatusPreconditionFailed, map[string]any{"revision": result.Revision, "items": items})
	}
}

func (s *Store) grant(w http.ResponseWriter, r *http.Request) {
	var in struct {
		TTLMS int64 `json:"ttlMs"`
	}
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	id, err := s.mem.Grant(r.Context(), time.Duration(in.TTLMS)*time.Millisecond)
	if err != nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	reply(w, http.StatusOK, map[string]int64{"lease": int64(id), "ttlMs": in.TTLMS})
}

func (s *Store) keepAlive(w http.ResponseWriter, r *http.Request) {
	id, err := strconv.ParseInt(r.PathValue("id"), 10, 64)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	ttl, err := s.mem.KeepAlive(r.Context(), kv.LeaseID(id))
	if err != nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	reply(w, http.StatusOK, map[string]int64{"ttlMs": ttl.Milliseconds()})
}

func (s *Store) endLease(w http.ResponseWriter, r *http.Request) {
	id, err := strconv.ParseInt(r.PathValue("id"), 10, 64)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if err := s.mem.Revoke(r.Context(), kv.LeaseID(id)); err != nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	w.WriteHeader(http.StatusOK)
}
