package booker

import (
	"net/http"
	"sync"
	"time"
)

// Run is one execution of a request. It is recorded when the execution starts.
type Run struct {
	RequestID string `json:"request_id"`
	Method    string `json:"method"`
	Path      string `json:"path"`
	BodyHash  string `json:"body_hash"`
	Desk      string `json:"desk"`
	AtMS      int64  `json:"at_ms"`
}

// Ledger records the runs of all desks. It is safe for concurrent use.
type Ledger struct {
	mu   sync.Mutex
	runs []Run
}

// Report lists all runs, and the request ids and bodies that ran more than once. GET requests aren't counted as
// duplicates.
type Report struct {
	Runs                []Run    `json:"runs"`
	DuplicateRequestIDs []string `json:"duplicate_request_ids"`
	DuplicateBodies     []string `json:"duplicate_bodies"`
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{}
}

// Add records a run and returns its number, starting at 1.
func (l *Ledger) Add(run Run) int {
	run.AtMS = time.Now().UnixMilli()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs = append(l.runs, run)
	return len(l.runs)
}

// Report returns the runs and the duplicates among them. A duplicate body is listed as "path body_hash".
func (l *Ledger) Report() Report {
	l.mu.Lock()
	defer l.mu.Unlock()
	report := Report{
		Runs: append([]Run{}, l.runs...), DuplicateRequestIDs: []string{}, DuplicateBodies: []string{},
	}
	ids, bodies := make(map[string]int), make(map[string]int)
	for _, run := range l.runs {
		if run.Method == http.MethodGet {
			continue
		}
		body := run.Path + " " + run.BodyHash
		ids[run.RequestID]++
		bodies[body]++
		if ids[run.RequestID] == 2 {
			report.DuplicateRequestIDs = append(report.DuplicateRequestIDs, run.RequestID)
		}
		if bodies[body] == 2 {
			report.DuplicateBodies = append(report.DuplicateBodies, body)
		}
	}
	return report
}
