package main

import (
	"sync"
	"time"
)

// eraNewService: the store is away for a moment and comes back from a copy that is some seconds old. Then a new service starts,
// and the operator adds a route to it. In steady state the new route must be served like the first ones.
func eraNewService(c *caseRun) bool {
	const (
		copyAge = 6 * time.Second
		away    = 1500 * time.Millisecond
		// settle is the time from the acknowledgement of the new route to the requests that count.
		settle         = 20 * time.Second
		rounds         = 10
		routersPerZone = 3
		newDesk        = "order-desk-2"
		newPath        = "/nova104/"
	)
	keys := []string{tenantKey}
	c.deploy.store = newStore(heartbeat)
	c.publish(1, configuration(1, keys, []string{deskService}, bookingRoute(deskService), readRoute()))
	c.startServers(60 * time.Millisecond)
	c.startRouters(routersPerZone)
	time.Sleep(copyAge + 2*time.Second)
	if c.trouble {
		failed := time.Now()
		c.record.note("store     down, ends at offset %d of the servers' entries", c.deploy.store.end(topicServers))
		c.deploy.store.takeDown()
		time.Sleep(away)
		c.deploy.store.bringBack(failed.Add(-copyAge))
		c.record.note("store     back from a copy, ends at offset %d of the servers' entries", c.deploy.store.end(topicServers))
	}
	time.Sleep(contact)
	c.startDesk(newDesk, "i-new", 60*time.Millisecond)
	c.record.note("servers   of %s have started", newDesk)
	time.Sleep(time.Second)
	added := bookingRoute(newDesk)
	added["name"], added["path_prefix"] = "r-new", newPath
	c.publish(5, configuration(5, keys, []string{deskService, newDesk}, bookingRoute(deskService), readRoute(), added))
	time.Sleep(settle)
	var mu sync.Mutex
	served, sent := make(map[string]int), make(map[string]int)
	for range rounds {
		var group sync.WaitGroup
		for _, r := range c.deploy.routers {
			for _, path := range []string{bookingPath, newPath} {
				group.Go(func() {
					q := c.newBooking(path)
					q.send(r.callers, c.record)
					mu.Lock()
					defer mu.Unlock()
					sent[path]++
					if q.status == 200 {
						served[path]++
					}
				})
			}
		}
		group.Wait()
		time.Sleep(500 * time.Millisecond)
	}
	c.record.note("result    first route: %d of %d served; route added later: %d of %d served", served[bookingPath], sent[bookingPath],
		served[newPath], sent[newPath])
	return 4*served[newPath]*sent[bookingPath] >= served[bookingPath]*sent[newPath]
}
