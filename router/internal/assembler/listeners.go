package assembler

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"time"

	"golang.org/x/sync/errgroup"

	"coltsfootplank/internal/admitter"
	"coltsfootplank/internal/loader"
)

const (
	// readHeaderTimeout is the longest time that a client may take to send the headers.
	readHeaderTimeout = 10 * time.Second
	// idleTimeout is the time after which idle connections are closed; callers reuse them after 12 s at most.
	idleTimeout = time.Minute
	// shutdownTimeout bounds the wait for idle connections at the end of a planned stop.
	shutdownTimeout = 5 * time.Second
)

// listeners are the bound addresses of a router.
type listeners struct {
	Callers net.Listener
	Peers   net.Listener
	Admin   net.Listener
	// Readiness is nil if the settings have no address for it.
	Readiness net.Listener
}

// listen binds all addresses, so that a port in use is reported at start.
func listen(settings *loader.Settings, closers *cleanups) (listeners, error) {
	var result listeners
	bounds := admitter.Derive(resources(settings.Limits))
	for _, l := range []struct {
		name    string
		address string
		bounds  admitter.Bounds
		target  *net.Listener
	}{
		{"callers", settings.Callers.Listen, bounds.Callers, &result.Callers},
		{"peers", settings.Peers.Listen, bounds.Peers, &result.Peers},
		{"operators", settings.Admin.Listen, bounds.Operators, &result.Admin},
		{"readiness", settings.Gateway.Readiness.Listen, bounds.Readiness, &result.Readiness},
	} {
		if l.address == "" {
			continue
		}
		config := l.bounds.ListenConfig()
		listener, err := config.Listen(context.Background(), "tcp", l.address)
		if err != nil {
			return result, &ListenError{Listener: l.name, Address: l.address, Cause: err}
		}
		// If its server has already closed the listener, closing it again fails without effect.
		closers.add(func() { _ = listener.Close() })
		*l.target = listener
	}
	return result, nil
}

// serveHTTP serves until ctx ends and then waits up to shutdownTimeout for open connections to finish.
func serveHTTP(ctx context.Context, listener net.Listener, admitter *admitter.Admitter, handler http.Handler, config *tls.Config, maxHeaderBytes int) error {
	server := &http.Server{
		Handler: handler, TLSConfig: config, ReadHeaderTimeout: readHeaderTimeout, MaxHeaderBytes: maxHeaderBytes,
		IdleTimeout: idleTimeout,
	}
	admitter.Server(server)
	listener = admitter.Listen(listener)
	group, groupCtx := errgroup.WithContext(ctx)
	group.Go(func() error {
		serve := server.Serve
		if config != nil {
			serve = func(l net.Listener) error { return server.ServeTLS(l, "", "") }
		}
		if err := serve(listener); !errors.Is(err, http.ErrServerClosed) {
			return Error.Wrap(err)
		}
		return nil
	})
	group.Go(func() error {
		<-groupCtx.Done()
		stop, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
		defer cancel()
		if err := server.Shutdown(stop); err != nil {
			return Error.Wrap(server.Close())
		}
		return nil
	})
	return group.Wait()
}
