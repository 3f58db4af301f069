// Command fescuectl is the operators' tool.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/fescuecourse/fescuecourse/pkg/demo"
)

// Exit codes.
const (
	exitFailure = 1
	exitUsage   = 2
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	os.Exit(run(ctx, os.Args[1:]))
}

func run(ctx context.Context, args []string) int {
	if len(args) == 0 || args[0] != "demo" {
		fmt.Fprintln(os.Stderr, "usage: fescuectl demo [flags]")
		return exitUsage
	}
	fs := flag.NewFlagSet("demo", flag.ContinueOnError)
	seed := fs.Uint64("seed", 1, "seed of the demo's requests")
	if fs.Parse(args[1:]) != nil {
		return exitUsage
	}
	if err := demo.Run(ctx, demo.DefaultOptions(), *seed, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "fescuectl:", err)
		return exitFailure
	}
	return 0
}
