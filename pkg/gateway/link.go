package gateway

import (
	"context"
	"net"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"github.com/fescuecourse/fescuecourse/api/fescuev1"
	"github.com/fescuecourse/fescuecourse/pkg/balance"
	"github.com/fescuecourse/fescuecourse/pkg/fleet"
	"github.com/fescuecourse/fescuecourse/pkg/grpcconn"
	"github.com/fescuecourse/fescuecourse/pkg/locality"
	"github.com/fescuecourse/fescuecourse/pkg/logging"
	"github.com/fescuecourse/fescuecourse/pkg/origin"
	"github.com/fescuecourse/fescuecourse/pkg/retry"
	"github.com/fescuecourse/fescuecourse/pkg/wait"
)

const (
	// demandInterval is the interval at which changed demand and new origins of streams are
	// sent. Urgent demand, which is a request that waits for a load or a long prompt, is sent
	// at once, and so is an origin to one of its holders.
	demandInterval = 150 * time.Millisecond
	// unchangedInterval is the interval at which updates are sent while the demand does
	// not change.
	unchangedInterval = time.Second
	// linkTimeout is the time without a status report after which a stream is closed. A
	// sidecar sends one at least every 500 ms.
	linkTimeout = 1600 * time.Millisecond
	// linkBackoff is the delay before a stream is opened again if the last one brought no
	// report or was shorter than that. Any other one is opened again at once.
	linkBackoff = 250 * time.Millisecond
)

// link is the connection to the sidecar of one model server. It sends this entry's
// demand and receives the server's status.
type link struct {
	entry    string
	endpoint *fleet.Endpoint
	target   string
	demand   *demand
	loads    loadCount
	reloads  *atomic.Pointer[reloads]
	prefixes *locality.PrefixIndex
	share    *retry.Share
	origins  *originLink
	software *atomic.Pointer[softwareList]
	relay    *operatorRelay
	// softwareKnown returns the period of which the entry knows all software versions.
	softwareKnown func() origin.Period
	log           logging.Logger
	cancel        context.CancelFunc
	// conn is the connection of the current or the last stream. It stays open until the
	// next stream, because questions for origins use it meanwhile.
	conn *grpc.ClientConn
}

// linkTarget returns the host:port of the sidecar of the server with the given
// host:port.
func linkTarget(address string, port int) (string, error) {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return "", errors.Wrap(err, "parse server address")
	}
	return net.JoinHostPort(host, strconv.Itoa(port)), nil
}

// run keeps a stream to the sidecar open until ctx ends. It logs the loss of the
// sidecar once, not for each failed stream.
func (l *link) run(ctx context.Context) {
	defer l.use(nil)
	up := true
	for ctx.Err() == nil {
		began := time.Now()
		err := l.stream(ctx, &up)
		if ctx.Err() != nil {
			return
		}
		if up {
			l.log.Warn().
				Str("endpoint", string(l.endpoint.ID)).
				Str("target", l.target).
				Err(err).
				Msg("dependency lost: process beside the server")
		}
		if !up || time.Since(began) < linkBackoff {
			wait.For(ctx, linkBackoff)
		}
		up = false
	}
}

// use replaces the connection to the sidecar and returns a client of the new one, or nil
// if there is none.
func (l *link) use(conn *grpc.ClientConn) fescuev1.ResidencyClient {
	previous := l.conn
	l.conn = conn
	var client fescuev1.ResidencyClient
	if conn != nil {
		client = fescuev1.NewResidencyClient(conn)
	}
	l.origins.connected(client)
	if previous != nil {
		_ = previous.Close() // fails only if it is closed already
	}
	return client
}

// stream opens one stream and receives status reports until the stream fails. It
// returns the error and sets up to true when a report arrives.
func (l *link) stream(ctx context.Context, up *bool) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	conn, err := grpc.NewClient("passthrough:///"+l.target, append(grpcconn.DialOptions(), grpc.WithTransportCredentials(insecure.NewCredentials()))...)
	if err != nil {
		return errors.Wrap(err, "create client")
	}
	client := l.use(conn)
	silence := time.AfterFunc(linkTimeout, cancel)
	defer silence.Stop()
	stream, err := client.Sync(ctx)
	if err != nil {
		return errors.Wrap(err, "open stream")
	}
	ledger := &balance.Ledger{}
	go l.send(ctx, cancel, recorded{stream, ledger})
	defer l.loads.set(0)
	var last *fleet.Status // the last status received on this stream
	for {
		m, err := stream.Recv()
		if err != nil {
			return errors.Wrap(err, "receive status report")
		}
		silence.Reset(linkTimeout)
		l.relay.report(ctx, l.origins, m.GetOperatorRevision())
		if m.GetInstanceId() != string(l.endpoint.ID) {
			l.otherInstance(m.GetInstanceId())
			continue
		}
		if !*up {
			l.log.Info().Str("endpoint", string(l.endpoint.ID)).Msg("dependency regained: process beside the server")
		}
		*up = true
		now := time.Now()
		l.share.Observe(now, int(m.GetEntries()))
		l.prefixes.RecordParts(now, l.endpoint.Runtime, m.GetReadParts())
		next := status(now, m)
		next.Others = ledger.Others(m.GetCoveredUpdate(), balance.Reported(m))
		if m.GetHoldingsUnchanged() {
			if last == nil {
				continue
			}
			next.Models, next.Residents, next.Loading = last.Models, last.Residents, last.Loading
			next.CacheUsed, next.CacheTotal = last.CacheUsed, last.CacheTotal
		}
		last = next
		if m.GetLimited() {
			l.endpoint.Runtime.LearnLimit(now, m.GetLimitPerSecond())
		} else {
			l.endpoint.Runtime.EndLearnedLimit()
		}
		l.endpoint.Runtime.SetStatus(next)
		l.loads.set(len(next.Loading))
	}
}

