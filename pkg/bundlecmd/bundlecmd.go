// Package bundlecmd implements the subcommands of fescuectl bundle.
package bundlecmd

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/fescuecourse/fescuecourse/pkg/bundle"
	"github.com/fescuecourse/fescuecourse/pkg/config"
	"github.com/fescuecourse/fescuecourse/pkg/findings"
	"github.com/fescuecourse/fescuecourse/pkg/kv"
)

// storeTimeout bounds a command that uses the key-value service. Until then, a rollout
// repeats calls that got no response.
const storeTimeout = 30 * time.Second

// ErrRejected means that a command has found invalid input and printed the findings.
// Programs exit with status 1 and print nothing more.
var ErrRejected = errors.New("rejected")

// OpenStore connects to the key-value service at an address (host:port).
type OpenStore func(address string) (kv.Store, error)

// Tool holds the output streams and the store connection of the commands.
type Tool struct {
	// Out receives results and findings.
	Out io.Writer
	// Err receives usage texts.
	Err io.Writer
	// Open connects to the key-value service.
	Open OpenStore
	// Platform reads configurations of the users' platform.
	Platform PlatformConfigs
}

// flags is the flag set of a command with the values of flags that several commands
// share. Flags that the command does not have are nil.
type flags struct {
	set       *flag.FlagSet
	json      *bool
	store     *string
	reviewers *string
}

func (t *Tool) flags(name string) *flags {
	fs := flag.NewFlagSet("fescuectl bundle "+name, flag.ContinueOnError)
	fs.SetOutput(t.Err)
	return &flags{set: fs, json: fs.Bool("json", false, "print JSON")}
}

func (f *flags) withStore() *flags {
	f.store = f.set.String("kv", "", "`address` of the key-value service")
	return f
}

// withReviewers adds the flag for the initial reviewers, who are trusted until the
// first bundle has been accepted.
func (f *flags) withReviewers() *flags {
	f.reviewers = f.set.String("reviewers", "", "INI `file` with [reviewer] sections of the first reviewers")
	return f
}

// Command returns the command fescuectl bundle with its subcommands.
func (t *Tool) Command() *ffcli.Command {
	fs := flag.NewFlagSet("fescuectl bundle", flag.ContinueOnError)
	fs.SetOutput(t.Err)
	return &ffcli.Command{
		Name:        "bundle",
		ShortUsage:  "fescuectl bundle <init|keygen|validate|check|diff|propose|approve|rollout|status> [flags]",
		FlagSet:     fs,
		Subcommands: []*ffcli.Command{t.initCommand(), t.keygen(), t.validate(), t.check(), t.diff(), t.propose(), t.approve(), t.rollout(), t.status()},
		Exec:        func(context.Context, []string) error { return usageError("a subcommand is required") },
	}
}

// usageError returns an error marked config.ErrUsage.
func usageError(format string, args ...any) error {
	return errors.Mark(errors.Newf(format, args...), config.ErrUsage)
}

// checkArguments returns a usage error unless there is one argument for each name.
func checkArguments(args []string, names ...string) error {
	if len(args) != len(names) {
		return usageError("need %d arguments: %v", len(names), names)
	}
	return nil
}

// openStore connects to the key-value service at the address given by -kv.
func (t *Tool) openStore(f *flags) (kv.Store, error) {
	if *f.store == "" {
		return nil, usageError("-kv must be set")
	}
	return t.Open(*f.store)
}

// initialReviewers reads the file given by -reviewers. It returns nil without the flag.
func (f *flags) initialReviewers() (bundle.Reviewers, error) {
	if *f.reviewers == "" {
		return nil, nil
	}
	return bundle.ReadReviewers(*f.reviewers)
}

// print writes v as JSON if asJSON is set, and the lines as plain text otherwise.
func (t *Tool) print(asJSON bool, v any, lines ...string) error {
	if asJSON {
		enc := json.NewEncoder(t.Out)
		enc.SetIndent("", "  ")
		return enc.Encode(v)
	}
	for _, l := range lines {
		fmt.Fprintln(t.Out, l)
	}
	return nil
}

// printFindings prints all findings and returns ErrRejected if there are any. As JSON,
// it prints an empty list if there are none.
func (t *Tool) printFindings(asJSON bool, found findings.List) error {
	if asJSON {
		if found == nil {
			found = findings.List{}
		}
		if err := t.print(true, found); err != nil {
			return err
		}
	} else if len(found) > 0 {
		fmt.Fprintln(t.Out, found.Error())
	}
	if len(found) > 0 {
		return ErrRejected
	}
	return nil
}
