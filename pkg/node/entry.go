package node

import (
	"context"
	"sync"
	"time"

	"github.com/fescuecourse/fescuecourse/pkg/admin"
	"github.com/fescuecourse/fescuecourse/pkg/bundle"
	"github.com/fescuecourse/fescuecourse/pkg/claims"
	"github.com/fescuecourse/fescuecourse/pkg/entry"
	"github.com/fescuecourse/fescuecourse/pkg/rollout"
)

// Entry is an entry process with its bundle, claim store and administration API.
type Entry struct {
	*entry.Entry
	dependencies Dependencies
	syncer       *rollout.Syncer
}

// NewEntry returns an entry process. It is not ready until it has received a bundle
// from the key-value service or from an endpoint. It returns an error if the entry
// cannot be created from the settings.
func NewEntry(set entry.Settings, deps Dependencies) (*Entry, error) {
	bundles := &rollout.Holder{}
	e, err := entry.New(set, bundles, deps.Log)
	if err != nil {
		return nil, err
	}
	n := &Entry{Entry: e, dependencies: deps, syncer: rollout.NewSyncer(bundles, deps.Reviewers, deps.Log)}
	n.UseSyncer(n.syncer)
	n.SetClaims(&claimStore{claims: claims.New(claims.Settings{Retention: retention(bundles)}, deps.Store)})
	n.SetAdmin(admin.New(n.syncer, deps.Store, deps.Reviewers, time.Now).Routes())
	return n, nil
}

// retention returns a function that reads the retention of idempotency keys from the
// active bundle, or the default if no bundle is active.
func retention(bundles *rollout.Holder) func() time.Duration {
	return func() time.Duration {
		if b := bundles.Current(); b != nil {
			return b.Deployment().KeyRetention
		}
		return bundle.DefaultKeyRetention
	}
}

// Run serves until ctx is done and returns after the drain. The bundle is kept up to
// date until then.
func (n *Entry) Run(ctx context.Context) error {
	syncCtx, stop := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	defer wg.Wait()
	defer stop()
	wg.Go(func() { n.syncer.Run(syncCtx, n.dependencies.Store) })
	return n.Entry.Run(ctx)
}
