package kvstore

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fescuecourse/fescuecourse/pkg/kv"
	"github.com/fescuecourse/fescuecourse/pkg/kv/etcd"
)

// maxTxnOps is the default limit of etcd for the operations of one transaction.
const maxTxnOps = 128

// Errors for calls that this fake does not support, or that etcd rejects too.
var (
	errRange     = errors.New("range end must be the end of the prefix")
	errCompare   = errors.New("only equal mod revisions can be compared")
	errSuccessOp = errors.New("only writes are supported in the success branch")
	errFailureOp = errors.New("only reads are supported in the failure branch")
	errTxnSize   = errors.New("etcdserver: too many operations in txn request")
	errDuplicate = errors.New("etcdserver: duplicate key given in txn request")
)

func (s *Server) header() etcd.Header { return etcd.Header{Revision: s.mem.Revision()} }

func (s *Server) serveRange(ctx context.Context, req etcd.RangeRequest) (etcd.RangeResponse, error) {
	if len(req.RangeEnd) == 0 {
		p, err := s.mem.Get(ctx, string(req.Key))
		if errors.Is(err, kv.ErrNotFound) {
			return etcd.RangeResponse{Header: s.header()}, nil
		}
		return etcd.RangeResponse{Header: s.header(), KVs: []etcd.KeyValue{etcd.FromPair(p)}}, err
	}
	if !bytes.Equal(req.RangeEnd, etcd.PrefixEnd(string(req.Key))) {
		return etcd.RangeResponse{}, errRange
	}
	list, revision, err := s.mem.List(ctx, string(req.Key))
	resp := etcd.RangeResponse{Header: etcd.Header{Revision: revision}}
	for _, p := range list {
		resp.KVs = append(resp.KVs, etcd.FromPair(p))
	}
	return resp, err
}

func (s *Server) txn(ctx context.Context, req etcd.TxnRequest) (etcd.TxnResponse, error) {
	t, err := decodeTxn(req)
	if err != nil {
		return etcd.TxnResponse{}, err
	}
	result, err := s.mem.Txn(ctx, t)
	if err != nil {
		return etcd.TxnResponse{}, err
	}
	resp := etcd.TxnResponse{Header: etcd.Header{Revision: result.Revision}, Succeeded: result.Succeeded}
	if result.Succeeded {
		return resp, nil
	}
	found := map[string]kv.Pair{}
	for _, p := range result.Read {
		found[p.Key] = p
	}
	for _, key := range t.OnFailure {
		r := &etcd.RangeResponse{Header: resp.Header}
		if p, ok := found[key]; ok {
			r.KVs = []etcd.KeyValue{etcd.FromPair(p)}
		}
		resp.Responses = append(resp.Responses, etcd.ResponseOp{Range: r})
	}
	return resp, nil
}

func decodeTxn(req etcd.TxnRequest) (kv.Txn, error) {
	var t kv.Txn
	if max(len(req.Compare), len(req.Success), len(req.Failure)) > maxTxnOps {
		return t, errTxnSize
	}
	for _, c := range req.Compare {
		if c.Target != etcd.TargetMod || c.Result != etcd.ResultEqual {
			return t, errCompare
		}
		t.Compares = append(t.Compares, kv.Compare{Key: string(c.Key), ModRevision: c.ModRevision})
	}
	for _, op := range req.Failure {
		if op.Range == nil {
			return t, errFailureOp
		}
		t.OnFailure = append(t.OnFailure, string(op.Range.Key))
	}
	var err error
	t.Ops, err = decodeOps(req.Success)
	return t, err
}

// decodeOps returns the writes of a transaction. A key must not occur twice.
func decodeOps(ops []etcd.RequestOp) ([]kv.Op, error) {
	var out []kv.Op
	seen := map[string]bool{}
	for _, op := range ops {
		decoded, err := decodeOp(op)
		if err != nil {
			return nil, err
		}
		if seen[decoded.Key] {
			return nil, errDuplicate
		}
		seen[decoded.Key] = true
		out = append(out, decoded)
	}
	return out, nil
}

func decodeOp(op etcd.RequestOp) (kv.Op, error) {
	switch {
	case op.Put != nil:
		return kv.Op{Type: kv.OpPut, Key: string(op.Put.Key), Value: op.Put.Value, Lease: kv.LeaseID(op.Put.Lease)}, nil
	case op.Delete != nil:
		return kv.Op{Type: kv.OpDelete, Key: string(op.Delete.Key)}, nil
	default:
		return kv.Op{}, errSuccessOp
	}
}

func (s *Server) grant(ctx context.Context, req etcd.LeaseRequest) (etcd.LeaseResponse, error) {
	id, err := s.mem.Grant(ctx, time.Duration(req.TTL)*time.Second)
	return etcd.LeaseResponse{Header: s.header(), ID: int64(id), TTL: req.TTL}, err
}

func (s *Server) keepAlive(ctx context.Context, req etcd.LeaseRequest) (etcd.KeepAliveResponse, error) {
	ttl, err := s.mem.KeepAlive(ctx, kv.LeaseID(req.ID))
	// A TTL of 0 tells the client that the lease does not exist.
	if errors.Is(err, kv.ErrLeaseNotFound) {
		ttl, err = 0, nil
	}
	return etcd.KeepAliveResponse{Result: &etcd.LeaseResponse{Header: s.header(), ID: req.ID, TTL: int64(ttl / time.Second)}}, err
}

func (s *Server) revoke(ctx context.Context, req etcd.LeaseRequest) (etcd.LeaseResponse, error) {
	return etcd.LeaseResponse{Header: s.header()}, s.mem.Revoke(ctx, kv.LeaseID(req.ID))
}

func (s *Server) watch(w http.ResponseWriter, r *http.Request) {
	var req etcd.WatchRequest
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
		writeError(w, http.StatusBadRequest, etcd.CodeInvalid, err.Error())
		return
	}
	s.beginCall(r.Context(), func(c *Counts) { c.Watch++ })
	events, err := s.mem.Watch(r.Context(), string(req.Create.Key), req.Create.StartRevision)
	if err != nil {
		writeError(w, http.StatusBadRequest, etcd.CodeInvalid, err.Error())
		return
	}
	progress := time.NewTicker(s.ProgressInterval)
	defer progress.Stop()
	s.notify(w, etcd.WatchResult{Created: true})
	for {
		select {
		case e, ok := <-events:
			if !ok {
				return
			}
			s.notify(w, etcd.WatchResult{Events: []etcd.Event{encodeEvent(e)}})
		case <-progress.C:
			if req.Create.ProgressNotify {
				s.notify(w, etcd.WatchResult{})
			}
		case <-r.Context().Done():
			return
		}
	}
}

// notify sends one message of a watch, unless watches are muted. It panics with
// http.ErrAbortHandler to close the connection if the server is down.
func (s *Server) notify(w http.ResponseWriter, result etcd.WatchResult) {
	s.mu.Lock()
	muted, down := s.faults.MuteWatches, s.faults.Down
	s.mu.Unlock()
	if down {
		panic(http.ErrAbortHandler)
	}
	if muted {
		return
	}
	result.Header = s.header()
	_ = json.NewEncoder(w).Encode(etcd.WatchResponse{Result: &result})
	_ = http.NewResponseController(w).Flush()
}

func encodeEvent(e kv.Event) etcd.Event {
	out := etcd.Event{KV: etcd.FromPair(e.Pair)}
	if e.Type == kv.EventDelete {
		out.Type = etcd.EventDelete
	}
	return out
}
