package endpoint

import (
	"context"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/fescuecourse/fescuecourse/pkg/ident"
)

// errEngineRestarted is the cancellation cause of runs that were started before a
// restart of the engine.
var errEngineRestarted = errors.New("engine restarted")

// runRegistry tracks the running attempts, so that they can be cancelled when the
// engine restarts.
type runRegistry struct {
	mu       sync.Mutex
	restarts uint64
	cancels  map[ident.AttemptID]context.CancelCauseFunc
}

// current returns the number of engine restarts detected so far.
func (r *runRegistry) current() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.restarts
}

// add registers a run for which current returned restarts when it started. If the
// engine has restarted since, add cancels the run at once.
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

// restarted cancels all runs and increments the restart count.
func (r *runRegistry) restarted() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.restarts++
	for _, cancel := range r.cancels {
		cancel(errEngineRestarted)
	}
	clear(r.cancels)
}
