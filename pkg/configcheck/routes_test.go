package configcheck

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fescuecourse/fescuecourse/pkg/credential"
	"github.com/fescuecourse/fescuecourse/pkg/route"
)

// validConfig returns a configuration without problems.
func validConfig() *route.Config {
	return &route.Config{
		Version: 2,
		Routes: []route.Route{{
			Name: "chat", Host: "a.example", Prefix: "/chat/", Kind: route.Streaming, Timeout: 5 * time.Second, TargetLatency: time.Second,
			MaxEventGap: time.Second, MaxAttempts: 2, Resumable: true, Services: []route.WeightedService{{Service: "llm", Weight: 1}},
		}},
		Services: []route.Service{{Name: "llm", Engine: &route.Engine{
			CacheTokens: 1000, WeightMB: 200, MaxAdapters: 4, Models: []route.Model{{Name: "base", WeightMB: 100, Adapters: 10, AdapterMB: 10}},
		}}},
		Teams: []route.Team{{Name: "tokachi", Keys: []credential.Digest{credential.DigestOf("k1")}, Quota: route.Quota{PerSecond: 100, Burst: 1000, Unit: route.Tokens}}},
	}
}

// Guards against a check that misses a mistake in a platform's configuration.
func TestProblemsOfRoutes(t *testing.T) {
	cases := []struct {
		name string
		edit func(c *route.Config)
		want string
	}{
		{"valid", func(*route.Config) {}, ""},
		{"route twice", func(c *route.Config) {
			c.Routes = append(c.Routes, c.Routes[0])
			c.Routes[1].Prefix = "/other/"
		}, `c.json: error: route "chat" is defined twice`},
		{"same prefix", func(c *route.Config) {
			c.Routes = append(c.Routes, c.Routes[0])
			c.Routes[1].Name = "late"
		}, `c.json: never applies: route "late" has the host and prefix of route "chat", which comes first`},
		{"prefix", func(c *route.Config) { c.Routes[0].Prefix = "chat/" }, `c.json: error: route "chat": prefix "chat/" does not begin and end with a slash`},
		{"host", func(c *route.Config) { c.Routes[0].Host = "" }, `c.json: never applies: route "chat" has no host`},
		{"unknown service", func(c *route.Config) {
			c.Routes[0].Services = append(c.Routes[0].Services, route.WeightedService{Service: "x", Weight: 1})
		}, `c.json: error: route "chat": service "x" is not defined`},
		{"weight 0", func(c *route.Config) {
			c.Services = append(c.Services, route.Service{Name: "x"})
			c.Routes[0].Services = append(c.Routes[0].Services, route.WeightedService{Service: "x"})
		}, `c.json: never applies: route "chat": service "x" has the weight 0`},
		{"no weight", func(c *route.Config) { c.Routes[0].Services[0].Weight = 0 }, `c.json: error: route "chat": the weights of its services add up to 0`},
		{"target above timeout", func(c *route.Config) { c.Routes[0].TargetLatency = 6 * time.Second }, `c.json: contradiction: route "chat": the target latency of 6s is above the timeout of 5s`},
		{"gap above timeout", func(c *route.Config) { c.Routes[0].MaxEventGap = 6 * time.Second }, `c.json: contradiction: route "chat": the gap of 6s between events is above the timeout of 5s`},
		{"plain route with stream settings", func(c *route.Config) { c.Routes[0].Kind = route.Idempotent }, `c.json: never applies: route "chat": only streaming routes have gaps between events` + "\n" + `c.json: never applies: route "chat": only streaming routes can be resumed`},
		{"open without teams", func(c *route.Config) { c.Teams, c.Routes[0].Open = nil, true }, `c.json: never applies: route "chat" is open, but without teams no route needs a key`},
		{"service without route", func(c *route.Config) { c.Services = append(c.Services, route.Service{Name: "till"}) }, `c.json: never applies: service "till" has no route`},
		{"model too large", func(c *route.Config) { c.Services[0].Engine.WeightMB = 90 }, `c.json: contradiction: service "llm": model "base" needs 100 MB, but a server has 90 MB`},
		{"adapters too large", func(c *route.Config) { c.Services[0].Engine.WeightMB = 130 }, `c.json: contradiction: service "llm": 4 adapters of model "base" need 40 MB, but its weights leave 30 MB`},
		{"team without keys", func(c *route.Config) { c.Teams[0].Keys = nil }, `c.json: never applies: team "tokachi" has no API key, so that no request can belong to it`},
		{"key of two teams", func(c *route.Config) {
			c.Teams = append(c.Teams, c.Teams[0])
			c.Teams[1].Name = "adwenpa"
		}, `c.json: error: key 0 of team "adwenpa" belongs to team "tokachi"`},
		{"negative rate", func(c *route.Config) { c.Teams[0].Quota.PerSecond = -1 }, `c.json: error: team "tokachi" has a negative quota`},
		{"burst below a request", func(c *route.Config) { c.Teams[0].Quota.Burst = 999 }, `c.json: contradiction: team "tokachi": a burst of 999 tokens is below the 1000 that one request may have`},
		{"burst below a plain request", func(c *route.Config) { c.Teams[0].Quota.PlainTokens = 2000 }, `c.json: contradiction: team "tokachi": a burst of 1000 tokens is below the 2000 of a request without a model`},
		{"burst below one", func(c *route.Config) { c.Teams[0].Quota = route.Quota{PerSecond: 1} }, `c.json: contradiction: team "tokachi": a burst of 0 is below one request`},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			config := validConfig()
			c.edit(config)
			assert.Equal(t, problems(Routes("c.json", config, nil)), c.want)
		})
	}
}

// Guards against a difference between two configurations that is missing or listed under
// another effect than it has on callers.
func TestChangesOfRoutes(t *testing.T) {
	older, newer := validConfig(), validConfig()
	newer.Version = 3
	newer.Routes[0].Timeout = 4 * time.Second
	newer.Routes[0].Services[0] = route.WeightedService{Service: "other", Weight: 1}
	newer.Services[0].Name = "other"
	newer.Teams[0].Keys = []credential.Digest{credential.DigestOf("k2")}
	newer.Teams[0].Quota.PerSecond = 50
	want := `This change refuses requests that are accepted now:
  service "llm" removed
  team "tokachi" API keys removed: 1
This change sends requests elsewhere:
  route "chat" services: llm:1 -> other:1
This change lowers a limit:
  team "tokachi" rate: 100 -> 50
This change changes times, priorities or repetitions:
  route "chat" timeout: 5s -> 4s
This change accepts requests that are refused now, or raises a limit:
  service "other" added
  team "tokachi" API keys added: 1`
	assert.Equal(t, strings.Join(Routes("c.json", newer, older).Lines(), "\n"), want)
}

// Guards against a report that requests are refused although they need no API key any more.
func TestRemovingAllTeamsRefusesNothing(t *testing.T) {
	newer := validConfig()
	newer.Version, newer.Teams = 3, nil
	want := "This change accepts requests that are refused now, or raises a limit:\n  teams removed: requests need no API key"
	assert.Equal(t, strings.Join(Routes("c.json", newer, validConfig()).Lines(), "\n"), want)
}

// Guards against a configuration that every node would ignore because its version is not
// higher than the one in force.
func TestVersionMustRise(t *testing.T) {
	assert.Equal(t, problems(Routes("c.json", validConfig(), validConfig())), "c.json: error: version 2 is not higher than version 2 in force")
}
