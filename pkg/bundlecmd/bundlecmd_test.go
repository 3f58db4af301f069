package bundlecmd

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"github.com/fescuecourse/fescuecourse/pkg/bundle"
	"github.com/fescuecourse/fescuecourse/pkg/config"
	"github.com/fescuecourse/fescuecourse/pkg/kv"
	"github.com/fescuecourse/fescuecourse/pkg/rollout"
	"github.com/fescuecourse/fescuecourse/standin/kvstore"
)

type testEnv struct {
	t     *testing.T
	dir   string
	store *kvstore.Memory
}

func (b *testEnv) run(args ...string) (string, error) {
	var out bytes.Buffer
	tool := &Tool{Out: &out, Err: &bytes.Buffer{}, Open: func(string) (kv.Store, error) { return b.store, nil }, Platform: fakePlatform{}}
	err := tool.Command().ParseAndRun(b.t.Context(), args)
	return out.String(), err
}

func (b *testEnv) must(args ...string) string {
	b.t.Helper()
	out, err := b.run(args...)
	assert.NilError(b.t, err)
	return out
}

func (b *testEnv) path(name string) string { return filepath.Join(b.dir, name) }

func (b *testEnv) write(name, text string) string {
	assert.NilError(b.t, os.WriteFile(b.path(name), []byte(text), publicFileMode))
	return b.path(name)
}

// Guards against a rollout without the signatures of two different reviewers, and
// against a conflict error that does not name the accepted rollout.
func TestFromTextToAccepted(t *testing.T) {
	b := &testEnv{t: t, dir: t.TempDir(), store: kvstore.NewMemory(time.Now)}
	alice := b.must("keygen", "alice", b.path("alice.key"))
	bob := b.must("keygen", "bob", b.path("bob.key"))
	reviewers := b.write("reviewers.ini", alice+bob)
	b.must("init", b.path("template.ini"))
	template, err := os.ReadFile(b.path("template.ini"))
	assert.NilError(t, err)
	file := b.write("bundle.ini", string(template)+alice+bob)
	b.must("validate", file)

	approve := func(name, proposal string) {
		b.must("approve", "-reviewer", name, "-key", b.path(name+".key"), proposal)
	}
	one, two := b.path("one.json"), b.path("two.json")
	b.must("propose", "-kv", "x", "-operator", "olga", file, one)
	b.must("propose", "-kv", "x", "-operator", "omar", file, two)
	approve("alice", one)
	approve("alice", one)
	_, err = b.run("rollout", "-kv", "x", "-reviewers", reviewers, one)
	assert.ErrorIs(t, err, bundle.ErrUnverified)
	approve("bob", one)
	approve("alice", two)
	approve("bob", two)
	b.must("rollout", "-kv", "x", "-reviewers", reviewers, one)
	_, err = b.run("rollout", "-kv", "x", "-reviewers", reviewers, two)
	conflict := &rollout.ConflictError{}
	assert.Assert(t, errors.As(err, &conflict))
	assert.Equal(t, conflict.Winner.Operator, "olga")
	accepted := bundle.AcceptedRollout{}
	assert.NilError(t, json.Unmarshal([]byte(b.must("status", "-kv", "x", "-json")), &accepted))
	assert.DeepEqual(t, accepted, conflict.Winner)

	next := b.write("next.ini", strings.Replace(b.must("status", "-kv", "x", "-text"), "version = 1", "version = 2", 1)+"[service \"desk\"]\n")
	diff := b.must("diff", file, next)
	assert.Equal(t, diff, "changed [bundle] version: 1 -> 2\nadded [service \"desk\"]\n")
	three := b.path("three.json")
	b.must("propose", "-kv", "x", "-operator", "omar", next, three)
	approve("bob", three)
	approve("alice", three)
	b.must("rollout", "-kv", "x", three)
}

// Guards against findings that are omitted or printed without file and line, and
// against wrong exit codes: ErrRejected leads to 1, ErrUsage to 2.
func TestValidatePrintsAllFindings(t *testing.T) {
	b := &testEnv{t: t, dir: t.TempDir()}
	bad := b.write("bad.ini", "[bundle]\nversion = x\n[team \"t\"]\nrate = -1\n")
	out, err := b.run("validate", bad)
	assert.ErrorIs(t, err, ErrRejected)
	assert.Assert(t, strings.Contains(out, bad+":2: "), out)
	assert.Assert(t, strings.Contains(out, bad+":4: "), out)
	out, err = b.run("validate", "-json", bad)
	assert.ErrorIs(t, err, ErrRejected)
	var list []struct{ Line int }
	assert.NilError(t, json.Unmarshal([]byte(out), &list))
	assert.Assert(t, len(list) >= 3)
	_, err = b.run("validate")
	assert.Assert(t, errors.Is(err, config.ErrUsage), "%v", err)
	_, err = b.run("rollout", "only.json")
	assert.Assert(t, errors.Is(err, config.ErrUsage), "%v", err)
}
