// Package demo runs a whole deployment in one process on loopback: fake outside
// systems, entries and endpoints with real sockets.
package demo

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fescuecourse/fescuecourse/pkg/bundle"
	"github.com/fescuecourse/fescuecourse/pkg/endpoint"
	"github.com/fescuecourse/fescuecourse/pkg/entry"
	"github.com/fescuecourse/fescuecourse/pkg/ident"
	"github.com/fescuecourse/fescuecourse/pkg/logging"
	"github.com/fescuecourse/fescuecourse/pkg/rollout"
	"github.com/fescuecourse/fescuecourse/pkg/vmlist"
	fakeengine "github.com/fescuecourse/fescuecourse/standin/engine"
	fakeservice "github.com/fescuecourse/fescuecourse/standin/service"
	fakevmlist "github.com/fescuecourse/fescuecourse/standin/vmlist"
	"github.com/fescuecourse/fescuecourse/standin/weightstore"
)

// Names used by the demo deployment.
const (
	BaseModel = "kuma-7b"
	Service   = "desk"
)

// Team is one team of the demo with its API key.
type Team struct {
	Name     ident.Team
	Key      string
	Weight   int
	Adapters int
}

// Options configure a cluster.
type Options struct {
	Entries          int
	ModelServers     int
	ServiceServers   int
	Slots            int
	Positions        int
	LoadsPerSecond   float64
	Prefill          time.Duration
	Decode           time.Duration
	Teams            []Team
	Log              logging.Logger
	EntryListen      string
	UnreadyDelay     time.Duration
	AvailabilityZone []string
}

// DefaultOptions returns 2 entries, 2 model servers and 1 service server.
func DefaultOptions() Options {
	return Options{
		Entries: 2, ModelServers: 2, ServiceServers: 1,
		Slots: 8, Positions: 16, LoadsPerSecond: 40,
		Prefill: 5 * time.Millisecond, Decode: time.Millisecond,
		Teams: []Team{
			{Name: "tokachi", Key: "demo-key-tokachi", Weight: 10, Adapters: 24},
			{Name: "adwenpa", Key: "demo-key-adwenpa", Weight: 1, Adapters: 16},
		},
		Log: logging.Nop(), EntryListen: "127.0.0.1:0",
		AvailabilityZone: []string{"obihiro-a", "kushiro-b", "kitami-c"},
	}
}

// Cluster is a running deployment.
type Cluster struct {
	Opts     Options
	Entries  []*entry.Entry
	Engines  []*fakeengine.Server
	Services []*fakeservice.Server
	Weights  *weightstore.Store
	VMs      *fakevmlist.Server

	bundle  *bundle.Bundle
	cancels []context.CancelFunc
	servers []*http.Server
	wg      sync.WaitGroup
	mu      sync.Mutex
	errs    []error
}

// Start brings up all parts and waits until the entries know all endpoints.
func Start(ctx context.Context, opts Options) (*Cluster, error) {
	c := &Cluster{Opts: opts, Weights: weightstore.New(opts.LoadsPerSecond), VMs: fakevmlist.New()}
	b, found := bundle.Parse("demo", BundleText(opts))
	if found != nil {
		return nil, found.Err()
	}
	c.bundle = b
	if err := c.startAll(ctx); err != nil {
		return nil, errors.CombineErrors(err, c.Stop())
	}
	return c, nil
}

func (c *Cluster) startAll(ctx context.Context) error {
	vms, err := c.serve(c.VMs.Handler())
	if err != nil {
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
		if err := c.startEntry(i, vms); err != nil {
			return err
		}
	}
	return c.waitReady(ctx)
}

// serve runs an HTTP handler on loopback and returns its address.
func (c *Cluster) serve(h http.Handler) (string, error) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", errors.Wrap(err, "listen")
	}
	srv := &http.Server{Handler: h, ReadHeaderTimeout: 10 * time.Second}
	c.servers = append(c.servers, srv)
	c.wg.Go(func() { _ = srv.Serve(lis) }) // ends with Close
	return lis.Addr().String(), nil
}

func (c *Cluster) startModelServer(i int) error {
	eng := fakeengine.New(fakeengine.Options{
		BaseModel: BaseModel, Slots: c.Opts.Slots, Positions: c.Opts.Positions,
		Timing:  fakeengine.Timing{Prefill: c.Opts.Prefill, Decode: c.Opts.Decode},
		Weights: c.Weights,
	})
	addr, err := c.serve(eng.Handler())
	if err != nil {
		return err
	}
	c.Engines = append(c.Engines, eng)
	return c.startEndpoint(fmt.Sprintf("model-%d", i+1), endpoint.KindModel, BaseModel, addr, i)
}

