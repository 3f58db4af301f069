package bundle

import (
	"bytes"
	"crypto/ed25519"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"os"
	"slices"

	"github.com/cockroachdb/errors"

	"github.com/fescuecourse/fescuecourse/pkg/findings"
	"github.com/fescuecourse/fescuecourse/pkg/ident"
)

// Limits of root records.
const (
	// MaxRootBytes is the value limit of the key-value service, 1 MB.
	MaxRootBytes = 1 << 20
	// RequiredReviewers is the number of different reviewers that must sign.
	RequiredReviewers = 2
	// maxRecent is how many earlier accepted rollouts a root record lists.
	maxRecent = 32
)

// Errors of root records.
var (
	ErrMalformedRoot = errors.New("root record is malformed")
	ErrUnverified    = errors.New("root record is not signed by two trusted reviewers")
)

// Reviewer is a person who may approve bundles, with the public key for their
// signatures.
type Reviewer struct {
	Name string            `json:"name"`
	Key  ed25519.PublicKey `json:"key"`
}

// Reviewers is a set of reviewers, sorted by name.
type Reviewers []Reviewer

// Equal reports whether both sets have the same names and keys.
func (r Reviewers) Equal(o Reviewers) bool {
	return slices.EqualFunc(r, o, func(a, b Reviewer) bool { return a.Name == b.Name && bytes.Equal(a.Key, b.Key) })
}

// Signature is one reviewer's signature over a Statement.
type Signature struct {
	Reviewer string `json:"reviewer"`
	Value    []byte `json:"value"`
}

// Statement holds the signed fields of a root record.
type Statement struct {
	Version   ident.BundleVersion `json:"version"`
	RolloutID string              `json:"rollout_id"`
	Operator  string              `json:"operator"`
	// PartsHash is the SHA-256 of the list of part names.
	PartsHash string `json:"parts_hash"`
	// Previous is the hash of the previous statement, empty in version 1.
	Previous string `json:"previous"`
	// Reviewers are the reviewers that the bundle defines. They approve the next
	// version.
	Reviewers Reviewers `json:"reviewers"`
}

// payload returns the bytes that Hash hashes.
func (s *Statement) payload() []byte {
	raw, _ := json.Marshal(s) // never fails for these types
	return append([]byte("fescue-bundle-root-v1\n"), raw...)
}

// Hash returns the SHA-256 of the signed fields in hexadecimal.
func (s *Statement) Hash() string {
	sum := sha256.Sum256(s.payload())
	return hex.EncodeToString(sum[:])
}

// Sign returns a reviewer's signature over the hash of the signed fields.
func (s *Statement) Sign(reviewer string, key ed25519.PrivateKey) Signature {
	return Signature{Reviewer: reviewer, Value: ed25519.Sign(key, []byte(s.Hash()))}
}

// Signers returns the names of the trusted reviewers with a valid signature, without
// duplicates. Of reviewers who share a key, it returns only one.
func (s *Statement) Signers(trusted Reviewers, signatures []Signature) []string {
	hash := []byte(s.Hash())
	var names []string
	var keys []ed25519.PublicKey
	for _, sig := range signatures {
		for _, r := range trusted {
			known := slices.Contains(names, r.Name) || slices.ContainsFunc(keys, func(k ed25519.PublicKey) bool { return k.Equal(r.Key) })
			if r.Name != sig.Reviewer || known || len(r.Key) != ed25519.PublicKeySize || !ed25519.Verify(r.Key, hash, sig.Value) {
				continue
			}
			names = append(names, r.Name)
			keys = append(keys, r.Key)
		}
	}
	return names
}

// ReviewerChange is an earlier statement that changed the reviewers.
type ReviewerChange struct {
	Statement  Statement   `json:"statement"`
	Signatures []Signature `json:"signatures"`
}

// AcceptedRollout identifies one accepted rollout.
type AcceptedRollout struct {
	Version   ident.BundleVersion `json:"version"`
	RolloutID string              `json:"rollout_id"`
	Operator  string              `json:"operator"`
}

