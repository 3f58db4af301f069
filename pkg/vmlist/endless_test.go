package vmlist_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/fescuecourse/fescuecourse/internal/endlesstest"
	"github.com/fescuecourse/fescuecourse/pkg/vmlist"
)

// Guards against a list that never ends and takes the memory of the entry.
func TestBytesWithoutEnd(t *testing.T) {
	endlesstest.Check(t, func(address string) error {
		_, err := vmlist.New(address, &http.Client{Timeout: 2 * time.Second}).Get(t.Context())
		return err
	})
}
