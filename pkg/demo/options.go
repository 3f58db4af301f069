package demo

import (
	"time"

	"github.com/fescuecourse/fescuecourse/pkg/ident"
	"github.com/fescuecourse/fescuecourse/pkg/logging"
	"github.com/fescuecourse/fescuecourse/pkg/workload"
)

// Names used by the demo deployment.
const (
	BaseModel = "kuma-7b"
	Service   = "desk"
)

// Options configure a cluster.
type Options struct {
	Name           string
	Entries        int
	ModelServers   int
	ServiceServers int
	Service        string
	Slots          int
	Positions      int
	LoadsPerSecond float64
	Prefill        time.Duration
	Decode         time.Duration
	ServiceDelay   time.Duration
	Teams          []workload.Team
	Log            logging.Logger
	EntryListen    string
	UnreadyDelay   time.Duration
	// DrainTimeout bounds every graceful stop.
	DrainTimeout     time.Duration
	AvailabilityZone []string
	// Relays puts a TCP relay between each entry and each endpoint, so that faults
	// can be injected into their connections. The relays add OneWayLatency to
	// connections between zones.
	Relays        bool
	OneWayLatency time.Duration
	// Residents are the adapters that are resident at the start. They are
	// distributed over the engines, up to the number of their slots.
	Residents []ident.Adapter
	// EngineVersions are the versions of the engines, in turn. All engines report no
	// version if there are none.
	EngineVersions []ident.EngineVersion
	// VMListLag is the delay until changes appear on the VM list.
	VMListLag time.Duration
	// LeaseTTL is the time to live of engine leases.
	LeaseTTL time.Duration
	// StallWeight and BatchWeight are the weights in the bundle.
	StallWeight float64
	BatchWeight float64
	Policy      Policy
	// FaultSeed is the seed of the fault injectors of the fakes.
	FaultSeed uint64
}

// DefaultOptions returns the options of a cluster with 2 entries, 2 model servers
// and 1 service server.
func DefaultOptions() Options {
	return Options{
		Name:    "demo",
		Entries: 2, ModelServers: 2, ServiceServers: 1, Service: Service,
		Slots: 8, Positions: 16, LoadsPerSecond: 40,
		Prefill: 5 * time.Millisecond, Decode: time.Millisecond, ServiceDelay: time.Millisecond,
		Teams: []workload.Team{
			{Name: "tokachi", Key: "demo-key-tokachi", Weight: 10, Priority: ident.PriorityNormal, Adapters: 24, Share: 0.6, Dominant: true},
			{Name: "adwenpa", Key: "demo-key-adwenpa", Weight: 1, Priority: ident.PriorityNormal, Adapters: 16, Share: 0.4},
		},
		Log: logging.Nop(), EntryListen: "127.0.0.1:0", DrainTimeout: time.Minute, LeaseTTL: 5 * time.Second,
		StallWeight: 0.8, BatchWeight: 0.2,
		AvailabilityZone: []string{"obihiro-a", "kushiro-b", "kitami-c"},
	}
}

// optionsFor returns the options of the cluster that a workload describes.
func optionsFor(spec *workload.Spec) Options {
	d := &spec.Deployment
	opts := DefaultOptions()
	opts.Name = d.Name
	opts.Entries, opts.ModelServers, opts.ServiceServers = d.Entries, d.ModelServers, d.ServiceServers
	opts.Service = d.Service
	opts.Slots, opts.Positions, opts.LoadsPerSecond = d.Slots, d.Positions, d.LoadsPerSecond
	opts.Prefill, opts.Decode = d.Prefill, d.Decode
	opts.StallWeight, opts.BatchWeight = d.StallWeight, d.BatchWeight
	opts.Teams = spec.Teams
	opts.AvailabilityZone = d.Zones
	opts.Relays = d.OneWayLatency > 0
	opts.OneWayLatency = d.OneWayLatency
	if d.Warm {
		opts.Residents = workload.MostPopularAdapters(spec, d.ModelServers*d.Slots)
	}
	return opts
}

// specFor returns the workload of the demo for a cluster.
func specFor(opts *Options, requestsPerSecond float64) *workload.Spec {
	return &workload.Spec{
		Deployment: workload.Deployment{Name: opts.Name, Service: opts.Service},
		Load: workload.Load{
			RequestsPerSecond: requestsPerSecond, ZipfExponent: 1.1,
			ServiceShare: 0.25, NonIdempotentShare: 0.5, KeyedShare: 0.5, StreamShare: 0.5,
			TokensMin: 4, TokensMax: 16, Deadline: 30 * time.Second,
		},
		Teams:     opts.Teams,
		BatchTeam: -1,
	}
}

// BundleText returns the first configuration bundle of a cluster.
func BundleText(opts Options) string { return newContent(&opts).text(&opts) }
