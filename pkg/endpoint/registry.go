package endpoint

import (
	"context"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/fescuecourse/fescuecourse/pkg/ident"
)

// errEngineRestarted is the cause of the end of runs that were started before a
// restart of the engine.
var errEngineRestarted = errors.New("engine restarted")

// runRegistry holds the started runs, so that an engine restart ends them.
type runRegistry struct {
	mu       sync.Mutex
	restarts uint64
	cancels  map[ident.AttemptID]context.CancelCauseFunc
}

// current returns the number of engine restarts noticed so far.
func (r *runRegistry) current() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.restarts
}

// add registers a run that was started when current returned boot.
func (r *runRegistry) add(id ident.AttemptID, restarts uint64, cancel context.CancelCauseFunc) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if restarts != r.restarts {
		cancel(errEngineRestarted)
		return
	}
	r.cancels[id] = cancel
}

func (r *runRegistry) remove(id ident.AttemptID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.cancels, id)
}

// restarted ends all runs.
func (r *runRegistry) restarted() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.restarts++
	for _, cancel := range r.cancels {
		cancel(errEngineRestarted)
	}
	clear(r.cancels)
}
