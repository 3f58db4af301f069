// Command fescuectl is the command-line tool for operators.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/cockroachdb/errors"

	"github.com/fescuecourse/fescuecourse/pkg/bundlecmd"
	"github.com/fescuecourse/fescuecourse/pkg/config"
	"github.com/fescuecourse/fescuecourse/pkg/daemon"
	"github.com/fescuecourse/fescuecourse/pkg/demo"
	"github.com/fescuecourse/fescuecourse/pkg/explain"
	"github.com/fescuecourse/fescuecourse/pkg/kv"
	"github.com/fescuecourse/fescuecourse/pkg/kv/etcd"
	"github.com/fescuecourse/fescuecourse/pkg/soak"
	"github.com/fescuecourse/fescuecourse/pkg/statuscmd"
)

// Exit codes.
const (
	exitFailure = 1
	exitUsage   = 2
)

const usage = "usage: fescuectl bundle|status|demo|load|soak|explain [flags]"

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := run(ctx, os.Args[1:])
	stop()
	os.Exit(code)
}

func run(ctx context.Context, args []string) int {
	if len(args) == 0 {
		fmt.Fprintln(os.Stderr, usage)
		return exitUsage
	}
	switch args[0] {
	case "bundle":
		return runBundle(ctx, args[1:])
	case "status":
		return statuscmd.Run(ctx, args[1:], os.Stdout, os.Stderr)
	case "demo":
		return demo.Command(ctx, args[1:], os.Stdout, os.Stderr)
	case "load":
		return demo.LoadCommand(ctx, args[1:], os.Stdout, os.Stderr)
	case "explain":
		return explain.Command(ctx, args[1:], os.Stdin, os.Stdout, os.Stderr)
	case "soak":
		return soak.Command(ctx, args[1:], os.Stdout, os.Stderr)
	case "help", "-h", "-help", "--help":
		fmt.Fprintln(os.Stdout, usage)
		return 0
	default:
		fmt.Fprintln(os.Stderr, usage)
		return exitUsage
	}
}

// runBundle runs fescuectl bundle and maps its errors to exit codes.
func runBundle(ctx context.Context, args []string) int {
	tool := &bundlecmd.Tool{Out: os.Stdout, Err: os.Stderr, Open: openStore, Platform: daemon.PlatformConfigs{}}
	cmd := tool.Command()
	if err := cmd.Parse(args); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			return 0
		}
		return exitUsage
	}
	err := cmd.Run(ctx)
	switch {
	case err == nil:
		return 0
	case errors.Is(err, bundlecmd.ErrRejected):
		return exitFailure
	case errors.Is(err, config.ErrUsage):
		fmt.Fprintln(os.Stderr, "fescuectl:", err)
		return exitUsage
	default:
		fmt.Fprintln(os.Stderr, "fescuectl:", err)
		return exitFailure
	}
}

func openStore(address string) (kv.Store, error) {
	if address == "" {
		return nil, errors.Mark(errors.New("address of the key-value service is not set"), config.ErrUsage)
	}
	return etcd.New(address, etcd.Options{}), nil
}
