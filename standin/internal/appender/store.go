package appender

import (
	"fmt"
	"sync"
	"time"

	"coltsfootplank/internal/kernel"
)

// TrimmedError reports a read from an offset that retention has removed.
type TrimmedError struct {
	First int64 `json:"first"`
}

func (e *TrimmedError) Error() string {
	return fmt.Sprintf("records before offset %d were dropped", e.First)
}

// store keeps the records of all streams in memory. It is safe for concurrent use.
type store struct {
	maxRecords int
	maxAge     time.Duration
	mu         sync.Mutex
	streams    map[string]*streamRecords
}

// streamRecords are the retained records of one stream. records[0] has the offset first.
type streamRecords struct {
	first   int64
	records []record
	changed chan struct{}
}

type record struct {
	kernel.LogRecord
	appendedAt time.Time
}

func newStore(maxRecords int, maxAge time.Duration) *store {
	return &store{maxRecords: maxRecords, maxAge: maxAge, streams: make(map[string]*streamRecords)}
}

// append adds a record and returns its offset. The offsets of a stream start at 0.
func (s *store) append(stream string, data []byte) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.getOrCreate(stream)
	offset := r.first + int64(len(r.records))
	r.records = append(r.records, record{LogRecord: kernel.LogRecord{Offset: offset, Data: data}, appendedAt: time.Now()})
	s.expire(r)
	close(r.changed)
	r.changed = make(chan struct{})
	return offset
}

// read returns up to limit records starting at an offset, and a channel that is closed by the next append. Errors:
// *TrimmedError.
func (s *store) read(stream string, from int64, limit int) (kernel.LogPage, <-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.getOrCreate(stream)
	s.expire(r)
	if from < r.first {
		return kernel.LogPage{}, nil, &TrimmedError{First: r.first}
	}
	page := kernel.LogPage{First: r.first, Next: from, Records: []kernel.LogRecord{}}
	for i := from - r.first; i < int64(len(r.records)) && len(page.Records) < limit; i++ {
		page.Records = append(page.Records, r.records[i].LogRecord)
		page.Next = r.records[i].Offset + 1
	}
	return page, r.changed, nil
}

// trim removes the oldest records of every stream until at most count remain.
func (s *store) trim(count int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range s.streams {
		r.removeOldest(len(r.records) - count)
	}
}

// offsetRanges maps each stream to its first and next offset.
func (s *store) offsetRanges() map[string][2]int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	ranges := make(map[string][2]int64, len(s.streams))
	for name, r := range s.streams {
		ranges[name] = [2]int64{r.first, r.first + int64(len(r.records))}
	}
	return ranges
}

func (s *store) getOrCreate(stream string) *streamRecords {
	r, ok := s.streams[stream]
	if !ok {
		r = &streamRecords{changed: make(chan struct{})}
		s.streams[stream] = r
	}
	return r
}

// expire removes the records that exceed the limits on count and age.
func (s *store) expire(r *streamRecords) {
	if s.maxRecords > 0 {
		r.removeOldest(len(r.records) - s.maxRecords)
	}
	if s.maxAge > 0 {
		cutoff := time.Now().Add(-s.maxAge)
		expired := 0
		for expired < len(r.records) && r.records[expired].appendedAt.Before(cutoff) {
			expired++
		}
		r.removeOldest(expired)
	}
}

func (r *streamRecords) removeOldest(count int) {
	if count <= 0 {
		return
	}
	r.first += int64(count)
	r.records = append([]record(nil), r.records[count:]...)
}
