package main

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"time"
)

// run is a request that a server began to work on.
type run struct {
	id, engine, service, tenant string
	at                          time.Time
}

// record is what was sent, answered and run, written to record.txt.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
	runs  []run
}

func newRecord(path string) *record {
	file, err := os.Create(path)
	check(err)
	return &record{file: file, start: time.Now()}
}

// note writes one line with the time since the start.
func (r *record) note(format string, arguments ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.line(format, arguments...)
}

func (r *record) line(format string, arguments ...any) {
	text := fmt.Sprintf("%8.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, arguments...))
	_, _ = r.file.WriteString(text)
	if strings.HasPrefix(format, "result") || strings.HasPrefix(format, "the rule") {
		_, _ = os.Stderr.WriteString(text)
	}
}

// ran records a run.
func (r *record) ran(entry run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs = append(r.runs, entry)
	r.line("run       %s at %s of %s, tenant %q", entry.id, entry.engine, entry.service, entry.tenant)
}

// runsOf returns the runs that a condition holds for.
func (r *record) runsOf(condition func(run) bool) (found []run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, entry := range r.runs {
		if condition(entry) {
			found = append(found, entry)
		}
	}
	return found
}
