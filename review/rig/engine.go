package main

import (
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

// engineOptions are the options of an engine process.
type engineOptions struct {
	id, service, address, zone, store string
	slots                             int
	beat                              time.Duration
	// deadlyPath is the path of the requests on which the process ends when it begins to run them; empty for none.
	deadlyPath string
	// model makes the engine answer with streams and serve load reports.
	model bool
}

// engine is a stand-in for an engine, in a process of its own.
type engine struct {
	options engineOptions
	born    int64
	slots   chan struct{}

	mu       sync.Mutex
	sequence int
}

// runEngine is the engine's command. It reports what it runs in JSON lines on standard output.
func runEngine(args []string) error {
	var o engineOptions
	flags := flag.NewFlagSet("engine", flag.ExitOnError)
	flags.StringVar(&o.id, "id", "", "")
	flags.StringVar(&o.service, "service", "", "")
	flags.StringVar(&o.address, "address", "", "")
	flags.StringVar(&o.zone, "zone", "", "")
	flags.StringVar(&o.store, "store", "", "")
	flags.IntVar(&o.slots, "slots", 6, "")
	flags.DurationVar(&o.beat, "beat", 1200*time.Millisecond, "")
	flags.StringVar(&o.deadlyPath, "deadly-path", "", "")
	flags.BoolVar(&o.model, "model", false, "")
	_ = flags.Parse(args)
	e := &engine{options: o, born: time.Now().UnixMilli(), slots: make(chan struct{}, o.slots)}
	listener, err := net.Listen("tcp", o.address)
	if err != nil {
		return err
	}
	go e.sendBeats()
	return (&http.Server{Handler: e, IdleTimeout: 30 * time.Second}).Serve(listener)
}

func (e *engine) sendBeats() {
	for ; ; time.Sleep(e.options.beat) {
		e.mu.Lock()
		e.sequence++
		sequence := e.sequence
		e.mu.Unlock()
		entry, _ := json.Marshal(map[string]any{
			"service": e.options.service, "address": e.options.address, "zone": e.options.zone, "version": "v1", "slots": e.options.slots,
			"state": "ready", "cold_remaining_ms": 0, "sequence": sequence, "born": e.born,
		})
		response, err := http.Post("http://"+e.options.store+"/engine-beat?id="+url.QueryEscape(e.options.id), "application/json", bytes.NewReader(entry))
		if err == nil {
			_ = response.Body.Close()
		}
	}
}

// report prints an event for the record.
func (e *engine) report(event, request, path string) {
	line, _ := json.Marshal(map[string]any{"at_ms": time.Now().UnixMilli(), "engine": e.options.id, "event": event, "request": request, "path": path})
	_, _ = os.Stdout.Write(append(line, '\n'))
}

func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	header := w.Header()
	header.Set("X-Instance-Load", fmt.Sprintf("%d,0,%d", len(e.slots), e.options.slots))
	switch {
	case r.URL.Path == "/health":
		header.Set("X-Instance-Id", e.options.id)
		return
	case r.URL.Path == "/-/report" && e.options.model:
		writeJSON(w, map[string]any{
			"stage": "both", "models": []any{}, "busy": false, "sequence": 0, "queued_requests": 0, "running_requests": len(e.slots),
			"kv_used_tokens": 0, "kv_total_tokens": 500000, "kv_handles": 0, "born": e.born,
		})
		return
	case r.URL.Path == "/-/report":
		w.WriteHeader(http.StatusNotFound)
		return
	}
	id := r.Header.Get("X-Attempt-Id")
	header.Set("X-Attempt-Id", id)
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != e.options.id {
		header.Set("X-Instance-Id", e.options.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if id == "" {
		header.Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.report("arrived", id, r.URL.Path)
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	select {
	case e.slots <- struct{}{}:
		defer func() { <-e.slots }()
	case <-time.After(300 * time.Millisecond):
		header.Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	e.report("runs", id, r.URL.Path)
	if e.options.deadlyPath != "" && r.URL.Path == e.options.deadlyPath {
		e.report("crashes", id, r.URL.Path)
		os.Exit(1)
	}
	header.Set("X-Server-Stamp", e.options.id+"."+id)
	if e.options.model {
		e.stream(w, r)
		return
	}
	time.Sleep(60 * time.Millisecond)
	body := strings.Repeat("x", 800)
	header.Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = io.WriteString(w, body)
}

// stream answers with a stream of ten events.
func (e *engine) stream(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	w.Header().Set("Content-Type", "text/event-stream")
	controller := http.NewResponseController(w)
	for event := after + 1; event <= 10; event++ {
		time.Sleep(30 * time.Millisecond)
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", event, strings.Repeat("y", 50))
		if controller.Flush() != nil {
			return
		}
	}
}
