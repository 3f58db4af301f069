package admin

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/go-chi/chi/v5"

	"github.com/fescuecourse/fescuecourse/pkg/bundle"
	"github.com/fescuecourse/fescuecourse/pkg/rollout"
)

// PendingProposal is a proposal that awaits signatures, with the hash that reviewers
// sign and the names of the trusted reviewers who have signed it.
type PendingProposal struct {
	Proposal *bundle.Proposal `json:"proposal"`
	Hash     string           `json:"hash"`
	Signers  []string         `json:"signers"`
}

// Approval is a request to add a reviewer's signature to a proposal.
type Approval struct {
	Proposal  *bundle.Proposal `json:"proposal"`
	Signature bundle.Signature `json:"signature"`
}

// put proposes a bundle with a new or replaced item.
func (s *Server) put(w http.ResponseWriter, r *http.Request) {
	item := Item{}
	if err := json.NewDecoder(r.Body).Decode(&item); err != nil {
		writeError(w, errors.Wrap(err, "decode item"))
		return
	}
	s.propose(w, r, sectionKind(chi.URLParam(r, "collection")), chi.URLParam(r, "*"), &item)
}

// remove proposes a bundle without the item.
func (s *Server) remove(w http.ResponseWriter, r *http.Request) {
	s.propose(w, r, sectionKind(chi.URLParam(r, "collection")), chi.URLParam(r, "*"), nil)
}

// propose responds with a proposal for the next bundle version, in which item replaces
// the section with the given kind and name, or the section is removed if item is nil.
func (s *Server) propose(w http.ResponseWriter, r *http.Request, kind, name string, item *Item) {
	a, err := s.activeBundle(kind)
	if err != nil {
		writeError(w, err)
		return
	}
	text, err := nextBundleText(a, kind, name, item)
	if err != nil {
		writeError(w, err)
		return
	}
	p, err := bundle.Propose("proposal", text, r.Header.Get(HeaderReviewer), a.Root)
	if err != nil {
		writeError(w, err)
		return
	}
	s.writePending(w, http.StatusCreated, p)
}

// nextBundleText returns the text of the next bundle version with one section replaced,
// added, or removed if item is nil. It returns errNotFound if the section to remove
// does not exist.
func nextBundleText(a *rollout.ActiveBundle, kind, name string, item *Item) (string, error) {
	sections, err := activeSections(a)
	if err != nil {
		return "", err
	}
	same := func(sec bundle.Section) bool { return sec.Kind == kind && sec.Name == name }
	if item == nil && !slices.ContainsFunc(sections, same) {
		return "", errNotFound
	}
	sections = slices.DeleteFunc(sections, same)
	if item != nil {
		sec, err := newSection(kind, name, item)
		if err != nil {
			return "", err
		}
		sections = append(sections, sec)
	}
	return bundle.Format(sections), nil
}

// activeSections returns the sections of the active bundle with the version number
// incremented.
func activeSections(a *rollout.ActiveBundle) ([]bundle.Section, error) {
	parts := make([]bundle.Part, 0, len(a.Root.Parts))
	for _, n := range a.Root.Parts {
		parts = append(parts, bundle.Part{Name: n, Content: a.Parts[n]})
	}
	text, err := bundle.Join(a.Root.Version, parts)
	if err != nil {
		return nil, err
	}
	sections, found := bundle.Sections("bundle", text)
	for i := range sections {
		if sections[i].Kind == "bundle" {
			sections[i].Keys = []bundle.Key{{Name: "version", Value: strconv.FormatUint(uint64(a.Root.Version)+1, 10)}}
		}
	}
	return sections, found.Err()
}

// newSection converts an item to a section. It rejects names and values with characters
// that would add lines, sections or comments to the text.
func newSection(kind, name string, item *Item) (bundle.Section, error) {
	sec := bundle.Section{Kind: kind, Name: name}
	unsafe := strings.ContainsAny(name, "\r\n\"[]") || name == ""
	for _, f := range item.Fields {
		unsafe = unsafe || strings.ContainsAny(f.Name, "\r\n=[];#") || strings.ContainsAny(f.Value, "\r\n;#") || f.Name == ""
		sec.Keys = append(sec.Keys, bundle.Key{Name: f.Name, Value: f.Value})
	}
	if unsafe {
		return sec, errors.New("name or value has characters that are not allowed")
	}
	return sec, nil
}

// writePending responds with a proposal, its hash and the trusted reviewers who have
// signed it.
func (s *Server) writePending(w http.ResponseWriter, code int, p *bundle.Proposal) {
	root, _, err := p.Build()
	if err != nil {
		writeError(w, err)
		return
	}
	signers := root.Signers(s.trustedReviewers(), root.Signatures)
	writeJSON(w, code, PendingProposal{Proposal: p, Hash: root.Hash(), Signers: append([]string{}, signers...)})
}

// approve adds a signature to a proposal if it is valid and from a trusted reviewer. It
// replaces an earlier signature of the same reviewer.
func (s *Server) approve(w http.ResponseWriter, r *http.Request) {
	a := Approval{}
	if err := json.NewDecoder(r.Body).Decode(&a); err != nil {
		writeError(w, errors.Wrap(err, "decode approval"))
		return
	}
	if a.Proposal == nil {
		writeError(w, errors.New("approval has no proposal"))
		return
	}
	root, _, err := a.Proposal.Build()
	if err != nil {
		writeError(w, err)
		return
	}
	if len(root.Signers(s.trustedReviewers(), []bundle.Signature{a.Signature})) == 0 {
		writeError(w, errors.Wrap(bundle.ErrUnverified, "signature is not valid"))
		return
	}
	p := a.Proposal
	p.Signatures = slices.DeleteFunc(p.Signatures, func(o bundle.Signature) bool { return o.Reviewer == a.Signature.Reviewer })
	p.Signatures = append(p.Signatures, a.Signature)
	s.writePending(w, http.StatusOK, p)
}

// rollout rolls out a proposal, which becomes the accepted bundle if two trusted
// reviewers have signed it.
func (s *Server) rollout(w http.ResponseWriter, r *http.Request) {
	p := &bundle.Proposal{}
	if err := json.NewDecoder(r.Body).Decode(p); err != nil {
		writeError(w, errors.Wrap(err, "decode proposal"))
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), rolloutTimeout)
	defer cancel()
	root, err := rollout.Rollout(ctx, s.store, p, s.initialReviewers)
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, root.AcceptedRollout())
}
