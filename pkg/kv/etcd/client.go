// Package etcd implements kv.Store on the JSON gateway of the etcd v3 API.
package etcd

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fescuecourse/fescuecourse/pkg/kv"
	"github.com/fescuecourse/fescuecourse/pkg/upstream"
)

// Defaults of a client.
const (
	// DefaultCallTimeout is the default of Options.CallTimeout.
	DefaultCallTimeout = 3 * time.Second
	// DefaultWatchIdleTimeout is the default of Options.WatchIdleTimeout. It is below
	// the 8 s within which a bundle must be active on every node. If 330 entries
	// reopen a watch at this interval, the service gets 66 calls/s.
	DefaultWatchIdleTimeout = 5 * time.Second
	// maxReplyBytes limits the size of one reply, so that a faulty reply cannot exhaust
	// the memory. It has room for several values of the largest size, 1 MB.
	maxReplyBytes = 64 << 20
	// maxIdleConns limits the number of idle connections of a client.
	maxIdleConns = 16
	// idleConnTimeout is how long a connection may be idle before it is closed.
	idleConnTimeout = 30 * time.Second
)

// Options configures a client. Zero values select the defaults.
type Options struct {
	// CallTimeout is the timeout of a call whose context has no deadline.
	CallTimeout time.Duration
	// WatchIdleTimeout is how long a watch may receive no message, not even a progress
	// notification, before it is closed.
	WatchIdleTimeout time.Duration
}

// Client is a kv.Store backed by an etcd server. It is safe for concurrent use.
type Client struct {
	base string
	opts Options
	http *http.Client
}

var _ kv.Store = (*Client)(nil)

// StatusError means that the key-value service refused the call and the call had no
// effect. Code is a gRPC status code.
type StatusError struct {
	HTTPStatus int
	Code       int
	Message    string
}

// Error implements error.
func (e *StatusError) Error() string {
	return fmt.Sprintf("key-value service refused the call: %s (HTTP %d, code %d)", e.Message, e.HTTPStatus, e.Code)
}

// New returns a client for the server at address (host:port).
func New(address string, opts Options) *Client {
	if opts.CallTimeout <= 0 {
		opts.CallTimeout = DefaultCallTimeout
	}
	if opts.WatchIdleTimeout <= 0 {
		opts.WatchIdleTimeout = DefaultWatchIdleTimeout
	}
	transport := &http.Transport{MaxIdleConnsPerHost: maxIdleConns, IdleConnTimeout: idleConnTimeout, MaxResponseHeaderBytes: upstream.MaxHeadBytes}
	return &Client{base: "http://" + address, opts: opts, http: &http.Client{Transport: upstream.NewTransport(transport)}}
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Get implements kv.Store.
func (c *Client) Get(ctx context.Context, key string) (kv.Pair, error) {
	var resp RangeResponse
	if err := c.call(ctx, PathRange, RangeRequest{Key: []byte(key)}, &resp); err != nil {
		return kv.Pair{}, err
	}
	if len(resp.KVs) == 0 {
		return kv.Pair{}, kv.ErrNotFound
	}
	return resp.KVs[0].Pair(), nil
}

// List implements kv.Store.
func (c *Client) List(ctx context.Context, prefix string) ([]kv.Pair, int64, error) {
	var resp RangeResponse
	req := RangeRequest{Key: []byte(prefix), RangeEnd: PrefixEnd(prefix)}
	if err := c.call(ctx, PathRange, req, &resp); err != nil {
		return nil, 0, err
	}
	return toPairs(resp.KVs), resp.Header.Revision, nil
}

// Txn implements kv.Store.
func (c *Client) Txn(ctx context.Context, t kv.Txn) (kv.TxnResult, error) {
	var resp TxnResponse
	if err := c.call(ctx, PathTxn, toTxnRequest(t), &resp); err != nil {
		return kv.TxnResult{}, err
	}
	out := kv.TxnResult{Succeeded: resp.Succeeded, Revision: resp.Header.Revision}
	for _, r := range resp.Responses {
		if r.Range != nil {
			out.Read = append(out.Read, toPairs(r.Range.KVs)...)
		}
	}
	return out, nil
}

// Grant implements kv.Store. It rounds ttl up to whole seconds.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (kv.LeaseID, error) {
	var resp LeaseResponse
	seconds := int64((ttl + time.Second - 1) / time.Second)
	if err := c.call(ctx, PathGrant, LeaseRequest{TTL: seconds}, &resp); err != nil {
		return 0, err
	}
	return kv.LeaseID(resp.ID), nil
}

