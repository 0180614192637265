package runner

import (
	"context"
	"slices"
	"sync"
	"time"

	"coltsfootplank/internal/cataloguer"
	"coltsfootplank/internal/kernel"
	"coltsfootplank/internal/protocol"
)

// fifo is a scheduler without tiers and limits. It grants in order of arrival while engines have free slots.
type fifo struct {
	engines []EngineInfo
	queue   []queuedTicket
	used    map[string]string // holder/request to engine
	share   float64
	paused  func() bool

	// What the scheduler has received from its cell.
	loads       map[string]int
	leaving     map[string]bool
	convictions []*protocol.Conviction
	// found are the convictions that this scheduler reports as its own.
	found []*protocol.Conviction
}

type queuedTicket struct {
	holder string
	ticket *protocol.Ticket
}

func (f *fifo) SetEngines(_ time.Time, engines []EngineInfo)       { f.engines = engines }
func (f *fifo) SetWorkspaceWeights(map[string]float64)             {}
func (f *fifo) SetWorks(map[string]cataloguer.Work)                {}
func (f *fifo) SetCapacityShare(share float64)                     { f.share = share }
func (f *fifo) ObserveCache(time.Time, string, kernel.CacheEvents) {}
func (f *fifo) NextWake(time.Time) time.Time                       { return time.Time{} }
func (f *fifo) Backlog() [4]int                                    { return [4]int{len(f.queue)} }
func (f *fifo) Dump() any                                          { return map[string]int{"queue": len(f.queue), "used": len(f.used)} }
func (f *fifo) Submit(_ time.Time, holder string, ticket *protocol.Ticket) {
	f.queue = append(f.queue, queuedTicket{holder: holder, ticket: ticket})
}

func (f *fifo) ObserveLoad(_ time.Time, engine string, _ kernel.LoadReport, _ error) {
	f.loads[engine]++
}

func (f *fifo) SetLeaving(_ time.Time, engine string, leaving bool) { f.leaving[engine] = leaving }

func (f *fifo) AddConvictions(_ time.Time, convictions []*protocol.Conviction) {
	f.convictions = convictions
}

func (f *fifo) Convictions(time.Time) []*protocol.Conviction { return f.found }

func (f *fifo) Cancel(_ time.Time, holder, id string) {
	f.queue = slices.DeleteFunc(f.queue, func(queued queuedTicket) bool {
		return queued.holder == holder && queued.ticket.GetRequestId() == id
	})
}

func (f *fifo) Release(_ time.Time, holder string, release *protocol.Release) {
	delete(f.used, holder+"/"+release.GetRequestId())
}

func (f *fifo) DropHolder(_ time.Time, holder string) {
	f.queue = slices.DeleteFunc(f.queue, func(queued queuedTicket) bool { return queued.holder == holder })
	for key := range f.used {
		if len(key) > len(holder) && key[:len(holder)+1] == holder+"/" {
			delete(f.used, key)
		}
	}
}

func (f *fifo) Step(time.Time) []Decision {
	var decisions []Decision
	if f.paused() {
		return nil
	}
	for len(f.queue) > 0 {
		engine, ok := f.freeEngine()
		if !ok {
			break
		}
		queued := f.queue[0]
		f.queue = f.queue[1:]
		f.used[queued.holder+"/"+queued.ticket.GetRequestId()] = engine
		decisions = append(decisions, Decision{Holder: queued.holder, Grant: &protocol.Grant{
			RequestId: queued.ticket.GetRequestId(), Engine: engine, Attempt: queued.ticket.GetAttempt(),
		}})
	}
	return decisions
}

func (f *fifo) freeEngine() (string, bool) {
	for _, e := range f.engines {
		busy := 0
		for _, used := range f.used {
			if used == e.Name {
				busy++
			}
		}
		if busy < e.Slots {
			return e.Name, true
		}
	}
	return "", false
}

// fakeEngine implements only the polled calls: load reports and cache events.
type fakeEngine struct{ kernel.EngineProtocol }

func (fakeEngine) Load(context.Context) (kernel.LoadReport, error) {
	return kernel.LoadReport{Instance: "1", BatchSlots: 8}, nil
}

func (fakeEngine) CacheEvents(_ context.Context, after uint64) (kernel.CacheEvents, error) {
	return kernel.CacheEvents{Next: after}, nil
}

func init() {
	kernel.Engines.Register("fake", func(string) (kernel.EngineProtocol, func(), error) {
		return fakeEngine{}, func() {}, nil
	})
	kernel.Reporters.Register("fake", func(string) (kernel.Reporter, func(), error) {
		return fakeEngine{}, func() {}, nil
	})
}

// fakeCatalogue is an in-memory catalogue source. Tests replace the current catalogue with set.
type fakeCatalogue struct {
	mu      sync.Mutex
	current *cataloguer.Catalogue
	notify  map[int]func(*cataloguer.Catalogue)
	next    int
}

func (f *fakeCatalogue) Current() *cataloguer.Catalogue {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.current
}

func (f *fakeCatalogue) Subscribe(notify func(*cataloguer.Catalogue)) func() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.notify == nil {
		f.notify = make(map[int]func(*cataloguer.Catalogue))
	}
	id := f.next
	f.next++
	f.notify[id] = notify
	return func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		delete(f.notify, id)
	}
}

func newFakeCatalogue(slots int, pools ...string) *fakeCatalogue {
	c := &cataloguer.Catalogue{Revision: 1}
	for _, name := range pools {
		c.Pools = append(c.Pools, cataloguer.Pool{Name: name, Protocol: "fake", Upstreams: []cataloguer.Upstream{
			{Name: name + "-engine", Address: "127.0.0.1:1", Slots: slots, Registered: 7},
		}})
	}
	return &fakeCatalogue{current: c}
}

func (f *fakeCatalogue) set(current *cataloguer.Catalogue) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.current = current
	for _, notify := range f.notify {
		notify(current)
	}
}
