// Package demo runs a whole deployment in one process on loopback: fakes of the
// external systems, and entries and endpoints that communicate over real sockets.
package demo

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fescuecourse/fescuecourse/pkg/bundle"
	"github.com/fescuecourse/fescuecourse/standin/fault"
	"github.com/fescuecourse/fescuecourse/standin/kvstore"
	fakevmlist "github.com/fescuecourse/fescuecourse/standin/vmlist"
	"github.com/fescuecourse/fescuecourse/standin/weightstore"
)

// startTimeout is the longest time to wait until the entries know all endpoints.
const startTimeout = 10 * time.Second

// Cluster is a running deployment.
type Cluster struct {
	Opts    Options
	Entries []*EntryServer
	Servers []*Server
	Weights *weightstore.Store
	// WeightFaults injects the faults of the weight store.
	WeightFaults *fault.Injector
	// VMLists are the VM lists, one for each entry, because each entry reaches the
	// endpoints through its own relays, which have their own addresses.
	VMLists []*fakevmlist.Server

	KV *kvstore.Server

	reviewers bundle.Reviewers
	// root is the root record of the first bundle.
	root        *bundle.Root
	kvProcess   *process
	vmListAddrs []string
	httpServers []*http.Server
	wg          sync.WaitGroup
}

// Start starts all components and waits until the entries know all endpoints.
func Start(ctx context.Context, opts Options) (*Cluster, error) {
	faults := fault.New(opts.FaultSeed, time.Now)
	c := &Cluster{Opts: opts, WeightFaults: faults, Weights: weightstore.New(opts.LoadsPerSecond, faults)}
	if err := c.startAll(ctx); err != nil {
		return nil, errors.CombineErrors(err, c.Stop())
	}
	return c, nil
}

func (c *Cluster) startAll(ctx context.Context) error {
	if err := c.startKV(ctx); err != nil {
		return err
	}
	if err := c.startVMLists(); err != nil {
		return err
	}
	for i := range c.Opts.ModelServers {
		if err := c.startModelServer(i); err != nil {
			return err
		}
	}
	for i := range c.Opts.ServiceServers {
		if err := c.startServiceServer(i); err != nil {
			return err
		}
	}
	for i := range c.Opts.Entries {
		if err := c.startEntry(i); err != nil {
			return err
		}
	}
	if err := c.waitReady(ctx); err != nil {
		return err
	}
	for _, vms := range c.VMLists {
		vms.SetLag(c.Opts.VMListLag)
	}
	return nil
}

func (c *Cluster) startVMLists() error {
	for range c.Opts.Entries {
		vms := fakevmlist.New()
		addr, err := c.serve(vms.Handler())
		if err != nil {
			return err
		}
		c.VMLists = append(c.VMLists, vms)
		c.vmListAddrs = append(c.vmListAddrs, addr)
	}
	return nil
}

// serve serves an HTTP handler on loopback and returns its address (host:port).
func (c *Cluster) serve(h http.Handler) (string, error) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", errors.Wrap(err, "listen on loopback")
	}
	srv := &http.Server{Handler: h, ReadHeaderTimeout: 10 * time.Second}
	c.httpServers = append(c.httpServers, srv)
	c.wg.Go(func() { _ = srv.Serve(lis) }) // returns after Close
	return lis.Addr().String(), nil
}

func (c *Cluster) entryZone(i int) string {
	return c.Opts.AvailabilityZone[i%len(c.Opts.AvailabilityZone)]
}

// waitReady waits until every entry knows all endpoints.
func (c *Cluster) waitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for _, e := range c.Entries {
		for e.current().ReadyEndpoints() < len(c.Servers) {
			select {
			case <-ctx.Done():
				return errors.New("timed out waiting until every entry knows all endpoints")
			case <-time.After(10 * time.Millisecond):
			}
		}
	}
	return nil
}

// Addrs returns the addresses of all entries.
func (c *Cluster) Addrs() []string {
	var out []string
	for _, e := range c.Entries {
		out = append(out, e.Addr())
	}
	return out
}

// Stop stops the entries gracefully, then the endpoints, then the fakes.
func (c *Cluster) Stop() error {
	var entries []*process
	for _, e := range c.Entries {
		if p := e.running(); p != nil {
			entries = append(entries, p)
		}
	}
	err := stopAll(entries)
	var endpoints []*process
	for _, s := range c.Servers {
		if p := s.current(); p != nil {
			endpoints = append(endpoints, p)
		}
	}
	err = errors.CombineErrors(err, stopAll(endpoints))
	for _, s := range c.Servers {
		for _, r := range s.relays {
			err = errors.CombineErrors(err, r.Close())
		}
	}
	for _, s := range c.httpServers {
		err = errors.CombineErrors(err, s.Close())
	}
	if c.kvProcess != nil {
		err = errors.CombineErrors(err, c.kvProcess.stop())
	}
	c.wg.Wait()
	return err
}

// stopAll stops processes concurrently and waits for all of them.
func stopAll(list []*process) error {
	for _, p := range list {
		p.cancel()
	}
	var err error
	for _, p := range list {
		err = errors.CombineErrors(err, p.wait())
	}
	return err
}
