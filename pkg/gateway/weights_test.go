package gateway

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fescuecourse/fescuecourse/pkg/fleet"
)

// weightsServer starts a model server that holds the base model "m" with weights of the
// given version and refuses requests that expect another one, as the platform's do.
func weightsServer(w *testGateway, version string, held int) *fleet.Endpoint {
	e := w.serve(modelService, func(rw http.ResponseWriter, r *http.Request) {
		markFromPlatform(rw, r)
		if expected := r.Header.Get("Version"); expected != "0" && expected != version {
			rw.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		rw.Write([]byte("id: 1\ndata: " + version + "\n\n"))
	})
	e.Runtime.SetStatus(&fleet.Status{ReceivedAt: time.Now(), Models: map[string]int{"m": held}, Free: 1})
	return e
}

var forBaseModel = map[string]string{"Model": "m", "Budget-Ms": "3000"}

// Guards against requests for a base model that go to servers with old weights although
// another server has the new ones.
func TestBaseModelIsServedByNewWeights(t *testing.T) {
	for _, first := range []bool{true, false} {
		w := newTestGateway(t, onceRoute)
		if first {
			weightsServer(w, "2", 2)
		}
		weightsServer(w, "1", 1)
		if !first {
			weightsServer(w, "2", 2)
		}
		w.directory.SetVersion(time.Now().Add(-fleet.VersionGrace), fleet.AdapterVersion{Model: "m", Version: 2})
		w.publish()
		r := w.do(http.MethodPost, "/o/x", forBaseModel)
		assert.Equal(t, r.status, http.StatusOK)
		assert.Equal(t, r.body, "id: 1\ndata: 2\n\n")
	}
}

// Guards against refusing all requests for a base model while no server has taken up the
// weights that were announced.
func TestOldWeightsServeUntilAServerHasNewOnes(t *testing.T) {
	w := newTestGateway(t, onceRoute)
	weightsServer(w, "1", 1)
	w.directory.SetVersion(time.Now().Add(-fleet.VersionGrace), fleet.AdapterVersion{Model: "m", Version: 2})
	w.publish()
	r := w.do(http.MethodPost, "/o/x", forBaseModel)
	assert.Equal(t, r.status, http.StatusOK)
	assert.Equal(t, r.body, "id: 1\ndata: 1\n\n")
}
