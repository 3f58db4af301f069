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

// reviewersFile is the setting that names the first reviewers.
type reviewersFile string

func (f *reviewersFile) register(set *config.Set) {
	set.StringVar((*string)(f), "reviewers", "", "INI `file` with the reviewers that are trusted until a bundle is active")
}

// settings are the settings of one role.
type settings interface {
	Register(set *config.Set)
	// Check records findings for wrong settings.
	Check(set *config.Set)
}

// role is one of the daemon's roles with its settings.
type role struct {
	part      logging.Part
	settings  settings
	reviewers reviewersFile
	// kv (host:port) and logLevel are fields of the settings.
	kv       *string
	logLevel *string
	// build returns the process of the role. It is called after Check.
	build func(node.Platform) (runner, error)
}

func newEntryRole() *role {
	set := &entry.Settings{}
	build := func(p node.Platform) (runner, error) { return node.NewEntry(*set, p) }
	return &role{part: logging.PartEntry, settings: set, kv: &set.KV, logLevel: &set.LogLevel, build: build}
}

func newEndpointRole() *role {
	set := &endpoint.Settings{}
	build := func(p node.Platform) (runner, error) { return node.NewEndpoint(*set, p), nil }
	return &role{part: logging.PartEndpoint, settings: set, kv: &set.KV, logLevel: &set.LogLevel, build: build}
}

// register adds the settings of the role to a set.
func (r *role) register(set *config.Set) {
	r.settings.Register(set)
	r.reviewers.register(set)
}

// check records findings for wrong settings.
func (r *role) check(set *config.Set) {
	r.settings.Check(set)
	set.Requiref(r.reviewers != "", "reviewers", "must be set")
	_, err := zerolog.ParseLevel(*r.logLevel)
	set.Requiref(err == nil, "log-level", "must be trace, debug, info, warn, error or disabled")
}

// assemble builds the role and everything it depends on.
func (r *role) assemble(log logging.Logger) (runner, error) {
	first, err := bundle.ReadReviewers(string(r.reviewers))
	if err != nil {
		return nil, err
	}
	return r.build(node.Platform{Store: etcd.New(*r.kv, etcd.Options{}), Reviewers: first, Log: log})
}
