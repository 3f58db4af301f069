// Package entry implements the entry process, which accepts callers' requests over
// HTTP, chooses an endpoint for each request and relays the response.
package entry

import (
	"time"

	"github.com/fescuecourse/fescuecourse/pkg/config"
	"github.com/fescuecourse/fescuecourse/pkg/ident"
	"github.com/fescuecourse/fescuecourse/pkg/membership"
	"github.com/fescuecourse/fescuecourse/pkg/placement"
)

const (
	defaultMaxDeadline = 10 * time.Minute
	// drainMargin is the minimum time by which the drain timeout exceeds the longest
	// request deadline.
	drainMargin = 30 * time.Second
	// maxBodyLimit is the largest value of max-body-bytes. gRPC limits a message to
	// an endpoint to 4 MiB, and the other fields of the message need some of it.
	maxBodyLimit = 3 << 20
	// defaultBodyMemoryMB is the default of Settings.BodyMemoryMB.
	defaultBodyMemoryMB = 64
)

// Settings is the configuration of an entry process.
type Settings struct {
	ID       string
	Zone     string
	Listen   string
	KV       string
	VMList   string
	LogLevel string
	// PlacementPolicy is the name of a policy in package placement. Empty means
	// affinity.
	PlacementPolicy string

	DefaultDeadline time.Duration
	MaxDeadline     time.Duration
	MaxBodyBytes    int64
	// BodyMemoryMB is the memory for the bodies of all requests, in MiB.
	BodyMemoryMB float64
	// MemoryMB is the memory that the process may use, in MiB, or 0 for no limit, and
	// MaxDescriptors the number of descriptors, or 0 for the limit of the operating system.
	MemoryMB       float64
	MaxDescriptors int
	// RemoteEndpoints is the number of endpoints that the entry connects to in each
	// other availability zone. Zero means all.
	RemoteEndpoints int
	UnreadyDelay    time.Duration
	DrainTimeout    time.Duration
}

// Register adds the settings to set with their defaults and help texts.
func (s *Settings) Register(set *config.Set) {
	set.StringVar(&s.ID, "id", "", "unique `name` of the entry")
	set.StringVar(&s.Zone, "zone", "", "availability `zone` of the VM")
	set.StringVar(&s.Listen, "listen", "127.0.0.1:8080", "`address` for callers (HTTP)")
	set.StringVar(&s.KV, "kv", "", "`address` of the key-value service")
	set.StringVar(&s.VMList, "vm-list", "", "`address` of the platform's VM list")
	set.StringVar(&s.LogLevel, "log-level", "info", "lowest `level` that is logged")
	set.StringVar(&s.PlacementPolicy, "placement-policy", placement.NameAffinity, "`policy` that places requests: affinity, random, least-loaded or hash")
	set.DurationVar(&s.DefaultDeadline, "default-deadline", 30*time.Second, "deadline of requests that set none")
	set.DurationVar(&s.MaxDeadline, "max-deadline", defaultMaxDeadline, "longest deadline that a request may set")
	set.Int64Var(&s.MaxBodyBytes, "max-body-bytes", maxBodyLimit, "largest request body")
	set.Float64Var(&s.BodyMemoryMB, "body-memory-mb", defaultBodyMemoryMB, "memory for the bodies of all requests")
	set.Float64Var(&s.MemoryMB, "memory-mb", 0, "memory that the process may use, 0 for no bound")
	set.IntVar(&s.MaxDescriptors, "max-descriptors", 0, "descriptors that the process may open, 0 for the limit of the operating system")
	set.IntVar(&s.RemoteEndpoints, "remote-endpoints", 0, "endpoints of each other zone to connect to, 0 for all")
	set.DurationVar(&s.UnreadyDelay, "unready-delay", 5*time.Second, "time between unready and the end of acceptance at a stop")
	set.DurationVar(&s.DrainTimeout, "drain-timeout", defaultMaxDeadline+2*drainMargin, "longest time that a stop waits for requests")
}

// Check adds a finding to set for each invalid setting.
func (s *Settings) Check(set *config.Set) {
	set.Requiref(s.ID != "", "id", "must be set")
	set.Requiref(s.Zone != "", "zone", "must be set")
	set.Requiref(s.VMList != "", "vm-list", "must be set")
	set.Requiref(s.KV != "", "kv", "must be set")
	set.Requiref(s.policy() != nil, "placement-policy", "must be affinity, random, least-loaded or hash")
	set.Requiref(s.MaxBodyBytes > 0 && s.MaxBodyBytes <= maxBodyLimit, "max-body-bytes", "must be between 1 and %d", maxBodyLimit)
	set.Requiref(s.BodyMemoryMB*(1<<20) >= float64(2*s.MaxBodyBytes), "body-memory-mb", "must be twice max-body-bytes or more")
	set.Requiref(s.MemoryMB >= 0, "memory-mb", "must not be negative")
	set.Requiref(s.MaxDescriptors >= 0, "max-descriptors", "must not be negative")
	set.Requiref(s.RemoteEndpoints >= 0, "remote-endpoints", "must not be negative")
	set.Requiref(s.UnreadyDelay >= 0, "unready-delay", "must not be negative")
	set.RequirePositive("default-deadline", s.DefaultDeadline)
	set.RequirePositive("max-deadline", s.MaxDeadline)
	set.Requiref(s.DrainTimeout >= s.MaxDeadline+drainMargin, "drain-timeout", "must exceed max-deadline by %s or more", drainMargin)
}

// policy returns the placement policy, or nil if its name is unknown. The seed of
// the policy is derived from the entry ID, so it differs between entries.
func (s *Settings) policy() placement.Policy {
	name := s.PlacementPolicy
	if name == "" {
		name = placement.NameAffinity
	}
	return placement.ByName(name, membership.EndpointHash(ident.EndpointID(s.ID)))
}
