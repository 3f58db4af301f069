// Command fescuectl is the operators' tool.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/cockroachdb/errors"
	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/fescuecourse/fescuecourse/pkg/bundlecmd"
	"github.com/fescuecourse/fescuecourse/pkg/config"
	"github.com/fescuecourse/fescuecourse/pkg/demo"
	"github.com/fescuecourse/fescuecourse/pkg/kv"
	"github.com/fescuecourse/fescuecourse/pkg/kv/etcd"
)

// Exit codes.
const (
	exitFailure = 1
	exitUsage   = 2
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := run(ctx, os.Args[1:])
	stop()
	os.Exit(code)
}

func run(ctx context.Context, args []string) int {
	root := rootCommand()
	if err := root.Parse(args); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			return 0
		}
		return exitUsage
	}
	err := root.Run(ctx)
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

func rootCommand() *ffcli.Command {
	fs := flag.NewFlagSet("fescuectl", flag.ContinueOnError)
	bundles := &bundlecmd.Tool{Out: os.Stdout, Err: os.Stderr, Open: openStore}
	return &ffcli.Command{
		Name:        "fescuectl",
		ShortUsage:  "fescuectl <bundle|demo> [flags]",
		FlagSet:     fs,
		Subcommands: []*ffcli.Command{bundles.Command(), demoCommand()},
		Exec: func(context.Context, []string) error {
			return errors.Mark(errors.New("usage: fescuectl <bundle|demo> [flags]"), config.ErrUsage)
		},
	}
}

func openStore(address string) (kv.Store, error) {
	if address == "" {
		return nil, errors.Mark(errors.New("the address of the key-value service is not set"), config.ErrUsage)
	}
	return etcd.New(address, etcd.Options{}), nil
}

func demoCommand() *ffcli.Command {
	fs := flag.NewFlagSet("fescuectl demo", flag.ContinueOnError)
	seed := fs.Uint64("seed", 1, "seed of the demo's requests")
	return &ffcli.Command{Name: "demo", ShortUsage: "fescuectl demo [flags]", FlagSet: fs, Exec: func(ctx context.Context, _ []string) error {
		return demo.Run(ctx, demo.DefaultOptions(), *seed, os.Stdout)
	}}
}
