// Package vmlist is a client for the platform's list of VMs. The list may be outdated,
// so callers must treat it only as a hint.
package vmlist

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/cockroachdb/errors"

	"github.com/fescuecourse/fescuecourse/pkg/ident"
	"github.com/fescuecourse/fescuecourse/pkg/upstream"
)

// State is the state of a VM in the list.
type State string

// States of VMs.
const (
	StateLive    State = "live"
	StateLeaving State = "leaving"
)

// VM is one VM in the list, with the endpoint process that runs on it.
type VM struct {
	Endpoint ident.EndpointID       `json:"endpoint"`
	Zone     ident.AvailabilityZone `json:"zone"`
	// Address is host:port of the endpoint process.
	Address string `json:"address"`
	State   State  `json:"state"`
}

// List is the JSON document served by the platform.
type List struct {
	VMs []VM `json:"vms"`
}

// maxListBytes limits the size of the list, which has less than 200 bytes for each VM.
const maxListBytes = 4 << 20

// Client reads the list over HTTP.
type Client struct {
	url  string
	http *http.Client
}

// New returns a client for the list served at addr (host:port). The client sets no
// timeouts besides those of hc and of the context of each call.
func New(addr string, hc *http.Client) *Client {
	return &Client{url: "http://" + addr + "/v1/vms", http: upstream.Client(hc)}
}

// Get reads the list. It returns an error if the request fails, the status is not
// 200 or the document cannot be decoded.
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
	text, err := upstream.ReadBody(resp.Body, maxListBytes)
	if err != nil {
		return List{}, errors.Wrap(err, "read VM list")
	}
	var l List
	if err := json.Unmarshal(text, &l); err != nil {
		return List{}, errors.Wrap(err, "decode VM list")
	}
	return l, nil
}
