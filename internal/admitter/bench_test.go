package admitter

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"
)

// BenchmarkRequest measures a request on an open connection, with and without the reader.
func BenchmarkRequest(b *testing.B) {
	for _, c := range []struct {
		name  string
		admit bool
	}{{"plain", false}, {"admitted", true}} {
		b.Run(c.name, func(b *testing.B) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(b, err)
			server := &http.Server{
				Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}), ReadHeaderTimeout: 10 * time.Second, IdleTimeout: time.Minute,
			}
			served := listener
			if c.admit {
				a := New(Options{Name: "bench", Bounds: testBounds, Metrics: metrics.NewRegistry(), Logger: zap.NewNop()})
				a.Server(server)
				served = a.Listen(listener)
			}
			var group errgroup.Group
			group.Go(func() error { return server.Serve(served) })
			connection, err := net.Dial("tcp", listener.Addr().String())
			assert.NilError(b, err)
			reader := bufio.NewReader(connection)
			b.ReportAllocs()
			for b.Loop() {
				_, err := io.WriteString(connection, "GET / HTTP/1.1\r\nHost: h\r\nId: 1\r\n\r\n")
				assert.NilError(b, err)
				response, err := http.ReadResponse(reader, nil)
				assert.NilError(b, err)
				assert.NilError(b, response.Body.Close())
				assert.Equal(b, response.StatusCode, http.StatusOK)
			}
			_ = connection.Close()
			_ = server.Close()
			assert.Equal(b, group.Wait(), http.ErrServerClosed)
		})
	}
}
