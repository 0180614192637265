package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// Topics of the platform's store that these cases use.
const (
	topicOperator = "keyed.op"
	topicServers  = "keyed.servers"
	topicStatus   = "keyed.status"
)

// maxReadRecords is the number of records of one read, and maxListed that of one page of a listing.
const (
	maxReadRecords = 1024
	maxListed      = 500
)

type storedRecord struct {
	data  []byte
	key   string
	value []byte
	at    time.Time
}

// store is a stand-in for the platform's metadata store. It keeps every record, so that a copy of some seconds ago is a prefix
// of each topic.
type store struct {
	address string

	mu      sync.Mutex
	topics  map[string][]storedRecord
	seen    map[string]time.Time
	changed chan struct{}
	era     int
	down    bool
	// calls counts the calls of the routers by path.
	calls map[string]int
}

// newStore starts a store. heartbeat is the interval of the servers' writes; an entry lapses after three of them.
func newStore(heartbeat time.Duration) *store {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	check(err)
	s := &store{
		address: listener.Addr().String(), topics: make(map[string][]storedRecord), seen: make(map[string]time.Time),
		changed: make(chan struct{}), calls: make(map[string]int), era: 1,
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /-/log-append", s.handleAppend)
	mux.HandleFunc("GET /-/log-read", s.handleRead)
	mux.HandleFunc("GET /-/log-newest", s.handleNewest)
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		down, era := s.down, s.era
		s.calls[r.URL.Path]++
		s.mu.Unlock()
		if down {
			hangUp(w)
			return
		}
		w.Header().Set("Store-Era", strconv.Itoa(era))
		mux.ServeHTTP(w, r)
	})}
	go func() { _ = server.Serve(listener) }()
	go s.lapse(heartbeat)
	return s
}

// hangUp resets the connection of a request.
func hangUp(w http.ResponseWriter) {
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

// keyed encodes the content of a record of a keyed topic.
func keyed(key string, value []byte) []byte {
	return append(append([]byte{byte(len(key))}, key...), value...)
}

// append appends a record; the caller holds the lock.
func (s *store) append(topic string, data []byte) int64 {
	record := storedRecord{data: data, at: time.Now()}
	if len(data) > 0 && len(data) > int(data[0]) {
		end := 1 + int(data[0])
		record.key, record.value = string(data[1:end]), data[end:]
	}
	s.topics[topic] = append(s.topics[topic], record)
	if topic == topicServers {
		s.seen[record.key] = record.at
		if len(record.value) == 0 {
			delete(s.seen, record.key)
		}
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return int64(len(s.topics[topic]) - 1)
}

// put writes a record as the operator or a server does. It returns the offset, and false while the store is down.
func (s *store) put(topic, key string, value []byte) (int64, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return 0, false
	}
	return s.append(topic, keyed(key, value)), true
}

// lapse removes the entries of servers that have been silent for three heartbeats.
func (s *store) lapse(heartbeat time.Duration) {
	for range time.Tick(100 * time.Millisecond) {
		s.mu.Lock()
		for key, at := range s.seen {
			if !s.down && time.Since(at) > 3*heartbeat {
				s.append(topicServers, keyed(key, nil))
			}
		}
		s.mu.Unlock()
	}
}

// takeDown makes the store reset all calls.
func (s *store) takeDown() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = true
	close(s.changed)
	s.changed = make(chan struct{})
}

// bringBack ends the outage. If copied isn't zero, the store comes back from a copy of that time, in a new era.
func (s *store) bringBack(copied time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = false
	now := time.Now()
	for key := range s.seen {
		s.seen[key] = now
	}
	if copied.IsZero() {
		return
	}
	s.era++
	s.seen = make(map[string]time.Time)
	for name, records := range s.topics {
		kept := len(records)
		for kept > 0 && records[kept-1].at.After(copied) {
			kept--
		}
		s.topics[name] = slices.Clone(records[:kept])
		if name != topicServers {
			continue
		}
		for _, record := range records[:kept] {
			s.seen[record.key] = now
			if len(record.value) == 0 {
				delete(s.seen, record.key)
			}
		}
	}
}

// end returns the end offset of a topic.
func (s *store) end(topic string) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return int64(len(s.topics[topic]))
}

func (s *store) handleAppend(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	topic := r.URL.Query().Get("topic")
	if topic == topicOperator || topic == topicServers {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	time.Sleep(4 * time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	if at := r.URL.Query().Get("at"); at != "" && at != strconv.Itoa(len(s.topics[topic])) {
		w.WriteHeader(http.StatusPreconditionFailed)
		answer(w, map[string]any{"end_offset": len(s.topics[topic])})
		return
	}
	first := int64(len(s.topics[topic]))
	for len(body) >= 4 {
		size := binary.BigEndian.Uint32(body)
		s.append(topic, slices.Clone(body[4:4+size]))
		body = body[4+size:]
	}
	answer(w, map[string]any{"offset": first, "end_offset": len(s.topics[topic])})
}

func (s *store) handleRead(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	topic := query.Get("topic")
	from, _ := strconv.ParseInt(query.Get("from"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("wait_ms"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for waiting := wait > 0; ; {
		s.mu.Lock()
		records, changed, down := s.topics[topic], s.changed, s.down
		s.mu.Unlock()
		if down {
			hangUp(w)
			return
		}
		end := int64(len(records))
		if from < 0 || from > end {
			w.WriteHeader(http.StatusGone)
			answer(w, map[string]any{"first_offset": 0})
			return
		}
		if from < end || !waiting {
			body := binary.BigEndian.AppendUint64(nil, uint64(end))
			body = binary.BigEndian.AppendUint64(body, 0)
			for _, record := range records[from:min(end, from+maxReadRecords)] {
				body = binary.BigEndian.AppendUint32(body, uint32(len(record.data)))
				body = append(body, record.data...)
			}
			_, _ = w.Write(body)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			waiting = false
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) handleNewest(w http.ResponseWriter, r *http.Request) {
	after := r.URL.Query().Get("after")
	s.mu.Lock()
	defer s.mu.Unlock()
	records := s.topics[r.URL.Query().Get("topic")]
	newest := make(map[string]int)
	for offset, record := range records {
		newest[record.key] = offset
		if len(record.value) == 0 {
			delete(newest, record.key)
		}
	}
	keys := make([]string, 0, len(newest))
	for key := range newest {
		if key > after {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	more := len(keys) > maxListed
	keys = keys[:min(len(keys), maxListed)]
	items := []map[string]any{}
	for _, key := range keys {
		record := records[newest[key]]
		items = append(items, map[string]any{
			"key": key, "value": base64.StdEncoding.EncodeToString(record.value), "offset": newest[key],
		})
	}
	answer(w, map[string]any{"items": items, "has_more": more, "end_offset": len(records)})
}

func answer(w http.ResponseWriter, value any) {
	// An error means that the client is gone.
	_ = json.NewEncoder(w).Encode(value)
}
