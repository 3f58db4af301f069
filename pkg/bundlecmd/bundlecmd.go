// Package bundlecmd implements the commands fescuectl bundle.
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

// storeTimeout bounds a command that uses the key-value service. A rollout
// repeats calls that got no reply until then.
const storeTimeout = 30 * time.Second

// ErrRejected reports a command that printed its findings already. Programs
// exit with status 1.
var ErrRejected = errors.New("rejected")

// OpenStore connects to the key-value service at an address (host:port).
type OpenStore func(address string) (kv.Store, error)

// Tool holds what the commands need from their process.
type Tool struct {
	// Out receives results and findings, Err usage texts.
	Out  io.Writer
	Err  io.Writer
	Open OpenStore
}

// flags are the flags that several commands share.
type flags struct {
	set       *flag.FlagSet
	json      *bool
	store     *string
	reviewers *string
}

func (t *Tool) newFlags(name string) *flags {
	fs := flag.NewFlagSet("fescuectl bundle "+name, flag.ContinueOnError)
	fs.SetOutput(t.Err)
	return &flags{set: fs, json: fs.Bool("json", false, "print JSON")}
}

func (f *flags) withStore() *flags {
	f.store = f.set.String("kv", "", "`address` of the key-value service")
	return f
}

// withReviewers adds the flag for the first reviewers, who are trusted until
// the first bundle has been accepted.
func (f *flags) withReviewers() *flags {
	f.reviewers = f.set.String("reviewers", "", "INI `file` with [reviewer] sections of the first reviewers")
	return f
}

// Command returns the bundle command with its subcommands.
func (t *Tool) Command() *ffcli.Command {
	fs := flag.NewFlagSet("fescuectl bundle", flag.ContinueOnError)
	fs.SetOutput(t.Err)
	return &ffcli.Command{
		Name:        "bundle",
		ShortUsage:  "fescuectl bundle <init|keygen|validate|diff|propose|approve|rollout|status> [flags]",
		FlagSet:     fs,
		Subcommands: []*ffcli.Command{t.initCommand(), t.keygenCommand(), t.validateCommand(), t.diffCommand(), t.proposeCommand(), t.approveCommand(), t.rolloutCommand(), t.statusCommand()},
		Exec:        func(context.Context, []string) error { return usageError("a subcommand is required") },
	}
}

// usageError returns an error that programs report as a wrong command line.
func usageError(format string, args ...any) error {
	return errors.Mark(errors.Newf(format, args...), config.ErrUsage)
}

// checkArguments checks the number of checkArguments.
func checkArguments(args []string, names ...string) error {
	if len(args) != len(names) {
		return usageError("need %d arguments: %v", len(names), names)
	}
	return nil
}

// openStore connects to the service named by -kv.
func (t *Tool) openStore(f *flags) (kv.Store, error) {
	if *f.store == "" {
		return nil, usageError("-kv must be set")
	}
	return t.Open(*f.store)
}

// initialReviewers reads the initialReviewers reviewers. Without the flag there are none.
func (f *flags) initialReviewers() (bundle.Reviewers, error) {
	if *f.reviewers == "" {
		return nil, nil
	}
	return bundle.ReadReviewers(*f.reviewers)
}

// print writes v as JSON or the plain lines.
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

// printFindings prints all findings and returns ErrRejected if there are any.
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
