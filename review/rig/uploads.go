package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// memoryMB is the limit of the small deployment's machines.
	memoryMB = 120
	// uploadBytes is the longest body that the configuration allows.
	uploadBytes = 4 << 20
	// steadyRequesters is the number of requesters of each router, and burst how many times as many come in a burst.
	steadyRequesters = 14
	burst            = 2
	burstFrom        = 8 * time.Second
	burstFor         = 2500 * time.Millisecond
	uploadsFor       = 20 * time.Second
	uploadPause      = 100 * time.Millisecond
	// bookers is the number of each router's requesters that send short requests all the while.
	bookers       = 8
	bookingBytes  = 600
	bookingPause  = 20 * time.Millisecond
	allowedLosses = 3
)

// residentBytes returns the memory of a process and its peak, or 0 if the process has ended.
func residentBytes(pid int) (now, peak int64) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, 0
	}
	for line := range strings.Lines(string(data)) {
		fields := strings.Fields(line)
		if len(fields) < 2 {
			continue
		}
		kib, _ := strconv.ParseInt(fields[1], 10, 64)
		switch fields[0] {
		case "VmRSS:":
			now = kib << 10
		case "VmHWM:":
			peak = kib << 10
		}
	}
	return now, peak
}

// limitMemory kills a router whose memory exceeds the limit, as the platform does.
func (d *deployment) limitMemory(r *routerProcess, highest *int64, kills *int, mu *sync.Mutex) {
	for {
		select {
		case <-d.stopped:
			return
		case <-time.After(5 * time.Millisecond):
		}
		r.mu.Lock()
		pid := r.command.Process.Pid
		r.mu.Unlock()
		now, peak := residentBytes(pid)
		mu.Lock()
		*highest = max(*highest, peak)
		if now > memoryMB*1_000_000 {
			*kills++
			d.record.log("platform: router %s uses %d bytes, over its limit of %d MB; killed", r.name, now, memoryMB)
			_ = syscall.Kill(pid, syscall.SIGKILL)
			mu.Unlock()
			time.Sleep(500 * time.Millisecond)
			continue
		}
		mu.Unlock()
	}
}

// requester sends requests of one size on a kept channel from one time to another.
type requester struct {
	router      *routerProcess
	bytes       int
	pause       time.Duration
	from, until time.Time
}

// playUploads sends short bodies, and bodies of the longest allowed size, the latter for some time from twice as many
// requesters.
func playUploads(d *deployment, trouble bool) (bool, error) {
	configuration := deadlyConfiguration()
	configuration["tenants"].([]any)[0].(map[string]any)["rate_per_s"] = 0
	d.store.put(topicOperator, "config", configuration)
	var mu sync.Mutex
	running := make(map[string]bool)
	for i := range 3 {
		desk := &engineProcess{
			id: fmt.Sprintf("i-desk%d", i+1), service: "order-desk", zone: fmt.Sprintf("zone-%c", 'a'+i),
			arguments: []string{"-slots", "16"},
			observe: func(event engineEvent) {
				mu.Lock()
				defer mu.Unlock()
				running[event.Request] = true
			},
		}
		if err := d.addEngine(desk); err != nil {
			return false, err
		}
	}
	if err := d.addRouters(3, memoryMB); err != nil {
		return false, err
	}
	if err := d.awaitReady(15 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(6 * time.Second)
	highest := make([]int64, len(d.routers))
	kills := 0
	for i, r := range d.routers {
		go d.limitMemory(r, &highest[i], &kills, &mu)
	}
	losses := 0
	counts := make(map[string]int)
	start := time.Now()
	var requesters []requester
	for _, r := range d.routers {
		for range bookers {
			requesters = append(requesters, requester{r, bookingBytes, bookingPause, start, start.Add(uploadsFor)})
		}
		for i := range steadyRequesters * burst {
			switch {
			case i < steadyRequesters:
				requesters = append(requesters, requester{r, uploadBytes, uploadPause, start, start.Add(uploadsFor)})
			case trouble:
				requesters = append(requesters, requester{r, uploadBytes, uploadPause, start.Add(burstFrom), start.Add(burstFrom + burstFor)})
			}
		}
	}
	body := bytes.Repeat([]byte("b"), uploadBytes)
	var group sync.WaitGroup
	for i, from := range requesters {
		group.Go(func() {
			time.Sleep(time.Until(from.from))
			transport := &http.Transport{DisableCompression: true}
			defer transport.CloseIdleConnections()
			for kept := false; time.Now().Before(from.until); time.Sleep(from.pause) {
				id := newID()
				status, err := upload(transport, from.router, id, body[:from.bytes])
				mu.Lock()
				switch {
				case err != nil && kept && running[id]:
					losses++
					counts["channel closed without an answer"]++
					d.record.log("requester %d: %s (%d bytes), passed on to an engine by %s: channel closed without an answer: %v", i, id, from.bytes, from.router.name, err)
				case err != nil:
					counts["channel closed, not passed on or new"]++
				default:
					counts[strconv.Itoa(status)]++
				}
				mu.Unlock()
				kept = err == nil
			}
		})
	}
	group.Wait()
	mu.Lock()
	defer mu.Unlock()
	d.record.log("answers: %v; kills for memory: %d; highest memory: %v", counts, kills, highest)
	d.record.log("%d requests of kept channels were passed on to a sound engine and their channels closed without an answer; %d are allowed", losses, allowedLosses)
	return losses <= allowedLosses, nil
}

func upload(transport *http.Transport, router *routerProcess, id string, body []byte) (int, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+router.callers+"/desk/upload", bytes.NewReader(body))
	if err != nil {
		return 0, err
	}
	request.GetBody = nil
	request.Host = host
	request.Header.Set("X-Attempt-Id", id)
	request.Header.Set("X-Deadline-Ms", "3000")
	request.Header.Set("Authorization", "Token "+apiKey)
	response, err := transport.RoundTrip(request)
	if err != nil {
		return 0, err
	}
	defer func() { _ = response.Body.Close() }()
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, err
}
