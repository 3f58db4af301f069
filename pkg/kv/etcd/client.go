// Package etcd implements kv.Store with the JSON gateway of the etcd v3 API.
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
)

// Defaults of a client.
const (
	// DefaultCallTimeout bounds a call whose context has no deadline.
	DefaultCallTimeout = 3 * time.Second
	// DefaultWatchIdleTimeout closes a watch without any message for this long. It is below
	// the 8 s within which a bundle must be active everywhere. A watch from each
	// of 330 entries reopened at this interval is 66 calls/s.
	DefaultWatchIdleTimeout = 5 * time.Second
	// maxReplyBytes bounds one reply, so that a faulty one cannot exhaust the memory.
	// It has room for several values of the largest size, 1 MB.
	maxReplyBytes = 64 << 20
	// maxIdleConns bounds the idle connections of a client.
	maxIdleConns = 16
	// idleConnTimeout closes idle connections.
	idleConnTimeout = 30 * time.Second
)

// Options configure a client. Zero values mean the defaults.
type Options struct {
	// CallTimeout bounds a call whose context has no deadline.
	CallTimeout time.Duration
	// WatchIdleTimeout is how long a watch may deliver no message before it is closed.
	WatchIdleTimeout time.Duration
}

// Client is a kv.Store. It is safe for concurrent use.
type Client struct {
	base string
	opts Options
	http *http.Client
}

var _ kv.Store = (*Client)(nil)

// StatusError is a definite refusal by the service: the call had no effect. Code
// is a gRPC status code.
type StatusError struct {
	HTTPStatus int
	Code       int
	Message    string
}

// Error implements error.
func (e *StatusError) Error() string {
	return fmt.Sprintf("key-value service refused the call: %s (HTTP %d, code %d)", e.Message, e.HTTPStatus, e.Code)
}

// New returns a client of the service at address (host:port).
func New(address string, opts Options) *Client {
	if opts.CallTimeout <= 0 {
		opts.CallTimeout = DefaultCallTimeout
	}
	if opts.WatchIdleTimeout <= 0 {
		opts.WatchIdleTimeout = DefaultWatchIdleTimeout
	}
	transport := &http.Transport{MaxIdleConnsPerHost: maxIdleConns, IdleConnTimeout: idleConnTimeout}
	return &Client{base: "http://" + address, opts: opts, http: &http.Client{Transport: transport}}
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
	return pairs(resp.KVs), resp.Header.Revision, nil
}

// Txn implements kv.Store.
func (c *Client) Txn(ctx context.Context, t kv.Txn) (kv.TxnResult, error) {
	var resp TxnResponse
	if err := c.call(ctx, PathTxn, txnRequest(t), &resp); err != nil {
		return kv.TxnResult{}, err
	}
	out := kv.TxnResult{Succeeded: resp.Succeeded, Revision: resp.Header.Revision}
	for _, r := range resp.Responses {
		if r.Range != nil {
			out.Read = append(out.Read, pairs(r.Range.KVs)...)
		}
	}
	return out, nil
}

// Grant implements kv.Store. The time to live is rounded up to whole seconds.
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

// call posts req and decodes the reply into resp.
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
	// The reply to a renewal is a stream of which only the first message counts.
	if err := json.NewDecoder(io.LimitReader(body, maxReplyBytes)).Decode(resp); err != nil {
		return c.unavailable(err)
	}
	// Reading to the end lets the connection be used again.
	_, _ = io.Copy(io.Discard, io.LimitReader(body, maxReplyBytes))
	return nil
}

// post returns the body of a successful reply, which the caller closes.
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
		return nil, c.refusal(r)
	}
	return r.Body, nil
}

// unavailable marks err as kv.ErrUnavailable. It also closes the idle connections,
// because after one connection went silent the others may be dead too.
func (c *Client) unavailable(err error) error {
	c.http.CloseIdleConnections()
	return fmt.Errorf("%w: %w", kv.ErrUnavailable, err)
}

// refusal maps an error reply. Server errors and overload count as unavailability,
// because they do not prove that the call had no effect.
func (c *Client) refusal(r *http.Response) error {
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

func txnRequest(t kv.Txn) TxnRequest {
	var req TxnRequest
	for _, cmp := range t.Compares {
		req.Compare = append(req.Compare, Compare{Result: ResultEqual, Target: TargetMod, Key: []byte(cmp.Key), ModRevision: cmp.ModRevision})
	}
	for _, op := range t.Ops {
		req.Success = append(req.Success, requestOp(op))
	}
	for _, key := range t.OnFailure {
		req.Failure = append(req.Failure, RequestOp{Range: &RangeRequest{Key: []byte(key)}})
	}
	return req
}

func requestOp(op kv.Op) RequestOp {
	if op.Type == kv.OpDelete {
		return RequestOp{Delete: &DeleteRangeRequest{Key: []byte(op.Key)}}
	}
	return RequestOp{Put: &PutRequest{Key: []byte(op.Key), Value: op.Value, Lease: int64(op.Lease)}}
}

func pairs(in []KeyValue) []kv.Pair {
	out := make([]kv.Pair, 0, len(in))
	for i := range in {
		out = append(out, in[i].Pair())
	}
	return out
}
