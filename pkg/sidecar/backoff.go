package sidecar

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fescuecourse/fescuecourse/pkg/logging"
	"github.com/fescuecourse/fescuecourse/pkg/upstream"
)

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
	var backoff *upstream.BackoffError
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
