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

// Guards against a call that net/http sends a second time because the service closed its connection
// without a response: the call may have been executed.
func TestCallIsSentOnce(t *testing.T) {
	for _, method := range []string{http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace, http.MethodPost, http.MethodDelete} {
		t.Run(method, func(t *testing.T) {
			body := `{"sold":"a"}`
			if method == http.MethodHead {
				body = ""
			}
			malformedtest.CheckCutHeads(t, body, service.ErrResultUnknown, func(address string) func() error {
				c := service.New(address, &http.Client{})
				return func() error {
					_, err := c.Do(t.Context(), service.Call{Method: method, Path: "/x"})
					return err
				}
			})
		})
	}
}
