package bundle

import (
	"crypto/ed25519"
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/fescuecourse/fescuecourse/pkg/findings"
	"github.com/fescuecourse/fescuecourse/pkg/ident"
)

// DefaultKeyRetention applies to bundles that do not set key_retention.
const DefaultKeyRetention = 15 * time.Minute

// Defaults of optional keys.
const (
	defaultRetryBudget   = 0.1
	defaultWeight        = 1
	defaultMaxInFlight   = 100
	defaultRatePerSecond = 100
	// maxVersions bounds the versions of one adapter.
	maxVersions = 1024
)

// Parse compiles the INI text of a bundle. It returns all problems together;
// the bundle is nil if there are any.
func Parse(file, text string) (*Bundle, findings.List) {
	p := newParser()
	p.expect(countAdapters(text))
	p.scan(file, text)
	return p.finish(file)
}

// Compile compiles the parts of a bundle whose version is in its root record.
func Compile(version ident.BundleVersion, parts []Part) (*Bundle, findings.List) {
	p := newParser()
	n := 0
	for _, part := range parts {
		n += countAdapters(part.Content)
	}
	p.expect(n)
	p.scan("root", versionSection(version))
	for _, part := range parts {
		p.scan("part "+part.Name, part.Content)
	}
	return p.finish("root")
}

func versionSection(v ident.BundleVersion) string {
	return "[" + kindBundle + "]\nversion = " + strconv.FormatUint(uint64(v), 10) + "\n"
}

// place is where a section stands in the source text.
type place struct {
	file string
	line int
}

type parser struct {
	file     string
	files    []string
	found    findings.List
	b        *Bundle
	adapters *builder
	// places holds all sections but adapters, which the index checks itself.
	places map[string]place
}

func newParser() *parser {
	return &parser{
		adapters: newBuilder(),
		places:   map[string]place{},
		b: &Bundle{
			teams:     map[ident.Team]TeamPolicy{},
			keys:      map[[sha256.Size]byte]ident.Team{},
			services:  map[string]bool{},
			routes:    map[string]bool{},
			reviewers: map[string][]byte{},
		},
	}
}

// expect reserves memory for adapters, so that growing does not double the peak.
func (p *parser) expect(adapters int) {
	p.adapters.adapters = make([]pending, 0, adapters)
}

func countAdapters(text string) int { return strings.Count(text, "["+kindAdapter+" ") }

func (p *parser) scan(file, text string) {
	p.file = file
	p.files = append(p.files, file)
	scan(file, text, &p.found, p.section)
}

func (p *parser) finish(file string) (*Bundle, findings.List) {
	p.b.adapters = p.adapters.build(func(a pending) {
		p.found.Addf(p.files[a.file], int(a.line), "[adapter %q] section is defined twice", a.name)
	})
	p.crossCheck(file)
	if len(p.found) > 0 {
		p.found.Sort()
		return nil, p.found
	}
	return p.b, nil
}

// section parses one section by its kind.
func (p *parser) section(s *Section) {
	r := &reader{p: p, s: s}
	if s.Kind == kindAdapter {
		p.adapter(r, s.Name)
		r.rejectUnknownKeys()
		return
	}
	title := strings.Clone(s.Title())
	_, twice := p.places[title]
	r.check(!twice, "", "section is defined twice")
	p.places[title] = place{p.file, s.Line}
	p.rareSection(r, strings.Clone(s.Name))
	r.rejectUnknownKeys()
}

// rareSection parses the kinds of which a bundle has few.
func (p *parser) rareSection(r *reader, name string) {
	switch r.s.Kind {
	case kindBundle:
		p.b.version = ident.BundleVersion(r.uint("version", 0))
		r.check(p.b.version > 0, "version", "must be above zero")
		// The stored form keeps the number only, so another spelling would change the text.
		r.check(!strings.HasPrefix(r.str("version"), "0") || p.b.version == 0, "version", "must not start with zero")
	case kindDeployment:
		p.b.deployment = r.deployment()
	case kindReviewer:
		r.check(name != "", "", "needs a name")
		p.b.reviewers[name] = r.publicKey()
	case kindTeam:
		p.team(r, name)
	case kindService:
		r.check(name != "" && !strings.Contains(name, "/"), "", "needs a name without '/'")
		p.b.services[name] = true
	case kindRoute:
		p.b.routes[strings.Trim(name, "/")] = r.bool("idempotent", false)
	default:
		r.check(false, "", "unknown section")
	}
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
	base := r.str("base_model")
	r.check(base != "", "base_model", "must be set")
	set, _ := p.adapters.set(setKey{r.str("versions"), r.str("current")}, r.versions)
	p.adapters.adapters = append(p.adapters.adapters, pending{name: name, file: uint32(len(p.files) - 1), line: uint32(r.s.Line), base: p.adapters.base(base), set: set})
}

