package daemon

import (
	"github.com/rs/zerolog"

	"github.com/fescuecourse/fescuecourse/pkg/bundle"
	"github.com/fescuecourse/fescuecourse/pkg/config"
	"github.com/fescuecourse/fescuecourse/pkg/endpoint"
	"github.com/fescuecourse/fescuecourse/pkg/entry"
	"github.com/fescuecourse/fescuecourse/pkg/kv/etcd"
	"github.com/fescuecourse/fescuecourse/pkg/logging"
	"github.com/fescuecourse/fescuecourse/pkg/node"
)

// reviewersFile is the setting with the path of the initial reviewers' file.
type reviewersFile string

func (f *reviewersFile) register(set *config.Set) {
	set.StringVar((*string)(f), "reviewers", "", "INI `file` with the reviewers that are trusted until a bundle is active")
}

// settings is implemented by the settings of each role.
type settings interface {
	// Register adds the settings to a set.
	Register(set *config.Set)
	// Check records a finding for each invalid setting.
	Check(set *config.Set)
}

// role is a role of the daemon with its settings.
type role struct {
	component logging.Component
	settings  settings
	// logLevel points to the log level in settings.
	logLevel *string
	// build creates the process of the role. It is called after check.
	build func(logging.Logger) (runner, error)
}

// bundleSettings adds the reviewers' file to the settings of a role that is
// configured by signed bundles.
type bundleSettings struct {
	settings
	reviewers reviewersFile
}

// Register adds the settings to a set.
func (b *bundleSettings) Register(set *config.Set) {
	b.settings.Register(set)
	b.reviewers.register(set)
}

// Check records a finding for each invalid setting.
func (b *bundleSettings) Check(set *config.Set) {
	b.settings.Check(set)
	set.Requiref(b.reviewers != "", "reviewers", "must be set")
}

// dependencies connects to the key-value service at address kv and reads the initial
// reviewers.
func (b *bundleSettings) dependencies(kv string, log logging.Logger) (node.Dependencies, error) {
	initial, err := bundle.ReadReviewers(string(b.reviewers))
	return node.Dependencies{Store: etcd.New(kv, etcd.Options{}), Reviewers: initial, Log: log}, err
}

func newEntryRole() *role {
	set := &entry.Settings{}
	b := &bundleSettings{settings: set}
	build := func(log logging.Logger) (runner, error) {
		limitMemory(set.MemoryMB)
		p, err := b.dependencies(set.KV, log)
		if err != nil {
			return nil, err
		}
		return node.NewEntry(*set, p)
	}
	return &role{component: logging.ComponentEntry, settings: b, logLevel: &set.LogLevel, build: build}
}

func newEndpointRole() *role {
	set := &endpoint.Settings{}
	b := &bundleSettings{settings: set}
	build := func(log logging.Logger) (runner, error) {
		limitMemory(set.MemoryMB)
		p, err := b.dependencies(set.KV, log)
		if err != nil {
			return nil, err
		}
		return node.NewEndpoint(*set, p), nil
	}
	return &role{component: logging.ComponentEndpoint, settings: b, logLevel: &set.LogLevel, build: build}
}

// check records a finding for each invalid setting, including the log level.
func (r *role) check(set *config.Set) {
	r.settings.Check(set)
	_, err := zerolog.ParseLevel(*r.logLevel)
	set.Requiref(err == nil, "log-level", "must be trace, debug, info, warn, error or disabled")
}
