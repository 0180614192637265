package admitter

import (
	"bufio"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"coltsfootplank/internal/connector"
)

var testBounds = Bounds{Connections: 4, PerAddress: 4, HeadBytes: 8000, LineBytes: 3000, Fields: 100, HeadMemory: 1 << 20}

// startServer starts a server that answers with the length of the body and counts the requests that it runs.
func startServer(t *testing.T, published func() Published) (*httptest.Server, *atomic.Int64) {
	t.Helper()
	var runs atomic.Int64
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		runs.Add(1)
		body, _ := io.ReadAll(r.Body)
		_, _ = fmt.Fprintf(w, "%s %d", r.Proto, len(body))
	}))
	a := New(Options{
		Name: "test", Bounds: testBounds, Published: published, Metrics: metrics.NewRegistry(), Logger: zap.NewNop(),
	})
	server.Listener = a.Listen(server.Listener)
	server.Config.ReadHeaderTimeout, server.Config.IdleTimeout = 10*time.Second, time.Minute
	// httptest follows the connections, too, and calls the function that it finds.
	a.Server(server.Config)
	server.Start()
	t.Cleanup(server.Close)
	return server, &runs
}

// dial opens a connection to a server.
func dial(t *testing.T, server *httptest.Server) (net.Conn, *bufio.Reader) {
	t.Helper()
	c, err := net.Dial("tcp", server.Listener.Addr().String())
	assert.NilError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	assert.NilError(t, c.SetDeadline(time.Now().Add(5*time.Second)))
	return c, bufio.NewReader(c)
}

func readAnswer(t *testing.T, reader *bufio.Reader) (int, string) {
	t.Helper()
	response, err := http.ReadResponse(reader, nil)
	assert.NilError(t, err)
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	return response.StatusCode, string(body)
}

const start = "POST / HTTP/1.1\r\nHost: h\r\n"

