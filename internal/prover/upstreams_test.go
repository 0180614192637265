package prover_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
	"sync"
	"time"

	"coltsfootplank/internal/checker"
	"coltsfootplank/internal/fakes"
	"coltsfootplank/internal/kernel"
)

const (
	prefillTime  = 30 * time.Millisecond
	tokenTime    = 20 * time.Millisecond
	deskTime     = 30 * time.Millisecond
	protocolName = "matrix" // prefix of the names of the fake plug-ins
)

var (
	errCrash = errors.New("the upstream crashed")
	errCut   = errors.New("the connection broke")
)

// upstreams maps addresses to the fake upstreams of all running cells. Each cell has its own addresses.
var upstreams sync.Map

func lookup(address string) *upstream {
	u, _ := upstreams.Load(address)
	return u.(*upstream)
}

func init() {
	kernel.Engines.Register(protocolName, func(address string) (kernel.EngineProtocol, func(), error) {
		return engineClient{upstream: lookup(address)}, func() {}, nil
	})
	kernel.Services.Register(protocolName+"_desk", func(address string) (kernel.ServiceProtocol, func(), error) {
		return deskClient{lookup(address)}, func() {}, nil
	})
}

// answerMode is what happens to the answers to requests that an upstream runs.
type answerMode int

const (
	answersNormal answerMode = iota
	// answersReset resets the connection before the first byte of an answer.
	answersReset
	// answersSilent sends no answers and keeps the connections open.
	answersSilent
	// answersHalf breaks the connection in the middle of an answer.
	answersHalf
)

// resumeMode is what happens to the resumes of streams.
type resumeMode int

const (
	resumesNormal resumeMode = iota
	// resumesFail gets an error answer.
	resumesFail
	// resumesForgotten gets the answer that the stream isn't known.
	resumesForgotten
	// resumesEnd gets an answer that ends at once in the regular way.
	resumesEnd
)

// upstream is a fake engine or order desk. Request IDs have the form "<router>-<number>", so that the messages from and to
// a frozen or dead router can be held back.
type upstream struct {
	name    string
	address string
	network *fakes.Network
	onStep  func(step, router string)

	mu          sync.Mutex
	instance    int
	down        bool
	crashed     chan struct{}
	slowdown    int
	stale       *kernel.LoadReport
	draining    bool
	cacheEvents bool
	answers     answerMode
	resumes     resumeMode
	streams     map[string]int // total tokens by stream ID, since the last crash
	running     int
	runs        []checker.Run
	cancelled   map[string]bool
	orders      []kernel.Order
}

func newUpstream(name, address string, network *fakes.Network) *upstream {
	u := &upstream{
		name: name, address: address, network: network, slowdown: 1, cacheEvents: true, crashed: make(chan struct{}),
		streams: make(map[string]int), cancelled: make(map[string]bool),
	}
	upstreams.Store(address, u)
	return u
}

func (u *upstream) set(change func()) {
	u.mu.Lock()
	defer u.mu.Unlock()
	change()
}

// crash ends all streams and refuses connections until restart.
func (u *upstream) crash() {
	u.set(func() {
		u.down = true
		u.instance++
		clear(u.streams)
		close(u.crashed)
		u.crashed = make(chan struct{})
	})
}

func (u *upstream) restart() { u.set(func() { u.down = false }) }

