package soak

import (
	"bufio"
	"bytes"
	"fmt"
	"os"
	"strings"

	"github.com/fescuecourse/fescuecourse/standin/platform"
)

// unwantedLines maps texts that no line of a log may contain to what such a line shows.
var unwantedLines = map[string]string{
	`"invariant":`:  "an invariant was violated",
	"panic serving": "a request panicked",
	"goroutine ":    "the process printed a stack",
	`"endpoint":"` + platform.OddServerPrefix: "an item that names no server was used as one",
}

// maxLogLines limits the lines of a log that are reported.
const maxLogLines = 3

// logViolations returns the unwanted lines of the log of a process.
func logViolations(p *process) []string {
	text, err := os.ReadFile(p.o.logPath(p.name))
	if err != nil {
		return []string{fmt.Sprintf("the log of %s cannot be read: %v", p.name, err)}
	}
	var out []string
	lines := bufio.NewScanner(bytes.NewReader(text))
	lines.Buffer(nil, len(text)+1)
	for lines.Scan() && len(out) < maxLogLines {
		for unwanted, meaning := range unwantedLines {
			if strings.Contains(lines.Text(), unwanted) {
				out = append(out, fmt.Sprintf("%s: %s: %.500s", p.name, meaning, lines.Text()))
				break
			}
		}
	}
	return out
}
