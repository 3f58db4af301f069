package demo

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fescuecourse/fescuecourse/pkg/entry"
	"github.com/fescuecourse/fescuecourse/pkg/node"
)

// Timeout and poll interval for the start of an entry.
const (
	entryReadyTimeout = 30 * time.Second
	entryPoll         = 20 * time.Millisecond
)

// EntryServer is one entry VM of the cluster. Its process can be stopped and
// restarted at the same address.
type EntryServer struct {
	c        *Cluster
	settings entry.Settings

	mu      sync.Mutex
	process *process
	node    *node.Entry
	store   *processStore
	// generation is incremented by every start and stop. It shows whether one of these
	// occurred during a request.
	generation int
}

func (c *Cluster) startEntry(i int) error {
	listen := "127.0.0.1:0"
	if i == 0 {
		listen = c.Opts.EntryListen
	}
	e := &EntryServer{c: c, settings: entry.Settings{
		ID: fmt.Sprintf("entry-%d", i+1), Zone: c.entryZone(i), Listen: listen, VMList: c.vmListAddrs[i],
		DefaultDeadline: 30 * time.Second, MaxDeadline: 10 * time.Minute, MaxBodyBytes: 3 << 20,
		UnreadyDelay: c.Opts.UnreadyDelay, DrainTimeout: c.Opts.DrainTimeout, PlacementPolicy: c.Opts.Policy.Placement,
	}}
	if err := e.Start(); err != nil {
		return err
	}
	e.settings.Listen = e.node.Addr()
	c.Entries = append(c.Entries, e)
	return nil
}

// Addr returns the address (host:port), which does not change after a restart.
func (e *EntryServer) Addr() string { return e.settings.Listen }

// Start starts a new process. It retries while the address is still in use.
func (e *EntryServer) Start() error {
	deadline := time.Now().Add(entryReadyTimeout)
	for {
		err := e.start()
		if !errors.Is(err, syscall.EADDRINUSE) || time.Now().After(deadline) {
			return err
		}
		time.Sleep(entryPoll)
	}
}

func (e *EntryServer) start() error {
	store := &processStore{Store: e.c.store()}
	n, err := node.NewEntry(e.settings, e.c.nodePlatform(store))
	if err != nil {
		return err
	}
	p := startProcess(n.Run)
	select {
	case <-n.Ready():
	case <-p.done:
		return p.err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.process, e.node, e.store = p, n, store
	e.generation++
	return nil
}

// Leave stops the process gracefully.
func (e *EntryServer) Leave() error { return e.detachProcess().stop() }

// Kill ends the process without draining it.
func (e *EntryServer) Kill() error {
	e.mu.Lock()
	n, store := e.node, e.store
	e.mu.Unlock()
	p := e.detachProcess()
	store.killed.Store(true)
	n.Kill()
	return p.wait()
}

// detachProcess marks the process as ended and returns it.
func (e *EntryServer) detachProcess() *process {
	e.mu.Lock()
	defer e.mu.Unlock()
	p := e.process
	e.process = nil
	e.generation++
	return p
}

func (e *EntryServer) current() *node.Entry {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.node
}

func (e *EntryServer) running() *process {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.process
}

// live returns the generation of the process and whether it is running.
func (e *EntryServer) live() (int, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.generation, e.process != nil
}

// waitReady waits until the entry reports ready.
func (e *EntryServer) waitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, entryReadyTimeout)
	defer cancel()
	for {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+e.Addr()+"/readyz", http.NoBody)
		if err != nil {
			return errors.Wrap(err, "build HTTP request")
		}
		resp, err := http.DefaultClient.Do(req)
		if err == nil {
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return nil
			}
		}
		select {
		case <-ctx.Done():
			return errors.Newf("timed out waiting for entry %s to be ready", e.settings.ID)
		case <-time.After(entryPoll):
		}
	}
}
