package bundlecmd

import (
	"context"
	"crypto/ed25519"
	"crypto/rand"
	"encoding/base64"
	"os"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/fescuecourse/fescuecourse/pkg/bundle"
	"github.com/fescuecourse/fescuecourse/pkg/findings"
)

// Permissions of new files.
const (
	secretFileMode = 0o600
	publicFileMode = 0o644
)

// template is the example bundle that init writes. Its names are placeholders; edited
// to match a deployment, it passes validate.
const template = `[bundle]
version = 1

[deployment]
name = example
stall_weight = 0.5
batch_weight = 0.5
retry_budget = 0.1
key_retention = 15m

; Reviewers sign the next version. Print these sections with fescuectl bundle keygen.
; [reviewer "alice"]
; public_key =

[team "example"]
weight = 1
priority = normal
max_in_flight = 100
rate = 100

[adapter "example/summary"]
base_model = example-7b
versions = 1
current = 1
`

func (t *Tool) initCommand() *ffcli.Command {
	f := t.flags("init")
	return &ffcli.Command{Name: "init", ShortUsage: "fescuectl bundle init FILE", FlagSet: f.set, Exec: func(_ context.Context, args []string) error {
		if err := checkArguments(args, "FILE"); err != nil {
			return err
		}
		return createFile(args[0], []byte(template), publicFileMode)
	}}
}

// createFile writes a new file. It returns an error if the file exists.
func createFile(path string, content []byte, mode os.FileMode) error {
	f, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_EXCL, mode)
	if err != nil {
		return errors.Wrap(err, "create file")
	}
	_, err = f.Write(content)
	return errors.CombineErrors(err, f.Close())
}

func (t *Tool) keygen() *ffcli.Command {
	f := t.flags("keygen")
	return &ffcli.Command{Name: "keygen", ShortUsage: "fescuectl bundle keygen REVIEWER KEYFILE", FlagSet: f.set, Exec: func(_ context.Context, args []string) error {
		if err := checkArguments(args, "REVIEWER", "KEYFILE"); err != nil {
			return err
		}
		public, private, err := ed25519.GenerateKey(rand.Reader)
		if err != nil {
			return errors.Wrap(err, "generate key")
		}
		secret := base64.StdEncoding.EncodeToString(private.Seed()) + "\n"
		if err := createFile(args[1], []byte(secret), secretFileMode); err != nil {
			return err
		}
		section := bundle.Section{Kind: "reviewer", Name: args[0], Keys: []bundle.Key{{Name: "public_key", Value: base64.StdEncoding.EncodeToString(public)}}}
		text := strings.TrimSuffix(bundle.Format([]bundle.Section{section}), "\n")
		return t.print(*f.json, bundle.Reviewer{Name: args[0], Key: public}, text)
	}}
}

// readKey reads a private key written by keygen: the seed in base64.
func readKey(path string) (ed25519.PrivateKey, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read key")
	}
	seed, err := base64.StdEncoding.DecodeString(strings.TrimSpace(string(raw)))
	if err != nil || len(seed) != ed25519.SeedSize {
		return nil, errors.Newf("%s: file does not contain a private key", path)
	}
	return ed25519.NewKeyFromSeed(seed), nil
}

func (t *Tool) validate() *ffcli.Command {
	f := t.flags("validate")
	return &ffcli.Command{Name: "validate", ShortUsage: "fescuectl bundle validate FILE...", FlagSet: f.set, Exec: func(_ context.Context, args []string) error {
		if len(args) == 0 {
			return usageError("need at least one FILE")
		}
		var found findings.List
		for _, path := range args {
			text, err := os.ReadFile(path)
			if err != nil {
				found.Addf(path, 0, "%v", err)
				continue
			}
			_, more := bundle.Parse(path, string(text))
			found = append(found, more...)
		}
		return t.printFindings(*f.json, found)
	}}
}

func (t *Tool) diff() *ffcli.Command {
	f := t.flags("diff")
	return &ffcli.Command{Name: "diff", ShortUsage: "fescuectl bundle diff OLD NEW", FlagSet: f.set, Exec: func(_ context.Context, args []string) error {
		if err := checkArguments(args, "OLD", "NEW"); err != nil {
			return err
		}
		texts := make([]string, len(args))
		for i, path := range args {
			raw, err := os.ReadFile(path)
			if err != nil {
				return errors.Wrap(err, "read bundle")
			}
			texts[i] = string(raw)
		}
		changes, found := bundle.Diff(texts[0], texts[1])
		if err := found.Err(); err != nil {
			return err
		}
		if changes == nil {
			changes = []bundle.Change{}
		}
		lines := make([]string, len(changes))
		for i, c := range changes {
			lines[i] = c.String()
		}
		return t.print(*f.json, changes, lines...)
	}}
}
