package entry

import (
	"testing"

	"google.golang.org/grpc"
	"gotest.tools/v3/assert"

	"github.com/fescuecourse/fescuecourse/api/fescuev1"
)

// Guards against a plain service that runs a call with another target than its caller wrote: escapes
// are resolved, and the query is dropped.
func TestServiceReadsTheTargetOfTheCaller(t *testing.T) {
	for _, target := range []string{"/a%2Fb", "/a?x=1", "//sale/7?x=7", "/a/../b", "/a?"} {
		var got string
		b := newTestBed(t, serviceKind, []script{func(f *fakeEndpoint, req *fescuev1.RunRequest, stream grpc.ServerStreamingServer[fescuev1.RunFrame]) error {
			got = req.GetService().GetPath()
			return answer(1, true, nil)(f, req, stream)
		}})
		r := b.post(t, "/v1/services/desk"+target, "x")
		assert.Equal(t, r.status, 200, r.body)
		assert.Check(t, got == target, "the service reads %q instead of %q", got, target)
	}
}
