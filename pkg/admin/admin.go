// Package admin serves the administration API under /admin/v1/. The API changes the
// configuration only through proposals, which two reviewers must sign and which are
// rolled out by compare-and-swap. The server stores no proposals: clients send the
// whole proposal with each request.
package admin

import (
	"bytes"
	"context"
	"crypto/ed25519"
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-chi/chi/v5"

	"github.com/fescuecourse/fescuecourse/pkg/bundle"
	"github.com/fescuecourse/fescuecourse/pkg/connlimit"
	"github.com/fescuecourse/fescuecourse/pkg/findings"
	"github.com/fescuecourse/fescuecourse/pkg/kv"
	"github.com/fescuecourse/fescuecourse/pkg/rollout"
)

// Headers of a signed request.
const (
	HeaderReviewer = "Fescue-Reviewer"
	// HeaderTime holds seconds since the Unix epoch.
	HeaderTime      = "Fescue-Time-S"
	HeaderBodyHash  = "Fescue-Content-Sha256"
	HeaderSignature = "Fescue-Signature"
)

// Limits of requests.
const (
	// maxBodyBytes bounds a proposal, which holds the text of a bundle.
	maxBodyBytes = 32 << 20
	// maxSkew is the largest accepted difference between the time of a request and
	// the clock of the node.
	maxSkew = 2 * time.Minute
	// rolloutTimeout bounds a rollout, which repeats calls that got no response. The
	// result of a rollout that times out is unknown.
	rolloutTimeout = 30 * time.Second
)

// Server serves the administration API.
type Server struct {
	syncer           *rollout.Syncer
	store            kv.Store
	initialReviewers bundle.Reviewers
	now              func() time.Time
	// semaphore has a capacity of one and admits one request at a time.
	semaphore chan struct{}
}

// New returns a server that reads the active bundle from syncer s and writes rollouts
// to store. The initial reviewers are trusted until a bundle is active.
func New(s *rollout.Syncer, store kv.Store, initialReviewers bundle.Reviewers, now func() time.Time) *Server {
	return &Server{syncer: s, store: store, initialReviewers: initialReviewers, now: now, semaphore: make(chan struct{}, 1)}
}

// Routes returns the handler of all paths under /admin/v1/.
func (s *Server) Routes() http.Handler {
	r := chi.NewRouter()
	r.Route("/admin/v1", func(r chi.Router) {
		r.Use(s.authenticate)
		r.Get("/bundle", s.getBundle)
		r.Get("/priorities/{team}", s.getPriority)
		r.Put("/priorities/{team}", s.putPriority)
		r.Post("/approvals", s.approve)
		r.Post("/rollouts", s.rollout)
		r.Get("/{collection}", s.list)
		r.Get("/{collection}/*", s.get)
		r.Put("/{collection}/*", s.put)
		r.Delete("/{collection}/*", s.remove)
	})
	return r
}

// SignRequest sets the headers that authenticate a reviewer. The signature covers the
// method, the path with the query, the time and the hash of the body.
func SignRequest(r *http.Request, reviewer string, key ed25519.PrivateKey, now time.Time, body []byte) {
	seconds := strconv.FormatInt(now.Unix(), 10)
	r.Header.Set(HeaderReviewer, reviewer)
	r.Header.Set(HeaderTime, seconds)
	r.Header.Set(HeaderBodyHash, hexSHA256(body))
	r.Header.Set(HeaderSignature, base64.StdEncoding.EncodeToString(ed25519.Sign(key, signedPayload(r))))
}

func hexSHA256(body []byte) string {
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:])
}

func signedPayload(r *http.Request) []byte {
	lines := []string{"fescue-admin-v1", r.Method, r.URL.RequestURI(), r.Header.Get(HeaderTime), r.Header.Get(HeaderBodyHash)}
	return []byte(strings.Join(lines, "\n"))
}

// authenticate rejects requests that no trusted reviewer has signed. It verifies the
// signature before it reads the body. It admits one request at a time to bound memory,
// because each body may contain the text of a bundle.
func (s *Server) authenticate(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !s.hasValidSignature(r) {
			writeProblem(w, http.StatusUnauthorized, errors.New("request is not signed by a trusted reviewer"))
			return
		}
		select {
		case s.semaphore <- struct{}{}:
			defer func() { <-s.semaphore }()
		case <-r.Context().Done():
			return
		}
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
		connlimit.Of(r.Context()).EndBody()
		if err != nil {
			writeProblem(w, http.StatusRequestEntityTooLarge, errors.Wrap(err, "read request"))
			return
		}
		if hexSHA256(body) != r.Header.Get(HeaderBodyHash) {
			writeProblem(w, http.StatusUnauthorized, errors.New("body does not match its signed hash"))
			return
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
		next.ServeHTTP(w, r)
	})
}

func (s *Server) hasValidSignature(r *http.Request) bool {
	at, err := strconv.ParseInt(r.Header.Get(HeaderTime), 10, 64)
	if err != nil || s.now().Sub(time.Unix(at, 0)).Abs() > maxSkew {
		return false
	}
	signature, err := base64.StdEncoding.DecodeString(r.Header.Get(HeaderSignature))
	if err != nil {
		return false
	}
	for _, rev := range s.trustedReviewers() {
		if rev.Name == r.Header.Get(HeaderReviewer) && ed25519.Verify(rev.Key, signedPayload(r), signature) {
			return true
		}
	}
	return false
}

func (s *Server) trustedReviewers() bundle.Reviewers {
	if a := s.syncer.ActiveBundle(); a != nil {
		return a.Root.TrustedReviewers(s.initialReviewers)
	}
	return s.initialReviewers
}

// Problem is the body of an error response. Findings is set if the proposed bundle is
// invalid, and Winner if a different rollout was accepted instead.
type Problem struct {
	Message  string                  `json:"message"`
	Findings findings.List           `json:"findings,omitempty"`
	Winner   *bundle.AcceptedRollout `json:"winner,omitempty"`
}

func writeProblem(w http.ResponseWriter, code int, err error) {
	p := Problem{Message: err.Error()}
	conflict := &rollout.ConflictError{}
	if errors.As(err, &p.Findings) {
		p.Message = "bundle has findings"
	}
	if errors.As(err, &conflict) {
		p.Winner = &conflict.Winner
	}
	writeJSON(w, code, p)
}

func writeJSON(w http.ResponseWriter, code int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	_ = json.NewEncoder(w).Encode(v) // the client may have disconnected
}

// writeError responds with an error and the status code for it, which is 400 unless
// the error has a more specific one.
func writeError(w http.ResponseWriter, err error) {
	conflict := &rollout.ConflictError{}
	found := findings.List{}
	code := http.StatusBadRequest
	switch {
	case errors.Is(err, errNotFound):
		code = http.StatusNotFound
	case errors.As(err, &conflict):
		code = http.StatusConflict
	case errors.As(err, &found):
		code = http.StatusUnprocessableEntity
	case errors.Is(err, bundle.ErrUnverified):
		code = http.StatusForbidden
	case errors.Is(err, rollout.ErrResultUnknown):
		code = http.StatusGatewayTimeout
	case errors.Is(err, errNoBundle), errors.Is(err, kv.ErrUnavailable), errors.Is(err, context.DeadlineExceeded):
		code = http.StatusServiceUnavailable
	}
	writeProblem(w, code, err)
}