// Root is the root record of one bundle version. Parts lists the names of its parts.
// Chain lists the earlier statements that changed the reviewers, so that a node that
// missed versions can verify the current reviewers from the ones it trusts. Recent
// lists the latest accepted rollouts before this one, so that an operator who got no
// reply can find out which rollout was accepted. Recent is not signed.
type Root struct {
	Statement
	Parts      []string          `json:"parts"`
	Signatures []Signature       `json:"signatures"`
	Chain      []ReviewerChange  `json:"chain,omitempty"`
	Recent     []AcceptedRollout `json:"recent,omitempty"`
}

// AcceptedRollout returns the fields that identify the rollout of the record.
func (r *Root) AcceptedRollout() AcceptedRollout {
	return AcceptedRollout{Version: r.Version, RolloutID: r.RolloutID, Operator: r.Operator}
}

// PartsHash returns the SHA-256, in hexadecimal, of a list of part names.
func PartsHash(names []string) string {
	raw, _ := json.Marshal(names) // never fails for strings
	sum := sha256.Sum256(raw)
	return hex.EncodeToString(sum[:])
}

// Encode returns the stored form of the record, which is JSON. It returns ErrTooLarge
// if it exceeds MaxRootBytes.
func (r *Root) Encode() ([]byte, error) {
	raw, err := json.Marshal(r)
	if err == nil && len(raw) > MaxRootBytes {
		err = errors.Wrapf(ErrTooLarge, "root record with %d bytes", len(raw))
	}
	return raw, err
}

// DecodeRoot decodes a stored record. It does not check signatures. It returns
// ErrTooLarge or ErrMalformedRoot.
func DecodeRoot(raw []byte) (*Root, error) {
	if len(raw) > MaxRootBytes {
		return nil, errors.Wrapf(ErrTooLarge, "root record with %d bytes", len(raw))
	}
	r := &Root{}
	if err := json.Unmarshal(raw, r); err != nil {
		return nil, errors.Mark(err, ErrMalformedRoot)
	}
	if r.Version == 0 || len(r.Parts) == 0 || len(r.Parts) > MaxParts || r.PartsHash != PartsHash(r.Parts) {
		return nil, ErrMalformedRoot
	}
	return r, nil
}

// Verify checks that two different trusted reviewers signed the record, and returns
// ErrUnverified otherwise. The given reviewers are those that the caller trusts as of
// version since. Each statement in Chain with a later version that two trusted
// reviewers signed replaces the trusted reviewers by those that it lists.
func (r *Root) Verify(trusted Reviewers, since ident.BundleVersion) error {
	last := since
	for i := range r.Chain {
		l := &r.Chain[i]
		if l.Statement.Version <= last || l.Statement.Version >= r.Version {
			continue
		}
		if len(l.Statement.Signers(trusted, l.Signatures)) < RequiredReviewers {
			continue
		}
		trusted = l.Statement.Reviewers
		last = l.Statement.Version
	}
	if len(r.Signers(trusted, r.Signatures)) < RequiredReviewers {
		return errors.Wrapf(ErrUnverified, "version %d by %s", r.Version, r.Operator)
	}
	return nil
}

// TrustedReviewers returns the reviewers who must sign the version after r: those of
// r, or initialReviewers if r is nil or defines none.
func (r *Root) TrustedReviewers(initialReviewers Reviewers) Reviewers {
	if r == nil || len(r.Reviewers) == 0 {
		return initialReviewers
	}
	return r.Reviewers
}

// ReadReviewers reads an INI file that has only reviewer sections. It returns a
// wrapped file error or a findings.List.
func ReadReviewers(path string) (Reviewers, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read reviewers")
	}
	reviewers, found := ParseReviewers(path, string(text))
	return reviewers, found.Err()
}

// ParseReviewers parses INI text that has only reviewer sections. Findings refer to
// the text as file.
func ParseReviewers(file, text string) (Reviewers, findings.List) {
	p := newParser()
	p.file = file
	scan(file, text, &p.found, func(s *Section) {
		r := &sectionReader{p: p, s: s}
		if r.check(s.Kind == kindReviewer, "", "only reviewer sections are allowed here") {
			p.section(s)
		}
	})
	return p.b.Reviewers(), p.found
}
