// Package node assembles the entry and endpoint processes: it connects each role
// with the components that use the key-value service, which are bundles, the engine
// lease and claims of idempotency keys.
package node

import (
	"context"

	"github.com/fescuecourse/fescuecourse/pkg/bundle"
	"github.com/fescuecourse/fescuecourse/pkg/endpoint"
	"github.com/fescuecourse/fescuecourse/pkg/ident"
	"github.com/fescuecourse/fescuecourse/pkg/kv"
	"github.com/fescuecourse/fescuecourse/pkg/lease"
	"github.com/fescuecourse/fescuecourse/pkg/logging"
	"github.com/fescuecourse/fescuecourse/pkg/rollout"
)

// Dependencies are the external dependencies of a process.
type Dependencies struct {
	Store kv.Store
	// Reviewers are the initial reviewers, trusted until a bundle is active.
	Reviewers bundle.Reviewers
	Log       logging.Logger
}

// Endpoint is an endpoint process with its bundle and its engine lease.
type Endpoint struct {
	*endpoint.Endpoint
	leases         *lease.Manager
	metricsAddress string
}

// NewEndpoint returns an endpoint process, which has no bundle until an entry
// offers one. A service endpoint has no engine and therefore takes no engine lease.
func NewEndpoint(set endpoint.Settings, deps Dependencies) *Endpoint {
	bundles := &rollout.Holder{}
	n := &Endpoint{metricsAddress: set.MetricsListen}
	var authority endpoint.Authority = endpoint.StaticAuthority{}
	if set.Kind == endpoint.KindModel {
		n.leases = lease.New(leaseSettings(&set), deps.Store, deps.Log)
		authority = n.leases
	}
	n.Endpoint = endpoint.New(set, bundles, authority, deps.Log)
	n.UseSyncer(rollout.NewSyncer(bundles, deps.Reviewers, deps.Log))
	return n
}

func leaseSettings(set *endpoint.Settings) lease.Settings {
	return lease.Settings{
		Endpoint:           ident.EndpointID(set.ID),
		EngineChecksTokens: set.Fencing == endpoint.FencingChecked,
		TTL:                set.LeaseTTL,
		RenewInterval:      set.LeaseTTL / renewalsPerTTL,
	}
}

// renewalsPerTTL is the number of lease renewals per time to live (TTL). After a failed
// renewal, two thirds of the TTL remain for retries.
const renewalsPerTTL = 3

// Run serves until ctx is done and returns after the drain. It releases the lease only
// after the drain, when every command has been answered or has passed its deadline.
func (n *Endpoint) Run(ctx context.Context) error {
	metricsCtx, stopMetrics := context.WithCancel(context.Background())
	defer stopMetrics()
	if err := serveMetrics(metricsCtx, n.metricsAddress); err != nil {
		return err
	}
	if n.leases == nil {
		return n.Endpoint.Run(ctx)
	}
	leaseCtx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		n.leases.Run(leaseCtx)
	}()
	err := n.Endpoint.Run(ctx)
	stop()
	<-done
	return err
}
