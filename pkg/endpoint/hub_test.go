package endpoint

import (
	"context"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/grpc"
	"gotest.tools/v3/assert"

	"github.com/fescuecourse/fescuecourse/api/fescuev1"
)

// recordingStream records the last report sent on it and the times between reports.
type recordingStream struct {
	grpc.BidiStreamingServer[fescuev1.ControlRequest, fescuev1.ControlResponse]
	ctx  context.Context
	last *fescuev1.Report
	at   time.Time
	// gaps are the times between reports.
	gaps []time.Duration
}

func (s *recordingStream) Context() context.Context { return s.ctx }

func (s *recordingStream) Send(m *fescuev1.ControlResponse) error {
	if s.last != nil {
		s.gaps = append(s.gaps, time.Since(s.at))
	}
	s.last, s.at = m.GetReport(), time.Now()
	return nil
}

// Changes the number of running attempts at random times. Guards against a change
// that is not reported within the report interval, and against periodic reports that
// are not exactly one interval (2 s) apart.
func TestLoadReportIntervals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		random := rand.New(rand.NewPCG(1, 2))
		e := benchEndpoint()
		ctx, cancel := context.WithCancel(t.Context())
		cs := &controlStream{entry: "entry-1", changed: make(chan struct{}, 1)}
		stream := &recordingStream{ctx: ctx}
		e.hub.add(cs)
		go func() { _ = e.sendReports(stream, cs) }()
		for range 2000 {
			s := *e.control.snapshot.Load()
			s.stats.Running = random.IntN(32)
			e.control.snapshot.Store(&s)
			time.Sleep(time.Duration(random.Int64N(int64(4 * time.Second))))
			if random.IntN(4) > 0 {
				continue
			}
			time.Sleep(reportInterval)
			synctest.Wait()
			assert.Equal(t, int(stream.last.PositionsUsed), s.stats.Running)
		}
		time.Sleep(time.Minute)
		cancel()
		synctest.Wait()
		for _, gap := range stream.gaps {
			assert.Equal(t, gap, reportInterval)
		}
	})
}
