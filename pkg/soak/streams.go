package soak

import (
	"fmt"
	"strings"

	"github.com/fescuecourse/fescuecourse/standin/platform"
)

// event is one complete event of a stream. request is the id of the request whose run
// made it.
type event struct {
	number   int
	request  string
	software string
}

// parseEvents returns the complete events at the start of a response body, and the rest
// of the body.
func parseEvents(body string) (events []event, rest string) {
	for {
		text, after, ok := strings.Cut(body, "\n\n")
		e, valid := parseEvent(text + "\n\n")
		if !ok || !valid {
			return events, body
		}
		events = append(events, e)
		body = after
	}
}

// parseEvent parses an event as the fake servers send it.
func parseEvent(text string) (event, bool) {
	var e event
	var data string
	if _, err := fmt.Sscanf(text, "id: %d\ndata: %s %s", &e.number, &data, &e.software); err != nil {
		return event{}, false
	}
	e.request = strings.TrimSuffix(data, fmt.Sprintf("-%d", e.number))
	return e, platform.EventText(e.request, e.number, e.software) == text
}

// checkStream checks that the events of one response follow each other, were made for
// its request and are complete if the response is framed as complete. One that only the end
// of the connection has ended may lack events, but must end after one.
func checkStream(r *requestRecord) []string {
	events, rest := parseEvents(r.body)
	var out []string
	for i, e := range events {
		if e.number != r.lastEvent+1+i || e.request != r.id {
			out = append(out, fmt.Sprintf("event %d has number %d and is of request %s", i+1, e.number, e.request))
		}
	}
	if r.closed && (rest != "" || len(events) == 0) {
		out = append(out, fmt.Sprintf("a stream that ended with its connection broke off: %q", r.body))
	}
	if r.complete && (rest != "" || r.lastEvent+len(events) != streamEvents) {
		out = append(out, fmt.Sprintf("a stream that ended as complete is not: %q", r.body))
	}
	return out
}

// streamRecord holds the attempts of a caller at one stream. Each attempt after the
// first goes on with the stream where the attempts before it ended.
type streamRecord struct {
	attempts []*requestRecord
	// begunBy is the attempt that brought the first event, or nil.
	begunBy *requestRecord
	// lastEvent is the number of the last event received.
	lastEvent int
}

func (s *streamRecord) add(r *requestRecord) {
	s.attempts = append(s.attempts, r)
	if len(r.events) == 0 {
		return
	}
	if s.begunBy == nil {
		s.begunBy = r
	}
	s.lastEvent = r.events[len(r.events)-1].number
}

// software returns the software version of the server that began the stream, or an
// empty string.
func (s *streamRecord) software() string {
	if s.begunBy == nil {
		return ""
	}
	return s.begunBy.events[0].software
}

// check returns a violation if the stream holds events of two software versions.
func (s *streamRecord) check() []string {
	for _, r := range s.attempts {
		for _, e := range r.events {
			if e.software != s.software() {
				return []string{fmt.Sprintf("began at software version %s as %s, and goes on with event %d at %s in %s",
					s.software(), s.begunBy.id, e.number, e.software, r.id)}
			}
		}
	}
	return nil
}

// Share counts streams at undisturbed processes, and those of them that brought an
// event.
type Share struct{ Sent, Served int }

func (s *Share) count(r *requestRecord) {
	s.Sent++
	if len(r.events) > 0 || r.answered() {
		s.Served++
	}
}

func (s *Share) add(o Share) {
	s.Sent += o.Sent
	s.Served += o.Served
}

func (s *Share) fraction() float64 { return float64(s.Served) / float64(max(s.Sent, 1)) }

func (s *Share) String() string { return fmt.Sprintf("%d of %d", s.Served, s.Sent) }

const (
	// minResumed is the number of resumed streams from which their share is checked.
	minResumed = 12
	// minResumedShare is the smallest permitted share of resumed streams that go on,
	// relative to the share of new streams that begin.
	minResumedShare = 0.5
)

// streamShares returns the shares of the new and of the resumed streams that were
// served, both at undisturbed processes only.
func streamShares(streams []*streamRecord) (begun, resumed Share) {
	for _, s := range streams {
		for _, r := range s.attempts {
			switch {
			case !r.undisturbed:
			case r.lastEvent > 0:
				resumed.count(r)
			default:
				begun.count(r)
			}
		}
	}
	return begun, resumed
}

// CheckShares returns a violation if resumed streams go on too rarely. One run may have
// too few of them, so the sums of several runs are checked as well.
func CheckShares(begun, resumed Share) []string {
	if resumed.Sent < minResumed || resumed.fraction() >= minResumedShare*begun.fraction() {
		return nil
	}
	return []string{fmt.Sprintf("only %s resumed streams went on, while %s new ones began", &resumed, &begun)}
}
