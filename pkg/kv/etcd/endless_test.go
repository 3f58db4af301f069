package etcd_test

import (
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fescuecourse/fescuecourse/internal/endlesstest"
	"github.com/fescuecourse/fescuecourse/pkg/kv/etcd"
)

// Guards against a service whose replies never end and take the memory of the process.
func TestBytesWithoutEnd(t *testing.T) {
	calls := map[string]func(c *etcd.Client) error{
		"list": func(c *etcd.Client) error {
			_, _, err := c.List(t.Context(), "a/")
			return err
		},
		"watch": func(c *etcd.Client) error {
			events, err := c.Watch(t.Context(), "a/", 1)
			if err != nil {
				return err
			}
			for range events {
			}
			return errors.New("the watch ended")
		},
	}
	for name, call := range calls {
		t.Run(name, func(t *testing.T) {
			endlesstest.Check(t, func(address string) error {
				c := etcd.New(address, etcd.Options{CallTimeout: time.Second, WatchIdleTimeout: time.Second})
				defer c.Close()
				return call(c)
			})
		})
	}
}
