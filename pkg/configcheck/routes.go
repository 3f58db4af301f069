package configcheck

import (
	"bytes"
	"encoding/json"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/fescuecourse/fescuecourse/pkg/route"
)

// Routes checks a platform's configuration. against is the version in force, or nil if
// there is none to compare with.
func Routes(file string, c, against *route.Config) *Report {
	r := newReport()
	t := &routeCheck{report: r, file: file, config: c, table: route.Compile(*c)}
	t.routes()
	t.services()
	t.teams()
	if against != nil {
		t.version(against)
		r.compareRoutes(against, c)
	}
	r.sort()
	return r
}

// Undecodable reports a platform's configuration that cannot be decoded. The line is that of
// a syntax error.
func Undecodable(file string, text []byte, err error) *Report {
	r := newReport()
	line := 0
	var syntax *json.SyntaxError
	if errors.As(err, &syntax) {
		line = 1 + bytes.Count(text[:min(int(syntax.Offset), len(text))], []byte("\n"))
	}
	r.addf(Invalid, file, line, "%v", err)
	return r
}

// routeCheck is the check of one configuration.
type routeCheck struct {
	report *Report
	file   string
	config *route.Config
	table  *route.Table
}

func (t *routeCheck) addf(kind Kind, format string, args ...any) {
	t.report.addf(kind, t.file, 0, format, args...)
}

func (t *routeCheck) version(against *route.Config) {
	if t.config.Version <= against.Version {
		t.addf(Invalid, "version %d is not higher than version %d in force", t.config.Version, against.Version)
	}
}

func (t *routeCheck) routes() {
	names := map[string]bool{}
	for i := range t.config.Routes {
		r := &t.config.Routes[i]
		if names[r.Name] {
			t.addf(Invalid, "route %q is defined twice", r.Name)
		}
		names[r.Name] = true
		t.match(r)
		t.targets(r)
		t.times(r)
	}
}

// match checks whether any request matches the route.
func (t *routeCheck) match(r *route.Route) {
	if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		t.addf(Invalid, "route %q: prefix %q does not begin and end with a slash", r.Name, r.Prefix)
		return
	}
	if r.Host == "" {
		t.addf(Unreachable, "route %q has no host", r.Name)
		return
	}
	if first := t.table.Find(r.Host, r.Prefix); first != r && first != nil {
		t.addf(Unreachable, "route %q has the host and prefix of route %q, which comes first", r.Name, first.Name)
	}
}

// targets checks the services of a route.
func (t *routeCheck) targets(r *route.Route) {
	total := 0.0
	for _, s := range r.Services {
		if t.table.Service(s.Service) == nil {
			t.addf(Invalid, "route %q: service %q is not defined", r.Name, s.Service)
		}
		if s.Weight < 0 {
			t.addf(Invalid, "route %q: service %q has a negative weight", r.Name, s.Service)
		}
		if s.Weight == 0 && len(r.Services) > 1 {
			t.addf(Unreachable, "route %q: service %q has the weight 0", r.Name, s.Service)
		}
		total += s.Weight
	}
	if total <= 0 {
		t.addf(Invalid, "route %q: the weights of its services add up to 0", r.Name)
	}
}

// times checks the limits of a route against each other.
func (t *routeCheck) times(r *route.Route) {
	if r.Timeout > 0 && r.TargetLatency > r.Timeout {
		t.addf(Contradiction, "route %q: the target latency of %s is above the timeout of %s", r.Name, r.TargetLatency, r.Timeout)
	}
	if r.Timeout > 0 && r.MaxEventGap > r.Timeout {
		t.addf(Contradiction, "route %q: the gap of %s between events is above the timeout of %s", r.Name, r.MaxEventGap, r.Timeout)
	}
	if r.MaxEventGap > 0 && r.Kind != route.Streaming {
		t.addf(Unreachable, "route %q: only streaming routes have gaps between events", r.Name)
	}
	if r.Resumable && r.Kind != route.Streaming {
		t.addf(Unreachable, "route %q: only streaming routes can be resumed", r.Name)
	}
	if r.Open && len(t.config.Teams) == 0 {
		t.addf(Unreachable, "route %q is open, but without teams no route needs a key", r.Name)
	}
}

func (t *routeCheck) services() {
	used := map[string]bool{}
	for i := range t.config.Routes {
		for _, s := range t.config.Routes[i].Services {
			used[s.Service] = true
		}
	}
	for i := range t.config.Services {
		s := &t.config.Services[i]
		if t.table.Service(s.Name) != s {
			t.addf(Invalid, "service %q is defined twice", s.Name)
		}
		if !used[s.Name] {
			t.addf(Unreachable, "service %q has no route", s.Name)
		}
		if s.Engine != nil {
			t.engine(s)
		}
	}
}

// engine checks whether the models of a service fit into its servers.
func (t *routeCheck) engine(s *route.Service) {
	for _, m := range s.Engine.Models {
		if m.WeightMB > s.Engine.WeightMB {
			t.addf(Contradiction, "service %q: model %q needs %g MB, but a server has %g MB", s.Name, m.Name, m.WeightMB, s.Engine.WeightMB)
			continue
		}
		room := s.Engine.WeightMB - m.WeightMB
		most := min(m.Adapters, s.Engine.MaxAdapters)
		if need := m.AdapterMB * float64(most); need > room {
			t.addf(Contradiction, "service %q: %d adapters of model %q need %g MB, but its weights leave %g MB", s.Name, most, m.Name, need, room)
		}
	}
}

func (t *routeCheck) teams() {
	if err := route.CheckTeams(t.config.Teams); err != nil {
		t.addf(Invalid, "%v", err)
	}
	for i := range t.config.Teams {
		team := &t.config.Teams[i]
		if len(team.Keys) == 0 {
			t.addf(Unreachable, "team %q has no API key, so that no request can belong to it", team.Name)
		}
		t.quota(team)
	}
}

// quota checks whether the largest requests that servers accept fit into a quota.
func (t *routeCheck) quota(team *route.Team) {
	q := team.Quota
	switch {
	case q.PerSecond <= 0:
	case q.Unit == route.Requests && q.Burst < 1:
		t.addf(Contradiction, "team %q: a burst of %g is below one request", team.Name, q.Burst)
	case q.Unit == route.Tokens && q.Burst < q.PlainTokens:
		t.addf(Contradiction, "team %q: a burst of %g tokens is below the %g of a request without a model", team.Name, q.Burst, q.PlainTokens)
	case q.Unit == route.Tokens:
		if largest := t.largestRequest(); q.Burst < largest {
			t.addf(Contradiction, "team %q: a burst of %g tokens is below the %g that one request may have", team.Name, q.Burst, largest)
		}
	}
}

// largestRequest returns the number of tokens of the largest request that the server with
// the largest cache can run.
func (t *routeCheck) largestRequest() float64 {
	largest := 0
	for i := range t.config.Services {
		if e := t.config.Services[i].Engine; e != nil {
			largest = max(largest, e.CacheTokens)
		}
	}
	return float64(largest)
}
