package daemon

import (
	"os"

	"github.com/cockroachdb/errors"

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

func (f *reviewersFile) load() (bundle.Reviewers, error) {
	text, err := os.ReadFile(string(*f))
	if err != nil {
		return nil, errors.Wrap(err, "read reviewers")
	}
	reviewers, found := bundle.ParseReviewers(string(*f), string(text))
	return reviewers, found.Err()
}

// platform opens the key-value service and reads the first reviewers.
func platform(kv string, reviewers reviewersFile, log logging.Logger) (node.Platform, error) {
	first, err := reviewers.load()
	if err != nil {
		return node.Platform{}, err
	}
	return node.Platform{Store: etcd.New(kv, etcd.Options{}), Reviewers: first, Log: log}, nil
}

// entryRole is fescued entry.
type entryRole struct {
	settings  entry.Settings
	reviewers reviewersFile
}

func (r *entryRole) register(set *config.Set) {
	r.settings.Register(set)
	r.reviewers.register(set)
}

func (r *entryRole) check(set *config.Set) {
	r.settings.Check(set)
	set.Requiref(r.reviewers != "", "reviewers", "must be set")
}

func (r *entryRole) logLevel() string { return r.settings.LogLevel }

func (r *entryRole) assemble(log logging.Logger) (runner, error) {
	p, err := platform(r.settings.KV, r.reviewers, log)
	if err != nil {
		return nil, err
	}
	return node.NewEntry(r.settings, p)
}

// endpointRole is fescued endpoint.
type endpointRole struct {
	settings  endpoint.Settings
	reviewers reviewersFile
}

func (r *endpointRole) register(set *config.Set) {
	r.settings.Register(set)
	r.reviewers.register(set)
}

func (r *endpointRole) check(set *config.Set) {
	r.settings.Check(set)
	set.Requiref(r.reviewers != "", "reviewers", "must be set")
}

func (r *endpointRole) logLevel() string { return r.settings.LogLevel }

func (r *endpointRole) assemble(log logging.Logger) (runner, error) {
	p, err := platform(r.settings.KV, r.reviewers, log)
	if err != nil {
		return nil, err
	}
	return node.NewEndpoint(r.settings, p), nil
}
