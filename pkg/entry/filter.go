package entry

import (
	"context"
	"encoding/json"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fescuecourse/fescuecourse/api/fescuev1"
	"github.com/fescuecourse/fescuecourse/pkg/bundle"
	"github.com/fescuecourse/fescuecourse/pkg/connlimit"
	"github.com/fescuecourse/fescuecourse/pkg/endcause"
	"github.com/fescuecourse/fescuecourse/pkg/membudget"
)

// Handler processes a request with one or more filters. It returns nil if the
// request ended without a Failure.
type Handler func(ctx context.Context, x *Exchange) *Failure

// Filter is one step of request processing. Do either ends the request itself or
// calls next to continue. Name returns the name of the filter.
type Filter interface {
	Name() string
	Do(ctx context.Context, x *Exchange, next Handler) *Failure
}

// chain combines filters into one Handler; the first filter runs first. The last
// filter gets a next that does nothing.
func chain(filters ...Filter) Handler {
	next := func(context.Context, *Exchange) *Failure { return nil }
	for i := len(filters) - 1; i >= 0; i-- {
		f, inner := filters[i], next
		next = func(ctx context.Context, x *Exchange) *Failure { return f.Do(ctx, x, inner) }
	}
	return next
}

// authenticate is the filter that identifies the team by the key in the request.
type authenticate struct{ e *Entry }

func (authenticate) Name() string { return "authenticate" }

func (f authenticate) Do(ctx context.Context, x *Exchange, next Handler) *Failure {
	x.bundle = f.e.bundles.Current()
	if x.bundle == nil {
		return unavailable("no_bundle", "no configuration bundle is active yet", time.Second)
	}
	key, ok := strings.CutPrefix(x.r.Header.Get("Authorization"), "Bearer ")
	if !ok {
		return rejected(http.StatusUnauthorized, typeAuthentication, "missing_key", "the request has no team key")
	}
	team, ok := x.bundle.Authenticate(key)
	if !ok {
		return rejected(http.StatusUnauthorized, typeAuthentication, "invalid_key", "the team key is not valid")
	}
	x.team.Team = team
	x.setBundle(x.bundle)
	return next(ctx, x)
}

// resolve is the filter that reads the request and determines its adapter version or
// its service.
type resolve struct{ e *Entry }

func (resolve) Name() string { return "resolve" }

func (f resolve) Do(ctx context.Context, x *Exchange, next Handler) *Failure {
	if fail := f.headers(x); fail != nil {
		return fail
	}
	ctx, cancel := context.WithDeadlineCause(ctx, x.deadline, endcause.Deadline)
	defer cancel()
	body := membudget.NewBuffer(f.e.bodies, x.r.ContentLength)
	defer body.Release()
	if fail := f.readBody(ctx, x, body); fail != nil {
		x.recordCause(ctx)
		return fail
	}
	target := f.service
	if x.kind == fescuev1.EndpointKind_ENDPOINT_KIND_MODEL {
		target = f.model
	}
	if fail := target(x); fail != nil {
		return fail
	}
	if fail := f.idempotency(x); fail != nil {
		return fail
	}
	fail := next(ctx, x)
	x.recordCause(ctx)
	return fail
}

func (f resolve) headers(x *Exchange) *Failure {
	x.key = x.r.Header.Get(headerKey)
	if !validKey(x.key) {
		return rejected(http.StatusBadRequest, typeInvalidRequest, "invalid_idempotency_key", headerKey+" must have at most "+strconv.Itoa(maxKeyBytes)+" printable ASCII characters")
	}
	deadline := f.e.settings.DefaultDeadline
	if v := x.r.Header.Get(headerDeadline); v != "" {
		ms, err := strconv.ParseInt(v, 10, 64)
		if err != nil || ms <= 0 || ms > f.e.settings.MaxDeadline.Milliseconds() {
			return rejected(http.StatusBadRequest, typeInvalidRequest, "invalid_deadline", headerDeadline+" must be milliseconds between 1 and "+strconv.FormatInt(f.e.settings.MaxDeadline.Milliseconds(), 10))
		}
		deadline = time.Duration(ms) * time.Millisecond
	}
	x.deadline = time.Now().Add(deadline)
	if cutOff := f.e.cutOff.Load(); cutOff != nil && x.deadline.After(*cutOff) {
		return unavailable("stopping", "the entry is stopping", retryAfterStopping)
	}
	return nil
}

// retryAfterStopping is the Retry-After value of an entry that stops before the deadline of a
// request. Another entry can take it at once.
const retryAfterStopping = 10 * time.Millisecond

// maxKeyBytes is the maximum length of an idempotency key.
const maxKeyBytes = 255

