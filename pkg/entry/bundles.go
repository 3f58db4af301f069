package entry

import (
	"context"

	"google.golang.org/grpc"

	"github.com/fescuecourse/fescuecourse/api/fescuev1"
	"github.com/fescuecourse/fescuecourse/pkg/ident"
	"github.com/fescuecourse/fescuecourse/pkg/logging"
	"github.com/fescuecourse/fescuecourse/pkg/rollout"
)

// exchanger passes the bundle versions of reports to the exchange of bundles. A
// nil exchanger does nothing.
type exchanger struct {
	core *rollout.Exchanger
}

func newExchanger(s *rollout.Syncer, log logging.Logger) *exchanger {
	return &exchanger{core: rollout.NewExchanger(s, log)}
}

// UseSyncer lets the entry push bundles to endpoints and fetch them. Call it
// before Run.
func (e *Entry) UseSyncer(s *rollout.Syncer) { e.exchanger = newExchanger(s, e.log) }

// reported notes the version in a report.
func (p *exchanger) reported(id ident.EndpointID, m *fescuev1.ControlResponse, conn *grpc.ClientConn) {
	if p == nil || m.GetReport() == nil {
		return
	}
	p.core.ReportVersion(id, m.GetReport().GetBundleVersion(), fescuev1.NewEndpointClient(conn))
}

// run exchanges bundles until ctx ends.
func (p *exchanger) run(ctx context.Context) {
	if p != nil {
		p.core.Run(ctx)
	}
}
