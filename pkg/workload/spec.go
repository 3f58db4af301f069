// Package workload generates open-loop load for entries, checks the answers and
// records latencies.
package workload

import (
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/fescuecourse/fescuecourse/pkg/config"
	"github.com/fescuecourse/fescuecourse/pkg/ident"
)

// Team is a team of a workload and its API key.
type Team struct {
	Name     ident.Team
	Key      string
	Weight   int
	Priority ident.Priority
	Adapters int
	// Share is the team's fraction of the interactive requests, 0 to 1.
	Share float64
	// Dominant marks the dominant team. Reports show it separately from the tail.
	Dominant bool
}

// Deployment describes the size and speed of the deployment under load.
type Deployment struct {
	Name           string
	Zones          []string
	OneWayLatency  time.Duration
	Entries        int
	ModelServers   int
	ServiceServers int
	Service        string
	Adapters       int
	Slots          int
	Positions      int
	LoadsPerSecond float64
	Prefill        time.Duration
	Decode         time.Duration
	// StallWeight and BatchWeight are the weights in the deployment's bundle.
	StallWeight float64
	BatchWeight float64
	// Warm preloads the most popular adapters into the adapter slots.
	Warm bool
}

// Load describes the rate and the mix of the requests.
type Load struct {
	RequestsPerSecond float64
	// ZipfExponent is the skew of adapter popularity. It must be above 1.
	ZipfExponent float64
	// ServiceShare is the fraction of the interactive requests that call plain
	// services. NonIdempotentShare is the fraction of the service calls that must
	// run at most once. KeyedShare is the fraction of these at-most-once calls that
	// have an idempotency key.
	ServiceShare       float64
	NonIdempotentShare float64
	KeyedShare         float64
	StreamShare        float64
	TokensMin          int
	TokensMax          int
	// ShiftAt is when all popularity ranks move by ShiftRanks adapters. Zero means
	// never.
	ShiftAt    time.Duration
	ShiftRanks int
	// BatchAt is when the batch starts. The BatchRequests requests of the batch arrive
	// within BatchSpread.
	BatchAt       time.Duration
	BatchSpread   time.Duration
	BatchRequests int
	Deadline      time.Duration
}

// Spec describes a workload: the deployment, the load and the teams.
type Spec struct {
	Deployment Deployment
	Load       Load
	Teams      []Team
	// BatchTeam is the index of the team that sends the batch, or -1.
	BatchTeam int
}

// teamSettings holds the settings from which the teams are created.
type teamSettings struct {
	dominant       string
	dominantShare  float64
	dominantWeight int
	tail           int
	batchAdapters  int
	// dominantFactor and tailFactor multiply the request rates of the dominant team
	// and of the tail. The adapters of the teams do not change.
	dominantFactor float64
	tailFactor     float64
}

// Read reads a workload from an INI file. The error lists all invalid settings.
func Read(path string) (*Spec, error) {
	s := &Spec{}
	ts := &teamSettings{}
	zones := ""
	set := config.NewSet("workload", io.Discard)
	registerDeployment(set, &s.Deployment, &zones)
	registerLoad(set, &s.Load)
	registerTeams(set, ts)
	if err := set.Parse([]string{"--config", path}); err != nil {
		return nil, err
	}
	for _, z := range strings.Split(zones, ",") {
		s.Deployment.Zones = append(s.Deployment.Zones, strings.TrimSpace(z))
	}
	check(set, s, ts)
	if err := set.Err(); err != nil {
		return nil, err
	}
	s.setTeams(ts)
	s.applyRateFactors(ts)
	return s, nil
}

func registerDeployment(set *config.Set, d *Deployment, zones *string) {
	set.StringVar(&d.Name, "deployment.name", "", "")
	set.StringVar(zones, "deployment.zones", "", "")
	set.DurationVar(&d.OneWayLatency, "deployment.one_way_latency", 0, "")
	set.IntVar(&d.Entries, "deployment.entries", 3, "")
	set.IntVar(&d.ModelServers, "deployment.model_servers", 0, "")
	set.IntVar(&d.ServiceServers, "deployment.service_servers", 0, "")
	set.StringVar(&d.Service, "deployment.service", "", "")
	set.IntVar(&d.Adapters, "deployment.adapters", 0, "")
	set.IntVar(&d.Slots, "deployment.slots", 0, "")
	set.IntVar(&d.Positions, "deployment.positions", 0, "")
	set.Float64Var(&d.LoadsPerSecond, "deployment.loads_per_second", 0, "")
	set.DurationVar(&d.Prefill, "deployment.prefill", 0, "")
	set.DurationVar(&d.Decode, "deployment.decode", 0, "")
	set.Float64Var(&d.StallWeight, "deployment.stall_weight", 0.5, "")
	set.Float64Var(&d.BatchWeight, "deployment.batch_weight", 0.5, "")
	set.BoolVar(&d.Warm, "deployment.warm", false, "")
}

func registerLoad(set *config.Set, l *Load) {
	set.Float64Var(&l.RequestsPerSecond, "load.requests_per_second", 0, "")
	set.Float64Var(&l.ZipfExponent, "load.zipf_exponent", 0, "")
	set.Float64Var(&l.ServiceShare, "load.service_share", 0, "")
	set.Float64Var(&l.NonIdempotentShare, "load.non_idempotent_share", 0, "")
	set.Float64Var(&l.KeyedShare, "load.keyed_share", 0, "")
	set.Float64Var(&l.StreamShare, "load.stream_share", 0, "")
	set.IntVar(&l.TokensMin, "load.tokens_min", 0, "")
	set.IntVar(&l.TokensMax, "load.tokens_max", 0, "")
	set.DurationVar(&l.ShiftAt, "load.shift_at", 0, "")
	set.IntVar(&l.ShiftRanks, "load.shift_ranks", 0, "")
	set.DurationVar(&l.BatchAt, "load.batch_at", 0, "")
	set.DurationVar(&l.BatchSpread, "load.batch_spread", 0, "")
	set.IntVar(&l.BatchRequests, "load.batch_requests", 0, "")
	set.DurationVar(&l.Deadline, "load.deadline", 30*time.Second, "")
}

