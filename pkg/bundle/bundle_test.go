package bundle

import (
	"fmt"
	"runtime"
	"slices"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/fescuecourse/fescuecourse/internal/testkey"
	"github.com/fescuecourse/fescuecourse/pkg/ident"
)

// Guards against a text that makes a node panic, and against stored parts that lose
// or change content.
func FuzzParse(f *testing.F) {
	f.Add(testText(7, 3, "alice", "bob"))
	f.Add("[bundle]\nversion = 1\n[deployment]\nname = d ; comment\n[service \"desk\"]\n[route \"desk/x\"]\nidempotent = true\n")
	f.Add("[adapter \"a/b\"\n= 3\nkey\n[team]\n[team \"\"]\nrate = NaN\n[x \"[\"]")
	f.Add("[bundle]\nversion=18446744073709551615\n[bundle]\nversion=1\nversion=2")
	f.Fuzz(func(t *testing.T, text string) {
		b, found := Parse("fuzz", text)
		if len(found) > 0 {
			assert.Assert(t, b == nil)
			return
		}
		canonical, found := Canonical("fuzz", text)
		assert.NilError(t, found.Err())
		again, found := Parse("canonical", canonical)
		assert.NilError(t, found.Err())
		assert.DeepEqual(t, again.Reviewers(), b.Reviewers())
		assert.DeepEqual(t, again.Deployment(), b.Deployment())
		sections, _ := Sections("fuzz", text)
		parts, err := Split(sections, 4)
		assert.NilError(t, err)
		joined, err := Join(b.Version(), parts)
		assert.NilError(t, err)
		assert.Equal(t, joined, canonical)
		compiled, found := Compile(b.Version(), parts)
		assert.NilError(t, found.Err())
		assert.Equal(t, compiled.AdapterCount(), b.AdapterCount())
	})
}

// Guards against an index that resolves a name to a different adapter, version or
// base model than the text defines.
func TestResolveMatchesText(t *testing.T) {
	name := rapid.StringMatching(`[a-c0.\-]{1,3}`)
	rapid.Check(t, func(t *rapid.T) {
		type want struct {
			base     string
			versions []string
			current  string
		}
		oracle := map[string]want{}
		teams := map[string]bool{}
		for range rapid.IntRange(0, 30).Draw(t, "adapters") {
			team := name.Draw(t, "team")
			vs := rapid.SliceOfNDistinct(name, 1, 4, rapid.ID[string]).Draw(t, "versions")
			teams[team] = true
			oracle[team+"/"+name.Draw(t, "name")] = want{name.Draw(t, "base"), vs, rapid.SampledFrom(vs).Draw(t, "current")}
		}
		text := "[bundle]\nversion = 1\n[deployment]\nname = x\n"
		for team := range teams {
			text += fmt.Sprintf("[team %q]\n", team)
		}
		for n, w := range oracle {
			text += fmt.Sprintf("[adapter %q]\nbase_model = %s\nversions = %s\ncurrent = %s\n", n, w.base, strings.Join(w.versions, ","), w.current)
		}
		b, found := Parse("test", text)
		assert.NilError(t, found.Err())
		for range 20 {
			n, v := name.Draw(t, "team")+"/"+name.Draw(t, "name"), name.Draw(t, "version")
			w, known := oracle[n]
			a, base, err := b.Resolve(n)
			assert.Equal(t, err == nil, known)
			if known {
				assert.Equal(t, a.String(), n+"@"+w.current)
				assert.Equal(t, base, w.base)
			}
			a, _, err = b.Resolve(n + "@" + v)
			assert.Equal(t, err == nil, slices.Contains(w.versions, v))
			if err == nil {
				assert.Equal(t, a.String(), n+"@"+v)
			}
		}
		for n, w := range oracle {
			a, base, err := b.Resolve(n)
			assert.NilError(t, err)
			assert.Equal(t, a.String()+" "+base, n+"@"+w.current+" "+w.base)
		}
	})
}

// Guards against findings that are missing or have a wrong line.
func TestFindingsNameTheirLines(t *testing.T) {
	text := "[bundle]\nversion = 0\n[deployment]\nname = x\n[team \"t\"]\nweight = no ; text\nwight = 1\n[adapter \"u/a\"]\nbase_model = m\nversions = 1\ncurrent = 2\n[adapter \"u/a\"]\n[service \"s\"]\n[route \"q/x\"]\n"
	_, found := Parse("f.ini", text)
	var places []string
	for _, f := range found {
		places = append(places, fmt.Sprint(f.Line))
	}
	assert.Equal(t, strings.Join(places, " "), "2 6 6 7 8 11 12 12 12 12 12 14", found.Error())
}

