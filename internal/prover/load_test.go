package prover_test

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"coltsfootplank/internal/checker"
	"coltsfootplank/internal/holder"
	"coltsfootplank/internal/kernel"
)

const (
	loadDuration    = 16 * time.Second
	streamTimeout   = 40 * time.Second // deadline of streams
	deskTimeout     = 15 * time.Second // deadline of bookings and status requests
	disconnectAfter = 5                // tokens after which some callers disconnect
)

var errCallerGone = errors.New("the caller has disconnected")

// callerAnswer receives the answer to one request as its caller and records it.
type callerAnswer struct {
	reply       checker.Answer
	router      *router
	gone        bool
	disconnects bool
}

// newCallerAnswer returns the answer to a request for a number of tokens, which is the total of the upstream's final frame.
// The total that the router gives counts only if it differs from the tokens received, because it is what is checked.
func newCallerAnswer(r *router, reply checker.Answer, tokens int) *callerAnswer {
	reply.Total = tokens
	return &callerAnswer{router: r, reply: reply}
}

func (a *callerAnswer) Token(frame kernel.Frame) error {
	if frame.StreamID != a.reply.RequestID {
		a.reply.ForeignID = frame.StreamID
	}
	a.gone = a.gone || a.disconnects && frame.Index >= disconnectAfter
	if a.gone || a.router.ctx.Err() != nil {
		return errCallerGone
	}
	a.reply.Tokens = append(a.reply.Tokens, frame.Index)
	return nil
}

func (a *callerAnswer) Finish(total int) error {
	a.reply.Whole = a.router.ctx.Err() == nil
	if total != len(a.reply.Tokens) {
		a.reply.Total = total
	}
	return a.router.ctx.Err()
}

func (a *callerAnswer) Response(response kernel.ServiceResponse) error {
	a.reply.Whole = a.router.ctx.Err() == nil && response.Status == 200
	if a.reply.Key == "" && string(response.Body) != a.reply.RequestID {
		a.reply.ForeignID = string(response.Body)
	}
	return a.router.ctx.Err()
}

// serve sends one request to a router, waits for its end and returns what the caller received.
func (c *cluster) serve(name, workName, key string, tokens int, disconnects bool) checker.Answer {
	r := c.router(name)
	if c.network.WaitUnfrozen(r.ctx, name) != nil {
		return checker.Answer{}
	}
	work, ok := r.cataloguer.Current().Work(workName)
	if !ok || r.ctx.Err() != nil {
		return checker.Answer{}
	}
	c.mu.Lock()
	c.requestCount++
	number := uint64(c.requestCount)
	id := fmt.Sprintf("%s-%d", name, number)
	c.mu.Unlock()
	a := newCallerAnswer(r, checker.Answer{
		RequestID: id, Workspace: "caruaru", Work: workName, Key: key, Idempotent: work.Idempotent,
		Stream: tokens > 0, Router: name}, tokens)
	a.disconnects = disconnects
	request := &holder.Request{ID: id, Workspace: "caruaru", Work: work, Key: key, Method: work.Method, Path: work.Path,
		Model: work.Model, PromptTokens: 100, MaxTokens: tokens, PrefixHashes: []uint64{1}, Fingerprint: number,
		Arrived: time.Now(), Deadline: time.Now().Add(streamTimeout), Answer: a}
	if key != "" {
		request.Fingerprint = 7
	}
	if tokens == 0 {
		request.Deadline = time.Now().Add(deskTimeout)
	}
	refusal := r.holder.Serve(r.ctx, request)
	a.reply.At = time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	gone := refusal != nil && refusal.Code == holder.CodeCallerGone && r.ctx.Err() != nil
	switch {
	case !r.killed.IsZero(), gone:
		a.reply.Cut = !a.reply.Whole
	case refusal != nil:
		a.reply.Outcome, a.reply.Code = string(refusal.Outcome), string(refusal.Code)
	}
	c.history.Answers = append(c.history.Answers, a.reply)
	return a.reply
}

// call sends a request in the background to one of the live routers, chosen by index.
func (c *cluster) call(index int, work, key string, tokens int, disconnects bool) {
	live := c.liveRouters()
	c.group.Go(func() error {
		c.serve(live[index%len(live)], work, key, tokens, disconnects)
		return nil
	})
}

// runLoad generates a mixed load: streams of two tiers, some with callers that disconnect, bookings with idempotency keys
// that are repeated through other routers, status requests, and two bursts that have to be shed in part. The second burst
// is larger, because routers that can't reach each other temporarily have more schedulers and queues.
func (c *cluster) runLoad() {
	const step = 250 * time.Millisecond
	for i := range int(loadDuration / step) {
		c.call(i, "quick", "", 10, i%7 == 3)
		c.call(i+1, "tag", "", 20, false)
		if i%2 == 0 {
			key := fmt.Sprintf("key-%d", i)
			c.call(i/2, "booking", key, 0, false)
			c.call(i/2+1, "booking", key, 0, false)
			time.AfterFunc(6*time.Second, func() { c.call(i/2+2, "booking", key, 0, false) })
			c.call(i/2, "status", "", 0, false)
		}
		if i == 20 || i == 60 {
			for j := range 24 + i - 20 {
				c.call(j, "tag", "", 20, false)
			}
			for j := range 8 {
				c.call(j, "quick", "", 10, false)
			}
		}
		time.Sleep(step)
	}
}

// checkRecovery waits until all requests have ended, then fails the test unless every live router serves all kinds of
// work.
func (c *cluster) checkRecovery(t *testing.T) {
	for waited := time.Duration(0); len(c.openRequests()) > 0 && waited < 2*time.Minute; waited += time.Second {
		time.Sleep(time.Second)
	}
	if open := c.openRequests(); len(open) > 0 {
		t.Errorf("requests with neither an answer nor a refusal: %+v", open)
	}
	time.Sleep(20 * time.Second)
	for _, name := range c.liveRouters() {
		if c.router(name).holder.Draining() {
			continue
		}
		for _, probe := range []struct {
			work, key string
			tokens    int
		}{{"quick", "", 10}, {"tag", "", 10}, {"booking", "probe-" + name, 0}, {"status", "", 0}} {
			if reply := c.serve(name, probe.work, probe.key, probe.tokens, false); !reply.Whole {
				t.Errorf("router %s does not serve %s after the fault: %s (%s)", name, probe.work, reply.Code, reply.Outcome)
			}
		}
	}
}

// openRequests returns the unfinished requests of the live routers.
func (c *cluster) openRequests() []holder.RequestStatus {
	var open []holder.RequestStatus
	for _, name := range c.liveRouters() {
		open = append(open, c.router(name).holder.Requests()...)
	}
	return open
}
