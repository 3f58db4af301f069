package main

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/fescuecourse/fescuecourse/standin/platform"
)

// stream is one stream as its client has seen it, over all its tries.
type stream struct {
	id string
	// events are the data lines in the order in which they arrived, and ids their ids.
	events []string
	ids    []int
	tries  []string // what each try ended with
	whole  bool
}

// versions returns the software versions whose servers wrote the events, which the data names.
func (s *stream) versions() []string {
	var out []string
	for _, e := range s.events {
		v := e[strings.LastIndexByte(e, ' ')+1:]
		if len(out) == 0 || out[len(out)-1] != v {
			out = append(out, v)
		}
	}
	return out
}

// lastID returns the id of the last whole event, or 0.
func (s *stream) lastID() int {
	if len(s.ids) == 0 {
		return 0
	}
	return s.ids[len(s.ids)-1]
}

// clients sends requests as the clients of the site do.
type clients struct {
	b    *bed
	http *http.Client
	next atomic.Int64
}

func newClients(b *bed) *clients {
	return &clients{b: b, http: &http.Client{Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 100}}}
}

func (c *clients) id(kind string) string { return fmt.Sprintf("%s-%d", kind, c.next.Add(1)) }

// stream asks for a stream at the first of the given entries, and resumes it at the next ones
// until it is whole or the entries are used up.
func (c *clients) stream(path, model string, patience time.Duration, entries ...*entry) *stream {
	s := &stream{id: c.id("s")}
	deadline := time.Now().Add(patience)
	for i, e := range entries {
		if i > 1 {
			time.Sleep(resumeGap)
		}
		id := s.id
		if i > 0 {
			id = fmt.Sprintf("%s-r%d", s.id, i)
		}
		how := c.try(s, id, path, model, e, deadline)
		s.tries = append(s.tries, fmt.Sprintf("%s at %s: %s", id, e.name, how))
		if s.whole || !time.Now().Before(deadline) {
			break
		}
	}
	c.b.note("stream %s: %d events, versions %v, whole %v; %s", s.id, len(s.events), s.versions(), s.whole, strings.Join(s.tries, "; "))
	return s
}

func (c *clients) try(s *stream, id, path, model string, e *entry, deadline time.Time) string {
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+e.listen+path, strings.NewReader("prompt"))
	if err != nil {
		return err.Error()
	}
	call := platform.ClientRequest{ID: id, Host: siteHost, Timeout: time.Until(deadline), Entry: e.name, Model: model, Prompt: []platform.PromptPart{{ID: "a1", Tokens: 198}, {ID: "b" + s.id[2:], Tokens: 628}}}
	if last := s.lastID(); last > 0 {
		call.LastEventID, call.Resumes = fmt.Sprint(last), s.id
	}
	call.Apply(req)
	resp, err := c.http.Do(req)
	if err != nil {
		return err.Error()
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Sprintf("status %d", resp.StatusCode)
	}
	lines := bufio.NewScanner(resp.Body)
	number, data := 0, ""
	for lines.Scan() {
		text := lines.Text()
		switch {
		case strings.HasPrefix(text, "id: "):
			_, _ = fmt.Sscan(text[4:], &number)
		case strings.HasPrefix(text, "data: "):
			data = text[6:]
		case text == "" && data != "":
			s.events, s.ids = append(s.events, data), append(s.ids, number)
			number, data = 0, ""
		}
	}
	if err := lines.Err(); err != nil {
		return "broke off: " + err.Error()
	}
	s.whole = true
	return "ended"
}
