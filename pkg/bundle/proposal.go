package bundle

import (
	"crypto/ed25519"
	"crypto/rand"
	"encoding/hex"
	"slices"

	"github.com/cockroachdb/errors"

	"github.com/fescuecourse/fescuecourse/pkg/ident"
)

// ErrWrongVersion means that the version in the text is not the base version plus one.
var ErrWrongVersion = errors.New("version in the text must be the version after the base")

// ErrTooFewReviewers means that the bundle defines fewer than two reviewers with
// different keys, so that no later bundle could be approved.
var ErrTooFewReviewers = errors.New("bundle must define at least two reviewers with different keys")

// Proposal is a bundle text with the signatures of the reviewers who approved it.
type Proposal struct {
	BaseVersion ident.BundleVersion `json:"base_version"`
	// Base is the root record of the previous version, nil for version 1.
	Base       *Root       `json:"base,omitempty"`
	RolloutID  string      `json:"rollout_id"`
	Operator   string      `json:"operator"`
	Text       string      `json:"text"`
	Signatures []Signature `json:"signatures"`
}

// Propose returns a proposal of text as the version after base; base is nil for
// version 1. Findings refer to the text as file. Propose returns a findings.List,
// ErrWrongVersion or ErrTooFewReviewers if the text cannot be accepted.
func Propose(file, text, operator string, base *Root) (*Proposal, error) {
	p := &Proposal{Base: base, RolloutID: newRolloutID(), Operator: operator}
	if base != nil {
		p.BaseVersion = base.Version
	}
	b, found := Parse(file, text)
	if err := found.Err(); err != nil {
		return nil, err
	}
	if b.Version() != p.BaseVersion+1 {
		return nil, errors.Wrapf(ErrWrongVersion, "text has %d, base has %d", b.Version(), p.BaseVersion)
	}
	if !enoughReviewers(b.Reviewers()) {
		return nil, ErrTooFewReviewers
	}
	p.Text, _ = Canonical(file, text)
	return p, nil
}

func enoughReviewers(rs Reviewers) bool {
	keys := map[string]bool{}
	for _, r := range rs {
		keys[string(r.Key)] = true
	}
	return len(keys) >= RequiredReviewers
}

func newRolloutID() string {
	var b [16]byte
	_, _ = rand.Read(b[:]) // never fails, see crypto/rand
	return hex.EncodeToString(b[:])
}

// Build returns the root record, with the signatures collected so far, and the parts
// of the proposal. Its errors are those of Propose and ErrTooLarge.
func (p *Proposal) Build() (*Root, []Part, error) {
	b, found := Parse("proposal", p.Text)
	if err := found.Err(); err != nil {
		return nil, nil, err
	}
	if b.Version() != p.BaseVersion+1 {
		return nil, nil, errors.Wrapf(ErrWrongVersion, "text has %d, base has %d", b.Version(), p.BaseVersion)
	}
	if !enoughReviewers(b.Reviewers()) {
		return nil, nil, ErrTooFewReviewers
	}
	sections, _ := Sections("proposal", p.Text)
	r := &Root{Statement: Statement{Version: b.Version(), RolloutID: p.RolloutID, Operator: p.Operator, Reviewers: b.Reviewers()}}
	previous := 0
	if p.Base != nil {
		previous = len(p.Base.Parts)
		p.linkToBase(r)
	}
	parts, err := Split(sections, previous)
	if err != nil {
		return nil, nil, err
	}
	for _, part := range parts {
		r.Parts = append(r.Parts, part.Name)
	}
	r.PartsHash = PartsHash(r.Parts)
	r.Signatures = p.Signatures
	return r, parts, nil
}

// linkToBase sets the fields of r that depend on the base: Previous, Chain and Recent.
func (p *Proposal) linkToBase(r *Root) {
	r.Previous = p.Base.Hash()
	r.Chain = slices.Clone(p.Base.Chain)
	last := Reviewers(nil)
	if n := len(r.Chain); n > 0 {
		last = r.Chain[n-1].Statement.Reviewers
	}
	if !p.Base.Reviewers.Equal(last) {
		r.Chain = append(r.Chain, ReviewerChange{Statement: p.Base.Statement, Signatures: p.Base.Signatures})
	}
	r.Recent = append(slices.Clone(p.Base.Recent), p.Base.AcceptedRollout())
	if n := len(r.Recent); n > maxRecent {
		r.Recent = r.Recent[n-maxRecent:]
	}
}

// Approve adds the signature of a reviewer, or replaces an earlier one of the same
// reviewer. Its errors are those of Build.
func (p *Proposal) Approve(reviewer string, key ed25519.PrivateKey) error {
	root, _, err := p.Build()
	if err != nil {
		return err
	}
	p.Signatures = slices.DeleteFunc(p.Signatures, func(s Signature) bool { return s.Reviewer == reviewer })
	p.Signatures = append(p.Signatures, root.Sign(reviewer, key))
	return nil
}
