// Command fescued is the daemon. Its first argument selects the role: entry, endpoint,
// routed-entry or routed-endpoint.
package main

import (
	"os"

	"github.com/fescuecourse/fescuecourse/pkg/daemon"
)

func main() { os.Exit(daemon.Main(os.Args[1:], os.Stdout, os.Stderr)) }
