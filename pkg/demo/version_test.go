package demo

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/fescuecourse/fescuecourse/pkg/ident"
	"github.com/fescuecourse/fescuecourse/pkg/workload"
	fakeengine "github.com/fescuecourse/fescuecourse/standin/engine"
	"github.com/fescuecourse/fescuecourse/standin/fault"
)

// Size and faults of TestStreamsKeepEngineVersion.
const (
	versionStreams   = 120
	versionTokens    = 8
	versionCut       = 0.3
	versionCutEvents = 3
)

// streamed is the response to one streaming request.
type streamed struct {
	text string
	done bool
	err  error
}

// Streams run on engines of two versions and are often cut. Guards against a response
// with text of two versions anywhere between the engine and the caller, and against a
// stream that is cut and framed as complete.
func TestStreamsKeepEngineVersion(t *testing.T) {
	opts := DefaultOptions()
	opts.ModelServers, opts.ServiceServers = 4, 0
	opts.EngineVersions = []ident.EngineVersion{{Software: "v1", Weights: "1"}, {Software: "v2", Weights: "1"}}
	c, err := Start(t.Context(), opts)
	assert.NilError(t, err)
	for _, s := range c.Servers {
		s.Faults.Set(fault.StreamCut, fault.Rule{Probability: versionCut, AfterEvents: versionCutEvents})
	}
	results := make([]streamed, versionStreams)
	var wg sync.WaitGroup
	for i := range results {
		wg.Go(func() { results[i] = streamOne(c, i) })
	}
	wg.Wait()
	assert.NilError(t, c.Stop())

	moved, complete := 0, 0
	for i, r := range results {
		assert.NilError(t, r.err)
		checkOneVersion(t, opts.EngineVersions, i, r)
		if r.done {
			complete++
		}
		if c.runs(fmt.Sprintf("%q", streamPrompt(i))) > 1 {
			moved++
		}
	}
	assert.Assert(t, moved > 0 && complete > 0, "%d moved, %d complete", moved, complete)
	t.Logf("%d streams: %d moved, %d complete", len(results), moved, complete)
}

func streamPrompt(i int) string { return fmt.Sprintf("prompt %d", i) }

func streamModel(i int) string {
	team := DefaultOptions().Teams[0].Name
	return ident.Adapter{Team: team, Name: workload.AdapterName(i % 4), Version: "1"}.String()
}

// streamOne sends the i-th request and reads its response.
func streamOne(c *Cluster, i int) (out streamed) {
	body := fmt.Sprintf(`{"model":%q,"prompt":%q,"max_tokens":%d,"stream":true}`, streamModel(i), streamPrompt(i), versionTokens)
	addrs := c.Addrs()
	req, err := http.NewRequest(http.MethodPost, "http://"+addrs[i%len(addrs)]+"/v1/completions", strings.NewReader(body))
	if err != nil {
		return streamed{err: err}
	}
	req.Header.Set("Authorization", "Bearer "+c.Opts.Teams[0].Key)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return streamed{err: err}
	}
	defer resp.Body.Close()
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			out.done = true
			continue
		}
		var ev struct {
			Choices []struct{ Text string }
		}
		if out.err = json.Unmarshal([]byte(data), &ev); out.err != nil {
			return out
		}
		for _, choice := range ev.Choices {
			out.text += choice.Text
		}
	}
	out.err = lines.Err()
	return out
}

// checkOneVersion checks that the text of a response is the beginning of what one
// version generates, and all of it if the response is framed as complete.
func checkOneVersion(t *testing.T, versions []ident.EngineVersion, i int, r streamed) {
	t.Helper()
	for _, v := range versions {
		var want strings.Builder
		for n := range versionTokens {
			want.WriteString(fakeengine.VersionToken(v, streamModel(i), fmt.Sprintf("%q", streamPrompt(i)), n))
		}
		if r.text == want.String() || !r.done && strings.HasPrefix(want.String(), r.text) {
			return
		}
	}
	t.Errorf("response %d (complete %t) is of no single version: %q", i, r.done, r.text)
}
