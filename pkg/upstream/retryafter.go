package upstream

import (
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// maxRetryAfter keeps the end of a Retry-After within the range of time.Time.
const maxRetryAfter = 365 * 24 * time.Hour

// BackoffError means that a server refused a call and wants no others for some time.
type BackoffError struct{ For time.Duration }

// Error implements error.
func (e *BackoffError) Error() string { return "the server wants no calls for " + e.For.String() }

// RetryAfter returns the longest time that the Retry-After headers of a response name, which
// are decimal numbers of seconds. It reports false if none can be read. A date cannot be used,
// because the clocks of VMs differ.
func RetryAfter(h http.Header) (after time.Duration, ok bool) {
	for _, value := range h.Values("Retry-After") {
		seconds, err := strconv.ParseFloat(strings.TrimSpace(value), 64)
		if err != nil || math.IsNaN(seconds) || math.IsInf(seconds, 0) || seconds < 0 {
			continue
		}
		ok = true
		after = max(after, time.Duration(min(seconds, maxRetryAfter.Seconds())*float64(time.Second)))
	}
	return after, ok
}
