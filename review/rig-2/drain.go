package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	// drainBound is drain_ms.
	drainBound = 2 * time.Second
	// lingering is how long an engine whose entry was removed goes on serving.
	lingering = 8 * time.Second
	cycles    = 8
	cycleTime = 11 * time.Second
)

// The routers that the store turns away. They are ranked first and second for reading the directory for their data centre.
const (
	firstReader  = "frontend-recife-a-5"
	secondReader = "frontend-recife-a-4"
)

// step is one event of a cycle.
type step struct {
	at     time.Duration
	router string
	mode   mode
	// leave and join are set when an engine leaves or a new one joins.
	leave, join bool
}

// steps of a cycle: the store turns two of the six routers away for a second and serves the others. 0.6 s later an engine's entry
// is removed, and 0.1 s after that another engine joins.
var steps = []step{
	{at: 0, router: firstReader, mode: resetting},
	{at: 0, router: secondReader, mode: resetting},
	{at: 1000 * time.Millisecond, router: firstReader, mode: passing},
	{at: 1000 * time.Millisecond, router: secondReader, mode: passing},
	{at: 1600 * time.Millisecond, leave: true},
	{at: 1700 * time.Millisecond, join: true},
}

// departure is an engine whose entry was removed.
type departure struct {
	id    string
	acked time.Time
}

// desk is a safe route to a plain service.
func desk(service string) map[string]any {
	return map[string]any{
		"name": "r-nr26tta", "host": host, "path_prefix": "/cufi504/", "route_kind": "safe", "timeout_ms": 600, "answer_target_ms": 100,
		"priority": 2, "service": service, "attempts": 2, "public": false, "sticky": false, "resumable": false,
	}
}

// drain checks that an engine gets no request later than drainBound after the store has acknowledged the removal of its entry,
// from routers whose own paths are never disturbed.
func drain(b *bench) (bool, error) {
	f := &fleet{store: b.store, record: b.record, zone: "recife-a", service: "order-desk"}
	service := map[string]any{"name": f.service, "health_path": "/health", "connection_limit": 244, "protocol": "h1", "tls": false}
	b.store.putJSON(topicOperator, "config", configuration(7, desk(f.service), service))
	var engines []*engine
	for range 4 {
		e, err := f.start("127.0.0.1:0")
		if err != nil {
			return false, err
		}
		engines = append(engines, e)
	}
	var names []string
	for i := range 6 {
		names = append(names, fmt.Sprintf("frontend-recife-a-%d", i+1))
	}
	if err := b.routers.add(names, f.zone, b.store.address); err != nil {
		return false, err
	}
	if err := b.routers.startAll(); err != nil {
		return false, err
	}
	stop := make(chan struct{})
	senders := &senders{sent: make(map[string]*call)}
	go senders.run(b, stop)
	time.Sleep(2 * contact)
	var departures []departure
	for range cycles {
		began := time.Now()
		for _, s := range steps {
			time.Sleep(time.Until(began.Add(s.at)))
			if !b.trouble && s.router != "" {
				continue
			}
			switch {
			case s.leave:
				e := engines[0]
				engines = engines[1:]
				departures = append(departures, departure{e.id, e.withdraw()})
				b.record.printf("engine %s leaves: its entry is removed", e.id)
				time.AfterFunc(lingering, e.end)
			case s.join:
				e, err := f.start("127.0.0.1:0")
				if err != nil {
					return false, err
				}
				engines = append(engines, e)
				b.record.printf("engine %s joins", e.id)
			default:
				b.routers.find(s.router).store.set(s.mode)
				b.record.printf("the store and %s: %s", s.router, s.mode)
			}
		}
		time.Sleep(time.Until(began.Add(cycleTime)))
	}
	close(stop)
	return countLate(b, f, senders, departures), nil
}

// senders sends safe requests to all routers in turn and remembers which router got which.
type senders struct {
	mu   sync.Mutex
	sent map[string]*call
}

func (s *senders) run(b *bench, stop <-chan struct{}) {
	tick := time.NewTicker(15 * time.Millisecond)
	defer tick.Stop()
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-tick.C:
		}
		to := b.routers.list[i%len(b.routers.list)]
		c := &call{
			id: newAttempt("r"), method: http.MethodGet, path: "/cufi504/fi50/2f", deadline: 600 * time.Millisecond, router: to,
			sentAt: time.Now(),
		}
		s.mu.Lock()
		s.sent[c.id] = c
		s.mu.Unlock()
		go c.send(b.record, to)
	}
}

// countLate counts the requests that reached an engine later than the bound after its departure, through routers in touch.
func countLate(b *bench, f *fleet, s *senders, departures []departure) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	total := 0
	for _, d := range departures {
		late, latest := 0, time.Duration(0)
		by := make(map[string]int)
		for _, a := range f.all() {
			c := s.sent[a.id]
			after := a.at.Sub(d.acked)
			if a.engine != d.id || after <= drainBound || c == nil || c.router.name == firstReader || c.router.name == secondReader {
				continue
			}
			late, latest = late+1, max(latest, after)
			by[c.router.name]++
		}
		total += late
		b.record.say("engine %s, entry removed at %.3f s: %d requests later than %s, the last after %s, by router %v",
			d.id, b.record.since(d.acked), late, drainBound, latest.Round(time.Millisecond), by)
	}
	b.record.say("%d late requests", total)
	return total > 0
}
