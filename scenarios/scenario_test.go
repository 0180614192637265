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
	// scenarioKey is the key of the *scenario in the values of a testscript environment.
	scenarioKey = "world"
	// portsPerScenario is the number of consecutive ports of one scenario. All ports are below the ephemeral range, so
	// that no outgoing connection can take one.
	portsPerScenario = 44
	firstPort        = 20_000
	lastPort         = 31_000
	// Offsets within the block: listeners of the stand-in, then those of router r1.
	portControl, portDesk, portCallers, portPeers, portAdmin = 0, 10, 31, 35, 39
	// callTimeout limits one call to the control port or an admin port.
	callTimeout = 2 * time.Second
)

var nextPort atomic.Int64

// CallError reports a response without a 2xx status.
type CallError struct {
	URL    string
	Status int
	Body   string
}

func (e *CallError) Error() string { return fmt.Sprintf("%s: status %d: %s", e.URL, e.Status, e.Body) }

// scenario holds the state of one running script: its processes and the recorded history.
type scenario struct {
	t         testscript.T
	directory string
	basePort  int
	ctx       context.Context
	group     *errgroup.Group
	// client calls the control port and admin ports; requests of callers use callerClient.
	client *http.Client

	mu              sync.Mutex
	processes       map[string]*process
	sendGroups      map[string]*errgroup.Group
	tokensReceived  map[string]int
	idempotencyKeys map[string]string
	answers         []answer
	events          map[eventKey]recorder.Event
	history         checker.History
}

func setUp(env *testscript.Env) error {
	ctx, cancel := context.WithCancel(context.Background())
	group, ctx := errgroup.WithContext(ctx)
	s := &scenario{
		t: env.T(), directory: env.WorkDir, basePort: freePortBlock(), ctx: ctx, group: group,
		client:    &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 8}},
		processes: make(map[string]*process), sendGroups: make(map[string]*errgroup.Group),
		tokensReceived: make(map[string]int), idempotencyKeys: make(map[string]string),
		events: make(map[eventKey]recorder.Event),
	}
	env.Values[scenarioKey] = s
	env.Defer(func() {
		cancel()
		s.killAll()
		_ = group.Wait()
		s.client.CloseIdleConnections()
	})
	return nil
}

// freePortBlock returns the first port of a block of portsPerScenario ports that can all be bound. The search starts at
// an offset that depends on the process id, so that concurrent test processes rarely try the same ports.
func freePortBlock() int {
	nextPort.CompareAndSwap(0, int64(firstPort+os.Getpid()%200*portsPerScenario))
	for {
		base := int(nextPort.Add(portsPerScenario))
		if base > lastPort {
			nextPort.Store(firstPort)
			continue
		}
		free := true
		for port := base; port < base+portsPerScenario && free; port++ {
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

// routerPort returns the port of a listener of router r1 to r4; offset is that of the same listener of r1.
func (s *scenario) routerPort(offset int, router string) int {
	number, _ := strconv.Atoi(strings.TrimPrefix(router, "r"))
	return s.basePort + offset + number - 1
}

// readFile returns the text of a file in the script's directory or else in testdata/shared.
func (s *scenario) readFile(name string) (string, error) {
	text, err := os.ReadFile(filepath.Join(s.directory, name))
	if os.IsNotExist(err) {
		text, err = os.ReadFile(filepath.Join("testdata", "shared", name))
	}
	return string(text), Error.Wrap(err)
}

// render writes a copy of a file in which the placeholders are replaced by names and ports, and returns its path.
func (s *scenario) render(name, router string) (string, error) {
	text, err := s.readFile(name)
	if err != nil {
		return "", err
	}
	filled := os.Expand(text, func(key string) string {
		switch key {
		case "NAME":
			return router
		case "CALLERS":
			return strconv.Itoa(s.routerPort(portCallers, router))
		case "PEERS":
			return strconv.Itoa(s.routerPort(portPeers, router))
		case "ADMIN":
			return strconv.Itoa(s.routerPort(portAdmin, router))
		}
		offset, _ := strconv.Atoi(strings.TrimPrefix(key, "P"))
		return strconv.Itoa(s.basePort + offset)
	})
	path := filepath.Join(s.directory, "rendered-"+router+name)
	return path, Error.Wrap(os.WriteFile(path, []byte(filled), 0o600))
}

// call sends one request to a port on loopback and returns the body of a 2xx response.
func (s *scenario) call(method string, port int, path, body string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(s.ctx, callTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address(port)+path, strings.NewReader(body))
	if err != nil {
		return nil, Error.Wrap(err)
	}
	response, err := s.client.Do(request)
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

// waitUntil polls a condition and reports whether it became true before the timeout.
func (s *scenario) waitUntil(timeout time.Duration, condition func() bool) bool {
	for deadline := time.Now().Add(timeout); ; time.Sleep(20 * time.Millisecond) {
		if condition() {
			return true
		}
		if s.ctx.Err() != nil || time.Now().After(deadline) {
			return false
		}
	}
}
