package bundlecmd

import (
	"context"
	"encoding/json"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fescuecourse/fescuecourse/pkg/configcheck"
	"github.com/fescuecourse/fescuecourse/pkg/route"
	"github.com/fescuecourse/fescuecourse/standin/kvstore"
)

// fakePlatform decodes a configuration that consists of its version.
type fakePlatform struct{}

func (fakePlatform) Decode(text []byte) (route.Config, error) {
	c := route.Config{}
	err := json.Unmarshal(text, &c)
	return c, err
}

func (fakePlatform) InForce(context.Context, string) (route.Config, error) {
	return route.Config{Version: 7}, nil
}

// Guards against a check that scripts take for passed although it has found problems, and
// against configurations of the platform that are read as bundles.
func TestCheckRejectsProblems(t *testing.T) {
	b := &testEnv{t: t, dir: t.TempDir(), store: kvstore.NewMemory(time.Now)}
	bundleFile := b.write("bundle.ini", template)
	out, err := b.run("check", bundleFile)
	assert.ErrorIs(t, err, ErrRejected)
	assert.Equal(t, out, bundleFile+":15: never applies: [team \"example\"] has no key_sha256, so that no request can belong to it\n")

	config := b.write("config.json", `{"Version": 7}`)
	out, err = b.run("check", "-json", "-kv", "x", config)
	assert.ErrorIs(t, err, ErrRejected)
	report := configcheck.Report{}
	assert.NilError(t, json.Unmarshal([]byte(out), &report))
	assert.Equal(t, len(report.Problems), 1)
	assert.Equal(t, report.Problems[0].Text, "version 7 is not higher than version 7 in force")

	broken := b.write("broken.json", "{\n\"Version\": 8,\n}")
	out, err = b.run("check", broken)
	assert.ErrorIs(t, err, ErrRejected)
	assert.Equal(t, out, broken+":3: error: invalid character '}' looking for beginning of object key string\n")

	b.must("check", "-against", config, b.write("next.json", `{"Version": 8}`))
}
