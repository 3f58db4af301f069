package configcheck

import (
	"fmt"
	"strings"

	"github.com/fescuecourse/fescuecourse/pkg/credential"
	"github.com/fescuecourse/fescuecourse/pkg/route"
)

// compareRoutes records what differs from the configuration in force in routes, services and
// teams. Engines and limits of connections are not compared.
func (r *Report) compareRoutes(older, newer *route.Config) {
	compareItems(r, "route", older.Routes, newer.Routes, func(x *route.Route) string { return x.Name }, r.compareRoute)
	compareItems(r, "service", older.Services, newer.Services, func(x *route.Service) string { return x.Name }, r.compareService)
	r.compareTeams(older, newer)
}

// compareItems compares the items of two lists by name. Items that are missing from one of
// them are recorded as added or removed.
func compareItems[T any](r *Report, kind string, older, newer []T, name func(*T) string, compare func(item string, a, b *T)) {
	left := map[string]*T{}
	for i := range older {
		left[name(&older[i])] = &older[i]
	}
	for i := range newer {
		b := &newer[i]
		item := fmt.Sprintf("%s %q", kind, name(b))
		a := left[name(b)]
		delete(left, name(b))
		if a == nil {
			r.Changes = append(r.Changes, Change{Effect: Accepts, Item: item, What: "added"})
			continue
		}
		compare(item, a, b)
	}
	for i := range older {
		if n := name(&older[i]); left[n] != nil {
			r.Changes = append(r.Changes, Change{Effect: Refuses, Item: fmt.Sprintf("%s %q", kind, n), What: "removed"})
		}
	}
}

// differ records a change if two values differ.
func differ[T comparable](r *Report, effect Effect, item, what string, a, b T) {
	if a != b {
		r.Changes = append(r.Changes, Change{Effect: effect, Item: item, What: what, Old: fmt.Sprint(a), New: fmt.Sprint(b)})
	}
}

func (r *Report) compareRoute(item string, a, b *route.Route) {
	differ(r, Refuses, item, "host and prefix", a.Host+a.Prefix, b.Host+b.Prefix)
	differ(r, Reroutes, item, "services", services(a), services(b))
	differ(r, Timing, item, "kind", a.Kind.String(), b.Kind.String())
	differ(r, Timing, item, "timeout", a.Timeout, b.Timeout)
	differ(r, Timing, item, "target latency", a.TargetLatency, b.TargetLatency)
	differ(r, Timing, item, "gap between events", a.MaxEventGap, b.MaxEventGap)
	differ(r, Timing, item, "priority", a.Priority, b.Priority)
	differ(r, Timing, item, "attempts", a.MaxAttempts, b.MaxAttempts)
	differ(r, Timing, item, "resumable", a.Resumable, b.Resumable)
	needsKey := Accepts
	if a.Open {
		needsKey = Refuses
	}
	differ(r, needsKey, item, "open", a.Open, b.Open)
}

// services describes the services of a route and their weights.
func services(r *route.Route) string {
	var out []string
	for _, s := range r.Services {
		out = append(out, fmt.Sprintf("%s:%g", s.Service, s.Weight))
	}
	return strings.Join(out, ",")
}

func (r *Report) compareService(item string, a, b *route.Service) {
	differ(r, Other, item, "health path", a.HealthPath, b.HealthPath)
	differ(r, numberEffect(float64(a.MaxConnections), float64(b.MaxConnections)), item, "connections", a.MaxConnections, b.MaxConnections)
}

// numberEffect returns the effect of a changed upper limit.
func numberEffect(a, b float64) Effect {
	if b < a {
		return Limits
	}
	return Accepts
}

// compareTeams compares the teams. Requests need a key as soon as there is a team.
func (r *Report) compareTeams(older, newer *route.Config) {
	if len(older.Teams) == 0 && len(newer.Teams) > 0 {
		r.Changes = append(r.Changes, Change{Effect: Refuses, Item: "teams", What: "added: requests need an API key"})
		return
	}
	if len(older.Teams) > 0 && len(newer.Teams) == 0 {
		r.Changes = append(r.Changes, Change{Effect: Accepts, Item: "teams", What: "removed: requests need no API key"})
		return
	}
	compareItems(r, "team", older.Teams, newer.Teams, func(x *route.Team) string { return string(x.Name) }, r.compareTeam)
}

func (r *Report) compareTeam(item string, a, b *route.Team) {
	if n := missing(a.Keys, b.Keys); n > 0 {
		r.Changes = append(r.Changes, Change{Effect: Refuses, Item: item, What: fmt.Sprintf("API keys removed: %d", n)})
	}
	if n := missing(b.Keys, a.Keys); n > 0 {
		r.Changes = append(r.Changes, Change{Effect: Accepts, Item: item, What: fmt.Sprintf("API keys added: %d", n)})
	}
	differ(r, Timing, item, "priority", priority(a), priority(b))
	differ(r, quotaEffect(a.Quota.PerSecond, b.Quota.PerSecond), item, "rate", a.Quota.PerSecond, b.Quota.PerSecond)
	differ(r, numberEffect(a.Quota.Burst, b.Quota.Burst), item, "burst", a.Quota.Burst, b.Quota.Burst)
	differ(r, Limits, item, "unit", a.Quota.Unit, b.Quota.Unit)
}

// quotaEffect returns the effect of a changed rate, where 0 is no limit.
func quotaEffect(a, b float64) Effect {
	if a == 0 || b > 0 && b < a {
		return Limits
	}
	return Accepts
}

func priority(t *route.Team) string {
	if t.Priority == nil {
		return "(route's)"
	}
	return fmt.Sprint(*t.Priority)
}

// missing returns how many keys of a are not in b.
func missing(a, b []credential.Digest) int {
	in := map[credential.Digest]bool{}
	for _, k := range b {
		in[k] = true
	}
	n := 0
	for _, k := range a {
		if !in[k] {
			n++
		}
	}
	return n
}
