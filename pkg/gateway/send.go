package gateway

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fescuecourse/fescuecourse/pkg/fleet"
	"github.com/fescuecourse/fescuecourse/pkg/logging"
	"github.com/fescuecourse/fescuecourse/pkg/retry"
	"github.com/fescuecourse/fescuecourse/pkg/route"
	"github.com/fescuecourse/fescuecourse/pkg/upstream"
)

const (
	// maxPlainBytes bounds a response that is held until it is complete.
	maxPlainBytes = 4 << 20
	// unreachableBan is how long an endpoint is left out that refused a connection.
	unreachableBan = 500 * time.Millisecond
	// misdirectedBan is how long an endpoint is left out whose address belongs to
	// another one.
	misdirectedBan = 5 * time.Second
)

// sendFilter sends one attempt to the chosen endpoint and relays the response.
type sendFilter struct{ g *Gateway }

// poolKey names one lifetime of an endpoint.
func poolKey(e *fleet.Endpoint) string {
	return string(e.ID) + "/" + strconv.FormatInt(e.Born, 10) + "/" + e.Address
}

func (f sendFilter) do(ctx context.Context, x *exchange, _ next) *failure {
	e := x.endpoint
	began := time.Now()
	x.sends++
	e.Runtime.InFlight.Add(1)
	load := f.begin(x)
	attemptCtx, cancel := context.WithCancel(ctx)
	if f.mayMove(x) {
		go f.watch(attemptCtx, cancel, x, e)
	}
	x.result = f.attempt(attemptCtx, x, load)
	if attemptCtx.Err() != nil && ctx.Err() == nil {
		x.result = givenUp(x.result)
	}
	cancel()
	load.end()
	e.Runtime.InFlight.Add(-1)
	f.observe(ctx, x, began)
	return nil
}

// givenUp is the result of an attempt whose server was given up. The cancellation
// looks like that of a caller that left; other ends came before it and stay.
func givenUp(r result) result {
	if r.end != retry.CallerGone {
		return r
	}
	return result{end: retry.Unknown, status: r.status, detail: "the server does not answer"}
}

// mayMove reports whether the request could go on at another server if this one is
// lost.
func (f sendFilter) mayMove(x *exchange) bool {
	return x.engine() && x.repeatable() && x.sends < x.route.MaxAttempts
}

const (
	// watchInterval is how often the server of a running attempt is looked at.
	watchInterval = 200 * time.Millisecond
	// lostAfter is the age of a server's state from which on a request that may run
	// again moves to another server. States arrive every 500 ms at least.
	lostAfter = 1500 * time.Millisecond
)

// watch gives an attempt up when its server is lost: it is down, or neither its
// response nor the reports of its machine arrive any more.
func (f sendFilter) watch(ctx context.Context, cancel context.CancelFunc, x *exchange, e *fleet.Endpoint) {
	tick := time.NewTicker(watchInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		st := e.Runtime.Status()
		if st == nil {
			continue
		}
		age := time.Since(st.ReceivedAt)
		silent := time.Since(x.started) - time.Duration(x.heard.Load())
		if !st.Down && (age < lostAfter || silent < lostAfter) {
			continue
		}
		f.g.log.For(logging.ComponentRoute).Warn().
			Str("request", x.call.RequestID).
			Str("endpoint", string(e.ID)).
			Bool("down", st.Down).
			Dur("status_age_ms", age).
			Dur("silent_ms", silent).
			Msg("server lost, request moves")
		cancel()
		return
	}
}

