package engine_test

import (
	"context"
	"io"
	"net/http"
	"testing"

	"github.com/cockroachdb/errors"

	"github.com/fescuecourse/fescuecourse/internal/malformedtest"
	"github.com/fescuecourse/fescuecourse/pkg/engine"
)

// Guards against a malformed response of an engine that counts as its status, as a generation, or
// as the proof that a call or command was not executed.
func TestMalformedResponses(t *testing.T) {
	calls := map[string]func(ctx context.Context, c *engine.Client) error{
		"status": func(ctx context.Context, c *engine.Client) error { _, err := c.Status(ctx); return err },
		"load":   func(ctx context.Context, c *engine.Client) error { return c.Load(ctx, engine.Command{}) },
		"generate": func(ctx context.Context, c *engine.Client) error {
			s, err := c.Generate(ctx, engine.Call{Path: "/v1/completions"})
			if err != nil {
				return err
			}
			return s.Close()
		},
	}
	for name, call := range calls {
		t.Run(name, func(t *testing.T) {
			malformedtest.Check(t, `{"boot_id":"1"}`, engine.ErrResultUnknown, func(address string) error {
				err := call(t.Context(), engine.New(address, &http.Client{}))
				if errors.Is(err, engine.ErrRefused) {
					return errors.New("taken for a refusal")
				}
				return err
			})
		})
	}
}

// Guards against a call or command that is sent a second time, or counts as executed or refused,
// because the engine closed its connection within the head of its response.
func TestCutHeads(t *testing.T) {
	calls := map[string]func(ctx context.Context, c *engine.Client) error{
		"load":   func(ctx context.Context, c *engine.Client) error { return c.Load(ctx, engine.Command{}) },
		"unload": func(ctx context.Context, c *engine.Client) error { return c.Unload(ctx, engine.Command{}) },
		"generate": func(ctx context.Context, c *engine.Client) error {
			s, err := c.Generate(ctx, engine.Call{Path: "/v1/completions", Body: []byte("{}")})
			if err != nil {
				return err
			}
			defer s.Close()
			_, err = s.Next()
			if errors.Is(err, io.EOF) {
				return nil
			}
			return err
		},
	}
	for name, call := range calls {
		t.Run(name, func(t *testing.T) {
			malformedtest.CheckCutHeads(t, "data: [DONE]\n", engine.ErrResultUnknown, func(address string) func() error {
				c := engine.New(address, &http.Client{})
				return func() error { return call(t.Context(), c) }
			})
		})
	}
}
