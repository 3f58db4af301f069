package kvstore_test

import (
	"context"
	"net/http/httptrace"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fescuecourse/fescuecourse/pkg/kv"
	"github.com/fescuecourse/fescuecourse/pkg/kv/etcd"
	"github.com/fescuecourse/fescuecourse/standin/kvstore"
)

// never is a timeout that is not reached even on a busy host, soon one that an
// injected fault reaches quickly.
const (
	never = time.Minute
	soon  = 50 * time.Millisecond
)

func start(t *testing.T) *kvstore.Server {
	t.Helper()
	s, err := kvstore.New("127.0.0.1:0")
	assert.NilError(t, err)
	s.ProgressInterval = 20 * time.Millisecond
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- s.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		assert.NilError(t, <-done)
	})
	return s
}

func client(t *testing.T, s *kvstore.Server, callTimeout, silence time.Duration) *etcd.Client {
	t.Helper()
	c := etcd.New(s.Addr(), etcd.Options{CallTimeout: callTimeout, WatchIdleTimeout: silence})
	t.Cleanup(c.Close)
	return c
}

func put(key, value string, rev int64, lease kv.LeaseID) kv.Txn {
	return kv.Txn{
		Compares:  []kv.Compare{{Key: key, ModRevision: rev}},
		Ops:       []kv.Op{{Type: kv.OpPut, Key: key, Value: []byte(value), Lease: lease}},
		OnFailure: []string{key, "/absent"},
	}
}

// Guards against a call that the client or the server encodes or maps wrongly.
func TestCallsOverLoopback(t *testing.T) {
	s := start(t)
	c := client(t, s, never, never)
	ctx := context.Background()
	_, err := c.Get(ctx, "/a/1")
	assert.ErrorIs(t, err, kv.ErrNotFound)
	events, err := c.Watch(ctx, "/a/", 0)
	assert.NilError(t, err)
	first, err := c.Txn(ctx, put("/a/1", "one", 0, 0))
	assert.NilError(t, err)
	assert.Assert(t, first.Succeeded)
	again, err := c.Txn(ctx, put("/a/1", "two", 0, 0))
	assert.NilError(t, err)
	assert.Assert(t, !again.Succeeded)
	assert.Equal(t, len(again.Read), 1)
	assert.Equal(t, string(again.Read[0].Value), "one")
	assert.Equal(t, again.Read[0].ModRevision, first.Revision)
	id, err := c.Grant(ctx, 900*time.Millisecond)
	assert.NilError(t, err)
	_, err = c.Txn(ctx, put("/a/2", "", 0, id))
	assert.NilError(t, err)
	ttl, err := c.KeepAlive(ctx, id)
	assert.NilError(t, err)
	assert.Equal(t, ttl, time.Second)
	list, rev, err := c.List(ctx, "/a/")
	assert.NilError(t, err)
	assert.Equal(t, len(list), 2)
	assert.Equal(t, list[1].Lease, id)
	assert.Assert(t, rev > first.Revision)
	assert.NilError(t, c.Revoke(ctx, id))
	assert.ErrorIs(t, c.Revoke(ctx, id), kv.ErrLeaseNotFound)
	_, err = c.KeepAlive(ctx, id)
	assert.ErrorIs(t, err, kv.ErrLeaseNotFound)
	_, err = c.Txn(ctx, put("/a/3", "", 0, id))
	assert.ErrorIs(t, err, kv.ErrLeaseNotFound)
	old, err := c.Watch(ctx, "/a/", first.Revision)
	assert.NilError(t, err)
	for _, ch := range []<-chan kv.Event{events, old} {
		e1, e2, e3 := <-ch, <-ch, <-ch
		assert.Equal(t, string(e1.Pair.Value), "one")
		assert.Equal(t, e2.Pair.Key, "/a/2")
		assert.Equal(t, e3.Type, kv.EventDelete)
		assert.Equal(t, e3.Pair.Key, "/a/2")
	}
	assert.DeepEqual(t, s.Counts(), kvstore.Counts{Range: 2, Txn: 4, Grant: 1, KeepAlive: 2, Revoke: 2, Watch: 2})
}

// reused makes a call and reports whether it used an existing connection.
func reused(t *testing.T, c *etcd.Client) bool {
	t.Helper()
	var info httptrace.GotConnInfo
	trace := &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) { info = i }}
	_, err := c.Get(httptrace.WithClientTrace(context.Background(), trace), "/a")
	assert.NilError(t, err)
	return info.Reused
}

// Guards against a client that reports a lost reply or an outage as a definite
// result, that reuses a connection after a timeout, or whose watch waits forever on a
// connection without data.
func TestFaultsOverLoopback(t *testing.T) {
	s := start(t)
	c := client(t, s, never, never)
	ctx := context.Background()
	s.SetFaults(kvstore.Faults{LoseReplies: 1})
	_, err := c.Txn(ctx, put("/a", "one", 0, 0))
	assert.ErrorIs(t, err, kv.ErrUnavailable)
	p, err := c.Get(ctx, "/a")
	assert.NilError(t, err)
	assert.Equal(t, string(p.Value), "one")
	events, err := c.Watch(ctx, "/a", 0)
	assert.NilError(t, err)
	s.SetFaults(kvstore.Faults{Down: true})
	_, err = c.Txn(ctx, put("/a", "two", p.ModRevision, 0))
	assert.ErrorIs(t, err, kv.ErrUnavailable)
	_, open := <-events
	assert.Assert(t, !open)
	s.SetFaults(kvstore.Faults{Delay: time.Hour})
	short, cancel := context.WithTimeout(ctx, soon)
	defer cancel()
	_, err = c.KeepAlive(short, 1)
	assert.ErrorIs(t, err, kv.ErrUnavailable)
	s.SetFaults(kvstore.Faults{})
	assert.Assert(t, !reused(t, c))
	assert.Assert(t, reused(t, c))
	events, err = client(t, s, never, soon).Watch(ctx, "/a", 0)
	assert.NilError(t, err)
	s.SetFaults(kvstore.Faults{MuteWatches: true})
	_, err = c.Txn(ctx, put("/a", "three", p.ModRevision, 0))
	assert.NilError(t, err)
	for range events {
		t.Fatal("a muted watch delivered an event")
	}
	_, err = client(t, s, soon, never).Watch(ctx, "/a", 0)
	assert.ErrorIs(t, err, kv.ErrUnavailable)
}