// otherInstance handles the status of another lifetime of the server. If no status of
// the link's own lifetime has arrived yet, the sidecar still reports the previous one
// and the message is ignored. Otherwise the link's own lifetime has ended, and the
// server is marked as down.
func (l *link) otherInstance(id string) {
	st := l.endpoint.Runtime.Status()
	if st == nil || st.Down {
		return
	}
	l.log.Info().Str("endpoint", string(l.endpoint.ID)).Str("instance", id).Msg("sidecar reports another instance; server marked as down")
	l.endpoint.Runtime.SetStatus(&fleet.Status{ReceivedAt: time.Now(), Down: true})
}

// recorded is a stream whose updates a ledger numbers.
type recorded struct {
	grpc.BidiStreamingClient[fescuev1.DemandUpdate, fescuev1.ServerState]
	ledger *balance.Ledger
}

// Send implements grpc.BidiStreamingClient.
func (r recorded) Send(m *fescuev1.DemandUpdate) error {
	m.Number = r.ledger.Sent(balance.WorkOf(m))
	return r.BidiStreamingClient.Send(m) //nolint:wrapcheck // an error of the stream
}

// send sends updates of the demand until ctx ends or the stream fails.
func (l *link) send(ctx context.Context, cancel context.CancelFunc, stream grpc.BidiStreamingClient[fescuev1.DemandUpdate, fescuev1.ServerState]) {
	defer cancel()
	l.origins.addSenders(1)
	defer l.origins.addSenders(-1)
	tick := time.NewTicker(demandInterval)
	defer tick.Stop()
	var (
		sent   time.Time
		reload string
	)
	position := 0 // in l.origins
	var announced announcement
	for {
		now := time.Now()
		own := l.endpoint.Runtime.OwnWork()
		m, changed := l.demand.update(now, l.endpoint.ID, own)
		m.LoadsElsewhere = uint32(l.loads.elsewhere())
		m.SoftwareKnown = origin.EncodePeriod(now, l.softwareKnown())
		origins, next := l.origins.since(position)
		software, announce := announced.next(now, l.software.Load())
		m.ReloadModel = (*l.reloads.Load())[l.endpoint.ID]
		if changed || announce || len(origins) > 0 || m.ReloadModel != reload || now.Sub(sent) >= unchangedInterval {
			m.StreamOrigins = append(origins, software...)
			if sent.IsZero() {
				m.EntryId = l.entry
			}
			if err := stream.Send(m); err != nil {
				return
			}
			sent, reload, position = now, m.ReloadModel, next
		}
		select {
		case <-ctx.Done():
			return
		case <-l.demand.urgent:
		case <-tick.C:
		case <-l.origins.due:
		}
	}
}

// modelVersions returns the base models of a status report with the versions of their
// weights.
func modelVersions(m *fescuev1.ServerState) map[string]int {
	versions := m.GetModelVersions()
	models := make(map[string]int, len(m.GetModels()))
	for i, name := range m.GetModels() {
		models[name] = 0
		if i < len(versions) {
			models[name] = int(versions[i])
		}
	}
	return models
}

// status converts a status report that was received at the given time.
func status(now time.Time, m *fescuev1.ServerState) *fleet.Status {
	s := &fleet.Status{
		ReceivedAt:   now,
		Down:         m.GetDown(),
		Draining:     m.GetDraining(),
		Models:       modelVersions(m),
		Residents:    make(map[fleet.AdapterKey]int, len(m.GetResidents())),
		Free:         int(m.GetFree()),
		Evictable:    int(m.GetEvictable()),
		Loading:      make(map[fleet.AdapterKey]int, len(m.GetComing())),
		PendingLoads: int(m.GetWanted()),
		LoadTime:     time.Duration(m.GetLoadMs()) * time.Millisecond,
		LoadLimit:    int(m.GetLoadLimit()),
		InFlight:     int(m.GetInFlight()),
		Queued:       int(m.GetQueued()),
		CacheUsed:    int64(m.GetCacheUsed()),
		CacheTotal:   int64(m.GetCacheTotal()),
		WarmCopies:   int(m.GetWarmCopies()),
		Slowdown:     float64(m.GetSlowdownPercent()) / 100,
		Entries:      int(m.GetEntries()),
	}
	s.Backlog = fleet.BacklogOf(m.GetBacklogTokens())
	for _, a := range m.GetResidents() {
		s.Residents[fleet.AdapterKey{Model: a.GetModel(), Name: a.GetAdapter()}] = int(a.GetVersion())
	}
	for _, a := range m.GetComing() {
		s.Loading[fleet.AdapterKey{Model: a.GetModel(), Name: a.GetAdapter()}] = int(a.GetVersion())
	}
	return s
}
