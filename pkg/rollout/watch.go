package rollout

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fescuecourse/fescuecourse/pkg/kv"
	"github.com/fescuecourse/fescuecourse/pkg/wait"
)

// Intervals for following the root record in the key-value service.
const (
	// pollInterval limits the delay of an update if a watch stays open but does not
	// deliver it.
	pollInterval = 30 * time.Second
	// maxFetchDelay is the longest random delay before an entry fetches the parts of
	// a new root, so that the entries do not all read at the same time.
	maxFetchDelay = time.Second
	// watchBackoffMin and watchBackoffMax limit the delay between the end of a watch
	// and the next read of the root. The maximum leaves time to adopt a bundle
	// within 8 s.
	watchBackoffMin = 100 * time.Millisecond
	watchBackoffMax = 3 * time.Second
	// minStableWatch is how long a watch must last to reset the backoff. It is below
	// the idle timeout of watches, so that a watch that ends by this timeout resets the
	// backoff. Otherwise the delay would grow to its maximum while watches deliver no
	// messages, and a new bundle would become active more than 8 s after its
	// acceptance.
	minStableWatch = 4 * time.Second
)

// Run keeps the active bundle up to date with the key-value service until ctx ends. It
// logs errors and retries. Only entries call it; endpoints get bundles from entries.
func (s *Syncer) Run(ctx context.Context, store kv.Store) {
	backoff := newBackoff(watchBackoffMin, watchBackoffMax)
	for ctx.Err() == nil {
		revision, err := s.Sync(ctx, store)
		if err == nil {
			started := time.Now()
			err = s.watch(ctx, store, revision+1)
			if time.Since(started) >= minStableWatch {
				backoff.Reset()
			}
		}
		if err != nil && ctx.Err() == nil {
			s.log.Warn().Err(err).Msg("cannot update the bundle from the key-value service")
		}
		if !wait.For(ctx, backoff.NextBackOff()) {
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

// adoptPair fetches the missing parts of the root record in p and adopts the bundle.
// It ignores other keys and versions that are not above the active one.
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

// latestPut returns the last of the puts that have already arrived, or p if there are
// none, so that a node that is behind does not fetch the parts of every version.
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
