package soak

import (
	"os"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a soak that finds nothing although a process panicked, violated an invariant or
// used an item that names no server: the process goes on, and only its log shows it.
func TestUnwantedLogLinesAreViolations(t *testing.T) {
	for line, want := range map[string]int{
		`{"level":"info","endpoint":"i-1","message":"route: endpoint changed"}`:                                       0,
		`{"level":"warn","key":"x-1","message":"route: cannot decode the endpoint's item; endpoint removed"}`:         0,
		`{"level":"info","endpoint":"x-1","message":"route: endpoint changed"}`:                                       1,
		`{"level":"error","invariant":"no_panic","detail":"request r1: fault","message":"entry: invariant violated"}`: 1,
		`2026/01/01 00:00:00 http: panic serving 127.0.0.1:1: fault`:                                                  1,
		"panic: fault\n\ngoroutine 7 [running]:":                                                                      1,
	} {
		p := &process{o: &Options{Dir: t.TempDir()}, name: "p"}
		assert.NilError(t, os.WriteFile(p.o.logPath(p.name), []byte(line+"\n"), 0o600))
		assert.Equal(t, len(logViolations(p)), want, line)
	}
}
