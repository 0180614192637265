package main

import (
	"net/http"
	"time"
)

const (
	// contact is contact_ms.
	contact = 3 * time.Second
	// allowedRetries is how many retries of a request that crashes engines may still reach engines.
	allowedRetries = 3
	// returnTime is the time between two submissions of the request that crashes engines.
	returnTime = 5 * time.Second
	// submissions is how often it comes in each life of the routers.
	submissions = 4
	lives       = 3
)

// poison checks that a request which has crashed three engines is kept from the others. Its caller sends it every 5 s, to one
// router after the other. The trouble is that all routers are killed at the same moment and start again, twice.
func poison(b *bench) (bool, error) {
	f := &fleet{store: b.store, record: b.record, zone: "recife-a", service: "pool", marker: "deadly", downTime: 2 * time.Second}
	b.store.putJSON(topicOperator, "config", configuration(7, generations(f.service), models(f.service)))
	for range 8 {
		if _, err := f.start("127.0.0.1:0"); err != nil {
			return false, err
		}
	}
	if err := b.routers.add([]string{"frontend-recife-a-1", "frontend-recife-a-2", "frontend-recife-a-3"}, f.zone, b.store.address); err != nil {
		return false, err
	}
	if err := b.routers.startAll(); err != nil {
		return false, err
	}
	stop := make(chan struct{})
	defer close(stop)
	go sound(b, stop)
	time.Sleep(contact + time.Second)
	var sent []*call
	next := 0
	for life := range lives {
		for range submissions {
			c := &call{
				id: newAttempt("p"), method: http.MethodPost, path: "/puxa403/2f", body: f.marker, tokens: "600,60",
				prefix: "5c1e07a2:60,d3adbeef:540", deadline: 4 * time.Second,
			}
			began := time.Now()
			c.send(b.record, b.routers.list[next%len(b.routers.list)])
			next++
			sent = append(sent, c)
			time.Sleep(returnTime - time.Since(began))
		}
		if !b.trouble || life == lives-1 {
			continue
		}
		b.record.say("all routers are killed")
		b.routers.killAll()
		time.Sleep(time.Second)
		if err := b.routers.startAll(); err != nil {
			return false, err
		}
		time.Sleep(contact + time.Second)
	}
	return countRetries(b, f, sent), nil
}

// sound sends sound requests to all routers in turn.
func sound(b *bench, stop <-chan struct{}) {
	tick := time.NewTicker(100 * time.Millisecond)
	defer tick.Stop()
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-tick.C:
		}
		go stream().send(b.record, b.routers.list[i%len(b.routers.list)])
	}
}

// countRetries counts the retries that reached an engine later than contact after the third crash, sent by routers in touch.
func countRetries(b *bench, f *fleet, sent []*call) bool {
	f.mu.Lock()
	crashes := len(f.crashes)
	var third time.Time
	if crashes >= 3 {
		third = f.crashes[2]
	}
	f.mu.Unlock()
	reached := make(map[string]bool)
	for _, a := range f.all() {
		if a.poison {
			reached[a.id] = true
		}
	}
	counted := 0
	for _, c := range sent {
		// The routers run for longer than contact whenever the request is sent.
		if reached[c.id] && crashes >= 3 && c.sentAt.After(third.Add(contact)) {
			counted++
			b.record.say("retry %s, sent at %.3f s to %s, reached an engine", c.id, b.record.since(c.sentAt), c.router.name)
		}
	}
	b.record.say("%d submissions, %d crashes; %d retries reached engines later than %s after the third crash, allowed %d",
		len(sent), crashes, counted, contact, allowedRetries)
	return counted > allowedRetries
}
