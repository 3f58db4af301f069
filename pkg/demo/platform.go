package demo

import (
	"context"
	"crypto/ed25519"
	"crypto/sha256"
	"encoding/base64"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fescuecourse/fescuecourse/pkg/bundle"
	"github.com/fescuecourse/fescuecourse/pkg/kv"
	"github.com/fescuecourse/fescuecourse/pkg/kv/etcd"
	"github.com/fescuecourse/fescuecourse/pkg/node"
	"github.com/fescuecourse/fescuecourse/pkg/rollout"
	"github.com/fescuecourse/fescuecourse/standin/kvstore"
)

// rolloutTimeout bounds the rollout of one bundle.
const rolloutTimeout = 10 * time.Second

// reviewerNames are the reviewers of the demo's bundles.
var reviewerNames = []string{"alice", "bob"}

// reviewerKey returns the private key of a demo reviewer. It is derived from the
// name, so it is not secret.
func reviewerKey(name string) ed25519.PrivateKey {
	seed := sha256.Sum256([]byte("demo reviewer " + name))
	return ed25519.NewKeyFromSeed(seed[:])
}

// reviewersText returns the reviewer sections of the demo's bundles.
func reviewersText() string {
	var b strings.Builder
	for _, name := range reviewerNames {
		public, _ := reviewerKey(name).Public().(ed25519.PublicKey) // the public key always has this type
		fmt.Fprintf(&b, "[reviewer %q]\npublic_key = %s\n\n", name, base64.StdEncoding.EncodeToString(public))
	}
	return b.String()
}

// startKV starts the key-value service and rolls out the first bundle.
func (c *Cluster) startKV(ctx context.Context) error {
	reviewerSet, found := bundle.ParseReviewers("demo", reviewersText())
	if found != nil {
		return found
	}
	c.reviewers = reviewerSet
	server, err := kvstore.New("127.0.0.1:0")
	if err != nil {
		return err
	}
	c.KV = server
	c.kvProcess = startProcess(server.Run)
	c.root, err = c.Rollout(ctx, c.store(), BundleText(c.Opts), "demo", nil)
	return err
}

// Rollout proposes, approves and rolls out a bundle as the successor of base, which
// is nil for the first bundle. It returns the accepted root record.
func (c *Cluster) Rollout(ctx context.Context, store kv.Store, text, operator string, base *bundle.Root) (*bundle.Root, error) {
	ctx, cancel := context.WithTimeout(ctx, rolloutTimeout)
	defer cancel()
	p, err := bundle.Propose("demo", text, operator, base)
	if err != nil {
		return nil, errors.Wrap(err, "propose bundle")
	}
	for _, name := range reviewerNames {
		if err := p.Approve(name, reviewerKey(name)); err != nil {
			return nil, errors.Wrap(err, "approve bundle")
		}
	}
	root, err := rollout.Rollout(ctx, store, p, c.reviewers)
	return root, errors.Wrap(err, "roll out bundle")
}

// store returns a client of the key-value service.
func (c *Cluster) store() kv.Store { return etcd.New(c.KV.Addr(), etcd.Options{}) }

func (c *Cluster) nodePlatform(s kv.Store) node.Dependencies {
	return node.Dependencies{Store: s, Reviewers: c.reviewers, Log: c.Opts.Log}
}

// processStore is the key-value client of one process. Its transactions and lease
// calls fail once the process is killed, so that a crash does not release the engine
// lease, and they block while the process is paused.
type processStore struct {
	kv.Store
	killed atomic.Bool

	mu     sync.Mutex
	paused chan struct{}
}

// pause blocks transactions and lease calls until resume.
func (s *processStore) pause() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.paused == nil {
		s.paused = make(chan struct{})
	}
}

func (s *processStore) resume() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.paused != nil {
		close(s.paused)
		s.paused = nil
	}
}

// waitUsable blocks while the process is paused. It returns kv.ErrUnavailable once
// the process is killed.
func (s *processStore) waitUsable() error {
	s.mu.Lock()
	paused := s.paused
	s.mu.Unlock()
	if paused != nil {
		<-paused
	}
	if s.killed.Load() {
		return kv.ErrUnavailable
	}
	return nil
}

// Txn implements kv.Store.
func (s *processStore) Txn(ctx context.Context, t kv.Txn) (kv.TxnResult, error) {
	if err := s.waitUsable(); err != nil {
		return kv.TxnResult{}, err
	}
	return s.Store.Txn(ctx, t)
}

// Grant implements kv.Store.
func (s *processStore) Grant(ctx context.Context, ttl time.Duration) (kv.LeaseID, error) {
	if err := s.waitUsable(); err != nil {
		return 0, err
	}
	return s.Store.Grant(ctx, ttl)
}

// KeepAlive implements kv.Store.
func (s *processStore) KeepAlive(ctx context.Context, id kv.LeaseID) (time.Duration, error) {
	if err := s.waitUsable(); err != nil {
		return 0, err
	}
	return s.Store.KeepAlive(ctx, id)
}

// Revoke implements kv.Store.
func (s *processStore) Revoke(ctx context.Context, id kv.LeaseID) error {
	if err := s.waitUsable(); err != nil {
		return err
	}
	return s.Store.Revoke(ctx, id)
}
