package rollout

import (
	"context"
	"io"

	"github.com/cockroachdb/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/encoding/gzip"
	"google.golang.org/grpc/status"

	"github.com/fescuecourse/fescuecourse/api/fescuev1"
	"github.com/fescuecourse/fescuecourse/pkg/bundle"
)

// maxUploadBytes limits the total size of the parts that a process accepts from a
// peer for one bundle.
const maxUploadBytes = 24 << 20

// withGzip compresses calls that carry a root record or parts. Both are text: with
// 98,000 adapters a root record lists 512 hashes in hexadecimal.
var withGzip = grpc.UseCompressor(gzip.Name)

// errNoRoot means that a peer sent a part before the root record.
var errNoRoot = errors.New("part arrived before a verified root")

// PeerServer implements the bundle methods of the gRPC endpoint service for a
// Syncer. Its errors are gRPC statuses:
//   - PermissionDenied: the signatures of the root are not sufficient, or the root
//     does not follow the active one.
//   - ResourceExhausted: the bundle exceeds a size limit.
//   - AlreadyExists: the version is not above the active one.
//   - FailedPrecondition: parts are missing, or a part arrived before the root.
//   - Aborted: another upload is running.
//   - InvalidArgument: any other error.
type PeerServer struct {
	syncer *Syncer
	upload uploadSlot
}

// NewPeerServer returns a server that offers the active bundle of s to peers and
// adopts uploaded bundles into s.
func NewPeerServer(s *Syncer) *PeerServer { return &PeerServer{syncer: s} }

// errUploadInProgress rejects an offer or an upload while another upload runs.
var errUploadInProgress = status.Error(codes.Aborted, "another upload is running")

// OfferBundle verifies an offered root record and replies with the names of the
// parts to upload. A request without a record only asks whether the offered version
// is higher than the active one. While another upload runs, an offer of a higher
// version is rejected with the status Aborted; the caller may retry later.
func (p *PeerServer) OfferBundle(_ context.Context, req *fescuev1.OfferBundleRequest) (*fescuev1.OfferBundleReply, error) {
	reply := &fescuev1.OfferBundleReply{CurrentVersion: uint64(p.syncer.Version())}
	record := req.GetRoot().GetRecord()
	if len(record) == 0 && reply.CurrentVersion < req.GetRoot().GetVersion() && p.upload.isHeld() {
		return nil, errUploadInProgress
	}
	if len(record) == 0 {
		return reply, nil
	}
	_, names, err := p.syncer.Check(record)
	if errors.Is(err, ErrVersionNotHigher) {
		reply.CurrentVersion = uint64(p.syncer.Version())
		return reply, nil
	}
	if err != nil {
		return nil, toStatus(err)
	}
	if !p.upload.reserve() {
		return nil, errUploadInProgress
	}
	reply.MissingParts = names
	return reply, nil
}

// PutParts receives the root record in the first message, then the missing parts,
// and adopts the bundle. Only one upload runs at a time. Another one is rejected
// with the status Aborted, and the caller may retry later. A new upload replaces
// one that has made no progress for uploadStallTimeout.
func (p *PeerServer) PutParts(stream grpc.ClientStreamingServer[fescuev1.BundlePart, fescuev1.PutPartsReply]) error {
	ticket := p.upload.begin()
	if ticket == 0 {
		return errUploadInProgress
	}
	defer p.upload.end(ticket)
	c := &partCollector{syncer: p.syncer}
	for {
		m, err := stream.Recv()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return err
		}
		if !p.upload.progress(ticket) {
			return errUploadInProgress
		}
		if err := c.add(m.GetRoot(), m); err != nil {
			return toStatus(err)
		}
	}
	if err := c.adopt(); err != nil {
		return toStatus(err)
	}
	return stream.SendAndClose(&fescuev1.PutPartsReply{CurrentVersion: uint64(p.syncer.Version())})
}

// FetchBundle sends the root record of the active bundle and the parts that the
// caller does not have. It sends nothing if the caller's version is not lower.
func (p *PeerServer) FetchBundle(req *fescuev1.FetchBundleRequest, stream grpc.ServerStreamingServer[fescuev1.FetchBundleFrame]) error {
	active := p.syncer.ActiveBundle()
	if active == nil || uint64(active.Root.Version) <= req.GetHaveVersion() {
		return nil
	}
	if err := stream.Send(&fescuev1.FetchBundleFrame{Root: rootMessage(active)}); err != nil {
		return err
	}
	sent := map[string]bool{}
	for _, name := range req.GetHaveParts() {
		sent[name] = true
	}
	for _, name := range active.Root.Parts {
		if sent[name] {
			continue
		}
		sent[name] = true
		part := &fescuev1.BundlePart{Name: name, Content: []byte(active.Parts[name])}
		if err := stream.Send(&fescuev1.FetchBundleFrame{Part: part}); err != nil {
			return err
		}
	}
	return nil
}

