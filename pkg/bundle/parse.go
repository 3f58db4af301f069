package bundle

import (
	"crypto/ed25519"
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
	"slices"
	"strconv"
	"strings"
	"time"

	"gopkg.in/ini.v1"

	"github.com/fescuecourse/fescuecourse/pkg/config"
	"github.com/fescuecourse/fescuecourse/pkg/findings"
	"github.com/fescuecourse/fescuecourse/pkg/ident"
)

// Defaults of optional keys.
const (
	defaultRetryBudget   = 0.1
	defaultKeyRetention  = 15 * time.Minute
	defaultWeight        = 1
	defaultMaxInFlight   = 100
	defaultRatePerSecond = 100
)

// Parse compiles the INI text of a bundle. It returns all problems together;
// the bundle is nil if there are any.
func Parse(file, text string) (*Bundle, findings.List) {
	p := &parser{file: file, lines: config.Lines(text), b: &Bundle{
		teams:     map[ident.Team]TeamPolicy{},
		keys:      map[[sha256.Size]byte]ident.Team{},
		adapters:  map[string]adapterEntry{},
		services:  map[string]bool{},
		routes:    map[string]bool{},
		reviewers: map[string][]byte{},
	}}
	f, err := ini.LoadSources(ini.LoadOptions{ChildSectionDelimiter: "\x00"}, []byte(text))
	if err != nil {
		p.found.Addf(file, 0, "%v", err)
		return nil, p.found
	}
	for _, s := range f.Sections() {
		p.section(s)
	}
	p.crossCheck()
	if len(p.found) > 0 {
		p.found.Sort()
		return nil, p.found
	}
	return p.b, nil
}

type parser struct {
	file  string
	lines map[config.Place]int
	found findings.List
	b     *Bundle
}

// section parses one section by its kind.
func (p *parser) section(s *ini.Section) {
	kind, name := splitSection(s.Name())
	r := &reader{p: p, s: s, seen: map[string]bool{}}
	switch kind {
	case ini.DefaultSection:
	case "bundle":
		p.b.version = ident.BundleVersion(r.uint("version", 0))
		r.check(p.b.version > 0, "version", "must be above zero")
	case "deployment":
		p.b.deployment = r.deployment()
	case "reviewer":
		p.b.reviewers[name] = r.publicKey()
	case "team":
		p.team(r, name)
	case "adapter":
		p.adapter(r, name)
	case "service":
		r.check(name != "", "", "needs a name")
		p.b.services[name] = true
	case "route":
		p.b.routes[strings.Trim(name, "/")] = r.bool("idempotent", false)
	default:
		r.check(false, "", "unknown section")
	}
	r.rejectUnknownKeys()
}

func splitSection(section string) (kind, name string) {
	kind, name, _ = strings.Cut(section, " ")
	return kind, strings.Trim(strings.TrimSpace(name), `"`)
}

func (p *parser) team(r *reader, name string) {
	t := ident.Team(name)
	r.check(name != "" && !strings.ContainsAny(name, "/@ "), "", "team name must not be empty or contain '/', '@' or spaces")
	pol := TeamPolicy{
		Team:          t,
		Weight:        int(r.uint("weight", defaultWeight)),
		Priority:      r.priority(),
		MaxInFlight:   int(r.uint("max_in_flight", defaultMaxInFlight)),
		RatePerSecond: r.float("rate", defaultRatePerSecond),
	}
	r.check(pol.Weight > 0, "weight", "must be above zero")
	r.check(pol.MaxInFlight > 0, "max_in_flight", "must be above zero")
	r.check(pol.RatePerSecond > 0, "rate", "must be above zero")
	for _, h := range r.list("key_sha256") {
		p.teamKey(r, t, h)
	}
	p.b.teams[t] = pol
}

func (p *parser) teamKey(r *reader, t ident.Team, hash string) {
	raw, err := hex.DecodeString(hash)
	if !r.check(err == nil && len(raw) == sha256.Size, "key_sha256", "must be SHA-256 in hexadecimal") {
		return
	}
	key := [sha256.Size]byte(raw)
	other, taken := p.b.keys[key]
	r.check(!taken || other == t, "key_sha256", "key belongs to team "+string(other)+" already")
	p.b.keys[key] = t
}

func (p *parser) adapter(r *reader, name string) {
	a, err := ident.ParseAdapter(name)
	if !r.check(err == nil && a.Version == "", "", "adapter name must be team/adapter") {
		return
	}
	e := adapterEntry{baseModel: r.str("base_model"), current: r.str("current"), versions: r.list("versions")}
	r.check(e.baseModel != "", "base_model", "must be set")
	r.check(len(e.versions) > 0, "versions", "must list at least one version")
	for _, v := range e.versions {
		r.check(!strings.ContainsAny(v, "/@ "), "versions", "version "+strconv.Quote(v)+" must not contain '/', '@' or spaces")
	}
	r.check(slices.Contains(e.versions, e.current), "current", "must be one of the versions")
	p.b.adapters[name] = e
}

