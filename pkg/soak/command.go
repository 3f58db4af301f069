package soak

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"time"
)

// Exit codes of the command.
const (
	exitOK      = 0
	exitFailure = 1
	exitUsage   = 2
)

// Command runs "fescuectl soak". It returns the exit status: 0, 1 if a guarantee was
// broken or a run failed, or 2 for wrong arguments.
func Command(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	o := Options{Out: io.Discard}
	var seeds, processes int
	var verbose bool
	fs := flag.NewFlagSet("fescuectl soak", flag.ContinueOnError)
	fs.SetOutput(stderr)
	fs.Uint64Var(&o.Seed, "seed", 1, "seed of the faults")
	fs.IntVar(&seeds, "seeds", 1, "number of seeds to play, from -seed on")
	fs.DurationVar(&o.Duration, "duration", 20*time.Second, "time with faults, for each seed")
	fs.IntVar(&processes, "processes", 12, "number of processes of the system")
	fs.StringVar(&o.Binary, "fescued", defaultBinary(), "path of fescued")
	fs.StringVar(&o.Dir, "logs", filepath.Join(os.TempDir(), "fescue-soak"), "folder for settings and logs")
	fs.BoolVar(&verbose, "v", false, "print each fault")
	if err := fs.Parse(args); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			return exitOK
		}
		return exitUsage
	}
	if fs.NArg() > 0 || processes < 4 || seeds < 1 {
		fmt.Fprintln(stderr, "fescuectl soak: no arguments, 4 processes or more, 1 seed or more")
		return exitUsage
	}
	if verbose {
		o.Out = stdout
	}
	o.Entries = max(processes/3, 2)
	o.Servers = processes - o.Entries
	return runSeeds(ctx, o, seeds, stdout, stderr)
}

// runSeeds runs one soak test for each seed, starting with the seed of o, and checks the
// shares of streams over all of them. It stops at the first run that cannot be carried
// out.
func runSeeds(ctx context.Context, o Options, seeds int, stdout, stderr io.Writer) int {
	code := exitOK
	var begun, resumed Share
	for range seeds {
		r, err := Run(ctx, o)
		if err != nil {
			fmt.Fprintln(stderr, "fescuectl soak:", err)
			return exitFailure
		}
		r.Print(stdout)
		if len(r.Violations) > 0 {
			code = exitFailure
		}
		begun.add(r.Begun)
		resumed.add(r.Resumed)
		o.Seed++
	}
	fmt.Fprintf(stdout, "all seeds: streams begun %s, resumed %s\n", &begun, &resumed)
	for _, v := range CheckShares(begun, resumed) {
		fmt.Fprintln(stdout, "  violation:", v)
		code = exitFailure
	}
	return code
}

// defaultBinary returns the path of fescued in the directory of this program.
func defaultBinary() string {
	path, err := os.Executable()
	if err != nil {
		return "fescued"
	}
	return filepath.Join(filepath.Dir(path), "fescued")
}