// versions reads the versions of an adapter.
func (r *reader) versions() (versionSet, bool) {
	vs := versionSet{}
	for _, v := range r.list("versions") {
		vs.versions = append(vs.versions, strings.Clone(v))
	}
	ok := r.check(len(vs.versions) > 0 && len(vs.versions) <= maxVersions, "versions", "must list between 1 and 1024 versions")
	for _, v := range vs.versions {
		ok = r.check(!strings.ContainsAny(v, "/@ "), "versions", "version "+strconv.Quote(v)+" must not contain '/', '@' or spaces") && ok
	}
	current := slices.Index(vs.versions, r.str("current"))
	ok = r.check(current >= 0, "current", "must be one of the versions") && ok
	vs.current = uint16(max(current, 0))
	return vs, ok
}

// crossCheck checks references between sections.
func (p *parser) crossCheck(file string) {
	if _, ok := p.places[kindBundle]; !ok {
		p.found.Addf(file, 0, "[bundle]: section with the version is missing")
	}
	if _, ok := p.places[kindDeployment]; !ok {
		p.found.Addf(file, 0, "[deployment]: section with the name is missing")
	}
	for _, a := range p.adapters.adapters {
		team, _, _ := strings.Cut(a.name, "/")
		if _, ok := p.b.teams[ident.Team(team)]; !ok {
			p.found.Addf(p.files[a.file], int(a.line), "[adapter %q]: team %q is not defined", a.name, team)
		}
	}
	for route := range p.b.routes {
		service, _, _ := strings.Cut(route, "/")
		if !isModelRoute(route) && !p.b.services[service] {
			at := p.places[kindRoute+` "`+route+`"`]
			p.found.Addf(at.file, at.line, "[route %q]: service %q is not defined", route, service)
		}
	}
}

// reader reads the keys of one section and records problems. Bit i of seen is
// set once key i has been read.
type reader struct {
	p    *parser
	s    *Section
	seen uint64
}

func (r *reader) check(ok bool, key, text string) bool {
	if ok {
		return true
	}
	line := r.s.Line
	if key != "" {
		text = key + ": " + text
	}
	for _, k := range r.s.Keys {
		if k.Name == key {
			line = k.Line
		}
	}
	r.p.found.Addf(r.p.file, line, "[%s] %s", r.s.Title(), text)
	return false
}

func (r *reader) rejectUnknownKeys() {
	for i, k := range r.s.Keys {
		r.check(i < 64 && r.seen&(1<<i) != 0, k.Name, "unknown key")
	}
}

func (r *reader) str(key string) string {
	for i, k := range r.s.Keys {
		if k.Name == key {
			r.seen |= 1 << i
			return k.Value
		}
	}
	return ""
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
	r.check(err == nil && !math.IsNaN(n) && !math.IsInf(n, 0), key, "must be a finite number")
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
		Name:         strings.Clone(r.str("name")),
		StallWeight:  r.float("stall_weight", 0.5),
		BatchWeight:  r.float("batch_weight", 0.5),
		RetryBudget:  r.float("retry_budget", defaultRetryBudget),
		KeyRetention: r.duration("key_retention", DefaultKeyRetention),
	}
	r.check(d.Name != "", "name", "must be set")
	r.check(d.StallWeight >= 0 && d.BatchWeight >= 0 && d.StallWeight+d.BatchWeight > 0, "stall_weight", "weights must not be negative or both zero")
	r.check(d.RetryBudget >= 0 && d.RetryBudget <= 1, "retry_budget", "must be between 0 and 1")
	return d
}