// PushTo offers the active bundle to an endpoint and uploads the parts that the
// endpoint does not have. It returns the version that is active at the endpoint
// afterwards, or zero if no bundle is active here.
func (s *Syncer) PushTo(ctx context.Context, client fescuev1.EndpointClient) (uint64, error) {
	active := s.ActiveBundle()
	if active == nil {
		return 0, nil
	}
	// With 98,000 adapters a root record has tens of kilobytes, so the first offer
	// carries only the version.
	version := &fescuev1.BundleRoot{Version: uint64(active.Root.Version)}
	reply, err := client.OfferBundle(ctx, &fescuev1.OfferBundleRequest{Root: version})
	if err == nil && reply.GetCurrentVersion() < version.Version {
		reply, err = client.OfferBundle(ctx, &fescuev1.OfferBundleRequest{Root: rootMessage(active)}, withGzip)
	}
	if err != nil {
		return 0, errors.Wrap(err, "offer bundle")
	}
	if reply.GetCurrentVersion() >= uint64(active.Root.Version) {
		return reply.GetCurrentVersion(), nil
	}
	stream, err := client.PutParts(ctx, withGzip)
	if err != nil {
		return 0, errors.Wrap(err, "upload bundle")
	}
	if err := sendParts(stream, active, reply.GetMissingParts()); err != nil && !errors.Is(err, io.EOF) {
		return 0, errors.Wrap(err, "upload bundle")
	}
	done, err := stream.CloseAndRecv()
	return done.GetCurrentVersion(), errors.Wrap(err, "upload bundle")
}

func sendParts(stream grpc.ClientStreamingClient[fescuev1.BundlePart, fescuev1.PutPartsReply], active *ActiveBundle, names []string) error {
	if err := stream.Send(&fescuev1.BundlePart{Root: rootMessage(active)}); err != nil {
		return err
	}
	for _, name := range names {
		content, ok := active.Parts[name]
		if !ok {
			return errors.Wrapf(ErrMissingParts, "part %s", name)
		}
		if err := stream.Send(&fescuev1.BundlePart{Name: name, Content: []byte(content)}); err != nil {
			return err
		}
	}
	return nil
}

// FetchFrom fetches and adopts the bundle of an endpoint if its version is higher
// than the active one. It returns nil if there is nothing to fetch.
func (s *Syncer) FetchFrom(ctx context.Context, client fescuev1.EndpointClient) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	req := &fescuev1.FetchBundleRequest{HaveVersion: uint64(s.Version())}
	if active := s.ActiveBundle(); active != nil {
		for name := range active.Parts {
			req.HaveParts = append(req.HaveParts, name)
		}
	}
	stream, err := client.FetchBundle(ctx, req, withGzip)
	if err != nil {
		return errors.Wrap(err, "fetch bundle")
	}
	c := &partCollector{syncer: s}
	for {
		m, err := stream.Recv()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return errors.Wrap(err, "fetch bundle")
		}
		if err := c.add(m.GetRoot(), m.GetPart()); err != nil {
			return err
		}
	}
	if c.record == nil {
		return nil
	}
	return c.adopt()
}

// partCollector receives the root record and the parts of one bundle from a peer.
type partCollector struct {
	syncer *Syncer
	record []byte
	wanted map[string]bool
	parts  map[string]string
	bytes  int
}

// add accepts the root record first, and after it only parts that are still missing.
// Other parts are rejected.
func (c *partCollector) add(root *fescuev1.BundleRoot, part *fescuev1.BundlePart) error {
	if root != nil {
		return c.addRoot(root)
	}
	if c.record == nil {
		return errNoRoot
	}
	name, content := part.GetName(), part.GetContent()
	if !c.wanted[name] {
		return errors.Wrapf(bundle.ErrPartMismatch, "part %q is not missing", name)
	}
	c.bytes += len(content)
	if len(content) > bundle.MaxPartBytes || c.bytes > maxUploadBytes {
		return errors.Wrapf(bundle.ErrTooLarge, "%d bytes of parts", c.bytes)
	}
	if bundle.PartName(string(content)) != name {
		return errors.Wrapf(bundle.ErrPartMismatch, "part %s", name)
	}
	delete(c.wanted, name)
	c.parts[name] = string(content)
	return nil
}

func (c *partCollector) addRoot(root *fescuev1.BundleRoot) error {
	if c.record != nil {
		return errors.Wrap(bundle.ErrMalformedRoot, "second root")
	}
	_, names, err := c.syncer.Check(root.GetRecord())
	if err != nil {
		return err
	}
	c.record = root.GetRecord()
	c.parts = map[string]string{}
	c.wanted = map[string]bool{}
	for _, name := range names {
		c.wanted[name] = true
	}
	return nil
}

func (c *partCollector) adopt() error {
	if c.record == nil {
		return errNoRoot
	}
	return c.syncer.Adopt(c.record, c.parts)
}

func rootMessage(a *ActiveBundle) *fescuev1.BundleRoot {
	return &fescuev1.BundleRoot{Version: uint64(a.Root.Version), Record: a.Record}
}

// toStatus maps an error to a gRPC status as documented at PeerServer.
func toStatus(err error) error {
	code := codes.InvalidArgument
	switch {
	case errors.Is(err, bundle.ErrUnverified), errors.Is(err, ErrPreviousMismatch):
		code = codes.PermissionDenied
	case errors.Is(err, bundle.ErrTooLarge):
		code = codes.ResourceExhausted
	case errors.Is(err, ErrVersionNotHigher):
		code = codes.AlreadyExists
	case errors.Is(err, ErrMissingParts), errors.Is(err, errNoRoot):
		code = codes.FailedPrecondition
	}
	return status.Error(code, err.Error())
}
