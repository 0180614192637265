package holder

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"coltsfootplank/internal/cataloguer"
)

// table lists the requests of this router and bounds how many wait.
type table struct {
	mu       sync.Mutex
	requests map[string]*Request
	waiting  [cataloguer.PriorityLevels][]*Request
	count    int
	limit    int
}

func newTable(limit int) *table {
	return &table{requests: make(map[string]*Request), limit: limit}
}

// add enters a request. Over the limit it gives back the request to shed: the newest of the lowest tier present,
// which may be the new one.
func (t *table) add(request *Request) (shed *Request) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.requests[request.ID] = request
	t.waiting[request.Work.Tier] = append(t.waiting[request.Work.Tier], request)
	t.count++
	if t.count <= t.limit {
		return nil
	}
	for tier := cataloguer.PriorityLevels - 1; tier >= cataloguer.HighestTier; tier-- {
		if n := len(t.waiting[tier]); n > 0 {
			shed = t.waiting[tier][n-1]
			t.unqueue(shed)
			return shed
		}
	}
	return nil
}

// dispatched takes a request off the waiting list.
func (t *table) dispatched(request *Request) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.unqueue(request)
}

// queued puts a request back on the waiting list after a grant was returned unused.
func (t *table) queued(request *Request) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.waiting[request.Work.Tier] = append(t.waiting[request.Work.Tier], request)
	t.count++
}

func (t *table) remove(request *Request) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.requests, request.ID)
	t.unqueue(request)
}

func (t *table) unqueue(request *Request) {
	list := t.waiting[request.Work.Tier]
	if i := slices.Index(list, request); i >= 0 {
		t.waiting[request.Work.Tier] = slices.Delete(list, i, i+1)
		t.count--
	}
}

// RequestStatus is one request in the state dump.
type RequestStatus struct {
	RequestID      string `json:"request_id"`
	Workspace      string `json:"workspace"`
	Work           string `json:"work"`
	Tier           int    `json:"tier"`
	State          string `json:"state"`
	Upstream       string `json:"upstream,omitempty"`
	Attempt        uint32 `json:"attempt"`
	AgeMS          int64  `json:"age_ms"`
	DeadlineLeftMS int64  `json:"deadline_left_ms,omitempty"`
}

func (t *table) rows(now time.Time) []RequestStatus {
	t.mu.Lock()
	defer t.mu.Unlock()
	rows := make([]RequestStatus, 0, len(t.requests))
	for _, request := range t.requests {
		row := RequestStatus{
			RequestID: request.ID, Workspace: request.Workspace, Work: request.Work.Name, Tier: request.Work.Tier,
			State: request.State().String(), AgeMS: now.Sub(request.Arrived).Milliseconds(),
		}
		if !request.Deadline.IsZero() {
			row.DeadlineLeftMS = request.Deadline.Sub(now).Milliseconds()
		}
		rows = append(rows, row)
	}
	slices.SortFunc(rows, func(a, b RequestStatus) int { return cmp.Compare(b.AgeMS, a.AgeMS) })
	return rows
}
