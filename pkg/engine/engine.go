// Package engine is a client for model engines. It starts generations through the
// OpenAI-compatible HTTP API with server-sent events, and sends the commands that load
// and unload LoRA adapters.
package engine

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fescuecourse/fescuecourse/pkg/ident"
	"github.com/fescuecourse/fescuecourse/pkg/upstream"
)

// Header names of the engine protocol.
const (
	HeaderFencingToken    = "X-Fencing-Token"
	HeaderCommandDeadline = "X-Order-Deadline-Ms"
	HeaderRequestID       = "X-Request-Id"
	HeaderPriority        = "X-Priority"
	HeaderResumeOffset    = "X-Resume-Offset"
	HeaderBootID          = "X-Boot-Id"
	// HeaderSoftware and HeaderWeights are response headers of a generation with the
	// versions of the engine's software and of its base model's weights. They are equal
	// to those in the status, but never late.
	HeaderSoftware = "X-Engine-Version"
	HeaderWeights  = "X-Weights-Version"
)

const (
	// maxEventBytes limits the size of one server-sent event.
	maxEventBytes = 1 << 20
	// maxStatusBytes limits the size of an engine's status.
	maxStatusBytes = 4 << 20
)

// Errors returned by Client and Stream. Test for them with errors.Is.
var (
	// ErrRefused means that the engine refused a call or command before it started to
	// execute it.
	ErrRefused = errors.New("engine refused the call")
	// ErrNotResident means that the adapter of a call or command is not resident. Such
	// an error always matches ErrRefused too.
	ErrNotResident = errors.New("adapter is not resident")
	// ErrFenced means that the engine rejected a command because it has already
	// received a higher fencing token.
	ErrFenced = errors.New("engine rejected the fencing token")
	// ErrResultUnknown means that the call may or may not have been executed, because
	// the engine's answer is missing, incomplete or malformed.
	ErrResultUnknown = errors.New("result of the engine call is unknown")
)

// Run is a generation in progress, as listed in the engine's status.
type Run struct {
	RequestID string `json:"request_id"`
	Adapter   string `json:"adapter"`
}

// Status is the state of an engine. Residents are the names of the loaded adapters.
type Status struct {
	// BootID changes with every cold start of the engine.
	BootID    string `json:"boot_id"`
	BaseModel string `json:"base_model"`
	// SoftwareVersion and WeightsVersion are the versions of the inference software and
	// of the base model's weights, empty if the engine does not report them.
	SoftwareVersion string   `json:"software_version,omitempty"`
	WeightsVersion  string   `json:"weights_version,omitempty"`
	SlotsTotal      int      `json:"slots_total"`
	PositionsTotal  int      `json:"positions_total"`
	PositionsUsed   int      `json:"positions_used"`
	Residents       []string `json:"residents"`
	Running         []Run    `json:"running"`
}

// Version returns the version that the status names.
func (s Status) Version() ident.EngineVersion {
	return ident.EngineVersion{Software: s.SoftwareVersion, Weights: s.WeightsVersion}
}

// Command is a command to load or unload an adapter.
type Command struct {
	Adapter ident.Adapter
	// Token is the fencing token of the engine lease, which increases with each holder.
	Token uint64
	// Deadline is the time after which the engine must not execute the command. It
	// can be a wall clock time, because engine and endpoint run on the same VM.
	Deadline time.Time
}

// Call is one generation request.
type Call struct {
	// Path is "/v1/completions" or "/v1/chat/completions".
	Path string
	// Body is the JSON request. Its model field names the adapter or the base model.
	Body      []byte
	RequestID ident.RequestID
	Priority  ident.Priority
	// ResumeEvents is the number of events to skip at the start of the answer.
	ResumeEvents uint64
}

// Client sends calls and commands to one engine.
type Client struct {
	base string
	http *http.Client
}

// New returns a client for the engine at addr (host:port). It adds no time limits to
// those of hc and of the context of each call.
func New(addr string, hc *http.Client) *Client {
	return &Client{base: "http://" + addr, http: upstream.Client(hc)}
}

// Status returns the state of the engine, or ErrResultUnknown if the engine gives no
// valid answer, which is an upstream.BackoffError if the engine asks for a backoff.
func (c *Client) Status(ctx context.Context) (Status, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base+"/v1/status", nil)
	if err != nil {
		return Status{}, errors.Wrap(err, "build request")
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return Status{}, errors.Mark(errors.Wrap(err, "read engine status"), ErrResultUnknown)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return Status{}, errors.Mark(errors.Wrap(refusedCall(resp, nil), "read engine status"), ErrResultUnknown)
	}
	text, err := upstream.ReadBody(resp.Body, maxStatusBytes)
	if err != nil {
		return Status{}, errors.Mark(errors.Wrap(err, "read engine status"), ErrResultUnknown)
	}
	var s Status
	if err := json.Unmarshal(text, &s); err != nil {
		return Status{}, errors.Mark(errors.Wrap(err, "decode engine status"), ErrResultUnknown)
	}
	if s.BootID == "" {
		return Status{}, errors.Mark(errors.New("engine status has no boot id"), ErrResultUnknown)
	}
	return s, nil
}

// Load loads an adapter and returns when it is resident. It returns ErrFenced,
// ErrRefused, also as an upstream.BackoffError, or ErrResultUnknown on failure.
func (c *Client) Load(ctx context.Context, cmd Command) error {
	return c.command(ctx, "/v1/load_lora_adapter", cmd)
}

// Unload removes an adapter. It returns ErrNotResident if the adapter was not loaded,
// and the errors of Load.
func (c *Client) Unload(ctx context.Context, cmd Command) error {
	return c.command(ctx, "/v1/unload_lora_adapter", cmd)
}