// TestRequestsWithinBounds guards against bounds on heads that count the bytes of bodies or of further requests.
func TestRequestsWithinBounds(t *testing.T) {
	lines := strings.Repeat("\n", 50_000)
	long := strings.Repeat("x", 50_000)
	stated := func(body string) string { return fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", start, len(body), body) }
	chunked := start + "Transfer-Encoding: chunked\r\n\r\n" + strings.Repeat("1\r\n\n\r\n", 5000) + "0\r\n\r\n"
	for _, c := range []struct {
		name string
		sent []string
		want []string
	}{
		{"lines in a body", []string{stated(lines)}, []string{"50000"}},
		{"a long line in a body", []string{stated(long)}, []string{"50000"}},
		{"chunks", []string{chunked}, []string{"5000"}},
		{"all at once", []string{stated(lines) + chunked + stated(long) + stated("")}, []string{"50000", "5000", "50000", "0"}},
		{"a body in pieces", []string{stated(lines)[:300], stated(lines)[300:] + start, "Content-Length: 0\r\n\r\n"}, []string{"50000", "0"}},
		{"a head in pieces", []string{"PO", "ST / HTTP/1.1\r\nHo", "st: h\r\nContent-Length: 2\r\n", "\r\n\n\n"}, []string{"2"}},
		{"as many fields as allowed", []string{start + strings.Repeat("a: b\r\n", 98) + "Content-Length: 0\r\n\r\n"}, []string{"0"}},
		{"many small requests", []string{strings.Repeat(stated(""), 500)}, strings.Fields(strings.Repeat("0 ", 500))},
	} {
		t.Run(c.name, func(t *testing.T) {
			server, _ := startServer(t, nil)
			connection, reader := dial(t, server)
			var group sync.WaitGroup
			group.Go(func() {
				for _, piece := range c.sent {
					_, _ = io.WriteString(connection, piece)
					time.Sleep(20 * time.Millisecond)
				}
			})
			for _, want := range c.want {
				status, body := readAnswer(t, reader)
				assert.Equal(t, fmt.Sprint(status, " ", body), "200 HTTP/1.1 "+want)
			}
			group.Wait()
		})
	}
}

// TestRefusedHeads guards against heads over a bound that aren't refused with the status that names the cause, against clients
// that extend the time for a head, and against requests that run although they were refused.
func TestRefusedHeads(t *testing.T) {
	published := func() Published {
		return Published{HeadBytes: 6000, HeadTimeout: 300 * time.Millisecond, IdleTimeout: 200 * time.Millisecond}
	}
	for _, c := range []struct {
		name, sent, trickled string
		status               int
		cause                Cause
	}{
		{"fields", start + strings.Repeat("a:\r\n", 1500), "", 431, CauseFields},
		{"a field cut off by the refusal", start + strings.Repeat("a:\r\n", 700) + "\r", "", 431, CauseFields},
		{"field", start + "a: " + strings.Repeat("x", 5500), "", 431, CauseLineBytes},
		{"request line", "GET /" + strings.Repeat("x", 5500), "", 431, CauseLineBytes},
		{"published size", start + strings.Repeat("a: "+strings.Repeat("x", 900)+"\r\n", 7), "", 431, CauseHeadBytes},
		{"silence", start, "", 408, CauseHeadTimeout},
		{"trickle", start, "x", 408, CauseHeadTimeout},
		{"trickle after a request", start + "Content-Length: 0\r\n\r\n" + start, "x", 408, CauseHeadTimeout},
	} {
		t.Run(c.name, func(t *testing.T) {
			server, runs := startServer(t, published)
			connection, reader := dial(t, server)
			_, err := io.WriteString(connection, c.sent)
			assert.NilError(t, err)
			stop := make(chan struct{})
			var group sync.WaitGroup
			defer group.Wait()
			defer close(stop)
			group.Go(func() {
				for {
					select {
					case <-stop:
						return
					case <-time.After(20 * time.Millisecond):
						_, _ = io.WriteString(connection, c.trickled)
					}
				}
			})
			whole := int64(strings.Count(c.sent, "\r\n\r\n"))
			for range whole {
				_, _ = readAnswer(t, reader)
			}
			status, body := readAnswer(t, reader)
			assert.Equal(t, fmt.Sprint(status, " ", body), fmt.Sprint(c.status, " ", c.cause, "\n"))
			assert.Equal(t, runs.Load(), whole)
			rest, _ := io.ReadAll(reader)
			assert.Equal(t, string(rest), "", "a second answer")
		})
	}
}

// TestEmptyLines guards against lines before a request that net/http reads without end.
func TestEmptyLines(t *testing.T) {
	server, runs := startServer(t, nil)
	connection, reader := dial(t, server)
	_, err := io.WriteString(connection, strings.Repeat("\r\n", 1500))
	assert.NilError(t, err)
	status, _ := readAnswer(t, reader)
	assert.Equal(t, status, http.StatusBadRequest)
	assert.Equal(t, runs.Load(), int64(0))
}

// TestIdleConnections guards against idle connections that stay open beyond the published time, and against a change of the
// published limits that closes a connection early.
func TestIdleConnections(t *testing.T) {
	var timeout atomic.Int64
	server, _ := startServer(t, func() Published { return Published{IdleTimeout: time.Duration(timeout.Load())} })
	connection, reader := dial(t, server)
	for _, published := range []time.Duration{time.Second, 100 * time.Millisecond} {
		timeout.Store(int64(published))
		_, err := io.WriteString(connection, start+"Content-Length: 0\r\n\r\n")
		assert.NilError(t, err)
		_, _ = readAnswer(t, reader)
		time.Sleep(50 * time.Millisecond)
		timeout.Store(int64(time.Millisecond))
		time.Sleep(published / 4)
	}
	begin := time.Now()
	_, err := reader.ReadByte()
	assert.Equal(t, err, io.EOF)
	assert.Assert(t, time.Since(begin) < time.Second)
}

// TestCrowdedListener guards against unfinished heads that keep a new connection out, against a closed connection that counts
// on, and against TLS that loses HTTP/2 or whose connections are closed as idle heads.
func TestCrowdedListener(t *testing.T) {
	for _, c := range []struct {
		name      string
		encrypted bool
		http1     bool
		major     int
	}{{"plain", false, true, 1}, {"TLS with HTTP/1.1", true, true, 1}, {"TLS with HTTP/2", true, false, 2}} {
		t.Run(c.name, func(t *testing.T) {
			certificates := httptest.NewTLSServer(nil)
			defer certificates.Close()
			a := New(Options{Name: "test", Bounds: testBounds, Encrypted: c.encrypted, Metrics: metrics.NewRegistry(), Logger: zap.NewNop()})
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)
			server := &http.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}), ReadHeaderTimeout: 10 * time.Second}
			transport := &http.Transport{TLSClientConfig: &tls.Config{InsecureSkipVerify: true}, ForceAttemptHTTP2: !c.http1}
			client, scheme := &http.Client{Transport: transport}, "http://"
			if c.encrypted {
				server.TLSConfig, scheme = &tls.Config{Certificates: certificates.TLS.Certificates}, "https://"
			}
			a.Server(server)
			var group errgroup.Group
			group.Go(func() error {
				if c.encrypted {
					return server.ServeTLS(a.Listen(listener), "", "")
				}
				return server.Serve(a.Listen(listener))
			})
			for range 3 {
				for range 6 {
					connection, err := net.Dial("tcp", listener.Addr().String())
					assert.NilError(t, err)
					defer func() { _ = connection.Close() }()
					_, _ = io.WriteString(connection, "\x16\x03\x01\x40\x00\x01\x00\x3f\xfc\x03\x03")
				}
				time.Sleep(50 * time.Millisecond)
				for range 2 {
					response, err := client.Get(scheme + listener.Addr().String())
					assert.NilError(t, err)
					assert.Equal(t, response.StatusCode, http.StatusOK)
					assert.Equal(t, response.ProtoMajor, c.major)
					assert.Equal(t, response.TLS != nil, c.encrypted)
					assert.NilError(t, response.Body.Close())
				}
				client.CloseIdleConnections()
			}
			assert.NilError(t, server.Close())
			assert.Equal(t, group.Wait(), http.ErrServerClosed)
		})
	}
}

