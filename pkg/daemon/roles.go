package daemon

import (
	"os"

	"github.com/cockroachdb/errors"

	"github.com/fescuecourse/fescuecourse/pkg/bundle"
	"github.com/fescuecourse/fescuecourse/pkg/config"
	"github.com/fescuecourse/fescuecourse/pkg/endpoint"
	"github.com/fescuecourse/fescuecourse/pkg/entry"
	"github.com/fescuecourse/fescuecourse/pkg/logging"
	"github.com/fescuecourse/fescuecourse/pkg/rollout"
)

// bundleFile is the setting that replaces the key-value service in development.
type bundleFile string

func (b *bundleFile) register(set *config.Set) {
	set.StringVar((*string)(b), "bundle-file", "", "INI `file` with the configuration bundle, for development")
}

// load reads the bundle. Problems in the file are returned as findings.
func (b *bundleFile) load() (*rollout.Holder, error) {
	text, err := os.ReadFile(string(*b))
	if err != nil {
		return nil, errors.Wrap(err, "read bundle")
	}
	parsed, found := bundle.Parse(string(*b), string(text))
	if found != nil {
		return nil, found
	}
	h := &rollout.Holder{}
	h.Adopt(parsed)
	return h, nil
}

// entryRole is fescued entry.
type entryRole struct {
	settings entry.Settings
	bundle   bundleFile
}

func (r *entryRole) register(set *config.Set) {
	r.settings.Register(set)
	r.bundle.register(set)
}

func (r *entryRole) check(set *config.Set) {
	r.settings.Check(set)
	set.Requiref(r.bundle != "", "bundle-file", "must be set")
}

func (r *entryRole) logLevel() string { return r.settings.LogLevel }

func (r *entryRole) assemble(log logging.Logger) (runner, error) {
	bundles, err := r.bundle.load()
	if err != nil {
		return nil, err
	}
	return entry.New(r.settings, bundles, log)
}

// endpointRole is fescued endpoint.
type endpointRole struct {
	settings endpoint.Settings
	bundle   bundleFile
}

func (r *endpointRole) register(set *config.Set) {
	r.settings.Register(set)
	r.bundle.register(set)
}

func (r *endpointRole) check(set *config.Set) {
	r.settings.Check(set)
	set.Requiref(r.bundle != "", "bundle-file", "must be set")
}

func (r *endpointRole) logLevel() string { return r.settings.LogLevel }

func (r *endpointRole) assemble(log logging.Logger) (runner, error) {
	bundles, err := r.bundle.load()
	if err != nil {
		return nil, err
	}
	return endpoint.New(r.settings, bundles, soleHolder{}, log), nil
}

// soleHolder authorizes commands without an engine lease. It is only correct if
// no other process commands the engine.
type soleHolder struct{}

// Token implements endpoint.Authority.
func (soleHolder) Token() (uint64, bool) { return 1, true }
