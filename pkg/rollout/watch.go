package rollout

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fescuecourse/fescuecourse/pkg/kv"
	"github.com/fescuecourse/fescuecourse/pkg/wait"
)

// Intervals for following the root record in the key-value store.
const (
	// pollInterval limits the delay of an update if a watch stays open but does not
	// deliver it.
	pollInterval = 30 * time.Second
	// maxFetchDelay spreads the reads of all entries after a change.
	maxFetchDelay = time.Second
	// watchBackoffMin and watchPauseMax bound the pause before the root is read
	// again. The longest pause leaves time to adopt a bundle within 8 s.
	watchBackoffMin = 100 * time.Millisecond
	watchBackoffMax = 3 * time.Second
	// minStableWatch is how long a watch must last before its end resets the backoff.
	// It is below the time after which a watch without messages ends, because
	// with muted watches the pause would grow to its maximum, and a new bundle
	// would become active later than 8 s after its acceptance.
	minStableWatch = 4 * time.Second
)

// Run keeps the active bundle up to date with the key-value store until ctx ends. It
// logs errors and retries. Only entries call it; endpoints get bundles from entries.
func (s *Syncer) Run(ctx context.Context, store kv.Store) {
	pause := newBackoff(watchBackoffMin, watchBackoffMax)
	for ctx.Err() == nil {
		revision, err := s.Sync(ctx, store)
		if err == nil {
			started := time.Now()
			err = s.watch(ctx, store, revision+1)
			if time.Since(started) >= minStableWatch {
				pause.Reset()
			}
		}
		if err != nil && ctx.Err() == nil {
			s.log.Warn().Err(err).Msg("cannot update the bundle from the key-value store")
		}
		if !wait.For(ctx, pause.NextBackOff()) {
			return
		}
	}
}

// Sync reads the root record and adopts its bundle if the version is higher than the
// active one. It reads again if a part is missing because a newer root has replaced
// the one that was read. It returns the store revision of the read.
func (s *Syncer) Sync(ctx context.Context, store kv.Store) (int64, error) {
	last := int64(0)
	for {
		pairs, revision, err := store.List(ctx, RootKey)
		if err != nil {
			return 0, errors.Wrap(err, "read root")
		}
		root := findRoot(pairs)
		err = s.adoptPair(ctx, store, root)
		if errors.Is(err, kv.ErrNotFound) && root.ModRevision > last {
			last = root.ModRevision
			continue
		}
		if err != nil {
			return 0, err
		}
		return revision, nil
	}
}

func findRoot(pairs []kv.Pair) kv.Pair {
	for _, p := range pairs {
		if p.Key == RootKey {
			return p
		}
	}
	return kv.Pair{}
}

// adoptPair fetches the missing parts of a root and adopts it.
func (s *Syncer) adoptPair(ctx context.Context, store kv.Store, p kv.Pair) error {
	if p.Key != RootKey {
		return nil
	}
	_, names, err := s.Check(p.Value)
	if errors.Is(err, ErrVersionNotHigher) {
		return nil
	}
	if err != nil {
		return err
	}
	parts := make(map[string]string, len(names))
	for _, name := range names {
		content, err := readPart(ctx, store, name)
		if err != nil {
			return err
		}
		parts[name] = content
	}
	err = s.Adopt(p.Value, parts)
	if errors.Is(err, ErrVersionNotHigher) {
		return nil
	}
	return err
}

// watch adopts the bundle of each new root. It returns when the watch ends or after
// about pollInterval.
func (s *Syncer) watch(ctx context.Context, store kv.Store, revision int64) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	events, err := store.Watch(ctx, RootKey, revision)
	if err != nil {
		return errors.Wrap(err, "watch root")
	}
	poll := time.NewTimer(jitter(pollInterval))
	defer poll.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-poll.C:
			return nil
		case e, ok := <-events:
			if !ok {
				return nil
			}
			if e.Type != kv.EventPut {
				continue
			}
			if !wait.For(ctx, jitter(maxFetchDelay)) {
				return nil
			}
			err := s.adoptPair(ctx, store, latestPut(events, e.Pair))
			if errors.Is(err, kv.ErrNotFound) {
				_, err = s.Sync(ctx, store)
			}
			if err != nil {
				return err
			}
		}
	}
}

// latestPut skips to the last of the events that have arrived, so that a node that
// is behind does not fetch the parts of every version in between.
func latestPut(events <-chan kv.Event, p kv.Pair) kv.Pair {
	for {
		select {
		case e, ok := <-events:
			if !ok {
				return p
			}
			if e.Type == kv.EventPut {
				p = e.Pair
			}
		default:
			return p
		}
	}
}
