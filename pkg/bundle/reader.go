package bundle

import (
	"crypto/ed25519"
	"encoding/base64"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/fescuecourse/fescuecourse/pkg/ident"
)

// DefaultKeyRetention is how long idempotency keys are remembered if the bundle does
// not set key_retention.
const DefaultKeyRetention = 15 * time.Minute

// Defaults of optional keys.
const (
	// defaultMetricWeight is the default of both stall_weight and batch_weight.
	defaultMetricWeight  = 0.5
	defaultRetryBudget   = 0.1
	defaultTeamWeight    = 1
	defaultMaxInFlight   = 100
	defaultRatePerSecond = 100
)

// Limits of sections.
const (
	// maxVersions limits the number of versions of one adapter.
	maxVersions = 1024
	// maxSectionKeys limits the number of keys in one section. It is the number of
	// bits in sectionReader.seen.
	maxSectionKeys = 64
)

// sectionReader reads the keys of one section and records findings. Bit i of seen
// is set once key i has been read, to find unknown keys.
type sectionReader struct {
	p    *parser
	s    *Section
	seen uint64
}

// check records a finding if ok is false, and returns ok. The finding refers to the
// line of the key, or to the section header if key is empty or not set.
func (r *sectionReader) check(ok bool, key, text string) bool {
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

func (r *sectionReader) rejectUnknownKeys() {
	for i, k := range r.s.Keys {
		r.check(i < maxSectionKeys && r.seen&(1<<i) != 0, k.Name, "unknown key")
	}
}

// str returns the value of a key, or an empty string if it is not set.
func (r *sectionReader) str(key string) string {
	for i, k := range r.s.Keys {
		if k.Name == key {
			r.seen |= 1 << i
			return k.Value
		}
	}
	return ""
}

// list returns the non-empty values of a key whose value is separated by commas.
func (r *sectionReader) list(key string) []string {
	var out []string
	for _, v := range strings.Split(r.str(key), ",") {
		if v = strings.TrimSpace(v); v != "" {
			out = append(out, v)
		}
	}
	return out
}

func (r *sectionReader) uint(key string, def uint64) uint64 {
	v := r.str(key)
	if v == "" {
		return def
	}
	n, err := strconv.ParseUint(v, 10, 63)
	r.check(err == nil, key, "must be a whole number")
	return n
}

func (r *sectionReader) float(key string, def float64) float64 {
	v := r.str(key)
	if v == "" {
		return def
	}
	n, err := strconv.ParseFloat(v, 64)
	r.check(err == nil && !math.IsNaN(n) && !math.IsInf(n, 0), key, "must be a finite number")
	return n
}

func (r *sectionReader) bool(key string, def bool) bool {
	v := r.str(key)
	if v == "" {
		return def
	}
	b, err := strconv.ParseBool(v)
	r.check(err == nil, key, "must be true or false")
	return b
}

func (r *sectionReader) duration(key string, def time.Duration) time.Duration {
	v := r.str(key)
	if v == "" {
		return def
	}
	d, err := time.ParseDuration(v)
	r.check(err == nil && d > 0, key, "must be a duration above zero")
	return d
}

func (r *sectionReader) priority() ident.Priority {
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

func (r *sectionReader) publicKey() []byte {
	raw, err := base64.StdEncoding.DecodeString(r.str("public_key"))
	r.check(err == nil && len(raw) == ed25519.PublicKeySize, "public_key", "must be an ed25519 key in base64")
	return raw
}

func (r *sectionReader) deployment() Deployment {
	d := Deployment{
		Name:         strings.Clone(r.str("name")),
		StallWeight:  r.float("stall_weight", defaultMetricWeight),
		BatchWeight:  r.float("batch_weight", defaultMetricWeight),
		RetryBudget:  r.float("retry_budget", defaultRetryBudget),
		KeyRetention: r.duration("key_retention", DefaultKeyRetention),
	}
	r.check(d.Name != "", "name", "must be set")
	r.check(d.StallWeight >= 0 && d.BatchWeight >= 0 && d.StallWeight+d.BatchWeight > 0, "stall_weight", "weights must not be negative or both zero")
	r.check(d.RetryBudget >= 0 && d.RetryBudget <= 1, "retry_budget", "must be between 0 and 1")
	return d
}

// versions reads the keys versions and current of an adapter. It returns false if
// they are not valid.
func (r *sectionReader) versions() (versionSet, bool) {
	vs := versionSet{}
	for _, v := range r.list("versions") {
		vs.versions = append(vs.versions, strings.Clone(v))
	}
	ok := r.check(len(vs.versions) > 0 && len(vs.versions) <= maxVersions, "versions", "must list between 1 and "+strconv.Itoa(maxVersions)+" versions")
	for _, v := range vs.versions {
		ok = r.check(!strings.ContainsAny(v, "/@ "), "versions", "version "+strconv.Quote(v)+" must not contain '/', '@' or spaces") && ok
	}
	current := slices.Index(vs.versions, r.str("current"))
	ok = r.check(current >= 0, "current", "must be one of the versions") && ok
	vs.current = uint16(max(current, 0))
	return vs, ok
}
