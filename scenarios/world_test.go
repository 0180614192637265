package scenarios

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
	"golang.org/x/sync/errgroup"

	"coltsfootplank/internal/checker"
	"coltsfootplank/internal/recorder"
)

const (
	worldKey = "world"
	// blockPorts is the number of neighbouring ports of one scenario. Ports are below the ephemeral range, so that
	// no outgoing connection takes one.
	blockPorts = 44
	firstPort  = 20_000
	lastPort   = 31_000
	// Offsets in the block: platform parts, and the first router's listeners.
	portControl, portDesk, portCallers, portPeers, portAdmin = 0, 10, 31, 35, 39
	// callTimeout bounds one call to a control port or a state dump.
	callTimeout = 2 * time.Second
)

var nextPort atomic.Int64

// CallError reports an answer with an unexpected status.
type CallError struct {
	URL    string
	Status int
	Body   string
}

func (e *CallError) Error() string { return fmt.Sprintf("%s: status %d: %s", e.URL, e.Status, e.Body) }

// world is one scenario: its processes and all that was seen of them.
type world struct {
	t         testscript.T
	directory string
	base      int
	ctx       context.Context
	group     *errgroup.Group
	// client calls control ports; callers use connections of their own.
	client *http.Client

	mu        sync.Mutex
	processes map[string]*process
	sends     map[string]*errgroup.Group
	progress  map[string]int
	keys      map[string]string
	answers   []answer
	events    map[eventKey]recorder.Event
	history   checker.History
}

func setUp(env *testscript.Env) error {
	ctx, cancel := context.WithCancel(context.Background())
	group, ctx := errgroup.WithContext(ctx)
	w := &world{
		t: env.T(), directory: env.WorkDir, base: freeBlock(), ctx: ctx, group: group,
		client:    &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 8}},
		processes: make(map[string]*process), sends: make(map[string]*errgroup.Group),
		progress: make(map[string]int), keys: make(map[string]string), events: make(map[eventKey]recorder.Event),
	}
	env.Values[worldKey] = w
	env.Defer(func() {
		cancel()
		w.endAll()
		_ = group.Wait()
		w.client.CloseIdleConnections()
	})
	return nil
}

// freeBlock returns the first port of a block in which every port can be bound.
func freeBlock() int {
	nextPort.CompareAndSwap(0, int64(firstPort+os.Getpid()%200*blockPorts))
	for {
		base := int(nextPort.Add(blockPorts))
		if base > lastPort {
			nextPort.Store(firstPort)
			continue
		}
		free := true
		for port := base; port < base+blockPorts && free; port++ {
			listener, err := net.Listen("tcp", address(port))
			if free = err == nil; free {
				_ = listener.Close()
			}
		}
		if free {
			return base
		}
	}
}

func address(port int) string { return "127.0.0.1:" + strconv.Itoa(port) }

// routerPort returns a port of router r1 to r4.
func (w *world) routerPort(first int, router string) int {
	number, _ := strconv.Atoi(strings.TrimPrefix(router, "r"))
	return w.base + first + number - 1
}

// source returns a file of the script, or of testdata/shared.
func (w *world) source(name string) (string, error) {
	text, err := os.ReadFile(filepath.Join(w.directory, name))
	if os.IsNotExist(err) {
		text, err = os.ReadFile(filepath.Join("testdata", "shared", name))
	}
	return string(text), Error.Wrap(err)
}

// render returns the path of a copy of a file with its placeholders filled in.
func (w *world) render(name, router string) (string, error) {
	text, err := w.source(name)
	if err != nil {
		return "", err
	}
	filled := os.Expand(text, func(key string) string {
		switch key {
		case "NAME":
			return router
		case "CALLERS":
			return strconv.Itoa(w.routerPort(portCallers, router))
		case "PEERS":
			return strconv.Itoa(w.routerPort(portPeers, router))
		case "ADMIN":
			return strconv.Itoa(w.routerPort(portAdmin, router))
		}
		offset, _ := strconv.Atoi(strings.TrimPrefix(key, "P"))
		return strconv.Itoa(w.base + offset)
	})
	path := filepath.Join(w.directory, "rendered-"+router+name)
	return path, Error.Wrap(os.WriteFile(path, []byte(filled), 0o600))
}

// call sends one request to a control or administration port and returns the body of a 2xx answer.
func (w *world) call(method string, port int, path, body string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(w.ctx, callTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address(port)+path, strings.NewReader(body))
	if err != nil {
		return nil, Error.Wrap(err)
	}
	response, err := w.client.Do(request)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	if err == nil && response.StatusCode >= http.StatusMultipleChoices {
		return nil, &CallError{URL: request.URL.String(), Status: response.StatusCode, Body: string(text)}
	}
	return text, Error.Wrap(err)
}

// until repeats a check until it holds or the limit is over.
func (w *world) until(limit time.Duration, check func() bool) bool {
	for end := time.Now().Add(limit); ; time.Sleep(20 * time.Millisecond) {
		if check() {
			return true
		}
		if w.ctx.Err() != nil || time.Now().After(end) {
			return false
		}
	}
}
