package admitter

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
)

// pieces is a connection on which a text arrives in pieces of a fixed size.
type pieces struct {
	net.Conn
	text []byte
	size int
}

func (p *pieces) Read(b []byte) (int, error) {
	if len(p.text) == 0 {
		return 0, io.EOF
	}
	n := copy(b, p.text[:min(len(p.text), p.size)])
	p.text = p.text[n:]
	return n, nil
}

func (p *pieces) Write(b []byte) (int, error)      { return len(b), nil }
func (p *pieces) SetReadDeadline(time.Time) error  { return nil }
func (p *pieces) SetWriteDeadline(time.Time) error { return nil }
func (p *pieces) RemoteAddr() net.Addr             { return &net.TCPAddr{} }

// fuzzBounds are small, so that short texts reach them.
var fuzzBounds = Bounds{Connections: 4, PerAddress: 4, HeadBytes: 400, LineBytes: 100, Fields: 6, HeadMemory: 1 << 20}

// withinBounds reports whether the text begins with a head that no bound applies to.
func withinBounds(text []byte) bool {
	size, fields := 0, -1
	for line := range bytes.Lines(text) {
		size += len(line)
		if len(line) > fuzzBounds.LineBytes || size >= fuzzBounds.HeadBytes {
			return false
		}
		if len(bytes.TrimRight(line, "\r\n")) == 0 {
			return fields <= fuzzBounds.Fields
		}
		fields++
	}
	return false
}

// FuzzHeads guards against a reader that refuses a request within the bounds or changes what net/http reads from it, and
// against one that reads an unfinished head without end.
func FuzzHeads(f *testing.F) {
	get := "GET /a HTTP/1.1\r\nHost: h\r\n\r\n"
	post := "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 30\r\n\r\n" + strings.Repeat("\n", 30)
	chunked := "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\na\n\n\r\n0\r\n\r\n"
	for _, text := range []string{
		"", get, post, chunked, get + post + chunked + get, "\r\n\r\n" + get, strings.Repeat("\r\n", 300), "GET /" + strings.Repeat("x", 500),
		"GET / HTTP/1.1\nHost: h\n\n", "GET / HTTP/1.1\r\nHost: h\r\n" + strings.Repeat("a:\r\n", 5) + "\r\n", "GET / HTTP/1.1\r\n" + strings.Repeat("a:\r\n", 200),
		"GET / HTTP/1.1\r\nA: b\r\n c\r\n d\r\n\r\n", "GET / HTTP/1.1\r\nA: " + strings.Repeat("x", 300), "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n",
	} {
		for _, size := range []int{1, 7, 4096} {
			f.Add([]byte(text), size)
		}
	}
	f.Fuzz(func(t *testing.T, text []byte, size int) {
		size = max(1, size%8192)
		a := New(Options{Name: "fuzz", Bounds: fuzzBounds, Metrics: metrics.NewRegistry(), Logger: zap.NewNop()})
		source := &pieces{text: text, size: size}
		c := newConn(a, source)
		if !a.admit(c) {
			t.Fatal("not admitted")
		}
		// Whether net/http accepts some malformed heads depends on the pieces in which they arrive.
		plain := bufio.NewReader(&pieces{text: text, size: size})
		counted := bufio.NewReader(c)
		for first := true; ; first = false {
			consumed := len(text) - len(source.text) - counted.Buffered()
			want, wantErr := http.ReadRequest(plain)
			got, err := http.ReadRequest(counted)
			if c.refused.Load() {
				if err == nil {
					t.Fatal("a request was read after its refusal")
				}
				// A head of which a part arrived with the request before isn't known to this check.
				if first && withinBounds(text[consumed:]) && wantErr == nil {
					t.Fatalf("refused for %s within the bounds", c.evicted)
				}
				if read := len(text) - len(source.text); first && read > fuzzBounds.HeadBytes+max(size, 4096) {
					t.Fatalf("%d bytes read of a head", read)
				}
				return
			}
			if (err == nil) != (wantErr == nil) {
				t.Fatalf("read %v, directly %v", err, wantErr)
			}
			if err != nil {
				return
			}
			c.begin(active)
			wantBody, wantErr := io.ReadAll(want.Body)
			body, err := io.ReadAll(got.Body)
			if got.Method != want.Method || got.RequestURI != want.RequestURI || len(got.Header) != len(want.Header) ||
				!bytes.Equal(body, wantBody) || (err == nil) != (wantErr == nil) {
				t.Fatalf("another request than directly: %v, %v", got, want)
			}
			if err != nil {
				return
			}
			c.begin(idle)
		}
	})
}