// crossCheck checks references between sections.
func (p *parser) crossCheck() {
	p.require(p.b.version > 0, "bundle", "section is missing")
	p.require(p.b.deployment.Name != "", "deployment", "section is missing")
	for name := range p.b.adapters {
		team, _, _ := strings.Cut(name, "/")
		_, ok := p.b.teams[ident.Team(team)]
		p.require(ok, `adapter "`+name+`"`, "team "+strconv.Quote(team)+" is not defined")
	}
	for route := range p.b.routes {
		service, _, _ := strings.Cut(route, "/")
		p.require(isModelRoute(route) || p.b.services[service], `route "`+route+`"`, "service "+strconv.Quote(service)+" is not defined")
	}
}

func (p *parser) require(ok bool, section, text string) {
	if !ok {
		p.found.Addf(p.file, p.lines[config.Place{Section: section}], "[%s]: %s", section, text)
	}
}

// reader reads the keys of one section and records problems.
type reader struct {
	p    *parser
	s    *ini.Section
	seen map[string]bool
}

func (r *reader) check(ok bool, key, text string) bool {
	if ok {
		return true
	}
	line := r.p.lines[config.Place{Section: r.s.Name(), Key: key}]
	if line == 0 {
		line = r.p.lines[config.Place{Section: r.s.Name()}]
	}
	if key != "" {
		text = key + ": " + text
	}
	r.p.found.Addf(r.p.file, line, "[%s] %s", r.s.Name(), text)
	return false
}

func (r *reader) rejectUnknownKeys() {
	for _, k := range r.s.Keys() {
		r.check(r.seen[k.Name()], k.Name(), "unknown key")
	}
}

func (r *reader) str(key string) string {
	r.seen[key] = true
	return strings.TrimSpace(r.s.Key(key).String())
}

func (r *reader) list(key string) []string {
	var out []string
	for _, v := range strings.Split(r.str(key), ",") {
		if v = strings.TrimSpace(v); v != "" {
			out = append(out, v)
		}
	}
	return out
}

func (r *reader) uint(key string, def uint64) uint64 {
	v := r.str(key)
	if v == "" {
		return def
	}
	n, err := strconv.ParseUint(v, 10, 63)
	r.check(err == nil, key, "must be a whole number")
	return n
}

func (r *reader) float(key string, def float64) float64 {
	v := r.str(key)
	if v == "" {
		return def
	}
	n, err := strconv.ParseFloat(v, 64)
	r.check(err == nil, key, "must be a number")
	return n
}

func (r *reader) bool(key string, def bool) bool {
	v := r.str(key)
	if v == "" {
		return def
	}
	b, err := strconv.ParseBool(v)
	r.check(err == nil, key, "must be true or false")
	return b
}

func (r *reader) duration(key string, def time.Duration) time.Duration {
	v := r.str(key)
	if v == "" {
		return def
	}
	d, err := time.ParseDuration(v)
	r.check(err == nil && d > 0, key, "must be a duration above zero")
	return d
}

func (r *reader) priority() ident.Priority {
	switch r.str("priority") {
	case "high":
		return ident.PriorityHigh
	case "batch":
		return ident.PriorityBatch
	case "", "normal":
		return ident.PriorityNormal
	}
	r.check(false, "priority", "must be high, normal or batch")
	return ident.PriorityNormal
}

func (r *reader) publicKey() []byte {
	raw, err := base64.StdEncoding.DecodeString(r.str("public_key"))
	r.check(err == nil && len(raw) == ed25519.PublicKeySize, "public_key", "must be an ed25519 key in base64")
	return raw
}

func (r *reader) deployment() Deployment {
	d := Deployment{
		Name:         r.str("name"),
		StallWeight:  r.float("stall_weight", 0.5),
		BatchWeight:  r.float("batch_weight", 0.5),
		RetryBudget:  r.float("retry_budget", defaultRetryBudget),
		KeyRetention: r.duration("key_retention", defaultKeyRetention),
	}
	r.check(d.Name != "", "name", "must be set")
	r.check(d.StallWeight >= 0 && d.BatchWeight >= 0 && d.StallWeight+d.BatchWeight > 0, "stall_weight", "weights must not be negative or both zero")
	r.check(d.RetryBudget >= 0 && d.RetryBudget <= 1, "retry_budget", "must be between 0 and 1")
	return d
}