// observe records what the attempt tells about the endpoint.
func (f sendFilter) observe(ctx context.Context, x *exchange, began time.Time) {
	e := x.endpoint
	now := time.Now()
	switch {
	case x.result.end == retry.Answered && x.result.status < http.StatusInternalServerError:
		e.Runtime.RecordSuccess(now.Sub(began))
	case x.result.end != retry.CallerGone && !x.result.missing:
		e.Runtime.RecordFailure(now)
	}
	if x.result.end == retry.NotRun || x.result.end == retry.Unknown {
		if !x.result.missing {
			x.excluded = append(x.excluded, e.ID)
		}
		f.g.log.For(logging.ComponentRoute).Warn().
			Str("request", x.call.RequestID).
			Str("endpoint", string(e.ID)).
			Str("end", endName(x.result.end)).
			Int("status", x.result.status).
			Str("detail", x.result.detail).
			Dur("took_ms", now.Sub(began)).
			Bool("expired", ctx.Err() != nil).
			Msg("attempt failed")
	}
}

func endName(e retry.Result) string {
	if e == retry.NotRun {
		return "not-run"
	}
	return "unknown"
}

// load is the share of one attempt in the counters of a model server.
type load struct {
	live    *fleet.Runtime
	demand  *demand
	key     fleet.AdapterKey
	class   int
	backlog int64
}

func (f sendFilter) begin(x *exchange) *load {
	if !x.engine() {
		return &load{}
	}
	l := &load{live: x.endpoint.Runtime, demand: f.g.control.demandOf(x.endpoint), key: x.call.Key, class: fleet.PriorityClass(x.route.Priority)}
	l.backlog = int64(max(x.call.PromptTokens-x.choice.CachedTokens, 0))
	l.live.Backlog[l.class].Add(l.backlog)
	l.demand.start(l.key, l.backlog)
	return l
}

// read is called when the first event shows that the prompt has been read.
func (l *load) read() {
	if l.live != nil {
		l.live.Backlog[l.class].Add(-l.backlog)
	}
	l.backlog = 0
}

func (l *load) end() {
	if l.live == nil {
		return
	}
	l.read()
	l.demand.end(l.key)
}

func (f sendFilter) attempt(ctx context.Context, x *exchange, l *load) result {
	e := x.endpoint
	conn, err := f.g.pool.Get(ctx, poolKey(e), e.Address)
	if err != nil {
		if ctx.Err() == nil {
			e.Runtime.Ban(time.Now().Add(unreachableBan))
		}
		return f.ended(ctx, result{end: retry.NotRun, detail: "no connection to the endpoint"})
	}
	x.settlement.MarkSent()
	ex, err := conn.Send(ctx, f.request(x))
	if err != nil {
		end := retry.Unknown
		if errors.Is(err, upstream.ErrNotSent) {
			end = retry.NotRun
		}
		return f.ended(ctx, result{end: end, detail: err.Error()})
	}
	return f.receive(ctx, x, conn, ex, l)
}

// ended turns the end of an attempt into that of the caller if the caller left.
func (f sendFilter) ended(ctx context.Context, r result) result {
	if errors.Is(ctx.Err(), context.Canceled) {
		r.end = retry.CallerGone
	}
	return r
}

func (f sendFilter) request(x *exchange) *upstream.Request {
	a := &Attempt{
		Endpoint:    x.endpoint.ID,
		Remaining:   time.Until(x.deadline),
		Version:     x.version,
		Priority:    x.route.Priority,
		LastEventID: x.lastEventID,
	}
	if x.engine() && x.choice.Source != nil {
		a.FetchFrom = x.choice.Source.Address
	}
	if a.LastEventID == "" {
		a.LastEventID = x.call.LastEventID
	}
	id := x.call.RequestID
	return &upstream.Request{
		Method: x.r.Method,
		Target: x.r.RequestURI,
		Host:   x.r.Host,
		Header: f.g.headers.Forward(x.r.Header, a),
		Body:   x.body,
		Mine:   func(h http.Header) bool { return f.g.headers.Mine(h, id) },
	}
}

// promise reports whether a status tells the caller that its request never ran.
func promise(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	default:
		return false
	}
}