// fenceAdapter is the adapter named in fence commands. Its empty team is invalid, so
// it cannot be the name of a real adapter.
var fenceAdapter = ident.Adapter{Name: "fence"}

// Fence sends a fencing token to the engine without changing its adapters, as an
// unload command for an adapter that cannot exist. After Fence has returned nil, an
// engine that checks tokens rejects all commands with a lower token.
func (c *Client) Fence(ctx context.Context, token uint64, deadline time.Time) error {
	err := c.Unload(ctx, Command{Adapter: fenceAdapter, Token: token, Deadline: deadline})
	if errors.Is(err, ErrNotResident) {
		return nil
	}
	return err
}

type commandBody struct {
	LoraName string `json:"lora_name"`
	LoraPath string `json:"lora_path,omitempty"`
}

func (c *Client) command(ctx context.Context, path string, cmd Command) error {
	body, err := json.Marshal(commandBody{LoraName: cmd.Adapter.String(), LoraPath: cmd.Adapter.String()})
	if err != nil {
		return errors.Wrap(err, "encode command")
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.base+path, bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "build request")
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(HeaderFencingToken, strconv.FormatUint(cmd.Token, 10))
	req.Header.Set(HeaderCommandDeadline, strconv.FormatInt(cmd.Deadline.UnixMilli(), 10))
	resp, err := c.http.Do(req)
	if err != nil {
		return errors.Mark(errors.Wrap(err, "send command"), ErrResultUnknown)
	}
	defer resp.Body.Close()
	detail, _ := io.ReadAll(io.LimitReader(resp.Body, 1024))
	switch resp.StatusCode {
	case http.StatusOK:
		return nil
	case http.StatusPreconditionFailed:
		return errors.Mark(errors.Newf("%s", bytes.TrimSpace(detail)), ErrFenced)
	default:
		return refusedCall(resp, detail)
	}
}

// refused returns the error for a call that the engine answered with an HTTP status
// other than 200. It matches ErrRefused, and ErrNotResident for status 404.
func refused(status int, detail []byte) error {
	err := errors.Mark(errors.Newf("status %d: %s", status, bytes.TrimSpace(detail)), ErrRefused)
	if status == http.StatusNotFound {
		return errors.Mark(err, ErrNotResident)
	}
	return err
}

// refusedCall returns the error for a call that the engine refused, which is an upstream.BackoffError if
// the engine asks for a backoff.
func refusedCall(r *http.Response, detail []byte) error {
	after, ok := upstream.RetryAfter(r.Header)
	if r.StatusCode == http.StatusServiceUnavailable && ok && after > 0 {
		return errors.Mark(&upstream.BackoffError{For: after}, ErrRefused)
	}
	return refused(r.StatusCode, detail)
}

// Generate starts a generation. It returns ErrRefused if the engine did not execute the
// call, and ErrResultUnknown if it may have.
func (c *Client) Generate(ctx context.Context, call Call) (*Stream, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.base+call.Path, bytes.NewReader(call.Body))
	if err != nil {
		return nil, errors.Mark(errors.Wrap(err, "build request"), ErrRefused)
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(HeaderRequestID, string(call.RequestID))
	req.Header.Set(HeaderPriority, call.Priority.String())
	req.Header.Set(HeaderResumeOffset, strconv.FormatUint(call.ResumeEvents, 10))
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, errors.Mark(errors.Wrap(err, "call engine"), ErrResultUnknown)
	}
	if resp.StatusCode != http.StatusOK {
		defer resp.Body.Close()
		detail, _ := io.ReadAll(io.LimitReader(resp.Body, 1024))
		return nil, refusedCall(resp, detail)
	}
	sc := bufio.NewScanner(resp.Body)
	sc.Buffer(make([]byte, 0, 4096), maxEventBytes)
	version := ident.EngineVersion{Software: resp.Header.Get(HeaderSoftware), Weights: resp.Header.Get(HeaderWeights)}
	return &Stream{body: resp.Body, scanner: sc, version: version}, nil
}

// Event is one server-sent event of a generation.
type Event struct {
	// Payload is the JSON text of the event.
	Payload []byte
	// Model is the adapter or base model that produced the event, as reported by the
	// engine.
	Model string
}

// Stream reads the events of a generation. Close it after use.
type Stream struct {
	body    io.ReadCloser
	scanner *bufio.Scanner
	version ident.EngineVersion
	// model is the Model of the previous event, so that parseEvent can reuse the string.
	model string
}

// doneEvent is the last event of a complete stream.
const doneEvent = "[DONE]"

// Next returns the next event. It returns io.EOF after a complete answer and
// ErrResultUnknown if the stream ends early or an event is malformed.
func (s *Stream) Next() (Event, error) {
	for s.scanner.Scan() {
		data, ok := bytes.CutPrefix(s.scanner.Bytes(), []byte("data: "))
		if !ok {
			continue
		}
		if string(data) == doneEvent {
			return Event{}, io.EOF
		}
		ev, err := parseEvent(data, s.model)
		s.model = ev.Model
		return ev, err
	}
	if err := s.scanner.Err(); err != nil {
		return Event{}, errors.Mark(errors.Wrap(err, "read engine stream"), ErrResultUnknown)
	}
	return Event{}, errors.Mark(errors.New("engine stream ended early"), ErrResultUnknown)
}

// Version returns the version of the engine that runs the generation. It is zero if the
// engine names no version in its response.
func (s *Stream) Version() ident.EngineVersion { return s.version }

// Close cancels the generation if it is still running.
func (s *Stream) Close() error { return s.body.Close() }
