// Package engine is the client for model engines: OpenAI-compatible HTTP with
// server-sent events, and commands to load and unload LoRA adapters.
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
)

// Header names of the engine protocol.
const (
	HeaderFencingToken    = "X-Fencing-Token"
	HeaderCommandDeadline = "X-Order-Deadline-Ms"
	HeaderRequestID       = "X-Request-Id"
	HeaderPriority        = "X-Priority"
	HeaderResumeOffset    = "X-Resume-Offset"
	HeaderBootID          = "X-Boot-Id"
)

// maxEventBytes bounds one server-sent event.
const maxEventBytes = 1 << 20

// Errors returned by the client.
var (
	// ErrRefused reports a call that the engine refused before it started to run.
	ErrRefused = errors.New("engine refused the call")
	// ErrNotResident reports a call or command for an adapter that is not resident. It
	// is always marked as ErrRefused too.
	ErrNotResident = errors.New("adapter is not resident")
	// ErrFenced reports a command with an old fencing token.
	ErrFenced = errors.New("engine refused the fencing token")
	// ErrResultUnknown reports a call whose result is not known.
	ErrResultUnknown = errors.New("connection to the engine lost")
)

// Run is a request in progress as listed by the engine.
type Run struct {
	RequestID string `json:"request_id"`
	Adapter   string `json:"adapter"`
}

// Status is the state of an engine.
type Status struct {
	// BootID changes with every cold start.
	BootID         string   `json:"boot_id"`
	BaseModel      string   `json:"base_model"`
	SlotsTotal     int      `json:"slots_total"`
	PositionsTotal int      `json:"positions_total"`
	PositionsUsed  int      `json:"positions_used"`
	Residents      []string `json:"residents"`
	Running        []Run    `json:"running"`
}

// Command orders the engine to load or unload an adapter.
type Command struct {
	Adapter ident.Adapter
	// Token is the fencing token of the engine lease.
	Token uint64
	// Deadline is the time after which the engine must not act on the command.
	// Engine and endpoint share the clock of one VM.
	Deadline time.Time
}

// Call is one generation request.
type Call struct {
	// Path is "/v1/completions" or "/v1/chat/completions".
	Path string
	// Body is the JSON request with the model field replaced by the adapter.
	Body      []byte
	RequestID ident.RequestID
	Priority  ident.Priority
	// ResumeEvents is the number of events to leave out at the start.
	ResumeEvents uint64
}

// Client talks to one engine.
type Client struct {
	base string
	http *http.Client
}

// New returns a client for the engine at addr (host:port).
func New(addr string, hc *http.Client) *Client {
	return &Client{base: "http://" + addr, http: hc}
}

// Status returns the state of the engine.
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
		return Status{}, errors.Mark(errors.Newf("read engine status: status %d", resp.StatusCode), ErrResultUnknown)
	}
	var s Status
	if err := json.NewDecoder(resp.Body).Decode(&s); err != nil {
		return Status{}, errors.Mark(errors.Wrap(err, "decode engine status"), ErrResultUnknown)
	}
	if s.BootID == "" {
		return Status{}, errors.Mark(errors.New("engine status without boot id"), ErrResultUnknown)
	}
	return s, nil
}

// Load loads an adapter and returns when it is resident.
func (c *Client) Load(ctx context.Context, cmd Command) error {
	return c.command(ctx, "/v1/load_lora_adapter", cmd)
}

// Unload removes an adapter.
func (c *Client) Unload(ctx context.Context, cmd Command) error {
	return c.command(ctx, "/v1/unload_lora_adapter", cmd)
}

// fenceAdapter is the name in fence commands. Its empty team is not valid, so no
// adapter has it.
var fenceAdapter = ident.Adapter{Name: "fence"}

// Fence gives the engine a fencing token without changing its adapters. After nil
// an engine that checks tokens refuses all commands with an older one.
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
		return refused(resp.StatusCode, detail)
	}
}

// refused returns the error for a call that the engine answered with a status.
func refused(status int, detail []byte) error {
	err := errors.Mark(errors.Newf("status %d: %s", status, bytes.TrimSpace(detail)), ErrRefused)
	if status == http.StatusNotFound {
		return errors.Mark(err, ErrNotResident)
	}
	return err
}

// Generate starts a generation. ErrRefused means that it did not run.
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
		return nil, refused(resp.StatusCode, detail)
	}
	sc := bufio.NewScanner(resp.Body)
	sc.Buffer(make([]byte, 0, 4096), maxEventBytes)
	return &Stream{body: resp.Body, scanner: sc}, nil
}

// Event is one server-sent event of a generation.
type Event struct {
	// Payload is the JSON text of the event.
	Payload []byte
	// Model is the adapter that the engine reports to have used.
	Model string
}

// Stream reads the events of a generation.
type Stream struct {
	body    io.ReadCloser
	scanner *bufio.Scanner
	// model is the model of the previous event.
	model string
}

// doneEvent ends a complete stream.
const doneEvent = "[DONE]"

// Next returns the next event. It returns io.EOF after a complete answer and
// ErrLost if the stream ends early.
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

// Close cancels the generation if it is still running.
func (s *Stream) Close() error { return s.body.Close() }
