package main

import (
	"fmt"
	"sync"
	"time"
)

const (
	contact = 3 * time.Second
	apiKey  = "i9n73hh2b9wu3fexd9dn"
	// backAfter is how long a crashed engine is away.
	backAfter = 2 * time.Second
	// repeatEvery is the time between two attempts of the requester whose request crashes engines.
	repeatEvery = 4 * time.Second
	deadlyPath  = "/desk/book-17"
	// allowedRetries is how many retries may reach engines once the request has crashed the third engine.
	allowedRetries = 3
)

// deadlyConfiguration has a route to a service of plain engines, whose requests may run at most once, and one to a
// service of model engines.
func deadlyConfiguration() map[string]any {
	return map[string]any{
		"version": 7,
		"routes": []any{
			map[string]any{
				"name": "r-book", "host": host, "path_prefix": "/desk/", "route_kind": "unsafe", "timeout_ms": 1500, "answer_target_ms": 300,
				"priority": 2, "service": "order-desk", "attempts": 1, "public": false, "sticky": false,
			},
			map[string]any{
				"name": "r-ask", "host": host, "path_prefix": "/ask/", "route_kind": "streaming", "timeout_ms": 10000, "answer_target_ms": 500,
				"priority": 1, "service": "lid-model", "attempts": 1, "public": false, "sticky": true, "resumable": false, "gap_target_ms": 300,
			},
		},
		"services": []any{
			map[string]any{
				"name": "lid-model", "health_path": "/health", "connection_limit": 643, "protocol": "h1", "tls": false,
				"engine": map[string]any{"slots": 11, "kv_capacity_tokens": 514793, "stride": 7, "models": []any{map[string]any{"name": "m"}}},
			},
			map[string]any{"name": "order-desk", "health_path": "/health", "connection_limit": 214, "protocol": "h1", "tls": false},
		},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{
			map[string]any{
				"name": "hule930", "api_keys": []any{apiKey}, "priority": 1, "unit": "tokens", "uncached_tokens": 200,
				"rate_per_s": 419812, "burst": 419812,
			},
		},
	}
}

// playDeadly repeats a request that crashes each engine that begins to run it, and counts the repeats that reach engines
// after the third crash.
func playDeadly(d *deployment, trouble bool) (bool, error) {
	d.store.put(topicOperator, "config", deadlyConfiguration())
	var mu sync.Mutex
	var crashes, arrivals []time.Time
	for i := range 3 {
		zone := fmt.Sprintf("zone-%c", 'a'+i)
		desk := &engineProcess{id: fmt.Sprintf("i-desk%d", i+1), service: "order-desk", zone: zone}
		if trouble {
			desk.arguments = []string{"-deadly-path", deadlyPath}
		}
		desk.restart = func(e *engineProcess) (time.Duration, string) { return backAfter, e.id }
		desk.observe = func(event engineEvent) {
			d.record.log("engine %s: %s %s %s", event.Engine, event.Event, event.Request, event.Path)
			mu.Lock()
			defer mu.Unlock()
			switch {
			case event.Event == "crashes":
				crashes = append(crashes, time.Now())
			case event.Event == "arrived" && event.Path == deadlyPath:
				arrivals = append(arrivals, time.Now())
			}
		}
		if err := d.addEngine(desk); err != nil {
			return false, err
		}
		model := &engineProcess{id: fmt.Sprintf("i-model%d", i+1), service: "lid-model", zone: zone, arguments: []string{"-model", "-slots", "11"}}
		if err := d.addEngine(model); err != nil {
			return false, err
		}
	}
	if err := d.addRouters(3, 120); err != nil {
		return false, err
	}
	if err := d.awaitReady(15 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(6 * time.Second)

	ends := make(chan struct{})
	var streams sync.WaitGroup
	answered, asked := 0, 0
	streams.Go(func() {
		for i := 0; ; i++ {
			select {
			case <-ends:
				return
			case <-time.After(200 * time.Millisecond):
			}
			c := call{router: d.routers[i%3], method: "POST", path: "/ask/q", key: apiKey, body: []byte("hello"), deadline: 10 * time.Second, tokens: "300,70"}
			streams.Go(func() {
				r := c.send(newID())
				mu.Lock()
				defer mu.Unlock()
				asked++
				if r.status == 200 && r.err == nil {
					answered++
				}
			})
		}
	})
	const attempts = 14
	for i := range attempts {
		id := newID()
		c := call{router: d.routers[i%3], method: "POST", path: deadlyPath, key: apiKey, body: []byte("the same body"), deadline: 3 * time.Second}
		d.record.log("requester: attempt %d is %s, sent to %s", i+1, id, c.router.name)
		next := time.After(repeatEvery)
		d.record.log("requester: attempt %d: %s", i+1, c.send(id))
		<-next
	}
	close(ends)
	streams.Wait()
	mu.Lock()
	defer mu.Unlock()
	d.record.log("%d of %d streams of other requesters were answered", answered, asked)
	d.record.log("%d attempts sent, %d reached engines, %d crashes", attempts, len(arrivals), len(crashes))
	if answered < asked*9/10 {
		return false, fmt.Errorf("only %d of %d streams were answered", answered, asked)
	}
	if len(crashes) < 3 {
		return true, nil
	}
	late := 0
	for _, at := range arrivals {
		if at.Sub(crashes[2]) > contact {
			late++
		}
	}
	d.record.log("%d attempts reached engines later than %v after the third crash; %d are allowed", late, contact, allowedRetries)
	return late <= allowedRetries, nil
}
