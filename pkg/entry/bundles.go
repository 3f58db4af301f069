package entry

import (
	"context"

	"google.golang.org/grpc"

	"github.com/fescuecourse/fescuecourse/api/fescuev1"
	"github.com/fescuecourse/fescuecourse/pkg/ident"
	"github.com/fescuecourse/fescuecourse/pkg/logging"
	"github.com/fescuecourse/fescuecourse/pkg/rollout"
)

// bundleSyncer passes the bundle versions in endpoints' reports to the rollout
// exchanger, which exchanges bundles with the endpoints. A nil bundleSyncer does
// nothing.
type bundleSyncer struct {
	exchanger *rollout.Exchanger
}

func newBundleSyncer(s *rollout.Syncer, log logging.Logger) *bundleSyncer {
	return &bundleSyncer{exchanger: rollout.NewExchanger(s, log)}
}

// UseSyncer lets the entry push bundles to endpoints and fetch bundles from them. It
// must be called before Run.
func (e *Entry) UseSyncer(s *rollout.Syncer) { e.bundleSyncer = newBundleSyncer(s, e.log) }

// recordVersion passes on the bundle version in a report and ignores other messages.
func (s *bundleSyncer) recordVersion(id ident.EndpointID, m *fescuev1.ControlResponse, conn *grpc.ClientConn) {
	if s == nil || m.GetReport() == nil {
		return
	}
	s.exchanger.ReportVersion(id, m.GetReport().GetBundleVersion(), fescuev1.NewEndpointClient(conn))
}

// run exchanges bundles with endpoints until ctx ends.
func (s *bundleSyncer) run(ctx context.Context) {
	if s != nil {
		s.exchanger.Run(ctx)
	}
}
