package etcd

import (
	"encoding/json"

	"github.com/fescuecourse/fescuecourse/pkg/kv"
)

// The types below are the messages of the etcd v3 JSON gateway. Byte fields are
// encoded in base64 and 64-bit integers as JSON strings. Most fields are omitted if
// they have their zero value.

// Header is the header of responses. It holds the store revision.
type Header struct {
	Revision int64 `json:"revision,string,omitempty"`
}

// KeyValue is one stored key with its value.
type KeyValue struct {
	Key            []byte `json:"key,omitempty"`
	CreateRevision int64  `json:"create_revision,string,omitempty"`
	ModRevision    int64  `json:"mod_revision,string,omitempty"`
	Value          []byte `json:"value,omitempty"`
	Lease          int64  `json:"lease,string,omitempty"`
}

// Pair converts k to a kv.Pair.
func (k *KeyValue) Pair() kv.Pair {
	return kv.Pair{
		Key:            string(k.Key),
		Value:          k.Value,
		CreateRevision: k.CreateRevision,
		ModRevision:    k.ModRevision,
		Lease:          kv.LeaseID(k.Lease),
	}
}

// FromPair converts a kv.Pair to a KeyValue.
func FromPair(p kv.Pair) KeyValue {
	return KeyValue{
		Key:            []byte(p.Key),
		CreateRevision: p.CreateRevision,
		ModRevision:    p.ModRevision,
		Value:          p.Value,
		Lease:          int64(p.Lease),
	}
}

// RangeRequest reads one key, or the keys from Key to RangeEnd, exclusive.
type RangeRequest struct {
	Key      []byte `json:"key"`
	RangeEnd []byte `json:"range_end,omitempty"`
}

// RangeResponse is the response to a RangeRequest.
type RangeResponse struct {
	Header Header     `json:"header"`
	KVs    []KeyValue `json:"kvs,omitempty"`
}

// Compare is a condition of a transaction on the ModRevision of a key.
type Compare struct {
	Result      string `json:"result"`
	Target      string `json:"target"`
	Key         []byte `json:"key"`
	ModRevision int64  `json:"mod_revision,string"`
}

// PutRequest writes one key.
type PutRequest struct {
	Key   []byte `json:"key"`
	Value []byte `json:"value,omitempty"`
	Lease int64  `json:"lease,string,omitempty"`
}

// DeleteRangeRequest deletes one key.
type DeleteRangeRequest struct {
	Key []byte `json:"key"`
}

// RequestOp is one operation of a transaction. Exactly one field is set.
type RequestOp struct {
	Range  *RangeRequest       `json:"request_range,omitempty"`
	Put    *PutRequest         `json:"request_put,omitempty"`
	Delete *DeleteRangeRequest `json:"request_delete_range,omitempty"`
}

// TxnRequest is a transaction. Success is applied if all conditions hold, otherwise
// Failure.
type TxnRequest struct {
	Compare []Compare   `json:"compare,omitempty"`
	Success []RequestOp `json:"success,omitempty"`
	Failure []RequestOp `json:"failure,omitempty"`
}

// ResponseOp is the result of one operation of a transaction.
type ResponseOp struct {
	Range *RangeResponse `json:"response_range,omitempty"`
}

// TxnResponse is the response to a TxnRequest.
type TxnResponse struct {
	Header    Header       `json:"header"`
	Succeeded bool         `json:"succeeded,omitempty"`
	Responses []ResponseOp `json:"responses,omitempty"`
}

// LeaseRequest grants a lease with the given TTL, or renews or revokes the lease with
// the given ID. TTL is in seconds.
type LeaseRequest struct {
	ID  int64 `json:"ID,string,omitempty"`
	TTL int64 `json:"TTL,string,omitempty"`
}

// LeaseResponse holds the lease and its time to live in seconds. The response to the
// renewal of a lease that does not exist has a zero TTL.
type LeaseResponse struct {
	Header Header `json:"header"`
	ID     int64  `json:"ID,string,omitempty"`
	TTL    int64  `json:"TTL,string,omitempty"`
}

// KeepAliveResponse is one message of the response stream to a lease renewal.
type KeepAliveResponse struct {
	Result *LeaseResponse `json:"result"`
}

// WatchCreateRequest starts a watch on the keys from Key to RangeEnd, exclusive.
type WatchCreateRequest struct {
	Key            []byte `json:"key"`
	RangeEnd       []byte `json:"range_end,omitempty"`
	StartRevision  int64  `json:"start_revision,string,omitempty"`
	ProgressNotify bool   `json:"progress_notify,omitempty"`
}

// WatchRequest is the request that starts a watch.
type WatchRequest struct {
	Create WatchCreateRequest `json:"create_request"`
}

// Event is one change of a key. An empty type means a put.
type Event struct {
	Type string   `json:"type,omitempty"`
	KV   KeyValue `json:"kv"`
}

// WatchResult is one message of a watch. Once the watch is created, a message without
// events is a progress notification.
type WatchResult struct {
	Header       Header  `json:"header"`
	Created      bool    `json:"created,omitempty"`
	Canceled     bool    `json:"canceled,omitempty"`
	CancelReason string  `json:"cancel_reason,omitempty"`
	Events       []Event `json:"events,omitempty"`
}

// WatchResponse is one message of the response stream of a watch: a result or an error.
type WatchResponse struct {
	Result *WatchResult    `json:"result"`
	Error  json.RawMessage `json:"error,omitempty"`
}

// Status is the body of an error response. Code is a gRPC status code.
type Status struct {
	Code    int    `json:"code"`
	Message string `json:"message"`
}

// Enum values, gRPC status codes, and the error message of etcd for a lease that does
// not exist.
const (
	ResultEqual          = "EQUAL"
	TargetMod            = "MOD"
	EventDelete          = "DELETE"
	CodeInvalid          = 3
	CodeNotFound         = 5
	LeaseNotFoundMessage = "etcdserver: requested lease not found"
)

// URL paths of the etcd gateway.
const (
	PathRange     = "/v3/kv/range"
	PathTxn       = "/v3/kv/txn"
	PathGrant     = "/v3/lease/grant"
	PathKeepAlive = "/v3/lease/keepalive"
	PathRevoke    = "/v3/lease/revoke"
	PathWatch     = "/v3/watch"
)

// PrefixEnd returns the smallest key above all keys with the prefix, to be used as
// RangeEnd. It returns a zero byte, which means no upper limit, if there is none.
func PrefixEnd(prefix string) []byte {
	end := []byte(prefix)
	for i := len(end) - 1; i >= 0; i-- {
		if end[i] < 0xff {
			end[i]++
			return end[:i+1]
		}
	}
	return []byte{0}
}