// startRun records a run, unless the upstream is down or the router can't send.
func (u *upstream) startRun(ctx context.Context, id string) (crashed chan struct{}, err error) {
	if err := u.waitUnfrozen(ctx, id); err != nil {
		return nil, &kernel.NotSentError{Address: u.name, Cause: err}
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.down {
		return nil, &kernel.NotSentError{Address: u.name, Cause: errCrash}
	}
	u.runs = append(u.runs, checker.Run{At: time.Now(), Upstream: u.name, RequestID: id})
	return u.crashed, nil
}

func (u *upstream) waitUnfrozen(ctx context.Context, id string) error {
	router, _, _ := strings.Cut(id, "-")
	return u.network.WaitUnfrozen(ctx, router)
}

// simulate waits for the duration of a processing step and then until the router can receive the result. It fails if the
// upstream crashes or the answer mode loses the result.
func (u *upstream) simulate(ctx context.Context, id string, crashed chan struct{}, step time.Duration) error {
	u.mu.Lock()
	timer := time.NewTimer(step * time.Duration(u.slowdown))
	u.mu.Unlock()
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return &kernel.ConnectionLostError{Address: u.name, Cause: ctx.Err()}
	case <-crashed:
		return &kernel.ConnectionLostError{Address: u.name, Cause: errCrash}
	case <-timer.C:
	}
	if err := u.waitUnfrozen(ctx, id); err != nil {
		return &kernel.ConnectionLostError{Address: u.name, Cause: err}
	}
	switch u.currentMode() {
	case answersReset:
		return &kernel.ConnectionLostError{Address: u.name, Cause: errCut}
	case answersSilent:
		select {
		case <-ctx.Done():
			return &kernel.ConnectionLostError{Address: u.name, Cause: ctx.Err()}
		case <-crashed:
			return &kernel.ConnectionLostError{Address: u.name, Cause: errCrash}
		}
	}
	return nil
}

func (u *upstream) currentMode() answerMode {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.answers
}

func (u *upstream) load(context.Context) (kernel.LoadReport, error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.down {
		return kernel.LoadReport{}, &kernel.NotSentError{Address: u.name, Cause: errCrash}
	}
	if u.stale != nil {
		return *u.stale, nil
	}
	return u.report(), nil
}

func (u *upstream) report() kernel.LoadReport {
	return kernel.LoadReport{
		Instance: fmt.Sprintf("%s-%d", u.name, u.instance), Running: u.running, BatchSlots: 4, KVTotal: 100_000,
		Draining: u.draining,
	}
}

// deskClient implements kernel.ServiceProtocol.
type deskClient struct{ *upstream }

func (d deskClient) Load(ctx context.Context) (kernel.LoadReport, error) { return d.load(ctx) }

func (d deskClient) Call(ctx context.Context, request kernel.ServiceRequest) (kernel.ServiceResponse, error) {
	crashed, err := d.startRun(ctx, request.RequestID)
	if err != nil {
		return kernel.ServiceResponse{}, err
	}
	if err := d.simulate(ctx, request.RequestID, crashed, deskTime); err != nil {
		return kernel.ServiceResponse{}, err
	}
	if d.currentMode() == answersHalf {
		return kernel.ServiceResponse{}, &kernel.ConnectionLostError{Address: d.name, Cause: errCut}
	}
	return kernel.ServiceResponse{Status: 200, Body: []byte(request.RequestID)}, nil
}

// engineClient implements kernel.EngineProtocol. Streams have token i at index i. Depending on its number, a stream also
// has a duplicate, foreign or reordered frame in the middle, or its connection breaks there.
type engineClient struct {
	kernel.EngineProtocol
	*upstream
}

func (e engineClient) Load(ctx context.Context) (kernel.LoadReport, error) { return e.load(ctx) }

func (e engineClient) Generate(ctx context.Context, request kernel.GenerateRequest) (kernel.TokenStream, error) {
	e.mu.Lock()
	_, seen := e.streams[request.StreamID]
	e.mu.Unlock()
	if seen {
		return nil, &kernel.RejectedError{Address: e.name, Status: 409, Body: "stream id seen before"}
	}
	crashed, err := e.startRun(ctx, request.StreamID)
	if err != nil {
		return nil, err
	}
	e.set(func() { e.streams[request.StreamID] = request.MaxTokens })
	if err := e.simulate(ctx, request.StreamID, crashed, prefillTime); err != nil {
		return nil, err
	}
	_, number, _ := strings.Cut(request.StreamID, "-")
	n, _ := strconv.Atoi(number)
	return &tokenStream{engine: e, ctx: ctx, crashed: crashed, id: request.StreamID, total: request.MaxTokens, flaw: n % 5}, nil
}

