package bundlecmd

import (
	"bytes"
	"context"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/fescuecourse/fescuecourse/pkg/configcheck"
	"github.com/fescuecourse/fescuecourse/pkg/rollout"
	"github.com/fescuecourse/fescuecourse/pkg/route"
)

// PlatformConfigs reads configurations in the format of the users' platform.
type PlatformConfigs interface {
	// Decode decodes the text of a configuration.
	Decode(text []byte) (route.Config, error)
	// InForce reads the configuration in force from the platform's store.
	InForce(ctx context.Context, address string) (route.Config, error)
}

// source is what a configuration is compared with. At most one of its fields is set.
type source struct {
	file string
	kv   string
}

func (t *Tool) check() *ffcli.Command {
	f := t.flags("check").withStore()
	against := f.set.String("against", "", "`file` with the version in force, instead of -kv")
	return &ffcli.Command{Name: "check", ShortUsage: "fescuectl bundle check [-against FILE | -kv ADDRESS] FILE", FlagSet: f.set, Exec: func(ctx context.Context, args []string) error {
		if err := checkArguments(args, "FILE"); err != nil {
			return err
		}
		if *against != "" && *f.store != "" {
			return usageError("-against and -kv exclude each other")
		}
		text, err := os.ReadFile(args[0])
		if err != nil {
			return errors.Wrap(err, "read configuration")
		}
		ctx, cancel := context.WithTimeout(ctx, storeTimeout)
		defer cancel()
		report, err := t.report(ctx, args[0], text, source{file: *against, kv: *f.store})
		if err != nil {
			return err
		}
		return t.printReport(*f.json, report)
	}}
}

// report checks a bundle, or a configuration of the platform if the text is a JSON object.
func (t *Tool) report(ctx context.Context, file string, text []byte, s source) (*configcheck.Report, error) {
	if isPlatformConfig(text) {
		return t.reportRoutes(ctx, file, text, s)
	}
	against, err := t.bundleInForce(ctx, s)
	if err != nil {
		return nil, err
	}
	return configcheck.Bundle(file, string(text), against), nil
}

func isPlatformConfig(text []byte) bool { return bytes.HasPrefix(bytes.TrimSpace(text), []byte("{")) }

// bundleInForce returns the text of the bundle to compare with, or an empty string.
func (t *Tool) bundleInForce(ctx context.Context, s source) (string, error) {
	switch {
	case s.file != "":
		text, err := os.ReadFile(s.file)
		return string(text), errors.Wrap(err, "read the version in force")
	case s.kv != "":
		store, err := t.Open(s.kv)
		if err != nil {
			return "", err
		}
		_, text, err := rollout.ReadText(ctx, store)
		return text, errors.Wrap(err, "read the version in force")
	default:
		return "", nil
	}
}

func (t *Tool) reportRoutes(ctx context.Context, file string, text []byte, s source) (*configcheck.Report, error) {
	c, err := t.Platform.Decode(text)
	if err != nil {
		return configcheck.Undecodable(file, text, err), nil
	}
	var against *route.Config
	switch {
	case s.file != "":
		old, err := os.ReadFile(s.file)
		if err != nil {
			return nil, errors.Wrap(err, "read the version in force")
		}
		inForce, err := t.Platform.Decode(old)
		if err != nil {
			return nil, errors.Wrapf(err, "%s", s.file)
		}
		against = &inForce
	case s.kv != "":
		inForce, err := t.Platform.InForce(ctx, s.kv)
		if err != nil {
			return nil, errors.Wrap(err, "read the version in force")
		}
		against = &inForce
	}
	return configcheck.Routes(file, &c, against), nil
}

// printReport prints a report and returns ErrRejected if it has problems.
func (t *Tool) printReport(asJSON bool, r *configcheck.Report) error {
	if err := t.print(asJSON, r, r.Lines()...); err != nil {
		return err
	}
	if len(r.Problems) > 0 {
		return ErrRejected
	}
	return nil
}