// KeepAlive implements kv.Store.
func (c *Client) KeepAlive(ctx context.Context, id kv.LeaseID) (time.Duration, error) {
	var resp KeepAliveResponse
	if err := c.call(ctx, PathKeepAlive, LeaseRequest{ID: int64(id)}, &resp); err != nil {
		return 0, err
	}
	if resp.Result == nil || resp.Result.TTL <= 0 {
		return 0, kv.ErrLeaseNotFound
	}
	return time.Duration(resp.Result.TTL) * time.Second, nil
}

// Revoke implements kv.Store.
func (c *Client) Revoke(ctx context.Context, id kv.LeaseID) error {
	var resp LeaseResponse
	return c.call(ctx, PathRevoke, LeaseRequest{ID: int64(id)}, &resp)
}

// call posts req as JSON and decodes the reply into resp.
func (c *Client) call(ctx context.Context, path string, req, resp any) error {
	if _, ok := ctx.Deadline(); !ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, c.opts.CallTimeout)
		defer cancel()
	}
	body, err := c.post(ctx, path, req)
	if err != nil {
		return err
	}
	defer body.Close()
	// The reply to a lease renewal is a stream; only its first message is used.
	if err := json.NewDecoder(io.LimitReader(body, maxReplyBytes)).Decode(resp); err != nil {
		return c.unavailable(err)
	}
	// The connection can only be reused after the reply was read to its end.
	_, _ = io.Copy(io.Discard, io.LimitReader(body, maxReplyBytes))
	return nil
}

// post sends req as JSON and returns the body of a successful reply. The caller must
// close the body.
func (c *Client) post(ctx context.Context, path string, req any) (io.ReadCloser, error) {
	encoded, err := json.Marshal(req)
	if err != nil {
		return nil, errors.Wrap(err, "encode call")
	}
	hr, err := http.NewRequestWithContext(ctx, http.MethodPost, c.base+path, bytes.NewReader(encoded))
	if err != nil {
		return nil, errors.Wrap(err, "build call")
	}
	hr.Header.Set("Content-Type", "application/json")
	r, err := c.http.Do(hr)
	if err != nil {
		return nil, c.unavailable(err)
	}
	if r.StatusCode != http.StatusOK {
		defer r.Body.Close()
		return nil, c.responseError(r)
	}
	return r.Body, nil
}

// unavailable wraps err as kv.ErrUnavailable. It also closes the idle connections,
// because if one connection has stopped responding, the others may be broken too.
func (c *Client) unavailable(err error) error {
	c.http.CloseIdleConnections()
	return fmt.Errorf("%w: %w", kv.ErrUnavailable, err)
}

// responseError maps an error reply to an error. Server errors and overload map to
// kv.ErrUnavailable, because the call may still have taken effect.
func (c *Client) responseError(r *http.Response) error {
	var s Status
	err := json.NewDecoder(io.LimitReader(r.Body, maxReplyBytes)).Decode(&s)
	if err != nil || r.StatusCode >= http.StatusInternalServerError || r.StatusCode == http.StatusTooManyRequests {
		return c.unavailable(errors.Newf("HTTP status %d: %s", r.StatusCode, s.Message))
	}
	if s.Code == CodeNotFound && s.Message == LeaseNotFoundMessage {
		return kv.ErrLeaseNotFound
	}
	return &StatusError{HTTPStatus: r.StatusCode, Code: s.Code, Message: s.Message}
}

func toTxnRequest(t kv.Txn) TxnRequest {
	var req TxnRequest
	for _, cmp := range t.Compares {
		req.Compare = append(req.Compare, Compare{Result: ResultEqual, Target: TargetMod, Key: []byte(cmp.Key), ModRevision: cmp.ModRevision})
	}
	for _, op := range t.Ops {
		req.Success = append(req.Success, toRequestOp(op))
	}
	for _, key := range t.OnFailure {
		req.Failure = append(req.Failure, RequestOp{Range: &RangeRequest{Key: []byte(key)}})
	}
	return req
}

func toRequestOp(op kv.Op) RequestOp {
	if op.Type == kv.OpDelete {
		return RequestOp{Delete: &DeleteRangeRequest{Key: []byte(op.Key)}}
	}
	return RequestOp{Put: &PutRequest{Key: []byte(op.Key), Value: op.Value, Lease: int64(op.Lease)}}
}

func toPairs(in []KeyValue) []kv.Pair {
	out := make([]kv.Pair, 0, len(in))
	for i := range in {
		out = append(out, in[i].Pair())
	}
	return out
}
