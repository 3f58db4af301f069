package sidecar

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fescuecourse/fescuecourse/pkg/logging"
)

// BackoffError means that the server answered that it wants no calls for some time.
type BackoffError struct{ For time.Duration }

// Error implements error.
func (e *BackoffError) Error() string { return "the server wants no calls for " + e.For.String() }

// inBackoff reports whether nothing may be sent to the server now. The backoff ends early if
// an entry knows another lifetime of the server.
func (s *Sidecar) inBackoff() bool {
	if !time.Now().Before(s.backoffUntil) {
		return false
	}
	if s.hub.namesOtherInstance(string(s.instance)) {
		s.backoffUntil, s.instance = time.Time{}, ""
		return false
	}
	return true
}

// backsOff reports whether an error asks for a backoff, which begins now.
func (s *Sidecar) backsOff(err error) bool {
	var backoff *BackoffError
	if !errors.As(err, &backoff) {
		return false
	}
	if until := time.Now().Add(backoff.For); until.After(s.backoffUntil) {
		s.backoffUntil = until
	}
	s.log.For(logging.ComponentEndpoint).Warn().
		Str("instance", string(s.instance)).
		Dur("backoff_ms", backoff.For).
		Dur("remaining_ms", time.Until(s.backoffUntil)).
		Msg("server asks for a backoff")
	return true
}
