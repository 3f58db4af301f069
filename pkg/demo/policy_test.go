package demo

import (
	"io"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/fescuecourse/fescuecourse/pkg/config"
	"github.com/fescuecourse/fescuecourse/pkg/endpoint"
	"github.com/fescuecourse/fescuecourse/pkg/entry"
)

// settingsErr parses the settings of both roles as a daemon does, with the
// values of a policy, and returns the findings.
func settingsErr(p Policy) error {
	var en entry.Settings
	set := config.NewSet("entry", io.Discard)
	en.Register(set)
	args := []string{"--id", "e", "--zone", "z", "--vm-list", "v", "--kv", "k"}
	if p.Placement != "" {
		args = append(args, "--placement-policy", p.Placement)
	}
	if err := set.Parse(args); err != nil {
		return err
	}
	en.Check(set)
	if err := set.Err(); err != nil {
		return err
	}
	var ep endpoint.Settings
	set = config.NewSet("endpoint", io.Discard)
	ep.Register(set)
	args = []string{"--id", "e", "--zone", "z", "--kv", "k", "--backend", "b", "--backend-address", "a"}
	for flag, value := range map[string]string{"--eviction-policy": p.Eviction, "--load-permits": p.Permits, "--queue-policy": p.Queue} {
		if value != "" {
			args = append(args, flag, value)
		}
	}
	if err := set.Parse(args); err != nil {
		return err
	}
	ep.Check(set)
	return set.Err()
}

// Guards against a named policy whose settings a daemon would refuse, and
// against a misspelt setting that silently falls back to the default.
func TestPoliciesAreValidSettings(t *testing.T) {
	for _, p := range policies {
		assert.NilError(t, settingsErr(p), p.Name)
	}
	for _, p := range []Policy{{Placement: "x"}, {Eviction: "x"}, {Permits: "x"}, {Queue: "x"}} {
		assert.ErrorContains(t, settingsErr(p), "must be", "%+v", p)
	}
	_, err := FindPolicies("default, x")
	assert.ErrorContains(t, err, `unknown policy "x"`)
}
