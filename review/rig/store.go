package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// storeRecord is a keyed record at an offset. An empty value drops the key.
type storeRecord struct {
	offset int64
	key    string
	value  []byte
}

// store is a stand-in for the platform's metadata store: a log with keyed topics of one partition.
type store struct {
	mu      sync.Mutex
	topics  map[string][]storeRecord
	changed chan struct{}
	// beats holds the time of the last heartbeat of each engine.
	beats map[string]time.Time
	// beatEvery is the heartbeat interval; an entry is removed after three intervals of silence.
	beatEvery time.Duration
}

func newStore(beatEvery time.Duration) *store {
	return &store{
		topics: make(map[string][]storeRecord), changed: make(chan struct{}), beats: make(map[string]time.Time), beatEvery: beatEvery,
	}
}

// put appends a record. A nil value drops the key.
func (s *store) put(topic, key string, value any) {
	var data []byte
	if value != nil {
		data, _ = json.Marshal(value)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.appendLocked(topic, key, data)
}

func (s *store) appendLocked(topic, key string, value []byte) {
	offset := int64(len(s.topics[topic]))
	s.topics[topic] = append(s.topics[topic], storeRecord{offset, key, value})
	close(s.changed)
	s.changed = make(chan struct{})
	if topic == topicServers {
		s.beats[key] = time.Now()
		if value == nil {
			delete(s.beats, key)
		}
	}
}

const (
	topicOperator = "keyed.op"
	topicServers  = "keyed.servers"
)

// expire removes the entries of silent engines.
func (s *store) expire() {
	for range time.Tick(50 * time.Millisecond) {
		s.mu.Lock()
		for key, beat := range s.beats {
			if time.Since(beat) > 3*s.beatEvery {
				s.appendLocked(topicServers, key, nil)
			}
		}
		s.mu.Unlock()
	}
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	topic := query.Get("topic")
	switch r.Method + " " + r.URL.Path {
	case "POST /-/log-append":
		s.serveAppend(w, r, topic)
	case "GET /-/log-read":
		from, _ := strconv.ParseInt(query.Get("from"), 10, 64)
		wait, _ := strconv.Atoi(query.Get("wait_ms"))
		s.serveRead(w, r, topic, from, time.Duration(wait)*time.Millisecond)
	case "GET /-/log-newest":
		s.serveNewest(w, topic, query.Get("after"))
	case "POST /engine-beat":
		// Only the engines of this rig use this call.
		value, _ := io.ReadAll(r.Body)
		s.mu.Lock()
		s.appendLocked(topicServers, query.Get("id"), value)
		s.mu.Unlock()
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) serveAppend(w http.ResponseWriter, r *http.Request, topic string) {
	if topic == topicOperator || topic == topicServers {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	data, err := io.ReadAll(r.Body)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	first := len(s.topics[topic])
	for len(data) >= 4 {
		size := int(binary.BigEndian.Uint32(data))
		content := data[4 : 4+size]
		data = data[4+size:]
		end := 1 + int(content[0])
		var value []byte
		if len(content) > end {
			value = slices.Clone(content[end:])
		}
		s.appendLocked(topic, string(content[1:end]), value)
	}
	end := len(s.topics[topic])
	s.mu.Unlock()
	writeJSON(w, map[string]int{"offset": first, "end_offset": end})
}

func (s *store) serveRead(w http.ResponseWriter, r *http.Request, topic string, from int64, wait time.Duration) {
	deadline := time.After(wait)
	for {
		s.mu.Lock()
		records, changed := s.topics[topic], s.changed
		s.mu.Unlock()
		if int64(len(records)) > from || wait <= 0 {
			writeRecords(w, records, from)
			return
		}
		select {
		case <-changed:
		case <-deadline:
			wait = 0
		case <-r.Context().Done():
			return
		}
	}
}

func writeRecords(w http.ResponseWriter, records []storeRecord, from int64) {
	data := binary.BigEndian.AppendUint64(nil, uint64(len(records)))
	data = binary.BigEndian.AppendUint64(data, 0)
	for _, record := range records[min(from, int64(len(records))):] {
		content := append([]byte{byte(len(record.key))}, record.key...)
		content = append(content, record.value...)
		data = binary.BigEndian.AppendUint32(data, uint32(len(content)))
		data = append(data, content...)
	}
	_, _ = w.Write(data)
}

func (s *store) serveNewest(w http.ResponseWriter, topic, after string) {
	s.mu.Lock()
	newest := make(map[string]storeRecord)
	for _, record := range s.topics[topic] {
		newest[record.key] = record
	}
	end := len(s.topics[topic])
	s.mu.Unlock()
	var items []map[string]any
	for _, record := range newest {
		if record.value != nil && record.key > after {
			items = append(items, map[string]any{
				"key": record.key, "value": base64.StdEncoding.EncodeToString(record.value), "offset": record.offset,
			})
		}
	}
	slices.SortFunc(items, func(a, b map[string]any) int {
		if a["key"].(string) < b["key"].(string) {
			return -1
		}
		return 1
	})
	writeJSON(w, map[string]any{"items": items, "has_more": false, "end_offset": end})
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}
