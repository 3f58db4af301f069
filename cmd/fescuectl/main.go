// Command fescuectl is the operators' tool.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/fescuecourse/fescuecourse/pkg/demo"
)

const exitUsage = 2

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	os.Exit(run(ctx, os.Args[1:]))
}

func run(ctx context.Context, args []string) int {
	if len(args) > 0 {
		switch args[0] {
		case "demo":
			return demo.Command(ctx, args[1:], os.Stdout, os.Stderr)
		case "load":
			return demo.LoadCommand(ctx, args[1:], os.Stdout, os.Stderr)
		}
	}
	fmt.Fprintln(os.Stderr, "usage: fescuectl demo|load [flags]")
	return exitUsage
}
