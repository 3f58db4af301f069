package service_test

import (
	"net/http"
	"testing"

	"github.com/fescuecourse/fescuecourse/internal/malformedtest"
	"github.com/fescuecourse/fescuecourse/pkg/service"
)

// Guards against a malformed response of a service that is passed on as a whole one.
func TestMalformedResponses(t *testing.T) {
	malformedtest.Check(t, `{"sold":"a"}`, service.ErrResultUnknown, func(address string) error {
		_, err := service.New(address, &http.Client{}).Do(t.Context(), service.Call{Method: http.MethodPost, Path: "/x"})
		return err
	})
}
