// Package sidecar implements the endpoint role for model servers that entries call
// directly. One process, the sidecar, runs beside each server. Only the sidecar
// orders the server to load and unload models and adapters. It streams the state of
// the server to the entries: the models and adapters that the server has loaded, and
// its utilization.
package sidecar

import (
	"github.com/fescuecourse/fescuecourse/pkg/config"
)

// Settings holds the configuration of a sidecar process.
type Settings struct {
	// ID is the name of the VM.
	ID string
	// Listen is the host:port of the gRPC service for entries.
	Listen string
	// Metrics is the host:port of the metrics over HTTP, or empty for none.
	Metrics string
	// KV is the address of the key-value store.
	KV string
	// LogLevel is the lowest level that is logged.
	LogLevel string
	// Server is the host:port of the model server.
	Server string
	// Service is the name of the service that the server belongs to.
	Service string
	// MemoryMB is the memory limit of the process in MB, or 0 for no limit.
	MemoryMB float64
}

// Register adds the settings to a configuration set.
func (s *Settings) Register(set *config.Set) {
	set.StringVar(&s.ID, "id", "", "`name` of the machine")
	set.StringVar(&s.Listen, "listen", "127.0.0.1:9090", "`address` for entries (gRPC)")
	set.StringVar(&s.Metrics, "metrics-listen", "", "`address` of the metrics (HTTP), none if empty")
	set.StringVar(&s.KV, "kv", "", "`address` of the platform's store")
	set.StringVar(&s.LogLevel, "log-level", "info", "lowest `level` that is logged")
	set.StringVar(&s.Server, "server", "", "`address` of the server beside the process")
	set.StringVar(&s.Service, "service", "", "`service` of the server")
	set.Float64Var(&s.MemoryMB, "memory-mb", 0, "memory that the process may use, 0 for no bound")
}

// Check records a finding for each invalid setting.
func (s *Settings) Check(set *config.Set) {
	set.Requiref(s.ID != "", "id", "must be set")
	set.Requiref(s.KV != "", "kv", "must be set")
	set.Requiref(s.Server != "", "server", "must be set")
	set.Requiref(s.Service != "", "service", "must be set")
	set.Requiref(s.MemoryMB >= 0, "memory-mb", "must not be negative")
}
