package main

import "time"

// lateHeartbeat: while answers of the store are lost, one heartbeat of a server gets no answer; the store executes it 6 s later.
// Meanwhile the server leaves: its entry is removed. No booking may reach it later than drain_ms after that.
func lateHeartbeat(c *caseRun) bool {
	const (
		// late is how long after it was sent the store executes the write.
		late = 6 * time.Second
		// linger is how long the server serves on after drain_ms.
		linger = 1300 * time.Millisecond
	)
	c.deploy.store = newStore(heartbeat)
	c.publish(1, configuration(1, []string{tenantKey}, []string{deskService}, bookingRoute(deskService), readRoute()))
	desk := c.startServers(400 * time.Millisecond)
	c.startRouters(1)
	time.Sleep(3 * time.Second)
	c.book(6)
	leaver := desk[0]
	lost := time.Now()
	if c.trouble {
		leaver.beatLate(late)
	}
	// The store is stable contact_ms after the end of the impairment, which ends with the lost answer.
	sleepUntil(lost.Add(contact + 300*time.Millisecond))
	acknowledged := leaver.leave()
	c.record.note("server    %s leaves; its entry is removed at offset %d", leaver.id, c.deploy.store.end(topicServers)-1)
	sleepUntil(lost.Add(late + time.Second))
	ended := make(chan struct{})
	go func() {
		sleepUntil(acknowledged.Add(drainTime + linger + 700*time.Millisecond))
		leaver.exit()
		c.record.note("server    %s has ended", leaver.id)
		close(ended)
	}()
	sent := c.book(12)
	<-ended
	reached := c.record.runsOf(func(r run) bool { return r.engine == leaver.id && r.at.After(acknowledged.Add(drainTime)) })
	failed := 0
	for _, q := range sent {
		if q.status != 200 {
			failed++
		}
	}
	c.record.note("result    %d of 12 bookings reached %s later than drain_ms after the acknowledgement; %d got no success", len(reached),
		leaver.id, failed)
	return len(reached) == 0
}
