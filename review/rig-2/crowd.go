package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// crowdSize is the number of requesters that keep a channel to one router, and crowdPause the time after which each of them
	// sends its next request there. It is less than four fifths of idle_timeout_ms, for which channels may be reused.
	crowdSize  = 760
	crowdPause = 9 * time.Second
	// requesters is the number of requesters that open new channels, one every newChannelPause each. Seven are required.
	requesters      = 8
	newChannelPause = 250 * time.Millisecond
	crowdTime       = 30 * time.Second
	// leastCrowd is the number of channels without which the case shows nothing.
	leastCrowd = 600
)

// crowd checks that a router which says it is ready takes new channels. The trouble is a crowd of requesters that keep their
// channels and send few requests.
func crowd(b *bench) (bool, error) {
	f := &fleet{store: b.store, record: b.record, zone: "recife-a", service: "order-desk"}
	service := map[string]any{"name": f.service, "health_path": "/health", "connection_limit": 244, "protocol": "h1", "tls": false}
	b.store.putJSON(topicOperator, "config", configuration(7, desk(f.service), service))
	for range 4 {
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
	time.Sleep(2 * contact)
	target := b.routers.list[0]
	var kept, served, refused atomic.Int64
	stop := make(chan struct{})
	if b.trouble {
		for range crowdSize {
			go keep(b, target, stop, &kept, &served, &refused)
			time.Sleep(4 * time.Millisecond)
		}
		time.Sleep(time.Second)
		if kept.Load() < leastCrowd {
			close(stop)
			return false, fmt.Errorf("only %d channels of the crowd could be opened", kept.Load())
		}
	}
	b.record.say("%d requesters keep a channel to %s", kept.Load(), target.name)
	report := newChannels(b, target)
	b.record.say("crowd: %d channels, %d requests answered with 200, %d others", kept.Load(), served.Load(), refused.Load())
	close(stop)
	return report, nil
}

// keep opens a channel and sends a request on it now and then until stop is closed.
func keep(b *bench, to *router, stop <-chan struct{}, kept, served, refused *atomic.Int64) {
	conn, err := net.Dial("tcp", to.frontend)
	if err != nil {
		return
	}
	defer conn.Close()
	reader := bufio.NewReader(conn)
	counted := false
	for {
		id := newAttempt("k")
		fmt.Fprintf(conn, "GET /cufi504/fi50/2f HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: 600\r\nAuthorization: Token %s\r\n\r\n",
			host, id, key)
		_ = conn.SetReadDeadline(time.Now().Add(3 * time.Second))
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			break
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			served.Add(1)
		} else {
			refused.Add(1)
		}
		if response.Close {
			break
		}
		if !counted {
			counted = true
			kept.Add(1)
			defer kept.Add(-1)
		}
		select {
		case <-stop:
			return
		case <-time.After(crowdPause):
		}
	}
	if counted {
		b.record.printf("a channel of the crowd ended")
	}
}

// newChannels opens new channels to a router and reports whether it took none for as long as contact while it said that it was
// ready.
func newChannels(b *bench, to *router) bool {
	var mu sync.Mutex
	var taken []time.Time
	results := make(map[string]int)
	began := time.Now()
	var group sync.WaitGroup
	for range requesters {
		group.Add(1)
		go func() {
			defer group.Done()
			for time.Since(began) < crowdTime {
				result := newChannel(b, to)
				mu.Lock()
				results[result]++
				if result == "200" {
					taken = append(taken, time.Now())
				}
				mu.Unlock()
				time.Sleep(newChannelPause)
			}
		}()
	}
	unready := 0
	for time.Since(began) < crowdTime {
		if !to.ready() {
			unready++
		}
		time.Sleep(500 * time.Millisecond)
	}
	group.Wait()
	last, longest := began, time.Duration(0)
	for _, at := range append(taken, time.Now()) {
		longest = max(longest, at.Sub(last))
		last = at
	}
	b.record.say("new channels of %d requesters in %s: %v; the readiness check failed %d times", requesters, crowdTime, results, unready)
	b.record.say("longest time without a request on a new channel that was answered: %s, allowed %s", longest.Round(time.Millisecond), contact)
	return longest > contact && unready == 0
}

// newChannel sends a request on a new channel, and returns the status of its answer or why there was none.
func newChannel(b *bench, to *router) string {
	c := &call{id: newAttempt("n"), method: http.MethodGet, path: "/cufi504/fi50/2f", deadline: 600 * time.Millisecond}
	a := c.send(b.record, to)
	switch {
	case a.err != nil && a.status == 0:
		return "no answer"
	case a.status == http.StatusOK:
		return "200"
	default:
		return fmt.Sprintf("%d %s", a.status, strings.TrimSpace(a.body))
	}
}
