package appender

import (
	"fmt"
	"sync"
	"time"

	"coltsfootplank/internal/kernel"
)

// TrimmedError reports a read from an offset that retention has dropped.
type TrimmedError struct {
	First int64 `json:"first"`
}

func (e *TrimmedError) Error() string {
	return fmt.Sprintf("records before offset %d were dropped", e.First)
}

// store keeps the records of all streams in memory. It is safe for concurrent use.
type store struct {
	keepRecords int
	keepFor     time.Duration
	mu          sync.Mutex
	streams     map[string]*records
}

// records is one stream. The record with index 0 has offset first.
type records struct {
	first   int64
	list    []record
	changed chan struct{}
}

type record struct {
	kernel.LogRecord
	at time.Time
}

func newStore(keepRecords int, keepFor time.Duration) *store {
	return &store{keepRecords: keepRecords, keepFor: keepFor, streams: make(map[string]*records)}
}

// append adds a record and returns its offset. Offsets of a stream start at 0.
func (s *store) append(stream string, data []byte) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.get(stream)
	offset := r.first + int64(len(r.list))
	r.list = append(r.list, record{LogRecord: kernel.LogRecord{Offset: offset, Data: data}, at: time.Now()})
	s.expire(r)
	close(r.changed)
	r.changed = make(chan struct{})
	return offset
}

// read returns up to limit records from an offset on, and a channel that is closed by the next append. Errors:
// *TrimmedError.
func (s *store) read(stream string, from int64, limit int) (kernel.LogPage, <-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.get(stream)
	s.expire(r)
	if from < r.first {
		return kernel.LogPage{}, nil, &TrimmedError{First: r.first}
	}
	page := kernel.LogPage{First: r.first, Next: from, Records: []kernel.LogRecord{}}
	for i := from - r.first; i < int64(len(r.list)) && len(page.Records) < limit; i++ {
		page.Records = append(page.Records, r.list[i].LogRecord)
		page.Next = r.list[i].Offset + 1
	}
	return page, r.changed, nil
}

// trim drops all but the newest records of every stream.
func (s *store) trim(keep int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range s.streams {
		r.drop(len(r.list) - keep)
	}
}

// sizes maps each stream to its first and next offset.
func (s *store) sizes() map[string][2]int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	sizes := make(map[string][2]int64, len(s.streams))
	for name, r := range s.streams {
		sizes[name] = [2]int64{r.first, r.first + int64(len(r.list))}
	}
	return sizes
}

func (s *store) get(stream string) *records {
	r, ok := s.streams[stream]
	if !ok {
		r = &records{changed: make(chan struct{})}
		s.streams[stream] = r
	}
	return r
}

// expire applies the retention by count and by age.
func (s *store) expire(r *records) {
	if s.keepRecords > 0 {
		r.drop(len(r.list) - s.keepRecords)
	}
	if s.keepFor > 0 {
		horizon := time.Now().Add(-s.keepFor)
		old := 0
		for old < len(r.list) && r.list[old].at.Before(horizon) {
			old++
		}
		r.drop(old)
	}
}

func (r *records) drop(count int) {
	if count <= 0 {
		return
	}
	r.first += int64(count)
	r.list = append([]record(nil), r.list[count:]...)
}