func validKey(key string) bool {
	for _, c := range []byte(key) {
		if c < ' ' || c > '~' {
			return false
		}
	}
	return len(key) <= maxKeyBytes
}

// readBody reads the body of a request, which is valid until the buffer is released, until ctx
// ends.
func (f resolve) readBody(ctx context.Context, x *Exchange, body *membudget.Buffer) *Failure {
	x.bodyBegun = true
	limit := f.e.settings.MaxBodyBytes
	if x.r.ContentLength > limit {
		return f.tooLarge()
	}
	conn := connlimit.Of(x.r.Context())
	err := connlimit.ReadBody(ctx, x.r, body, limit)
	switch {
	case errors.Is(err, membudget.ErrTooLong):
		return f.tooLarge()
	case errors.Is(err, membudget.ErrNoBudget):
		body.Release()
		return unavailable("no_memory", "no memory is left for the body", retryAfterMemory)
	case conn.Evicted():
		return unavailable("too_many_connections", "too many connections are open", retryAfterMemory)
	case err != nil && endcause.Of(ctx) == endcause.Stopped:
		return unavailable("stopping", "the entry is stopping", retryAfterStopping)
	case err != nil && endcause.Of(ctx).IsTimeout():
		return unavailable("body_timeout", "the body did not arrive within the deadline of the request", time.Second)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return unavailable("body_timeout", "the body has stopped arriving", time.Second)
	case err != nil:
		return rejected(http.StatusBadRequest, typeInvalidRequest, "unreadable_body", "the body could not be read")
	}
	x.body = body.Bytes()
	x.bodyRead = true
	return nil
}

func (f resolve) tooLarge() *Failure {
	return rejected(http.StatusRequestEntityTooLarge, typeInvalidRequest, "body_too_large", "the body is larger than "+strconv.FormatInt(f.e.settings.MaxBodyBytes, 10)+" bytes")
}

// retryAfterMemory is the Retry-After value when there is no memory for the body of a request.
// Another entry may have it.
const retryAfterMemory = 100 * time.Millisecond

// modelRequest contains the fields of an OpenAI request that the entry uses.
type modelRequest struct {
	Model    string          `json:"model"`
	Stream   bool            `json:"stream"`
	Prompt   json.RawMessage `json:"prompt"`
	Messages json.RawMessage `json:"messages"`
}

func (f resolve) model(x *Exchange) *Failure {
	var req modelRequest
	if err := json.Unmarshal(x.body, &req); err != nil {
		return rejected(http.StatusBadRequest, typeInvalidRequest, "malformed_json", "the body is not valid JSON: "+err.Error())
	}
	x.model, x.stream = req.Model, req.Stream
	x.prefix = prefixHash(req.Prompt)
	if len(req.Messages) > 0 {
		x.prefix = prefixHash(req.Messages)
	}
	x.response = newModelResponder(x)
	return f.findAdapter(x, req.Model)
}

// findAdapter resolves a model name under the bundle of the request. An adapter of
// another team is reported as not found.
func (resolve) findAdapter(x *Exchange, model string) *Failure {
	a, base, err := x.bundle.Resolve(model)
	switch {
	case errors.Is(err, bundle.ErrUnknownAdapter), errors.Is(err, bundle.ErrUnknownVersion):
		return rejected(http.StatusNotFound, typeNotFound, "model_not_found", err.Error()+": "+model)
	case err != nil:
		return rejected(http.StatusBadRequest, typeInvalidRequest, "invalid_model", err.Error())
	case a.Team != x.team.Team:
		return rejected(http.StatusNotFound, typeNotFound, "model_not_found", "unknown adapter: "+model)
	}
	x.adapter, x.backend = a, base
	return nil
}

func (f resolve) service(x *Exchange) *Failure {
	x.response = &serviceResponder{x: x}
	return f.findService(x)
}

func (resolve) findService(x *Exchange) *Failure {
	name, _, _ := strings.Cut(strings.TrimPrefix(x.r.URL.Path, servicePrefix), "/")
	if !x.bundle.HasService(name) {
		return rejected(http.StatusNotFound, typeNotFound, "service_not_found", "unknown service: "+name)
	}
	x.backend = name
	return nil
}

func (f resolve) idempotency(x *Exchange) *Failure {
	x.idempotent = x.bundle.Idempotent(x.route)
	switch x.r.Header.Get(headerIdempotent) {
	case "":
	case "true":
		x.idempotent = true
	case "false":
		x.idempotent = false
	default:
		return rejected(http.StatusBadRequest, typeInvalidRequest, "invalid_idempotent", headerIdempotent+" must be true or false")
	}
	x.history.Idempotent = x.idempotent
	return nil
}
