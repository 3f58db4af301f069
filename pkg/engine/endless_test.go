package engine_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/fescuecourse/fescuecourse/internal/endlesstest"
	"github.com/fescuecourse/fescuecourse/pkg/engine"
)

// Guards against an engine whose status never ends and takes the memory of the endpoint
// process.
func TestStatusWithoutEnd(t *testing.T) {
	endlesstest.Check(t, func(address string) error {
		ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
		defer cancel()
		_, err := engine.New(address, &http.Client{}).Status(ctx)
		return err
	})
}
