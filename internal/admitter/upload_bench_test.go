package admitter

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"testing"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"
)

// BenchmarkUpload measures bodies on a new connection with the bounds of the smallest deployment, with and without a receive buffer
// for them.
func BenchmarkUpload(b *testing.B) {
	bounds := Derive(Resources{Memory: 48 << 20, Descriptors: 2870, HeadBytes: 64 << 10, LineBytes: 16 << 10, Fields: 512}).Callers
	for _, size := range []int{64 << 10, 1 << 20, 4 << 20} {
		for _, enlarged := range []bool{false, true} {
			b.Run(fmt.Sprintf("%dKB/enlarged=%t", size>>10, enlarged), func(b *testing.B) {
				config := bounds.ListenConfig()
				listener, err := config.Listen(b.Context(), "tcp", "127.0.0.1:0")
				assert.NilError(b, err)
				server := &http.Server{Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
					if enlarged {
						ExpectBody(r.Context(), r.ContentLength)
					}
					read, err := io.Copy(io.Discard, r.Body)
					assert.Check(b, err == nil && read == r.ContentLength)
				})}
				a := New(Options{Name: "bench", Bounds: bounds, Metrics: metrics.NewRegistry(), Logger: zap.NewNop()})
				a.Server(server)
				var group errgroup.Group
				group.Go(func() error { return server.Serve(a.Listen(listener)) })
				body := bytes.Repeat([]byte("x"), size)
				b.SetBytes(int64(size))
				for b.Loop() {
					client := &http.Client{Transport: &http.Transport{}}
					response, err := client.Post("http://"+listener.Addr().String(), "text/plain", bytes.NewReader(body))
					assert.NilError(b, err)
					assert.NilError(b, response.Body.Close())
					client.CloseIdleConnections()
				}
				_ = server.Close()
				assert.Equal(b, group.Wait(), http.ErrServerClosed)
			})
		}
	}
}
