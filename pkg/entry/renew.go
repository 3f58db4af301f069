package entry

import (
	"context"
	"net/http"
	"time"

	"github.com/fescuecourse/fescuecourse/api/fescuev1"
	"github.com/fescuecourse/fescuecourse/pkg/ident"
)

// renewBundle resolves a request again under the bundle version that an endpoint
// already has, or a newer one. It waits up to bundleWait for this version to become
// active at the entry.
func (e *Entry) renewBundle(ctx context.Context, x *Exchange, want ident.BundleVersion) *Failure {
	want = max(want, x.bundle.Version()+1)
	if !e.awaitBundle(ctx, want) {
		return unavailable("old_bundle", "the entry does not have the active configuration bundle yet", retryAfterCapacity)
	}
	b := e.bundles.Current()
	if _, ok := b.Team(x.team.Team); !ok {
		return rejected(http.StatusUnauthorized, typeAuthentication, "invalid_key", "the team key is not valid")
	}
	x.setBundle(b)
	if x.kind == fescuev1.EndpointKind_ENDPOINT_KIND_SERVICE {
		return (resolve{e}).findService(x)
	}
	model := x.model
	if x.response.received() > 0 {
		// The response has begun, so it must continue with the same adapter version.
		model = x.adapter.String()
	}
	return (resolve{e}).findAdapter(x, model)
}

func (e *Entry) awaitBundle(ctx context.Context, want ident.BundleVersion) bool {
	ctx, cancel := context.WithTimeout(ctx, e.timing.bundleWait)
	defer cancel()
	tick := time.NewTicker(e.timing.bundlePollInterval)
	defer tick.Stop()
	for e.bundles.Version() < want {
		select {
		case <-ctx.Done():
			return false
		case <-tick.C:
		}
	}
	return true
}
