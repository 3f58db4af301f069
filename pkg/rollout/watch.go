package rollout

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fescuecourse/fescuecourse/pkg/kv"
	"github.com/fescuecourse/fescuecourse/pkg/wait"
)

// Intervals of the watch on the root record.
const (
	// pollInterval bounds the delay if a watch delivers nothing although the
	// root has changed.
	pollInterval = 30 * time.Second
	// fetchSpread spreads the reads of all entries after a change.
	fetchSpread = time.Second
	// watchPauseMin and watchPauseMax bound the pause before the root is read
	// again. The longest pause leaves time to adopt a bundle within 8 s.
	watchPauseMin = 100 * time.Millisecond
	watchPauseMax = 3 * time.Second
	// stableWatch is how long a watch must last before its end resets the backoff.
	// It is below the time after which a watch without messages ends, because
	// with muted watches the pause would grow to its maximum, and a new bundle
	// would become active later than 8 s after its acceptance.
	stableWatch = 4 * time.Second
)

// Run keeps the active bundle up to date from the key-value service until ctx
// ends. Only entries run it.
func (s *Syncer) Run(ctx context.Context, store kv.Store) {
	pause := newBackoff(watchPauseMin, watchPauseMax)
	for ctx.Err() == nil {
		revision, err := s.Sync(ctx, store)
		if err == nil {
			started := time.Now()
			err = s.watch(ctx, store, revision+1)
			if time.Since(started) >= stableWatch {
				pause.Reset()
			}
		}
		if err != nil && ctx.Err() == nil {
			s.log.Warn().Err(err).Msg("bundle could not be synchronized")
		}
		if !wait.For(ctx, pause.NextBackOff()) {
			return
		}
	}
}

// Sync reads the root and adopts it if it is higher. It reads again if a part
// is missing because a newer root has replaced the one that was read. It returns
// the revision of the store.
func (s *Syncer) Sync(ctx context.Context, store kv.Store) (int64, error) {
	last := int64(0)
	for {
		pairs, revision, err := store.List(ctx, RootKey)
		if err != nil {
			return 0, errors.Wrap(err, "read root")
		}
		root := rootPair(pairs)
		err = s.take(ctx, store, root)
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

func rootPair(pairs []kv.Pair) kv.Pair {
	for _, p := range pairs {
		if p.Key == RootKey {
			return p
		}
	}
	return kv.Pair{}
}

// take fetches the missing parts of a root and adopts it.
func (s *Syncer) take(ctx context.Context, store kv.Store, p kv.Pair) error {
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

// watch adopts each new root. It returns when the watch ends or the poll is due.
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
			if !wait.For(ctx, jitter(fetchSpread)) {
				return nil
			}
			err := s.take(ctx, store, latest(events, e.Pair))
			if errors.Is(err, kv.ErrNotFound) {
				_, err = s.Sync(ctx, store)
			}
			if err != nil {
				return err
			}
		}
	}
}

// latest skips to the last of the events that have arrived, so that a node that
// is behind does not fetch the parts of every version in between.
func latest(events <-chan kv.Event, p kv.Pair) kv.Pair {
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