func (e engineClient) Resume(ctx context.Context, id string, from int) (kernel.TokenStream, error) {
	if err := e.waitUnfrozen(ctx, id); err != nil {
		return nil, &kernel.ConnectionLostError{Address: e.name, Cause: err}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	total, known := e.streams[id]
	switch {
	case e.down:
		return nil, &kernel.NotSentError{Address: e.name, Cause: errCrash}
	case e.resumes == resumesFail:
		return nil, &kernel.ConnectionLostError{Address: e.name, Cause: &kernel.RejectedError{Address: e.name, Status: 500}}
	case e.resumes == resumesEnd:
		return emptyStream{}, nil
	case !known || e.resumes == resumesForgotten:
		return nil, &kernel.StreamUnknownError{Address: e.name, StreamID: id}
	}
	return &tokenStream{engine: e, ctx: ctx, crashed: e.crashed, id: id, total: total, next: from}, nil
}

func (e engineClient) Cancel(ctx context.Context, id string) error {
	if err := e.waitUnfrozen(ctx, id); err != nil {
		return err
	}
	e.set(func() { e.cancelled[id] = true })
	return nil
}

func (e engineClient) CacheEvents(_ context.Context, after uint64) (kernel.CacheEvents, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.cacheEvents {
		return kernel.CacheEvents{Next: after + 7}, nil
	}
	return kernel.CacheEvents{
		Events: []kernel.CacheEvent{{Seq: after + 1, Kind: kernel.CacheStored, Hash: after % 3}}, Next: after + 1,
	}, nil
}

func (e engineClient) Order(_ context.Context, order kernel.Order) error {
	e.onStep("order", order.Orderer)
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, earlier := range e.orders {
		if earlier.Fencing > order.Fencing {
			return &kernel.StaleFencingError{Address: e.name, Fencing: order.Fencing}
		}
	}
	e.orders = append(e.orders, order)
	return nil
}

// emptyStream ends without a frame.
type emptyStream struct{}

func (emptyStream) Next() (kernel.Frame, error) { return kernel.Frame{}, io.EOF }
func (emptyStream) Close() error                { return nil }

// Flaws in the middle of a token stream.
const (
	flawNone = iota
	flawDuplicate
	flawForeign
	flawReordered
	flawCut
)

type tokenStream struct {
	engine  engineClient
	ctx     context.Context
	crashed chan struct{}
	id      string
	total   int
	next    int
	flaw    int
	queue   []kernel.Frame
}

func (s *tokenStream) Next() (kernel.Frame, error) {
	if len(s.queue) > 0 {
		frame := s.queue[0]
		s.queue = s.queue[1:]
		return frame, nil
	}
	if s.next > s.total {
		return kernel.Frame{}, io.EOF
	}
	if err := s.engine.simulate(s.ctx, s.id, s.crashed, tokenTime); err != nil {
		return kernel.Frame{}, err
	}
	index := s.next
	s.next++
	if index == s.total {
		return kernel.Frame{StreamID: s.id, Done: true, Total: s.total}, nil
	}
	router, _, _ := strings.Cut(s.id, "-")
	switch index {
	case s.total / 2:
		s.engine.onStep("mid_stream", router)
	case s.total - 1:
		s.engine.onStep("last_token", router)
	}
	frame := kernel.Frame{StreamID: s.id, Index: index, Token: strconv.Itoa(index)}
	if index != s.total/2 {
		return frame, nil
	}
	if s.engine.currentMode() == answersHalf {
		return kernel.Frame{}, &kernel.ConnectionLostError{Address: s.engine.name, Cause: errCut}
	}
	switch s.flaw {
	case flawDuplicate:
		s.queue = []kernel.Frame{{StreamID: s.id, Index: index - 1}, frame}
	case flawForeign:
		s.queue = []kernel.Frame{frame}
		return kernel.Frame{StreamID: "other", Index: index, Token: "foreign"}, nil
	case flawReordered:
		s.queue = []kernel.Frame{frame}
		s.next++
		return kernel.Frame{StreamID: s.id, Index: index + 1}, nil
	case flawCut:
		return kernel.Frame{}, &kernel.ConnectionLostError{Address: s.engine.name, Cause: errCut}
	}
	return frame, nil
}

func (s *tokenStream) Close() error { return nil }
