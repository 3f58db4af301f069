// Package vmlist is the client for the platform's list of VMs. The list lags
// behind reality and is only a hint.
package vmlist

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/cockroachdb/errors"

	"github.com/fescuecourse/fescuecourse/pkg/ident"
)

// State is the state of a VM as the platform lists it.
type State string

// States of VMs.
const (
	StateLive    State = "live"
	StateLeaving State = "leaving"
)

// VM is one listed VM with the endpoint process that runs on it.
type VM struct {
	Endpoint ident.EndpointID       `json:"endpoint"`
	Zone     ident.AvailabilityZone `json:"zone"`
	// Address is host:port of the endpoint process.
	Address string `json:"address"`
	State   State  `json:"state"`
}

// List is the document served by the platform.
type List struct {
	VMs []VM `json:"vms"`
}

// Client reads the list.
type Client struct {
	url  string
	http *http.Client
}

// New returns a client for the list served at addr (host:port). Time limits are
// those of hc and of the context of each call.
func New(addr string, hc *http.Client) *Client {
	return &Client{url: "http://" + addr + "/v1/vms", http: hc}
}

// Get reads the list.
func (c *Client) Get(ctx context.Context) (List, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.url, nil)
	if err != nil {
		return List{}, errors.Wrap(err, "build request for VM list")
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return List{}, errors.Wrap(err, "read VM list")
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return List{}, errors.Newf("read VM list: HTTP status %d", resp.StatusCode)
	}
	var l List
	if err := json.NewDecoder(resp.Body).Decode(&l); err != nil {
		return List{}, errors.Wrap(err, "decode VM list")
	}
	return l, nil
}
