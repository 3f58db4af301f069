package etcd_test

import (
	"testing"
	"time"

	"github.com/fescuecourse/fescuecourse/internal/malformedtest"
	"github.com/fescuecourse/fescuecourse/pkg/kv"
	"github.com/fescuecourse/fescuecourse/pkg/kv/etcd"
)

// Guards against a malformed response of the key-value service that counts as the result of a
// call, or as the proof that the call had no effect.
func TestMalformedResponses(t *testing.T) {
	calls := map[string]func(c *etcd.Client) error{
		"list": func(c *etcd.Client) error { _, _, err := c.List(t.Context(), "a/"); return err },
		"txn":  func(c *etcd.Client) error { _, err := c.Txn(t.Context(), kv.Txn{}); return err },
		"watch": func(c *etcd.Client) error {
			_, err := c.Watch(t.Context(), "a/", 1)
			return err
		},
	}
	for name, call := range calls {
		t.Run(name, func(t *testing.T) {
			malformedtest.Check(t, `{"result":{"created":true}}`, kv.ErrUnavailable, func(address string) error {
				c := etcd.New(address, etcd.Options{CallTimeout: time.Second, WatchIdleTimeout: time.Second})
				defer c.Close()
				return call(c)
			})
		})
	}
}

// Guards against a transaction that is sent a second time, or counts as done or refused, because the
// service closed its connection within the head of its response.
func TestCutHeads(t *testing.T) {
	malformedtest.CheckCutHeads(t, "{}", kv.ErrUnavailable, func(address string) func() error {
		c := etcd.New(address, etcd.Options{CallTimeout: time.Second})
		t.Cleanup(c.Close)
		return func() error { _, err := c.Txn(t.Context(), kv.Txn{}); return err }
	})
}
