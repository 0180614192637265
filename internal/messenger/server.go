package messenger

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"golang.org/x/sync/errgroup"

	"coltsfootplank/internal/admitter"
	"coltsfootplank/internal/protocol"
	"coltsfootplank/internal/protocol/protocolconnect"
)

// shutdownTimeout bounds how long Serve waits for pending calls when it stops.
const shutdownTimeout = time.Second

// Session handles the messages of one holder's Schedule stream. Receive is called for each message in order, and
// Disconnected once after the last one, when the stream has ended. Neither may block.
type Session interface {
	Receive(message *protocol.HolderMessage)
	Disconnected(err error)
}

// Handlers answer the calls of other routers. Gossip, Snapshot, Claim, Rollout and Watch answer "unimplemented" if they are nil.
type Handlers struct {
	// Accept opens a session for a holder, which puts its messages into outbox. Closing the outbox ends the stream.
	Accept   func(hello *protocol.Hello, outbox *Outbox[protocol.SchedulerMessage]) Session
	Gossip   func(ctx context.Context, request *protocol.GossipRequest) (*protocol.GossipResponse, error)
	Snapshot func(ctx context.Context, request *protocol.SnapshotRequest) (*protocol.SnapshotResponse, error)
	Claim    func(ctx context.Context, request *protocol.ClaimRequest) (*protocol.ClaimResponse, error)
	Rollout  func(ctx context.Context, request *protocol.RolloutRequest) (*protocol.RolloutResponse, error)
	// Watch sends updates until ctx ends or send fails.
	Watch func(ctx context.Context, request *protocol.WatchRequest, send func(*protocol.WatchUpdate) error) error
}

// NewHandler returns the path prefix and the HTTP handler of the RouterService.
func NewHandler(handlers Handlers) (string, http.Handler) {
	path, handler := protocolconnect.NewRouterServiceHandler(&service{handlers: handlers}, connect.WithReadMaxBytes(maxMessageBytes))
	return path, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ctx := context.WithValue(r.Context(), controllerKey{}, http.NewResponseController(w))
		handler.ServeHTTP(w, r.WithContext(ctx))
	})
}

// Serve answers the calls of other routers on the listener until ctx ends. Without TLS, tlsConfig is nil. It returns
// the error of the server, or nil if ctx has ended. The admission bounds the connections; nil means no bound.
func Serve(ctx context.Context, listener net.Listener, handler http.Handler, tlsConfig *tls.Config, admission *admitter.Admitter) error {
	group, groupCtx := errgroup.WithContext(ctx)
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(tlsConfig == nil)
	protocols.SetHTTP2(tlsConfig != nil)
	server := &http.Server{
		Handler:           handler,
		Protocols:         protocols,
		TLSConfig:         tlsConfig,
		HTTP2:             http2Config(),
		ReadHeaderTimeout: CallTimeout,
		MaxHeaderBytes:    maxHeadBytes,
		BaseContext:       func(net.Listener) context.Context { return groupCtx },
	}
	if admission != nil {
		admission.Server(server)
		listener = admission.Listen(listener)
	}
	group.Go(func() error {
		serve := server.Serve
		if tlsConfig != nil {
			serve = func(l net.Listener) error { return server.ServeTLS(l, "", "") }
		}
		if err := serve(listener); ctx.Err() == nil {
			return Error.Wrap(err)
		}
		return nil
	})
	group.Go(func() error {
		<-groupCtx.Done()
		stopCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
		defer cancel()
		if server.Shutdown(stopCtx) != nil {
			_ = server.Close()
		}
		return nil
	})
	return group.Wait()
}

// controllerKey is the context key of a request's *http.ResponseController.
type controllerKey struct{}

type service struct {
	protocolconnect.UnimplementedRouterServiceHandler
	handlers Handlers
}

func (s *service) Schedule(ctx context.Context,
	stream *connect.BidiStream[protocol.HolderMessage, protocol.SchedulerMessage],
) error {
	controller, _ := ctx.Value(controllerKey{}).(*http.ResponseController)
	err := ServeStream(ctx, &serverStream{BidiStream: stream, controller: controller}, s.handlers.Accept)
	return connect.NewError(connect.CodeUnavailable, err)
}

// ServeStream runs the scheduler's end of one Schedule stream until it breaks or ctx ends. The error is never nil.
func ServeStream(ctx context.Context, raw RawStream[protocol.SchedulerMessage, protocol.HolderMessage],
	accept func(*protocol.Hello, *Outbox[protocol.SchedulerMessage]) Session,
) error {
	var session Session
	outbox := NewSchedulerOutbox()
	err := Pump(ctx, raw, outbox, &protocol.SchedulerMessage{Heartbeat: true}, func(message *protocol.HolderMessage) {
		if session == nil && message.GetHello() == nil {
			outbox.Close()
			return
		}
		if session == nil {
			session = accept(message.GetHello(), outbox)
		}
		session.Receive(message)
	})
	if session == nil {
		return &NoHelloError{}
	}
	session.Disconnected(err)
	return err
}

func (s *service) Gossip(ctx context.Context, request *protocol.GossipRequest) (*protocol.GossipResponse, error) {
	if s.handlers.Gossip == nil {
		return s.UnimplementedRouterServiceHandler.Gossip(ctx, request)
	}
	return s.handlers.Gossip(ctx, request)
}

func (s *service) Watch(ctx context.Context, request *protocol.WatchRequest,
	stream *connect.ServerStream[protocol.WatchUpdate],
) error {
	if s.handlers.Watch == nil {
		return s.UnimplementedRouterServiceHandler.Watch(ctx, request, stream)
	}
	return s.handlers.Watch(ctx, request, stream.Send)
}

func (s *service) Snapshot(ctx context.Context, request *protocol.SnapshotRequest) (*protocol.SnapshotResponse, error) {
	if s.handlers.Snapshot == nil {
		return s.UnimplementedRouterServiceHandler.Snapshot(ctx, request)
	}
	return s.handlers.Snapshot(ctx, request)
}

func (s *service) Claim(ctx context.Context, request *protocol.ClaimRequest) (*protocol.ClaimResponse, error) {
	if s.handlers.Claim == nil {
		return s.UnimplementedRouterServiceHandler.Claim(ctx, request)
	}
	return s.handlers.Claim(ctx, request)
}

func (s *service) Rollout(ctx context.Context, request *protocol.RolloutRequest) (*protocol.RolloutResponse, error) {
	if s.handlers.Rollout == nil {
		return s.UnimplementedRouterServiceHandler.Rollout(ctx, request)
	}
	return s.handlers.Rollout(ctx, request)
}

type serverStream struct {
	*connect.BidiStream[protocol.HolderMessage, protocol.SchedulerMessage]
	controller *http.ResponseController
}

// Interrupt sets read and write deadlines in the past, which makes Send and Receive return.
func (s *serverStream) Interrupt() {
	past := time.Unix(1, 0)
	_ = s.controller.SetReadDeadline(past)
	_ = s.controller.SetWriteDeadline(past)
}
