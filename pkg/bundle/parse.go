package bundle

import (
	"encoding/hex"
	"strconv"
	"strings"

	"github.com/fescuecourse/fescuecourse/pkg/credential"
	"github.com/fescuecourse/fescuecourse/pkg/findings"
	"github.com/fescuecourse/fescuecourse/pkg/ident"
)

// Parse compiles the INI text of a bundle. It returns all findings together; the
// bundle is nil if there are any. Findings refer to the text as file.
func Parse(file, text string) (*Bundle, findings.List) {
	p := newParser()
	p.reserveAdapters(countAdapters(text))
	p.scan(file, text)
	return p.finish(file)
}

// Compile compiles a bundle from its stored parts and the version from its root
// record. It returns findings like Parse.
func Compile(version ident.BundleVersion, parts []Part) (*Bundle, findings.List) {
	p := newParser()
	n := 0
	for _, part := range parts {
		n += countAdapters(part.Content)
	}
	p.reserveAdapters(n)
	p.scan("root", versionSection(version))
	for _, part := range parts {
		p.scan("part "+part.Name, part.Content)
	}
	return p.finish("root")
}

// versionSection returns the text of the bundle section. It is not part of any stored
// part, because the root record holds the version.
func versionSection(v ident.BundleVersion) string {
	return "[" + kindBundle + "]\nversion = " + strconv.FormatUint(uint64(v), 10) + "\n"
}

// position is the position of a section in the source text.
type position struct {
	file string
	line int
}

type parser struct {
	file     string
	files    []string
	found    findings.List
	b        *Bundle
	adapters *indexBuilder
	// positions holds the positions of all sections by title, except for adapters,
	// whose duplicates the index finds.
	positions map[string]position
}

func newParser() *parser {
	return &parser{
		adapters:  newIndexBuilder(),
		positions: map[string]position{},
		b: &Bundle{
			teams:     map[ident.Team]TeamPolicy{},
			services:  map[string]bool{},
			routes:    map[string]bool{},
			reviewers: map[string][]byte{},
		},
	}
}

// reserveAdapters allocates memory for the given number of adapters, because growing
// the slice would double the peak memory use.
func (p *parser) reserveAdapters(adapters int) {
	p.adapters.adapters = make([]pendingAdapter, 0, adapters)
}

func countAdapters(text string) int { return strings.Count(text, "["+kindAdapter+" ") }

func (p *parser) scan(file, text string) {
	p.file = file
	p.files = append(p.files, file)
	scan(file, text, &p.found, p.section)
}

func (p *parser) finish(file string) (*Bundle, findings.List) {
	p.b.adapters = p.adapters.build(func(a pendingAdapter) {
		p.found.Addf(p.files[a.file], int(a.line), "[adapter %q] section is defined twice", a.name)
	})
	p.crossCheck(file)
	if len(p.found) > 0 {
		p.found.Sort()
		return nil, p.found
	}
	return p.b, nil
}

// section parses one section according to its kind.
func (p *parser) section(s *Section) {
	r := &sectionReader{p: p, s: s}
	if s.Kind == kindAdapter {
		p.adapter(r, s.Name)
		r.rejectUnknownKeys()
		return
	}
	title := strings.Clone(s.Title())
	_, twice := p.positions[title]
	r.check(!twice, "", "section is defined twice")
	p.positions[title] = position{p.file, s.Line}
	p.nonAdapterSection(r, strings.Clone(s.Name))
	r.rejectUnknownKeys()
}

// nonAdapterSection parses a section of any kind but adapter.
func (p *parser) nonAdapterSection(r *sectionReader, name string) {
	switch r.s.Kind {
	case kindBundle:
		p.b.version = ident.BundleVersion(r.uint("version", 0))
		r.check(p.b.version > 0, "version", "must be above zero")
		// The root record stores only the number, so leading zeros would be lost.
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
		// Reject slashes at either end: otherwise two spellings of one route would be
		// two rules, of which the last one applies.
		idempotent := r.bool("idempotent", false)
		if r.check(name != "" && name == strings.Trim(name, "/"), "", "route must not be empty or begin or end with '/'") {
			p.b.routes[name] = idempotent
		}
	default:
		r.check(false, "", "unknown section")
	}
}

func (p *parser) team(r *sectionReader, name string) {
	t := ident.Team(name)
	r.check(name != "" && !strings.ContainsAny(name, "/@ "), "", "team name must not be empty or contain '/', '@' or spaces")
	pol := TeamPolicy{
		Team:          t,
		Weight:        int(r.uint("weight", defaultTeamWeight)),
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

func (p *parser) teamKey(r *sectionReader, t ident.Team, hash string) {
	raw, err := hex.DecodeString(hash)
	if !r.check(err == nil && len(raw) == credential.DigestSize, "key_sha256", "must be SHA-256 in hexadecimal") {
		return
	}
	key := credential.Digest(raw)
	if !p.b.keys.Add(key, t) {
		other, _ := p.b.keys.Owner(key)
		r.check(false, "key_sha256", "key belongs to team "+string(other)+" already")
	}
}

func (p *parser) adapter(r *sectionReader, name string) {
	a, err := ident.ParseAdapter(name)
	if !r.check(err == nil && a.Version == "", "", "adapter name must be team/adapter") {
		return
	}
	base := r.str("base_model")
	r.check(base != "", "base_model", "must be set")
	set, _ := p.adapters.set(versionSetKey{r.str("versions"), r.str("current")}, r.versions)
	p.adapters.adapters = append(p.adapters.adapters, pendingAdapter{name: name, file: uint32(len(p.files) - 1), line: uint32(r.s.Line), base: p.adapters.base(base), set: set})
}

// crossCheck checks references between sections.
func (p *parser) crossCheck(file string) {
	if _, ok := p.positions[kindBundle]; !ok {
		p.found.Addf(file, 0, "[bundle]: section with the version is missing")
	}
	if _, ok := p.positions[kindDeployment]; !ok {
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
			at := p.positions[kindRoute+` "`+route+`"`]
			p.found.Addf(at.file, at.line, "[route %q]: service %q is not defined", route, service)
		}
	}
}
