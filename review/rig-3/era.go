package main

import "time"

// eraRemoval: the store is away for a moment and comes back from a copy that is some seconds old. Later a server of the order
// desk leaves: its entry is removed. No booking may reach it later than drain_ms after that.
func eraRemoval(c *caseRun) bool {
	const (
		copyAge = 6 * time.Second
		away    = 1500 * time.Millisecond
		// linger is how long the server serves on after drain_ms.
		linger = 700 * time.Millisecond
	)
	c.deploy.store = newStore(heartbeat)
	c.publish(1, configuration(1, []string{tenantKey}, []string{deskService}, bookingRoute(deskService), readRoute()))
	desk := c.startServers(400 * time.Millisecond)
	c.startRouters(1)
	time.Sleep(copyAge + time.Second)
	c.book(6)
	c.record.note("store     ends at offset %d of the servers' entries", c.deploy.store.end(topicServers))
	if c.trouble {
		failed := time.Now()
		c.record.note("store     down")
		c.deploy.store.takeDown()
		time.Sleep(away)
		c.deploy.store.bringBack(failed.Add(-copyAge))
		c.record.note("store     back from a copy, ends at offset %d of the servers' entries", c.deploy.store.end(topicServers))
	}
	// The machines are in touch again contact_ms after the end of the impairment.
	time.Sleep(contact + 600*time.Millisecond)
	leaver := desk[0]
	acknowledged := leaver.leave()
	c.record.note("server    %s leaves; its entry is removed at offset %d", leaver.id, c.deploy.store.end(topicServers)-1)
	sleepUntil(acknowledged.Add(drainTime + 400*time.Millisecond))
	exited := make(chan struct{})
	go func() {
		sleepUntil(acknowledged.Add(drainTime + linger))
		leaver.exit()
		c.record.note("server    %s has ended", leaver.id)
		close(exited)
	}()
	sent := c.book(12)
	<-exited
	late := c.record.runsOf(func(r run) bool { return r.engine == leaver.id && r.at.After(acknowledged.Add(drainTime)) })
	lost := 0
	for _, q := range sent {
		if q.status != 200 {
			lost++
		}
	}
	c.record.note("result    %d of 12 bookings reached %s later than drain_ms after the acknowledgement; %d got no success", len(late),
		leaver.id, lost)
	return len(late) == 0
}

// eraConfig: the store is away for a moment and comes back from a copy that lacks the two newest versions of the configuration.
// The operator writes the newest one again, and then the next one, which moves the bookings to another service.
func eraConfig(c *caseRun) bool {
	const (
		copyAge = 5 * time.Second
		away    = 1200 * time.Millisecond
		// pause is the time between the two writes of the operator once the store is back.
		pause   = 250 * time.Millisecond
		newDesk = "order-desk-2"
	)
	keys := []string{tenantKey}
	services := []string{deskService, newDesk}
	before := func(version int) []byte {
		return configuration(version, keys, services, bookingRoute(deskService), readRoute())
	}
	after := func(version int) []byte {
		return configuration(version, keys, services, bookingRoute(newDesk), readRoute())
	}
	c.deploy.store = newStore(heartbeat)
	c.publish(1, before(1))
	c.startServers(60 * time.Millisecond)
	c.startDesk(newDesk, "i-new", 60*time.Millisecond)
	c.startRouters(1)
	time.Sleep(copyAge + time.Second)
	c.publish(3, before(3))
	time.Sleep(time.Second)
	c.publish(4, before(4))
	time.Sleep(time.Second)
	c.book(6)
	if c.trouble {
		failed := time.Now()
		c.record.note("store     down")
		c.deploy.store.takeDown()
		time.Sleep(away)
		c.deploy.store.bringBack(failed.Add(-copyAge))
		c.record.note("store     back from a copy, ends at offset %d of the operator's records", c.deploy.store.end(topicOperator))
		c.publish(4, before(4))
		time.Sleep(pause)
	}
	acknowledged := c.publish(7, after(7))
	sleepUntil(acknowledged.Add(contact + configPropagation + outerBound))
	begin := time.Now()
	for range 5 {
		c.book(6)
		time.Sleep(time.Second)
	}
	stale := c.record.runsOf(func(r run) bool { return r.service == deskService && r.at.After(begin) })
	current := c.record.runsOf(func(r run) bool { return r.service == newDesk && r.at.After(begin) })
	c.record.note("result    of 30 bookings sent 10 s and more after version 7, %d ran at the old service and %d at the new one", len(stale),
		len(current))
	return len(stale) == 0
}
