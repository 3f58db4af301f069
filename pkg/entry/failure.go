package entry

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/fescuecourse/fescuecourse/pkg/ident"
)

// Names of request and response headers.
const (
	headerOutcome       = "Fescue-Outcome"
	headerRequestID     = "Fescue-Request-Id"
	headerEndpoint      = "Fescue-Endpoint"
	headerBundleVersion = "Fescue-Bundle-Version"
	headerAdapter       = "Fescue-Adapter"
	headerLoadStall     = "Fescue-Load-Stall-Us"
	headerQueue         = "Fescue-Queue-Us"
	headerIdempotent    = "Fescue-Idempotent"
	headerDeadline      = "Fescue-Deadline-Ms"
	headerKey           = "Idempotency-Key"
)

// errorType is the type field of an OpenAI error object.
type errorType string

// Values of errorType.
const (
	typeInvalidRequest errorType = "invalid_request_error"
	typeAuthentication errorType = "authentication_error"
	typeNotFound       errorType = "not_found_error"
	typeRateLimit      errorType = "rate_limit_error"
	typeOverloaded     errorType = "overloaded_error"
	typeServer         errorType = "server_error"
)

// Failure describes why a request ended without a response from an endpoint. It is
// the content of the error response to the caller.
type Failure struct {
	Outcome    ident.Outcome
	Status     int
	Type       errorType
	Code       string
	Message    string
	RetryAfter time.Duration
}

// Error returns the code and the message.
func (f *Failure) Error() string { return f.Code + ": " + f.Message }

// rejected returns the Failure of a request that was refused before it was sent.
func rejected(status int, t errorType, code, message string) *Failure {
	return &Failure{Outcome: ident.NotRun, Status: status, Type: t, Code: code, Message: message}
}

// unavailable returns the Failure, with status 503, of a request that was not run,
// for example for lack of capacity.
func unavailable(code, message string, retryAfter time.Duration) *Failure {
	return &Failure{Outcome: ident.NotRun, Status: http.StatusServiceUnavailable, Type: typeOverloaded, Code: code, Message: message, RetryAfter: retryAfter}
}

// overLimit returns the Failure of a request that exceeds a limit of its team.
func overLimit(limit string, retryAfter time.Duration) *Failure {
	return &Failure{Outcome: ident.NotRun, Status: http.StatusTooManyRequests, Type: typeRateLimit, Code: "limit_" + limit, Message: "the team is over its limit: " + limit, RetryAfter: retryAfter}
}

// unknownResult returns the Failure of a request whose result is not known.
func unknownResult(status int, code, message string) *Failure {
	return &Failure{Outcome: ident.Unknown, Status: status, Type: typeServer, Code: code, Message: message}
}

type errorBody struct {
	Error errorObject `json:"error"`
}

type errorObject struct {
	Message string    `json:"message"`
	Type    errorType `json:"type"`
	Param   *string   `json:"param"`
	Code    string    `json:"code"`
	Outcome string    `json:"outcome"`
}

// body returns the Failure as an OpenAI error object in JSON.
func (f *Failure) body() []byte {
	out, _ := json.Marshal(errorBody{Error: errorObject{Message: f.Message, Type: f.Type, Code: f.Code, Outcome: f.Outcome.String()}}) // encoding this struct cannot fail
	return out
}

// write sends the Failure as a complete HTTP response.
func (f *Failure) write(w http.ResponseWriter) {
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set(headerOutcome, f.Outcome.String())
	if f.RetryAfter > 0 {
		seconds := int64((f.RetryAfter + time.Second - 1) / time.Second)
		h.Set("Retry-After", strconv.FormatInt(seconds, 10))
	}
	w.WriteHeader(f.Status)
	_, _ = w.Write(f.body()) // the caller may have disconnected
}
