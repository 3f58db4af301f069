package e2e

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"
	"gotest.tools/v3/assert"

	"github.com/fescuecourse/fescuecourse/pkg/demo"
	"github.com/fescuecourse/fescuecourse/standin/fault"
)

// startClient starts a demo cluster and returns a client for its first entry.
func startClient(t *testing.T, key string) openai.Client {
	t.Helper()
	c, err := demo.Start(t.Context(), demo.DefaultOptions())
	assert.NilError(t, err)
	t.Cleanup(func() { assert.NilError(t, c.Stop()) })
	return openai.NewClient(option.WithBaseURL("http://"+c.Entries[0].Addr()+"/v1"), option.WithAPIKey(key), option.WithMaxRetries(0))
}

// Guards against responses that the OpenAI client cannot decode.
func TestChatCompletion(t *testing.T) {
	client := startClient(t, "demo-key-tokachi")
	got, err := client.Chat.Completions.New(t.Context(), chatParams("tokachi/adapter-001@1"))
	assert.NilError(t, err)
	assert.Equal(t, got.Model, "tokachi/adapter-001@1")
	assert.Equal(t, len(strings.Fields(got.Choices[0].Message.Content)), 8)
}

// Guards against streams that the OpenAI client cannot decode, and against streams
// whose text differs from that of the non-streaming response.
func TestChatCompletionStream(t *testing.T) {
	client := startClient(t, "demo-key-tokachi")
	complete, err := client.Chat.Completions.New(t.Context(), chatParams("tokachi/adapter-002"))
	assert.NilError(t, err)
	stream := client.Chat.Completions.NewStreaming(t.Context(), chatParams("tokachi/adapter-002"))
	text := ""
	for stream.Next() {
		chunk := stream.Current()
		assert.Equal(t, chunk.Model, "tokachi/adapter-002@2")
		text += chunk.Choices[0].Delta.Content
	}
	assert.NilError(t, stream.Err())
	assert.Equal(t, text, complete.Choices[0].Message.Content)
}

// Guards against error responses that the OpenAI client cannot decode into its error
// type.
func TestTypedErrors(t *testing.T) {
	for _, c := range []struct {
		name, key, model string
		status           int
		code             string
	}{
		{"wrong key", "nobody", "tokachi/adapter-001", 401, "invalid_key"},
		{"unknown adapter", "demo-key-tokachi", "tokachi/absent", 404, "model_not_found"},
		{"unknown version", "demo-key-tokachi", "tokachi/adapter-001@9", 404, "model_not_found"},
		{"malformed model", "demo-key-tokachi", "nonsense", 400, "invalid_model"},
	} {
		t.Run(c.name, func(t *testing.T) {
			client := startClient(t, c.key)
			_, err := client.Chat.Completions.New(t.Context(), chatParams(c.model))
			var apiErr *openai.Error
			assert.Assert(t, asAPIError(err, &apiErr), "error: %v", err)
			assert.Equal(t, apiErr.StatusCode, c.status)
			assert.Equal(t, apiErr.Code, c.code)
			assert.Equal(t, apiErr.Response.Header.Get("Fescue-Outcome"), "not-run")
		})
	}
}

// Guards against an interrupted stream that the client takes for a complete response.
// The stream must end with an error.
func TestBrokenStreamIsAnError(t *testing.T) {
	opts := demo.DefaultOptions()
	c, err := demo.Start(t.Context(), opts)
	assert.NilError(t, err)
	t.Cleanup(func() { assert.NilError(t, c.Stop()) })
	for _, s := range c.Servers {
		s.Faults.Set(fault.StreamCut, fault.Rule{Probability: 1, AfterEvents: 3})
	}
	client := openai.NewClient(option.WithBaseURL("http://"+c.Entries[0].Addr()+"/v1"), option.WithAPIKey("demo-key-tokachi"), option.WithMaxRetries(0), option.WithHeader("Fescue-Idempotent", "false"))
	stream := client.Chat.Completions.NewStreaming(t.Context(), chatParams("tokachi/adapter-001"))
	events := 0
	for stream.Next() {
		events++
		assert.Equal(t, stream.Current().Choices[0].FinishReason, "")
	}
	assert.Equal(t, events, 3)
	assert.ErrorContains(t, stream.Err(), "result_unknown")
}

// Guards against a stream that an engine interrupts and that reaches the client
// truncated or with repeated events. An idempotent stream must continue at its offset
// on another engine.
func TestCutStreamIsResumed(t *testing.T) {
	c, err := demo.Start(t.Context(), demo.DefaultOptions())
	assert.NilError(t, err)
	t.Cleanup(func() { assert.NilError(t, c.Stop()) })
	client := openai.NewClient(option.WithBaseURL("http://"+c.Entries[0].Addr()+"/v1"), option.WithAPIKey("demo-key-tokachi"), option.WithMaxRetries(0))
	faults := c.Servers[0].Faults
	for i := 0; len(faults.Counts()) == 0; i++ {
		assert.Assert(t, i < 20, "no stream ran at the first engine")
		faults.Set(fault.StreamCut, fault.Rule{})
		params := chatParams(fmt.Sprintf("tokachi/adapter-%03d", i+1))
		complete, err := client.Chat.Completions.New(t.Context(), params)
		assert.NilError(t, err)
		faults.Set(fault.StreamCut, fault.Rule{At: []time.Duration{0}, AfterEvents: 3})
		stream := client.Chat.Completions.NewStreaming(t.Context(), params)
		text := ""
		for stream.Next() {
			text += stream.Current().Choices[0].Delta.Content
		}
		assert.NilError(t, stream.Err())
		assert.Equal(t, text, complete.Choices[0].Message.Content)
	}
}