func (f sendFilter) receive(ctx context.Context, x *exchange, conn *upstream.Conn, ex *upstream.Exchange, l *load) result {
	status := ex.Response.StatusCode
	reply := f.g.headers.Reply(status, ex.Response.Header)
	switch {
	case reply.NotRun:
		return f.refused(x, conn, ex, reply)
	case promise(status):
		ex.Abort()
		return result{end: retry.Unknown, status: status, detail: "the endpoint failed with " + strconv.Itoa(status)}
	case status < http.StatusMultipleChoices && !reply.FromPlatform:
		ex.Abort()
		return result{end: retry.Unknown, status: status, detail: "the response is not from a server"}
	}
	if x.route.Kind == route.Streaming && status == http.StatusOK {
		return f.stream(ctx, x, conn, ex, l)
	}
	if x.headSent {
		// The caller has part of a stream, which only another stream can go on with.
		ex.Abort()
		return result{end: retry.Unknown, status: status, detail: "the stream was not resumed: " + strconv.Itoa(status)}
	}
	return f.whole(ctx, x, conn, ex)
}

// refused handles a response that proves that the request did not run.
func (f sendFilter) refused(x *exchange, conn *upstream.Conn, ex *upstream.Exchange, reply Reply) result {
	status := ex.Response.StatusCode
	if _, err := io.CopyN(io.Discard, ex.Response.Body, maxPlainBytes); errors.Is(err, io.EOF) && ex.Finish() {
		f.g.pool.Put(poolKey(x.endpoint), conn)
	} else {
		ex.Abort()
	}
	r := result{end: retry.NotRun, status: status, detail: "the endpoint refused with " + strconv.Itoa(status)}
	if status != http.StatusMisdirectedRequest {
		return r
	}
	if reply.Instance != "" && reply.Instance != x.endpoint.ID {
		x.endpoint.Runtime.Ban(time.Now().Add(misdirectedBan))
		r.detail = "the address belongs to another endpoint"
		return r
	}
	r.missing = x.engine()
	r.detail = "the server does not hold the adapter"
	return r
}

// whole relays a response once it is complete, so that a broken one can be
// replaced by another attempt.
func (f sendFilter) whole(ctx context.Context, x *exchange, conn *upstream.Conn, ex *upstream.Exchange) result {
	status := ex.Response.StatusCode
	body, err := io.ReadAll(io.LimitReader(ex.Response.Body, maxPlainBytes))
	if err != nil {
		ex.Abort()
		return f.ended(ctx, result{end: retry.Unknown, status: status, detail: "the response broke off: " + err.Error()})
	}
	if ex.Finish() {
		f.g.pool.Put(poolKey(x.endpoint), conn)
	}
	if status >= http.StatusInternalServerError && f.anotherTry(x) {
		return result{end: retry.Unknown, status: status, detail: "the endpoint failed with " + strconv.Itoa(status)}
	}
	f.writeHead(x, ex.Response)
	x.w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	x.w.WriteHeader(status)
	_, _ = x.w.Write(body) // the caller may be gone
	return result{end: retry.Answered, status: status}
}

// anotherTry reports whether a server's failure may be replaced by the response
// of another one.
func (f sendFilter) anotherTry(x *exchange) bool {
	return x.repeatable() && x.history.Attempts+1 < min(x.route.MaxAttempts, maxSends) && time.Until(x.deadline) > x.endpoint.Runtime.Latency()
}

func (f sendFilter) writeHead(x *exchange, resp *http.Response) {
	h := x.w.Header()
	for name, values := range resp.Header {
		if hopByHop(name) {
			continue
		}
		h[name] = values
	}
	if resp.Header.Get("Content-Type") == "" {
		h["Content-Type"] = nil // keeps net/http from guessing one
	}
	x.headSent = true
	x.firstByte = time.Since(x.started)
	f.g.metrics.firstByte.Update(x.firstByte.Milliseconds())
}

// hopByHop reports whether a header concerns one connection only.
func hopByHop(name string) bool {
	switch name {
	case "Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length":
		return true
	default:
		return false
	}
}
