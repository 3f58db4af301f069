package bundlecmd

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/fescuecourse/fescuecourse/pkg/bundle"
	"github.com/fescuecourse/fescuecourse/pkg/rollout"
)

// proposalStatus is the JSON output that describes a proposal.
type proposalStatus struct {
	BaseVersion uint64   `json:"base_version"`
	Version     uint64   `json:"version"`
	RolloutID   string   `json:"rollout_id"`
	Operator    string   `json:"operator"`
	Parts       int      `json:"parts"`
	Signers     []string `json:"signers"`
}

func (t *Tool) propose() *ffcli.Command {
	f := t.flags("propose").withStore()
	operator := f.set.String("operator", "", "`name` of the operator")
	return &ffcli.Command{Name: "propose", ShortUsage: "fescuectl bundle propose -kv ADDRESS -operator NAME FILE PROPOSAL", FlagSet: f.set, Exec: func(ctx context.Context, args []string) error {
		if err := checkArguments(args, "FILE", "PROPOSAL"); err != nil {
			return err
		}
		if *operator == "" {
			return usageError("-operator must be set")
		}
		store, err := t.openStore(f)
		if err != nil {
			return err
		}
		ctx, cancel := context.WithTimeout(ctx, storeTimeout)
		defer cancel()
		base, _, err := rollout.ReadRoot(ctx, store)
		if err != nil {
			return errors.Wrap(err, "read the accepted bundle")
		}
		text, err := os.ReadFile(args[0])
		if err != nil {
			return errors.Wrap(err, "read bundle")
		}
		p, err := bundle.Propose(args[0], string(text), *operator, base)
		if err != nil {
			return err
		}
		if err := writeProposal(args[1], p); err != nil {
			return err
		}
		return t.printProposal(*f.json, p)
	}}
}

// printProposal prints a summary of a proposal with the names of all reviewers that
// have signed it, whether they are trusted or not.
func (t *Tool) printProposal(asJSON bool, p *bundle.Proposal) error {
	root, _, err := p.Build()
	if err != nil {
		return err
	}
	s := proposalStatus{BaseVersion: uint64(p.BaseVersion), Version: uint64(root.Version), RolloutID: p.RolloutID, Operator: p.Operator, Parts: len(root.Parts), Signers: []string{}}
	for _, sig := range p.Signatures {
		s.Signers = append(s.Signers, sig.Reviewer)
	}
	line := fmt.Sprintf("version %d by %s, rollout id %s, signed by: %s", s.Version, s.Operator, s.RolloutID, strings.Join(s.Signers, ", "))
	return t.print(asJSON, s, line)
}

func readProposal(path string) (*bundle.Proposal, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read proposal")
	}
	p := &bundle.Proposal{}
	return p, errors.Wrapf(json.Unmarshal(raw, p), "%s: file does not contain a proposal", path)
}

// writeProposal writes a proposal to a file, which it replaces atomically by a rename.
func writeProposal(path string, p *bundle.Proposal) error {
	raw, err := json.MarshalIndent(p, "", "  ")
	if err != nil {
		return errors.Wrap(err, "encode proposal")
	}
	if err := os.WriteFile(path+".tmp", raw, publicFileMode); err != nil {
		return errors.Wrap(err, "write proposal")
	}
	return errors.Wrap(os.Rename(path+".tmp", path), "write proposal")
}

func (t *Tool) approve() *ffcli.Command {
	f := t.flags("approve")
	reviewer := f.set.String("reviewer", "", "`name` of the reviewer")
	key := f.set.String("key", "", "`file` with the reviewer's private key")
	return &ffcli.Command{Name: "approve", ShortUsage: "fescuectl bundle approve -reviewer NAME -key FILE PROPOSAL", FlagSet: f.set, Exec: func(_ context.Context, args []string) error {
		if err := checkArguments(args, "PROPOSAL"); err != nil {
			return err
		}
		if *reviewer == "" || *key == "" {
			return usageError("-reviewer and -key must be set")
		}
		private, err := readKey(*key)
		if err != nil {
			return err
		}
		p, err := readProposal(args[0])
		if err != nil {
			return err
		}
		if err := p.Approve(*reviewer, private); err != nil {
			return err
		}
		if err := writeProposal(args[0], p); err != nil {
			return err
		}
		return t.printProposal(*f.json, p)
	}}
}

func (t *Tool) rollout() *ffcli.Command {
	f := t.flags("rollout").withStore().withReviewers()
	return &ffcli.Command{Name: "rollout", ShortUsage: "fescuectl bundle rollout -kv ADDRESS [-reviewers FILE] PROPOSAL", FlagSet: f.set, Exec: func(ctx context.Context, args []string) error {
		if err := checkArguments(args, "PROPOSAL"); err != nil {
			return err
		}
		store, err := t.openStore(f)
		if err != nil {
			return err
		}
		initialReviewers, err := f.initialReviewers()
		if err != nil {
			return err
		}
		p, err := readProposal(args[0])
		if err != nil {
			return err
		}
		ctx, cancel := context.WithTimeout(ctx, storeTimeout)
		defer cancel()
		root, err := rollout.Rollout(ctx, store, p, initialReviewers)
		if err != nil {
			return err
		}
		return t.printAccepted(*f.json, root)
	}}
}

// printAccepted prints the accepted rollout. The root is nil if there is none.
func (t *Tool) printAccepted(asJSON bool, root *bundle.Root) error {
	if root == nil {
		return t.print(asJSON, bundle.AcceptedRollout{}, "no bundle has been accepted")
	}
	a := root.AcceptedRollout()
	return t.print(asJSON, a, fmt.Sprintf("accepted version %d by %s, rollout id %s", a.Version, a.Operator, a.RolloutID))
}

func (t *Tool) status() *ffcli.Command {
	f := t.flags("status").withStore()
	text := f.set.Bool("text", false, "print the text of the accepted bundle")
	return &ffcli.Command{Name: "status", ShortUsage: "fescuectl bundle status -kv ADDRESS [-text]", FlagSet: f.set, Exec: func(ctx context.Context, args []string) error {
		if err := checkArguments(args); err != nil {
			return err
		}
		store, err := t.openStore(f)
		if err != nil {
			return err
		}
		ctx, cancel := context.WithTimeout(ctx, storeTimeout)
		defer cancel()
		if *text {
			_, content, err := rollout.ReadText(ctx, store)
			fmt.Fprint(t.Out, content)
			return err
		}
		root, _, err := rollout.ReadRoot(ctx, store)
		if err != nil {
			return errors.Wrap(err, "read the accepted bundle")
		}
		return t.printAccepted(*f.json, root)
	}}
}
