package sidecar

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fescuecourse/fescuecourse/pkg/logging"
	"github.com/fescuecourse/fescuecourse/pkg/residency"
)

const (
	// orderTimeout limits the wait for the response to an order, which usually takes
	// a few milliseconds. After a timeout, the sequence number in the next report
	// shows whether the order was accepted.
	orderTimeout = 80 * time.Millisecond
	// rejectPause is the pause after an order that the server did not accept.
	rejectPause = 100 * time.Millisecond
)

// sendNextOrder sends the next order, if one is due. It reports whether another
// order may follow at once.
func (s *Sidecar) sendNextOrder(ctx context.Context, in *residency.Input) bool {
	o, ok := s.planner.Next(in)
	if !ok {
		return false
	}
	call, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	began := time.Now()
	err := s.server.Order(call, s.instance, o)
	w := in.DemandByAdapter[o.Key]
	s.log.For(logging.ComponentScheduler).Info().
		Str("operation", o.Operation.String()).
		Str("model", o.Key.Model).
		Str("adapter", o.Key.Name).
		Int("version", o.Version).
		Uint("sequence", uint64(o.Expected)).
		Str("reason", o.Reason).
		Int("waiting", w.Waiting).
		Dur("waited_ms", w.Waited).
		Int("residents", len(in.Report.Residents)).
		Int("coming", len(in.Report.Loading)).
		Int("load_limit", s.planner.LoadLimiter().Limit()).
		Int("loads_elsewhere", in.LoadsElsewhere).
		Float("store_capacity", s.planner.LoadLimiter().Capacity()).
		Dur("load_time_ms", s.planner.LoadLimiter().LoadTime()).
		Dur("took_ms", time.Since(began)).
		Err(err).
		Msg("order given")
	switch {
	case s.backsOff(err):
		return false
	case errors.Is(err, ErrNoAnswer):
		return true // the next report shows whether it was accepted
	case errors.Is(err, ErrRejected):
		s.pausedUntil = time.Now().Add(rejectPause)
		return false
	case err != nil:
		s.instance = ""
		return false
	}
	s.planner.Accepted(began, o)
	if o.Operation == residency.Unload {
		s.unloading = o.Key
	}
	return true
}
