package entry

import (
	"fmt"
	"regexp"
	"strings"
	"sync"
	"testing"

	"google.golang.org/grpc"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/fescuecourse/fescuecourse/api/fescuev1"
	"github.com/fescuecourse/fescuecourse/pkg/ident"
)

// eventsOfResponse is the number of events of a complete response in these tests.
const eventsOfResponse = 5

// versionedEndpoints are fake endpoints whose engines have versions. The endpoint that
// gets the first attempt breaks it off after some events, and every later one before
// the first event.
type versionedEndpoints struct {
	versions   []*fescuev1.EngineVersion
	breakAfter int

	mu    sync.Mutex
	first int // index of the endpoint with the first attempt, or -1
}

// script returns the script of the endpoint with this index.
func (v *versionedEndpoints) script(i int) script {
	return func(f *fakeEndpoint, req *fescuev1.RunRequest, stream grpc.ServerStreamingServer[fescuev1.RunFrame]) error {
		v.mu.Lock()
		begins := v.first < 0
		if begins {
			v.first = i
		}
		breaks := v.first == i
		v.mu.Unlock()
		name := func(in []*fescuev1.RunFrame) []*fescuev1.RunFrame { return v.name(in, i) }
		switch {
		case begins:
			return answer(v.breakAfter, false, broken, name)(f, req, stream)
		case breaks:
			return broken(f, req, stream)
		default:
			return answer(eventsOfResponse, true, nil, name)(f, req, stream)
		}
	}
}

// name puts the version of an endpoint into its header frame and its events.
func (v *versionedEndpoints) name(in []*fescuev1.RunFrame, i int) []*fescuev1.RunFrame {
	for _, fr := range in {
		if h := fr.GetHeader(); h != nil {
			h.EngineVersion = v.versions[i]
		}
		if d := fr.GetData(); d != nil {
			d.Payload = fmt.Appendf(nil, `{"choices":[{"text":"%d:%s/%s "}]}`, d.Offset, v.versions[i].GetSoftware(), v.versions[i].GetWeights())
		}
	}
	return in
}

// sameVersion reports whether another endpoint has the version of the one that began.
func (v *versionedEndpoints) sameVersion() bool {
	for i := range v.versions {
		if i != v.first && v.versionOf(i) == v.versionOf(v.first) {
			return true
		}
	}
	return false
}

func (v *versionedEndpoints) versionOf(i int) ident.EngineVersion {
	return ident.EngineVersion{Software: v.versions[i].GetSoftware(), Weights: v.versions[i].GetWeights()}
}

var eventText = regexp.MustCompile(`(\d):([a-z0-9]*/[a-z0-9]*) `)

// checkEvents checks that the response has n contiguous events of one version.
func checkEvents(t *rapid.T, body string, n int) {
	events := eventText.FindAllStringSubmatch(body, -1)
	assert.Equal(t, len(events), n, body)
	for i, e := range events {
		assert.Equal(t, e[1], fmt.Sprint(i), body)
		assert.Equal(t, e[2], events[0][2], body)
	}
}

// The endpoint that begins a response is lost, and the others have engines of drawn
// versions. Guards against a response with events of two versions, against a cut stream
// that is framed as complete, and against a response that fails although an endpoint
// could complete it.
func TestResponseKeepsEngineVersion(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		v := &versionedEndpoints{first: -1, breakAfter: rapid.IntRange(0, eventsOfResponse-1).Draw(rt, "events before the break")}
		var scripts [][]script
		for i := range rapid.IntRange(2, 4).Draw(rt, "endpoints") {
			v.versions = append(v.versions, &fescuev1.EngineVersion{
				Software: rapid.SampledFrom([]string{"", "v1", "v2"}).Draw(rt, "software"),
				Weights:  rapid.SampledFrom([]string{"", "7"}).Draw(rt, "weights"),
			})
			scripts = append(scripts, []script{v.script(i)})
		}
		stream := rapid.Bool().Draw(rt, "stream")
		b := newTestBed(t, modelKind, scripts...)
		defer b.close()
		b.setEngineVersions(v.versions)

		got := b.post(t, completions, fmt.Sprintf(`{"model":%q,"prompt":"p","stream":%t}`, testAdapter, stream))
		answerable := !stream || v.breakAfter == 0 || v.sameVersion()
		if answerable {
			assert.Equal(rt, got.outcome, ident.Answered.String(), got.body)
			checkEvents(rt, got.body, eventsOfResponse)
			assert.Equal(rt, strings.Contains(got.body, "[DONE]"), stream)
			return
		}
		assert.Equal(rt, got.outcome, ident.Unknown.String(), got.body)
		checkEvents(rt, got.body, v.breakAfter)
		assert.Assert(rt, !strings.Contains(got.body, "[DONE]"), got.body)
	})
}

// An endpoint reports the version of the stream's beginning, but its engine has another
// one, because the report is late. Guards against a stream that continues at that
// engine, and against an attempt that does not say which version it continues.
func TestStreamRejectsOtherEngineVersion(t *testing.T) {
	v := &versionedEndpoints{first: -1, breakAfter: 2, versions: []*fescuev1.EngineVersion{{Software: "v1"}, {Software: "v2"}}}
	b := newTestBed(t, modelKind, []script{v.script(0)}, []script{v.script(1)})
	b.e.policy = firstEndpoint{}
	b.setEngineVersions([]*fescuev1.EngineVersion{{Software: "v1"}, {Software: "v1"}})
	got := b.post(t, completions, streamBody)
	assert.Equal(t, got.outcome, ident.Unknown.String(), got.body)
	assert.Assert(t, !strings.Contains(got.body, ":v2/"), got.body)
	assert.Assert(t, !strings.Contains(got.body, "[DONE]"), got.body)
	resumed := b.fake[1].got[0].GetModel()
	assert.Equal(t, resumed.GetResumeEvents(), uint64(2))
	assert.Equal(t, resumed.GetResumeVersion().GetSoftware(), "v1")
}

// An attempt is lost after its header and before its first event, and the next endpoint
// has a bundle with another current version of the adapter. Guards against a response
// whose headers name another adapter version than the one that produced its events.
func TestHeadersNameServedAdapter(t *testing.T) {
	for _, body := range []string{streamBody, plainBody} {
		next := testBundle(t, 2, "")
		var b *testBed
		old := func(f *fakeEndpoint, req *fescuev1.RunRequest, stream grpc.ServerStreamingServer[fescuev1.RunFrame]) error {
			b.b.Adopt(next)
			return refuse(fescuev1.NotRunReason_NOT_RUN_REASON_OLD_BUNDLE, 2)(f, req, stream)
		}
		serve := func(f *fakeEndpoint, req *fescuev1.RunRequest, stream grpc.ServerStreamingServer[fescuev1.RunFrame]) error {
			return answer(4, true, nil, func(in []*fescuev1.RunFrame) []*fescuev1.RunFrame {
				in[0].GetHeader().ServedAdapter = "tokachi/summary@" + req.GetModel().GetVersion()
				return in
			})(f, req, stream)
		}
		b = newTestBed(t, modelKind, []script{answer(0, false, broken), old, serve})
		b.e.policy = keepEndpoint{}
		got := b.post(t, completions, strings.Replace(body, "@1", "", 1))
		assert.Equal(t, got.outcome, ident.Answered.String(), got.body)
		assert.Equal(t, got.headers.Get(headerAdapter), "tokachi/summary@"+b.fake[0].got[2].GetModel().GetVersion(), body)
		assert.Equal(t, got.headers.Get(headerBundleVersion), fmt.Sprint(b.fake[0].got[2].GetBundleVersion()), body)
	}
}
