package demo

import (
	"context"
	"flag"
	"fmt"
	"io"
	"path/filepath"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"github.com/fescuecourse/fescuecourse/pkg/logging"
	"github.com/fescuecourse/fescuecourse/pkg/workload"
)

// Exit codes.
const (
	exitOK      = 0
	exitFailure = 1
	exitUsage   = 2
)

// Command runs fescuectl demo and returns the exit status.
func Command(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	fs := flag.NewFlagSet("fescuectl demo", flag.ContinueOnError)
	fs.SetOutput(stderr)
	seed := fs.Uint64("seed", 1, "seed of requests and faults")
	serve := fs.Bool("serve", false, "serve until SIGTERM instead of sending requests")
	listen := fs.String("listen", "127.0.0.1:0", "`address` of the first entry, with --serve")
	faults := fs.Bool("faults", false, "inject faults under load")
	duration := fs.Duration("duration", time.Minute, "length of the load, with --faults")
	repeatKeyed := fs.Bool("repeat-keyed", true, "repeat requests with an idempotency key whose outcome is unknown, with --faults")
	level := fs.String("log-level", "disabled", "lowest `level` that is logged on stderr")
	if code, ok := parseFlags(fs, args); !ok {
		return code
	}
	lvl, err := zerolog.ParseLevel(*level)
	if err != nil || (*serve && *faults) || *duration <= 0 {
		fmt.Fprintln(stderr, "fescuectl demo: wrong log level, --serve together with --faults, or duration not above zero")
		return exitUsage
	}
	opts := DefaultOptions()
	if *faults {
		opts = FaultClusterOptions(*seed)
	}
	opts.Log = logging.New(stderr, lvl)
	opts.EntryListen = *listen
	switch {
	case *serve:
		err = Serve(ctx, opts, stdout)
	case *faults:
		err = RunFaults(ctx, opts, FaultRunOptions{Seed: *seed, Duration: *duration, RepeatKeyed: *repeatKeyed}, stdout)
	default:
		err = Run(ctx, opts, *seed, stdout)
	}
	return finish(stderr, err)
}

// LoadCommand runs fescuectl load and returns the exit status.
func LoadCommand(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	fs := flag.NewFlagSet("fescuectl load", flag.ContinueOnError)
	fs.SetOutput(stderr)
	var opts LoadOptions
	fs.StringVar(&opts.Workload, "workload", "", "INI `file` with the workload")
	fs.Uint64Var(&opts.Seed, "seed", 1, "seed of the requests")
	fs.DurationVar(&opts.Duration, "duration", time.Minute, "length of the load")
	fs.StringVar(&opts.Target, "target", "", "`URL` of a running entry; without it a cluster with fakes is started")
	fs.StringVar(&opts.ReportDir, "report", "", "`directory` for plots and an index page")
	policy := fs.String("policy", DefaultPolicy, "`policy` of the cluster: default, random, least-loaded or hash")
	compare := fs.String("compare", "", "`policies` with commas between, run one after another on the same arrivals")
	asJSON := fs.Bool("json", false, "print the report as JSON")
	printBundle := fs.Bool("print-bundle", false, "print the bundle that a target needs, and exit")
	if code, ok := parseFlags(fs, args); !ok {
		return code
	}
	if opts.Workload == "" || opts.Duration <= 0 {
		fmt.Fprintln(stderr, "fescuectl load: --workload must be set and --duration be above zero")
		return exitUsage
	}
	if *printBundle {
		return finish(stderr, writeBundle(opts.Workload, stdout))
	}
	if *compare == "" {
		*compare = *policy
	}
	chosen, err := FindPolicies(*compare)
	if err == nil && opts.Target != "" && *compare != DefaultPolicy {
		err = errors.New("--policy and --compare apply to a cluster with fakes, not to --target")
	}
	if err != nil {
		fmt.Fprintln(stderr, "fescuectl load:", err)
		return exitUsage
	}
	return finish(stderr, runLoads(ctx, opts, chosen, *asJSON, stdout))
}

// runLoads runs the workload with each policy, one after another, and prints one
// report.
func runLoads(ctx context.Context, opts LoadOptions, chosen []Policy, asJSON bool, stdout io.Writer) error {
	c := &workload.Comparison{}
	violated := false
	for _, p := range chosen {
		o := opts
		o.Policy = p
		if opts.ReportDir != "" && len(chosen) > 1 {
			o.ReportDir = filepath.Join(opts.ReportDir, p.Name)
		}
		rep, err := RunLoad(ctx, o)
		if err != nil {
			return err
		}
		violated = violated || len(rep.Violations) > 0
		c.Reports = append(c.Reports, rep)
	}
	if err := writeLoads(c, asJSON, stdout); err != nil {
		return err
	}
	if violated {
		return ErrViolated
	}
	return nil
}

func writeLoads(c *workload.Comparison, asJSON bool, stdout io.Writer) error {
	switch {
	case len(c.Reports) == 1 && asJSON:
		return c.Reports[0].WriteJSON(stdout)
	case len(c.Reports) == 1:
		return c.Reports[0].WriteText(stdout)
	case asJSON:
		return c.WriteJSON(stdout)
	}
	if err := c.WriteText(stdout); err != nil {
		return err
	}
	return c.WriteJSON(stdout)
}

func writeBundle(path string, out io.Writer) error {
	spec, err := workload.Read(path)
	if err != nil {
		return err
	}
	_, err = io.WriteString(out, BundleText(optionsFor(spec)))
	return errors.Wrap(err, "write bundle")
}

// parseFlags parses the arguments. If the command must exit, it returns the exit
// status and false.
func parseFlags(fs *flag.FlagSet, args []string) (int, bool) {
	err := fs.Parse(args)
	switch {
	case errors.Is(err, flag.ErrHelp):
		return exitOK, false
	case err != nil:
		return exitUsage, false
	case fs.NArg() > 0:
		fmt.Fprintf(fs.Output(), "%s: unexpected argument %q\n", fs.Name(), fs.Arg(0))
		return exitUsage, false
	}
	return exitOK, true
}

func finish(stderr io.Writer, err error) int {
	if err == nil {
		return exitOK
	}
	fmt.Fprintln(stderr, "fescuectl:", err)
	return exitFailure
}