// TestHeadFinishedWhileClosed guards against a request that is cut off, or a connection that isn't counted any more, because its
// head was finished just when it was chosen to be closed.
func TestHeadFinishedWhileClosed(t *testing.T) {
	for _, c := range []struct {
		name string
		// finish ends the head before or after the connection is told to close.
		finishFirst bool
	}{{"before", true}, {"after", false}} {
		t.Run(c.name, func(t *testing.T) {
			a := New(Options{Name: "test", Bounds: testBounds, Metrics: metrics.NewRegistry(), Logger: zap.NewNop()})
			near, far := net.Pipe()
			defer func() { _ = far.Close() }()
			chosen := newConn(a, near)
			assert.Assert(t, a.admit(chosen))
			a.table.remove(&chosen.entry)
			if c.finishFirst {
				chosen.begin(active)
			}
			a.close(&chosen.entry, CauseConnections)
			chosen.begin(active)
			assert.Equal(t, a.table.open(), 1)
			assert.Equal(t, a.table.closing, 0)
			var group sync.WaitGroup
			group.Go(func() { _, _ = far.Write([]byte("x")) })
			_, err := chosen.Read(make([]byte, 1))
			assert.NilError(t, err)
			group.Wait()
			assert.NilError(t, chosen.Close())
			assert.Equal(t, a.table.open(), 0)
		})
	}
}

// TestReset guards against a connection that can't be reset through the listener, whose caller would take a broken answer of
// HTTP/1.0 for a whole one.
func TestReset(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	a := New(Options{Name: "test", Bounds: testBounds, Metrics: metrics.NewRegistry(), Logger: zap.NewNop()})
	listener := a.Listen(inner)
	defer func() { _ = listener.Close() }()
	client, err := net.Dial("tcp", inner.Addr().String())
	assert.NilError(t, err)
	defer func() { _ = client.Close() }()
	accepted, err := listener.Accept()
	assert.NilError(t, err)
	connector.Reset(accepted)
	_, err = client.Read(make([]byte, 1))
	assert.Assert(t, errors.Is(err, syscall.ECONNRESET), "%v", err)
}