// Guards against a change of one adapter that rewrites more than one part, and
// against parts above their target size.
func TestOneChangedAdapterRewritesOnePart(t *testing.T) {
	sections, found := Sections("test", testText(1, 98_000, "alice", "bob"))
	assert.NilError(t, found.Err())
	before, err := Split(sections, 0)
	assert.NilError(t, err)
	largest := 0
	for _, p := range before {
		largest = max(largest, len(p.Content))
	}
	assert.Assert(t, largest <= TargetPartBytes, "largest part has %d bytes", largest)
	t.Logf("%d parts, largest %d bytes", len(before), largest)
	for _, i := range []int{100, 50_000, 98_000} {
		changed := slices.Clone(sections)
		changed[i].Keys = slices.Clone(changed[i].Keys)
		changed[i].Keys[0].Value += "-v2"
		changed[0].Keys = []Key{{Name: "version", Value: "2"}}
		after, err := Split(changed, len(before))
		assert.NilError(t, err)
		assert.Equal(t, rewritten(before, after), 1)
		after, err = Split(slices.Delete(changed, i, i+1), len(before))
		assert.NilError(t, err)
		assert.Equal(t, rewritten(before, after), 1)
	}
}

func rewritten(before, after []Part) int {
	n := 0
	for _, p := range after {
		if !slices.Contains(before, p) {
			n++
		}
	}
	return n
}

// Guards against a bundle that is accepted with the signatures of only one reviewer,
// of an unknown reviewer, or of one reviewer twice.
func TestVerifyNeedsTwoReviewers(t *testing.T) {
	names := []string{"alice", "bob", "carol", "mallory"}
	rapid.Check(t, func(t *rapid.T) {
		trusted := testReviewers("alice", "bob", "carol")
		p, err := Propose("test", testText(1, 2, "alice", "bob"), "op", nil)
		assert.NilError(t, err)
		valid := map[string]bool{}
		for range rapid.IntRange(0, 4).Draw(t, "signatures") {
			r, _, err := p.Build()
			assert.NilError(t, err)
			name, key := rapid.SampledFrom(names).Draw(t, "name"), rapid.SampledFrom(names).Draw(t, "key")
			p.Signatures = append(p.Signatures, r.Sign(name, testkey.Private(key)))
			if name == key && name != "mallory" {
				valid[name] = true
			}
		}
		r, _, err := p.Build()
		assert.NilError(t, err)
		assert.Equal(t, r.Verify(trusted, 0) == nil, len(valid) >= RequiredReviewers)
		r.Operator = "other"
		assert.Assert(t, errors.Is(r.Verify(trusted, 0), ErrUnverified))
	})
}

// Guards against a node that missed versions and cannot verify the reviewers that
// were changed meanwhile, and against bundles that are accepted with the signatures
// of removed reviewers.
func TestVerifyFollowsReviewers(t *testing.T) {
	sets := [][]string{{"a", "b"}, {"a", "b"}, {"b", "c"}, {"c", "d"}, {"c", "d"}, {"e", "f"}}
	var roots []*Root
	var base *Root
	signers := []string{"a", "b"}
	for i, set := range sets {
		p, err := Propose("test", testText(i+1, 2, set...), "op", base)
		assert.NilError(t, err)
		r, _, err := p.Build()
		assert.NilError(t, err)
		for _, s := range signers {
			r.Signatures = append(r.Signatures, r.Sign(s, testkey.Private(s)))
		}
		signers = set
		base = r
		roots = append(roots, r)
	}
	last := roots[len(roots)-1]
	assert.NilError(t, last.Verify(testReviewers("a", "b"), 0))
	for i, r := range roots[:len(roots)-1] {
		assert.NilError(t, last.Verify(testReviewers(sets[i]...), r.Version))
	}
	forged := *last
	forged.Signatures = []Signature{forged.Sign("a", testkey.Private("a")), forged.Sign("b", testkey.Private("b"))}
	for i, r := range roots[2 : len(roots)-1] {
		assert.ErrorIs(t, forged.Verify(testReviewers(sets[i+2]...), r.Version), ErrUnverified)
	}
	assert.ErrorIs(t, forged.Verify(testReviewers("a", "b"), 0), ErrUnverified)
}

func BenchmarkParse(b *testing.B) {
	for _, n := range []int{1_000, 10_000, 98_000} {
		text := testText(1, n, "alice", "bob")
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			b.ReportAllocs()
			before := heapBytes()
			var last *Bundle
			for b.Loop() {
				last, _ = Parse("bench", text)
			}
			b.ReportMetric(float64(heapBytes()-before), "retained_bytes")
			runtime.KeepAlive(last)
		})
	}
}

func heapBytes() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

func BenchmarkResolve(b *testing.B) {
	for _, n := range []int{1_000, 10_000, 98_000} {
		bun, found := Parse("bench", testText(1, n))
		assert.NilError(b, found.Err())
		model := fmt.Sprintf("team-%d/adapter-%d@1", (n/2)%20, n/2)
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			b.ReportAllocs()
			var a ident.Adapter
			for b.Loop() {
				a, _, _ = bun.Resolve(model)
			}
			assert.Assert(b, !a.IsZero())
		})
	}
}

// Guards against two rules for one route in different spellings. The last rule would
// silently decide whether requests of the route may be repeated.
func TestRouteHasOneSpelling(t *testing.T) {
	text := "[bundle]\nversion = 1\n[deployment]\nname = d\n[service \"desk\"]\n[route \"desk/pay\"]\nidempotent = false\n[route \"/desk/pay/\"]\nidempotent = true\n"
	_, found := Parse("b.ini", text)
	assert.Equal(t, len(found), 1)
	assert.Equal(t, found[0].Line, 8)
}
