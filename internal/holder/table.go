package holder

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"coltsfootplank/internal/cataloguer"
)

// requestTable holds the requests of this router and limits how many wait.
type requestTable struct {
	mu           sync.Mutex
	requests     map[string]*Request
	waiting      [cataloguer.TierCount][]*Request
	waitingCount int
	maxWaiting   int
}

func newRequestTable(maxWaiting int) *requestTable {
	return &requestTable{requests: make(map[string]*Request), maxWaiting: maxWaiting}
}

// add adds a waiting request. If too many wait, it returns the request to shed: the newest one of the lowest tier
// present, which may be the added request itself.
func (t *requestTable) add(request *Request) (shed *Request) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.requests[request.ID] = request
	t.waiting[request.Work.Tier] = append(t.waiting[request.Work.Tier], request)
	t.waitingCount++
	if t.waitingCount <= t.maxWaiting {
		return nil
	}
	for tier := cataloguer.TierCount - 1; tier >= cataloguer.HighestTier; tier-- {
		if n := len(t.waiting[tier]); n > 0 {
			shed = t.waiting[tier][n-1]
			t.removeWaitingLocked(shed)
			return shed
		}
	}
	return nil
}

// waitingRequests returns the waiting requests.
func (t *requestTable) waitingRequests() []*Request {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.Concat(t.waiting[:]...)
}

// removeWaiting removes a request from the waiting list.
func (t *requestTable) removeWaiting(request *Request) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.removeWaitingLocked(request)
}

// addWaiting puts a request that needs another grant back on the waiting list.
func (t *requestTable) addWaiting(request *Request) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.waiting[request.Work.Tier] = append(t.waiting[request.Work.Tier], request)
	t.waitingCount++
}

func (t *requestTable) remove(request *Request) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.requests, request.ID)
	t.removeWaitingLocked(request)
}

// removeWaitingLocked is removeWaiting for callers that hold the lock.
func (t *requestTable) removeWaitingLocked(request *Request) {
	list := t.waiting[request.Work.Tier]
	if i := slices.Index(list, request); i >= 0 {
		t.waiting[request.Work.Tier] = slices.Delete(list, i, i+1)
		t.waitingCount--
	}
}

// RequestStatus describes one request in the state dump.
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

func (t *requestTable) statuses(now time.Time) []RequestStatus {
	t.mu.Lock()
	defer t.mu.Unlock()
	statuses := make([]RequestStatus, 0, len(t.requests))
	for _, request := range t.requests {
		status := RequestStatus{
			RequestID: request.ID, Workspace: request.Workspace, Work: request.Work.Name, Tier: request.Work.Tier,
			State: request.State().String(), AgeMS: now.Sub(request.Arrived).Milliseconds(),
		}
		if !request.Deadline.IsZero() {
			status.DeadlineLeftMS = request.Deadline.Sub(now).Milliseconds()
		}
		statuses = append(statuses, status)
	}
	slices.SortFunc(statuses, func(a, b RequestStatus) int { return cmp.Compare(b.AgeMS, a.AgeMS) })
	return statuses
}
