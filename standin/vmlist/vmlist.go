// Package vmlist is a fake of the platform's list of VMs.
package vmlist

import (
	"encoding/json"
	"net/http"
	"sync"

	"github.com/go-chi/chi/v5"

	"github.com/fescuecourse/fescuecourse/pkg/ident"
	"github.com/fescuecourse/fescuecourse/pkg/vmlist"
)

// Server serves a list of VMs.
type Server struct {
	mu  sync.Mutex
	vms []vmlist.VM
}

// New returns a server with an empty list.
func New() *Server { return &Server{} }

// Put adds a VM or replaces the entry of the same endpoint.
func (s *Server) Put(vm vmlist.VM) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := range s.vms {
		if s.vms[i].Endpoint == vm.Endpoint {
			s.vms[i] = vm
			return
		}
	}
	s.vms = append(s.vms, vm)
}

// Remove drops the VM of an endpoint from the list.
func (s *Server) Remove(id ident.EndpointID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := range s.vms {
		if s.vms[i].Endpoint == id {
			s.vms = append(s.vms[:i], s.vms[i+1:]...)
			return
		}
	}
}

// Handler returns the HTTP surface.
func (s *Server) Handler() http.Handler {
	r := chi.NewRouter()
	r.Get("/v1/vms", func(w http.ResponseWriter, _ *http.Request) {
		s.mu.Lock()
		list := vmlist.List{VMs: append([]vmlist.VM(nil), s.vms...)}
		s.mu.Unlock()
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(list)
	})
	return r
}
