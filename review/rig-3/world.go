package main

import (
	"encoding/json"
	"fmt"
	"sync"
	"time"
)

// heartbeat is that of the site's servers.
const heartbeat = 1200 * time.Millisecond

// Bounds of the site couvercle-commun.
const (
	contact           = 3 * time.Second
	drainTime         = 2 * time.Second
	configPropagation = 2 * time.Second
	outerBound        = 5 * time.Second
)

var zones = []string{"qc-east-a", "qc-east-b", "qc-east-c"}

// Names of the deployment.
const (
	host        = "ficu95.example"
	bookingPath = "/puxa403/"
	readPath    = "/cufi504/"
	tenantName  = "hule930"
	tenantKey   = "i9n73hh2b9wu3fexd9dn"
	deskService = "order-desk"
	poolService = "lid-model"
)

// route is a route of the operator's configuration.
type route map[string]any

func bookingRoute(service string) route {
	return route{
		"name": "r-book", "host": host, "path_prefix": bookingPath, "route_kind": "unsafe", "timeout_ms": 1500,
		"answer_target_ms": 300, "priority": 1, "service": service, "attempts": 1, "public": false, "sticky": false,
		"resumable": false,
	}
}

func readRoute() route {
	return route{
		"name": "r-read", "host": host, "path_prefix": readPath, "route_kind": "safe", "timeout_ms": 1500,
		"answer_target_ms": 300, "priority": 1, "service": deskService, "attempts": 2, "public": false, "sticky": false,
		"resumable": false,
	}
}

// configuration returns a configuration in full.
func configuration(version int, keys []string, services []string, routes ...route) []byte {
	var listed []map[string]any
	for _, name := range services {
		listed = append(listed, map[string]any{
			"name": name, "health_path": "/health", "connection_limit": 214, "protocol": "h1", "tls": false,
		})
	}
	listed = append(listed, map[string]any{
		"name": poolService, "health_path": "/health", "connection_limit": 643, "protocol": "h1", "tls": false,
		"engine": map[string]any{"slots": 11, "kv_capacity_tokens": 514793, "kv_token_bytes": 327680, "stride": 7, "most": 12},
	})
	data, err := json.Marshal(map[string]any{
		"version": version, "routes": routes, "services": listed,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{map[string]any{
			"name": tenantName, "api_keys": keys, "priority": 1, "unit": "tokens", "uncached_tokens": 200, "rate_per_s": 419812,
			"burst": 419812,
		}},
	})
	check(err)
	return data
}

// publish writes a configuration until the store has acknowledged it, and returns when that was.
func (c *caseRun) publish(version int, data []byte) time.Time {
	for {
		if offset, ok := c.deploy.store.put(topicOperator, "config", data); ok {
			c.record.note("operator  version %d of the configuration acknowledged at offset %d", version, offset)
			return time.Now()
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// startServers starts the model servers and the servers of the order desk.
func (c *caseRun) startServers(work time.Duration) (desk []*engine) {
	for i := range 18 {
		newEngine(fmt.Sprintf("i-model%02d", i), poolService, zones[i%3], 11, 20*time.Millisecond, heartbeat, c.deploy.store, c.record)
	}
	return c.startDesk(deskService, "i-desk", work)
}

func (c *caseRun) startDesk(service, prefix string, work time.Duration) (desk []*engine) {
	for i, zone := range zones {
		desk = append(desk, newEngine(fmt.Sprintf("%s%d", prefix, i), service, zone, 6, work, heartbeat, c.deploy.store, c.record))
	}
	return desk
}

// startRouters starts routers in each zone and waits until all are ready.
func (c *caseRun) startRouters(perZone int) {
	for range perZone {
		for _, zone := range zones {
			c.deploy.addRouter(zone)
		}
	}
	for _, r := range c.deploy.routers {
		c.deploy.start(r)
	}
	c.deploy.awaitReady()
	c.record.note("routers   ready")
}

// book sends bookings at the same time, in turn to the routers, and returns them once all have ended.
func (c *caseRun) book(count int) []*request {
	var group sync.WaitGroup
	var sent []*request
	for i := range count {
		q := c.newBooking(bookingPath)
		sent = append(sent, q)
		group.Go(func() { q.send(c.deploy.routers[i%len(c.deploy.routers)].callers, c.record) })
	}
	group.Wait()
	return sent
}

// newBooking returns a booking on a route that isn't sent yet.
func (c *caseRun) newBooking(path string) *request {
	return &request{
		method: "POST", host: host, path: path + "2f", key: tenantKey, deadline: 3 * time.Second, body: `{"kiln":7}`,
	}
}

func sleepUntil(t time.Time) { time.Sleep(time.Until(t)) }
