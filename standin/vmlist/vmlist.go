// Package vmlist is a fake of the platform's service that lists VMs.
package vmlist

import (
	"encoding/json"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"

	"github.com/fescuecourse/fescuecourse/pkg/ident"
	"github.com/fescuecourse/fescuecourse/pkg/vmlist"
)

// change is an update of the list that becomes visible at its due time.
type change struct {
	due    time.Time
	vm     vmlist.VM
	remove bool
}

// Server serves a list of VMs.
type Server struct {
	mu      sync.Mutex
	lag     time.Duration
	pending []change
	vms     []vmlist.VM
}

// New returns a server with an empty list.
func New() *Server { return &Server{} }

// SetLag sets the time after which subsequent changes become visible.
func (s *Server) SetLag(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lag = d
}

// Put adds a VM, or replaces the VM of the same endpoint.
func (s *Server) Put(vm vmlist.VM) { s.add(change{vm: vm}) }

// Remove removes the VM of an endpoint from the list.
func (s *Server) Remove(id ident.EndpointID) {
	s.add(change{vm: vmlist.VM{Endpoint: id}, remove: true})
}

func (s *Server) add(c change) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c.due = time.Now().Add(s.lag)
	s.pending = append(s.pending, c)
}

// visibleList applies the changes that are due and returns the list.
func (s *Server) visibleList(now time.Time) vmlist.List {
	s.mu.Lock()
	defer s.mu.Unlock()
	for len(s.pending) > 0 && !now.Before(s.pending[0].due) {
		s.apply(s.pending[0])
		s.pending = s.pending[1:]
	}
	return vmlist.List{VMs: slices.Clone(s.vms)}
}

func (s *Server) apply(c change) {
	i := slices.IndexFunc(s.vms, func(vm vmlist.VM) bool { return vm.Endpoint == c.vm.Endpoint })
	switch {
	case c.remove && i >= 0:
		s.vms = slices.Delete(s.vms, i, i+1)
	case c.remove:
	case i >= 0:
		s.vms[i] = c.vm
	default:
		s.vms = append(s.vms, c.vm)
	}
}

// Handler returns the HTTP handler of the API.
func (s *Server) Handler() http.Handler {
	r := chi.NewRouter()
	r.Get("/v1/vms", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(s.visibleList(time.Now())) // the client may have disconnected
	})
	return r
}