func (c *Cluster) startServiceServer(i int) error {
	svc := fakeservice.New(time.Millisecond)
	addr, err := c.serve(svc.Handler())
	if err != nil {
		return err
	}
	c.Services = append(c.Services, svc)
	return c.startEndpoint(fmt.Sprintf("%s-%d", Service, i+1), endpoint.KindService, Service, addr, i)
}

func (c *Cluster) startEndpoint(id, kind, backend, addr string, i int) error {
	zone := c.Opts.AvailabilityZone[i%len(c.Opts.AvailabilityZone)]
	set := endpoint.Settings{
		ID: id, Zone: zone, Listen: "127.0.0.1:0", Kind: kind, Backend: backend, Address: addr,
		MaxQueued: 256, Positions: c.Opts.Positions, DrainTimeout: time.Minute, Fencing: endpoint.FencingIgnored,
	}
	h := &rollout.Holder{}
	h.Adopt(c.bundle)
	ep := endpoint.New(set, h, endpoint.StaticAuthority{}, c.Opts.Log)
	c.run(ep.Run)
	<-ep.Ready()
	c.VMs.Put(vmlist.VM{Endpoint: ident.EndpointID(id), Zone: ident.AvailabilityZone(zone), Address: ep.Addr(), State: vmlist.StateLive})
	return nil
}

func (c *Cluster) startEntry(i int, vms string) error {
	listen := "127.0.0.1:0"
	if i == 0 {
		listen = c.Opts.EntryListen
	}
	set := entry.Settings{
		ID: fmt.Sprintf("entry-%d", i+1), Zone: c.Opts.AvailabilityZone[i%len(c.Opts.AvailabilityZone)], Listen: listen, VMList: vms,
		DefaultDeadline: 30 * time.Second, MaxDeadline: 10 * time.Minute, MaxBodyBytes: 4 << 20,
		UnreadyDelay: c.Opts.UnreadyDelay, DrainTimeout: time.Minute,
	}
	h := &rollout.Holder{}
	h.Adopt(c.bundle)
	e, err := entry.New(set, h, c.Opts.Log)
	if err != nil {
		return err
	}
	failed := c.run(e.Run)
	select {
	case <-e.Ready():
	case err := <-failed:
		return err
	}
	c.Entries = append(c.Entries, e)
	return nil
}

// run starts a process in a goroutine. Its error is delivered on the channel
// and by Stop.
func (c *Cluster) run(fn func(context.Context) error) <-chan error {
	ctx, cancel := context.WithCancel(context.Background())
	c.cancels = append(c.cancels, cancel)
	failed := make(chan error, 1)
	c.wg.Go(func() {
		err := fn(ctx)
		failed <- err
		c.mu.Lock()
		defer c.mu.Unlock()
		c.errs = append(c.errs, err)
	})
	return failed
}

// waitReady waits until every entry reports ready and knows all endpoints.
func (c *Cluster) waitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, 10*time.Second)
	defer cancel()
	want := c.Opts.ModelServers + c.Opts.ServiceServers
	for _, e := range c.Entries {
		for e.ReadyEndpoints() < want {
			select {
			case <-ctx.Done():
				return errors.New("endpoints are not ready in time")
			case <-time.After(10 * time.Millisecond):
			}
		}
	}
	return nil
}

// Stop stops the entries first, then the endpoints, then the fakes.
func (c *Cluster) Stop() error {
	for i := len(c.cancels) - 1; i >= 0; i-- {
		c.cancels[i]()
	}
	for _, s := range c.servers {
		defer s.Close()
	}
	done := make(chan struct{})
	go func() {
		time.Sleep(50 * time.Millisecond)
		close(done)
	}()
	<-done
	for _, s := range c.servers {
		s.Close()
	}
	c.wg.Wait()
	c.mu.Lock()
	defer c.mu.Unlock()
	return errors.Join(c.errs...)
}

// BundleText returns the configuration bundle of the demo.
func BundleText(opts Options) string {
	var b strings.Builder
	b.WriteString("[bundle]\nversion = 1\n\n[deployment]\nname = demo\nstall_weight = 0.8\nbatch_weight = 0.2\n\n")
	for _, t := range opts.Teams {
		sum := sha256.Sum256([]byte(t.Key))
		fmt.Fprintf(&b, "[team %q]\nkey_sha256 = %s\nweight = %d\nmax_in_flight = 1000\nrate = 10000\n\n", t.Name, hex.EncodeToString(sum[:]), t.Weight)
		for i := range t.Adapters {
			fmt.Fprintf(&b, "[adapter \"%s/%s\"]\nbase_model = %s\nversions = 1, 2\ncurrent = 2\n\n", t.Name, AdapterName(i), BaseModel)
		}
	}
	fmt.Fprintf(&b, "[service %q]\n\n[route \"%s/status\"]\nidempotent = true\n", Service, Service)
	return b.String()
}

// AdapterName returns the name of the i-th adapter of a demo team.
func AdapterName(i int) string { return fmt.Sprintf("adapter-%03d", i+1) }
