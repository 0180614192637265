package admitter

import (
	"bytes"
	"crypto/tls"
	"log"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"coltsfootplank/internal/accountant"
)

// defaultKeepIdle is how long an idle connection is kept for its caller while no idle timeout is published: four fifths of
// the usual 15 s.
const defaultKeepIdle = 12 * time.Second

// Options are the dependencies of an admitter.
type Options struct {
	// Name is that of the listener.
	Name   string
	Bounds Bounds
	// Published returns the published limits for new requests; nil means that there are none.
	Published func() Published
	// Encrypted states that the connections carry TLS, so that their heads can't be seen.
	Encrypted bool
	// HTTP2 states that connections may begin with the preface of HTTP/2, which has bounds of its own.
	HTTP2 bool
	// Account counts the connections and heads; it may be nil.
	Account *accountant.Accountant
	Metrics metrics.Registry
	Logger  *zap.Logger
}

// Admitter admits the connections of one listener.
type Admitter struct {
	options Options
	mu      sync.Mutex
	table   *table
	// causes holds a *causeLog for each Cause.
	causes sync.Map
}

// causeLog counts the refusals of one cause and allows one log line per second.
type causeLog struct {
	counter metrics.Counter
	since   atomic.Int64
	second  atomic.Int64
}

// New returns an admitter and registers its metrics.
func New(options Options) *Admitter {
	if options.Published == nil {
		options.Published = func() Published { return Published{} }
	}
	a := &Admitter{options: options, table: newTable(options.Bounds, options.Account)}
	for name, value := range map[string]func() int64{
		"connections":  func() int64 { return int64(a.table.open()) },
		"unfinished":   func() int64 { return int64(a.table.unfinished.Len()) },
		"idle":         func() int64 { return int64(a.table.idle.Len()) },
		"head_bytes":   func() int64 { return a.table.headMemory },
		"body_buffers": func() int64 { return a.table.bodyBuffers },
	} {
		metrics.NewRegisteredFunctionalGauge("clients."+options.Name+"."+name, options.Metrics, func() int64 {
			a.mu.Lock()
			defer a.mu.Unlock()
			return value()
		})
	}
	return a
}

// Listen returns a listener that admits the connections of another one, which has the configuration of the bounds.
func (a *Admitter) Listen(inner net.Listener) net.Listener {
	return &listener{Listener: inner, admitter: a}
}

// Server adds to a server what the admitter needs to know of its connections, which must come from Listen.
func (a *Admitter) Server(server *http.Server) {
	server.ConnState, server.ConnContext = a.connState, connContext
	server.ErrorLog = log.New(serverLog{a}, "", 0)
	if server.TLSConfig == nil {
		return
	}
	config := server.TLSConfig.Clone()
	config.NextProtos = nextProtocols(server.Protocols, config.NextProtos)
	// The callback is called once per handshake. Session tickets keep using the keys of the original configuration.
	config.GetConfigForClient = func(hello *tls.ClientHelloInfo) (*tls.Config, error) {
		c, ok := hello.Conn.(*conn)
		if !ok {
			return nil, nil
		}
		own := config.Clone()
		own.GetConfigForClient = nil
		own.VerifyConnection = func(state tls.ConnectionState) error {
			c.handshakeDone(state.NegotiatedProtocol == "h2")
			return nil
		}
		return own, nil
	}
	server.TLSConfig = config
}

// nextProtocols returns the protocols that net/http would add to those of a TLS configuration. It adds them to a copy, which
// the configuration of one client doesn't share.
func nextProtocols(enabled *http.Protocols, names []string) []string {
	names = slices.Clone(names)
	for _, p := range []struct {
		name string
		use  bool
	}{{"h2", enabled == nil || enabled.HTTP2()}, {"http/1.1", enabled == nil || enabled.HTTP1()}} {
		if p.use && !slices.Contains(names, p.name) {
			names = append(names, p.name)
		}
	}
	return names
}

// connState follows a connection from one request to the next.
func (a *Admitter) connState(netConn net.Conn, state http.ConnState) {
	if secure, ok := netConn.(*tls.Conn); ok {
		netConn = secure.NetConn()
	}
	c, ok := netConn.(*conn)
	if !ok {
		return
	}
	switch state {
	case http.StateActive, http.StateHijacked:
		c.begin(active)
	case http.StateIdle:
		c.begin(idle)
	}
}

// keepIdle returns how long an idle connection isn't closed for others.
func (a *Admitter) keepIdle() time.Duration {
	if timeout := a.options.Published().IdleTimeout; timeout > 0 {
		return timeout * 4 / 5
	}
	return defaultKeepIdle
}

// admit reports whether a new connection is served. Another one may be closed for it.
func (a *Admitter) admit(c *conn) bool {
	keepIdle := a.keepIdle()
	a.mu.Lock()
	closed, cause, ok := a.table.admit(&c.entry, time.Now(), keepIdle)
	a.mu.Unlock()
	if cause != "" {
		a.note(cause)
	}
	if closed != nil {
		a.close(closed, cause)
	}
	return ok
}

// close ends a connection that the table has removed, or counts it again if its request has begun meanwhile.
func (a *Admitter) close(e *entry, cause Cause) {
	if e.owner.evict(cause) {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.table.readmit(e, active, time.Now())
}

// note counts a refusal and logs it, at most once per second and cause.
func (a *Admitter) note(cause Cause) { a.noteText(cause, "") }

func (a *Admitter) noteText(cause Cause, text string) {
	found, ok := a.causes.Load(cause)
	if !ok {
		name := "clients." + a.options.Name + ".refused." + string(cause)
		found, _ = a.causes.LoadOrStore(cause, &causeLog{counter: metrics.GetOrRegisterCounter(name, a.options.Metrics)})
	}
	refusals := found.(*causeLog)
	refusals.counter.Inc(1)
	refusals.since.Add(1)
	now, last := time.Now().Unix(), refusals.second.Load()
	if now > last && refusals.second.CompareAndSwap(last, now) {
		a.options.Logger.Warn("clients refused", zap.String("listener", a.options.Name), zap.String("cause", string(cause)),
			zap.Int64("count", refusals.since.Swap(0)), zap.String("example", text))
	}
}

// serverLog takes the lines that net/http would write to stderr, one for each failed handshake.
type serverLog struct {
	admitter *Admitter
}

// Write logs the panic of a handler, and other lines once per second.
func (l serverLog) Write(line []byte) (int, error) {
	if bytes.Contains(line, []byte("panic")) {
		l.admitter.options.Logger.Error("panic in a handler", zap.ByteString("text", line))
		return len(line), nil
	}
	l.admitter.noteText(CauseServer, string(line))
	return len(line), nil
}

// listener admits the connections that it accepts.
type listener struct {
	net.Listener
	admitter *Admitter
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := newConn(l.admitter, accepted)
		if l.admitter.admit(c) {
			return c, nil
		}
		c.refuse(CauseConnections)
		_ = accepted.Close()
	}
}

// remoteAddress returns the IP address of a connection's client.
func remoteAddress(c net.Conn) netip.Addr {
	if tcp, ok := c.RemoteAddr().(*net.TCPAddr); ok {
		return tcp.AddrPort().Addr().Unmap()
	}
	return netip.Addr{}
}
