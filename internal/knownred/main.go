// Command knownred runs `go test` and fails unless exactly the tests that a
// list of known failures names fail.
//
//	knownred KNOWN-RED.txt [arguments of go test] [-- [arguments of go test]]...
//
// "--" separates the arguments of several runs, which follow each other.
//
// It fails on a failing test that is not listed, on a package that does not
// build or whose test binary ends early, and on a listed test that passes, is
// skipped or does not exist. With an empty list it accepts what `go test` does.
package main

import (
	"fmt"
	"os"
	"os/exec"
	"slices"

	"github.com/cockroachdb/errors"
)

func main() {
	if len(os.Args) < 2 {
		fmt.Fprintln(os.Stderr, "usage: knownred LIST [arguments of go test] [-- [arguments of go test]]...")
		os.Exit(2)
	}
	ok, err := check(os.Args[1], os.Args[2:])
	if err != nil {
		fmt.Fprintln(os.Stderr, "knownred:", err)
	}
	if !ok || err != nil {
		os.Exit(1)
	}
}

func check(list string, args []string) (bool, error) {
	entries, err := readList(list)
	if err != nil {
		return false, err
	}
	all, anyErr := &summary{}, false
	for _, run := range runs(args) {
		s, testErr, err := runTests(run)
		if err != nil {
			return false, err
		}
		all.Packages = append(all.Packages, s.Packages...)
		anyErr = anyErr || testErr
	}
	v := judge(entries, all, anyErr)
	fmt.Print(report(entries, v))
	return len(v.Problems) == 0, nil
}

// runs splits arguments at "--".
func runs(args []string) [][]string {
	i := slices.Index(args, "--")
	if i < 0 {
		return [][]string{args}
	}
	return append([][]string{args[:i]}, runs(args[i+1:])...)
}

func readList(path string) ([]entry, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	entries, err := parseList(f)
	return entries, errors.Wrap(err, path)
}

// runTests runs `go test -json` with the arguments and reports what its events
// say and whether it ended with an error.
func runTests(args []string) (*summary, bool, error) {
	cmd := exec.Command("go", append([]string{"test", "-json"}, args...)...)
	cmd.Stderr = os.Stderr
	events, err := cmd.StdoutPipe()
	if err != nil {
		return nil, false, err
	}
	if err := cmd.Start(); err != nil {
		return nil, false, err
	}
	s, readErr := readEvents(events, os.Stdout)
	if readErr != nil {
		// The rest is discarded so that go test can end.
		events.Close()
	}
	waitErr := cmd.Wait()
	if readErr != nil {
		return nil, false, readErr
	}
	if exit := (*exec.ExitError)(nil); waitErr != nil && !errors.As(waitErr, &exit) {
		return nil, false, waitErr
	}
	return s, waitErr != nil, nil
}
