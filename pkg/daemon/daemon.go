// Package daemon implements the command line of fescued. It reads the settings of
// one role, creates the role with its dependencies and runs it until SIGTERM or
// SIGINT.
package daemon

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"github.com/fescuecourse/fescuecourse/pkg/config"
	"github.com/fescuecourse/fescuecourse/pkg/findings"
	"github.com/fescuecourse/fescuecourse/pkg/invariant"
	"github.com/fescuecourse/fescuecourse/pkg/logging"
)

// Exit codes of the process.
const (
	exitOK      = 0
	exitFailure = 1
	exitUsage   = 2
)

const usage = "usage: fescued entry|endpoint|routed-entry|routed-endpoint [flags]"

// runner is a role that serves until ctx is done and then drains.
type runner interface {
	Run(ctx context.Context) error
}

// Main runs the daemon until SIGTERM or SIGINT and returns the exit status. A second
// signal exits the process at once with status 1.
func Main(args []string, stdout, stderr io.Writer) int {
	logs := logging.NewBufferedWriter(stdout)
	defer logs.Close()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	go func() {
		<-signals
		cancel()
		<-signals
		os.Exit(exitFailure)
	}()
	return Run(ctx, args, logs, stderr)
}

// Run runs the role named by the first argument until ctx is done. It writes log
// lines to logs, and errors in the command line or the settings to stderr. It returns
// the exit status: 0 after a drain, 1 for invalid settings or a failure, 2 for an
// invalid command line.
func Run(ctx context.Context, args []string, logs, stderr io.Writer) int {
	name, r, ok := selectRole(args)
	if !ok {
		fmt.Fprintln(stderr, usage)
		return exitUsage
	}
	set, err := parseSettings(name, r, args[1:], stderr)
	if err != nil {
		return report(stderr, err)
	}
	log := logging.New(logs, zerolog.TraceLevel)
	applyLevel(*r.logLevel)
	invariant.SetHandler(logViolation(log.For(r.component)))
	proc, err := r.build(log)
	if err != nil {
		return report(stderr, err)
	}
	reloadSignals := make(chan os.Signal, 1)
	signal.Notify(reloadSignals, syscall.SIGHUP)
	defer signal.Stop(reloadSignals)
	go newReloader(args, set, log).run(ctx, reloadSignals)
	return report(stderr, proc.Run(ctx))
}

func selectRole(args []string) (name string, r *role, ok bool) {
	if len(args) == 0 {
		return "", nil, false
	}
	switch args[0] {
	case "entry":
		return "fescued entry", newEntryRole(), true
	case "endpoint":
		return "fescued endpoint", newEndpointRole(), true
	case "routed-entry":
		return "fescued routed-entry", newRoutedEntryRole(), true
	case "routed-endpoint":
		return "fescued routed-endpoint", newRoutedEndpointRole(), true
	default:
		return "", nil, false
	}
}

// parseSettings reads and checks the settings of a role. It returns a findings.List
// with all invalid settings, or another error if they could not be read.
func parseSettings(name string, r *role, args []string, stderr io.Writer) (*config.Set, error) {
	set := config.NewSet(name, stderr)
	r.settings.Register(set)
	err := set.Parse(args)
	var found findings.List
	if err != nil && !errors.As(err, &found) {
		return nil, err
	}
	if set.NArg() > 0 {
		return nil, errors.Mark(errors.Newf("unexpected argument %q", set.Arg(0)), config.ErrUsage)
	}
	r.check(set)
	return set, set.Err()
}

// report prints an error to stderr and returns the exit status for it.
func report(stderr io.Writer, err error) int {
	var found findings.List
	switch {
	case err == nil, errors.Is(err, flag.ErrHelp):
		return exitOK
	case errors.As(err, &found):
		fmt.Fprintln(stderr, found.Error())
		return exitFailure
	case errors.Is(err, config.ErrUsage):
		fmt.Fprintln(stderr, "fescued:", err)
		return exitUsage
	default:
		fmt.Fprintln(stderr, "fescued:", err)
		return exitFailure
	}
}

// logViolation returns a handler that logs violated invariants.
func logViolation(log logging.Logger) invariant.Handler {
	return func(name invariant.Name, detail string) {
		log.Error().Str("invariant", string(name)).Str("detail", detail).Msg("invariant violated")
	}
}
