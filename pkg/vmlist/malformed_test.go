package vmlist_test

import (
	"net/http"
	"testing"

	"github.com/fescuecourse/fescuecourse/internal/malformedtest"
	"github.com/fescuecourse/fescuecourse/pkg/upstream"
	"github.com/fescuecourse/fescuecourse/pkg/vmlist"
)

// Guards against a malformed response that counts as the list of VMs.
func TestMalformedResponses(t *testing.T) {
	malformedtest.Check(t, `{"vms":[]}`, upstream.ErrMalformed, func(address string) error {
		_, err := vmlist.New(address, &http.Client{}).Get(t.Context())
		return err
	})
}