func registerTeams(set *config.Set, ts *teamSettings) {
	set.StringVar(&ts.dominant, "teams.dominant", "", "")
	set.Float64Var(&ts.dominantShare, "teams.dominant_share", 0, "")
	set.Float64Var(&ts.dominantFactor, "teams.dominant_factor", 1, "")
	set.Float64Var(&ts.tailFactor, "teams.tail_factor", 1, "")
	set.IntVar(&ts.dominantWeight, "teams.dominant_weight", 10, "")
	set.IntVar(&ts.tail, "teams.tail", 0, "")
	set.IntVar(&ts.batchAdapters, "teams.batch_adapters", 0, "")
}

func check(set *config.Set, s *Spec, ts *teamSettings) {
	d, l := &s.Deployment, &s.Load
	share := func(v float64, name string) { set.Requiref(v >= 0 && v <= 1, name, "must be between 0 and 1") }
	positive := func(n int, name string) { set.Requiref(n > 0, name, "must be above zero") }
	set.Requiref(d.Name != "", "deployment.name", "must be set")
	set.Requiref(d.Service != "", "deployment.service", "must be set")
	positive(d.Entries, "deployment.entries")
	positive(d.ModelServers, "deployment.model_servers")
	positive(d.ServiceServers, "deployment.service_servers")
	positive(d.Slots, "deployment.slots")
	positive(d.Positions, "deployment.positions")
	share(d.StallWeight, "deployment.stall_weight")
	share(d.BatchWeight, "deployment.batch_weight")
	set.Requiref(d.LoadsPerSecond > 0, "deployment.loads_per_second", "must be above zero")
	set.Requiref(d.Adapters >= ts.batchAdapters+2*(ts.tail+1), "deployment.adapters", "must be at least two for each team and those of the batch")
	set.Requiref(l.RequestsPerSecond > 0, "load.requests_per_second", "must be above zero")
	set.Requiref(l.ZipfExponent > 1, "load.zipf_exponent", "must be above one")
	share(l.ServiceShare, "load.service_share")
	share(l.NonIdempotentShare, "load.non_idempotent_share")
	share(l.KeyedShare, "load.keyed_share")
	share(l.StreamShare, "load.stream_share")
	positive(l.TokensMin, "load.tokens_min")
	set.Requiref(l.TokensMax >= l.TokensMin, "load.tokens_max", "must be at least tokens_min")
	set.Requiref(l.BatchRequests == 0 || ts.batchAdapters > 0, "teams.batch_adapters", "must be above zero with a batch")
	set.RequirePositive("load.deadline", l.Deadline)
	set.Requiref(ts.dominant != "", "teams.dominant", "must be set")
	share(ts.dominantShare, "teams.dominant_share")
	positive(ts.tail, "teams.tail")
	set.Requiref(ts.dominantFactor > 0, "teams.dominant_factor", "must be above zero")
	set.Requiref(ts.tailFactor > 0, "teams.tail_factor", "must be above zero")
}

// setTeams creates the dominant team, the tail teams and the batch team. The
// dominant team owns the same share of the adapters as of the requests.
func (s *Spec) setTeams(ts *teamSettings) {
	interactive := s.Deployment.Adapters - ts.batchAdapters
	tailEach := max(2, int(float64(interactive)*(1-ts.dominantShare))/ts.tail)
	s.addTeam(Team{
		Name: ident.Team(ts.dominant), Weight: ts.dominantWeight, Priority: ident.PriorityHigh,
		Adapters: interactive - tailEach*ts.tail, Share: ts.dominantShare, Dominant: true,
	})
	for i := range ts.tail {
		s.addTeam(Team{
			Name: ident.Team(fmt.Sprintf("tail-%02d", i+1)), Weight: 1, Priority: ident.PriorityNormal,
			Adapters: tailEach, Share: (1 - ts.dominantShare) / float64(ts.tail),
		})
	}
	s.BatchTeam = -1
	if ts.batchAdapters > 0 {
		s.BatchTeam = len(s.Teams)
		s.addTeam(Team{Name: "batch", Weight: 1, Priority: ident.PriorityBatch, Adapters: ts.batchAdapters})
	}
}

// applyRateFactors multiplies the request rates of the dominant team and of the tail
// by their factors, and scales the shares of the teams so that they add up to 1.
func (s *Spec) applyRateFactors(ts *teamSettings) {
	total := 0.0
	for i := range s.Teams {
		t := &s.Teams[i]
		if t.Dominant {
			t.Share *= ts.dominantFactor
		} else {
			t.Share *= ts.tailFactor
		}
		total += t.Share
	}
	for i := range s.Teams {
		s.Teams[i].Share /= total
	}
	s.Load.RequestsPerSecond *= total
}

func (s *Spec) addTeam(t Team) {
	t.Key = "key-of-" + string(t.Name)
	s.Teams = append(s.Teams, t)
}

// AdapterName returns the name of a team's adapter. The index i starts at 0.
func AdapterName(i int) string { return fmt.Sprintf("adapter-%03d", i+1) }
