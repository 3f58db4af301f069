package demo

import (
	"context"
	"encoding/json"
	"io"

	"github.com/cockroachdb/errors"

	"github.com/fescuecourse/fescuecourse/pkg/workload"
)

// maxAnnouncedAdapters is the largest number of adapters that Serve lists.
const maxAnnouncedAdapters = 4

// Announcement tells callers how to reach a running demo cluster.
type Announcement struct {
	// Addresses are host:port of all entries; the first is the listen address.
	Addresses []string `json:"addresses"`
	Team      string   `json:"team"`
	Key       string   `json:"key"`
	Adapters  []string `json:"adapters"`
	Service   string   `json:"service"`
}

// Serve starts a cluster, writes an Announcement as one line of JSON and serves
// until ctx ends. Then it stops gracefully.
func Serve(ctx context.Context, opts Options, out io.Writer) error {
	c, err := Start(ctx, opts)
	if err != nil {
		return err
	}
	if err := json.NewEncoder(out).Encode(c.announcement()); err != nil {
		return errors.CombineErrors(errors.Wrap(err, "write announcement"), c.Stop())
	}
	<-ctx.Done()
	return c.Stop()
}

func (c *Cluster) announcement() Announcement {
	t := c.Opts.Teams[0]
	a := Announcement{Addresses: c.Addrs(), Team: string(t.Name), Key: t.Key, Service: c.Opts.Service}
	for i := range min(maxAnnouncedAdapters, t.Adapters) {
		a.Adapters = append(a.Adapters, string(t.Name)+"/"+workload.AdapterName(i))
	}
	return a
}
