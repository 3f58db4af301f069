// Package explain extracts from the logs of several processes the lines about one
// request and related lines: those about the endpoints and adapters that it used, and
// about dependencies and configurations.
package explain

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"
)

// Exit codes of the command.
const (
	exitOK       = 0
	exitNotFound = 1
	exitUsage    = 2
)

// relatedWindow is how long before the first and after the last line of a request
// other lines are considered related to it.
const relatedWindow = 2 * time.Second

// maxLineBytes bounds the length of a log line.
const maxLineBytes = 1 << 20

// logLine is a parsed log line.
type logLine struct {
	prefix string // text before the JSON, such as the name of the VM
	fields map[string]any
	at     time.Time
}

func (l *logLine) str(name string) string {
	s, _ := l.fields[name].(string)
	return s
}

// parseLine parses a log line that consists of an optional prefix and a JSON object.
// It returns false if the line has another format or no valid time.
func parseLine(text []byte) (*logLine, bool) {
	i := bytes.IndexByte(text, '{')
	if i < 0 {
		return nil, false
	}
	l := &logLine{prefix: strings.TrimSpace(string(text[:i]))}
	if err := json.Unmarshal(text[i:], &l.fields); err != nil {
		return nil, false
	}
	at, err := time.Parse(time.RFC3339Nano, l.str("time"))
	if err != nil {
		return nil, false
	}
	l.at = at
	return l, true
}

// Explain reads log lines from r and writes those about the request and the related
// ones to w, sorted by time. Lines about the request itself are marked with an
// asterisk. It returns false if the logs do not contain the request, and an error if
// r cannot be read or a line is too long.
func Explain(r io.Reader, request string, w io.Writer) (bool, error) {
	lines, err := readLines(r)
	if err != nil {
		return false, err
	}
	requestLines := slices.DeleteFunc(slices.Clone(lines), func(l *logLine) bool { return l.str("request") != request })
	if len(requestLines) == 0 {
		return false, nil
	}
	scope := newRelatedScope(requestLines)
	for _, l := range lines {
		switch {
		case l.str("request") == request:
			fmt.Fprintln(w, "*", formatLine(l))
		case l.str("request") == "" && scope.includes(l):
			fmt.Fprintln(w, " ", formatLine(l))
		}
	}
	return true, nil
}

func readLines(r io.Reader) ([]*logLine, error) {
	var lines []*logLine
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		if l, ok := parseLine(scanner.Bytes()); ok {
			lines = append(lines, l)
		}
	}
	slices.SortStableFunc(lines, func(a, b *logLine) int { return a.at.Compare(b.at) })
	return lines, scanner.Err()
}

// relatedScope describes which log lines are related to a request: those within a
// period of time that are about the same endpoints or adapters, or whose message
// contains "dependency", "configuration" or "operator's item".
type relatedScope struct {
	endpoints, adapters map[string]bool
	from, to            time.Time
}

func newRelatedScope(requestLines []*logLine) *relatedScope {
	s := &relatedScope{endpoints: map[string]bool{}, adapters: map[string]bool{}, from: requestLines[0].at.Add(-relatedWindow), to: requestLines[len(requestLines)-1].at.Add(relatedWindow)}
	for _, l := range requestLines {
		s.endpoints[l.str("endpoint")] = true
		s.adapters[l.str("adapter")] = true
	}
	delete(s.endpoints, "")
	delete(s.adapters, "")
	return s
}

func (s *relatedScope) includes(l *logLine) bool {
	if l.at.Before(s.from) || l.at.After(s.to) {
		return false
	}
	related := s.endpoints[l.str("endpoint")] || s.endpoints[l.str("instance")] || s.adapters[l.str("adapter")]
	return related || strings.Contains(l.str("message"), "dependency") || strings.Contains(l.str("message"), "configuration") ||
		strings.Contains(l.str("message"), "operator's item")
}

// formatLine returns the time, prefix and message of a line and then its other fields,
// sorted by name.
func formatLine(l *logLine) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s %s", l.at.Format("15:04:05.000"), l.prefix, l.str("message"))
	names := make([]string, 0, len(l.fields))
	for name := range l.fields {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		if name != "message" && name != "time" && name != "level" {
			fmt.Fprintf(&b, " %s=%v", name, l.fields[name])
		}
	}
	return b.String()
}

// Command runs fescuectl explain and returns the exit status: 0 if the request was
// found, 1 if the logs do not contain it or cannot be read, and 2 for an invalid
// command line.
func Command(_ context.Context, args []string, in io.Reader, out, stderr io.Writer) int {
	fs := flag.NewFlagSet("fescuectl explain", flag.ContinueOnError)
	fs.SetOutput(stderr)
	id := fs.String("id", "", "`id` of the request")
	err := fs.Parse(args)
	if errors.Is(err, flag.ErrHelp) {
		return exitOK
	}
	if err != nil || *id == "" || fs.NArg() > 0 {
		fmt.Fprintln(stderr, "usage: fescuectl explain -id REQUEST < logs")
		return exitUsage
	}
	found, err := Explain(in, *id, out)
	switch {
	case err != nil:
		fmt.Fprintln(stderr, "fescuectl explain:", err)
		return exitNotFound
	case !found:
		fmt.Fprintf(stderr, "fescuectl explain: the logs do not name request %s\n", *id)
		return exitNotFound
	}
	return exitOK
}
