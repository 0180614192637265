package main

import (
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

const (
	topicOperator = "keyed.op"
	topicServers  = "keyed.servers"
)

// stored is one record of a keyed topic. A nil value drops the key.
type stored struct {
	key   string
	value []byte
}

// store is a stand-in for the platform's store: keyed topics with one partition. It keeps all records.
type store struct {
	mu      sync.Mutex
	topics  map[string][]stored
	changed chan struct{}
	address string
}

func newStore() (*store, error) {
	s := &store{topics: make(map[string][]stored), changed: make(chan struct{})}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s.address = listener.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("POST /-/log-append", s.append)
	mux.HandleFunc("GET /-/log-read", s.read)
	mux.HandleFunc("GET /-/log-newest", s.newest)
	go http.Serve(listener, mux) //nolint
	return s, nil
}

// put appends a record and returns when the store has acknowledged it.
func (s *store) put(topic, key string, value []byte) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.topics[topic] = append(s.topics[topic], stored{key, value})
	close(s.changed)
	s.changed = make(chan struct{})
	return time.Now()
}

func (s *store) putJSON(topic, key string, value any) time.Time {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return s.put(topic, key, data)
}

func (s *store) append(w http.ResponseWriter, r *http.Request) {
	topic := r.URL.Query().Get("topic")
	if topic == topicOperator || topic == topicServers {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	time.Sleep(4 * time.Millisecond)
	first := -1
	for len(body) >= 4 {
		size := int(binary.BigEndian.Uint32(body))
		if size < 1 || len(body) < 4+size {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		content := body[4 : 4+size]
		body = body[4+size:]
		keyEnd := 1 + int(content[0])
		var value []byte
		if len(content) > keyEnd {
			value = content[keyEnd:]
		}
		s.put(topic, string(content[1:keyEnd]), value)
		s.mu.Lock()
		if first < 0 {
			first = len(s.topics[topic]) - 1
		}
		s.mu.Unlock()
	}
	s.mu.Lock()
	end := len(s.topics[topic])
	s.mu.Unlock()
	writeJSON(w, map[string]any{"offset": first, "end_offset": end})
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}

func (s *store) read(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	topic := query.Get("topic")
	from, _ := strconv.Atoi(query.Get("from"))
	wait, _ := strconv.Atoi(query.Get("wait_ms"))
	timer := time.After(time.Duration(wait) * time.Millisecond)
	time.Sleep(4 * time.Millisecond)
	for {
		s.mu.Lock()
		records, changed := s.topics[topic], s.changed
		s.mu.Unlock()
		if len(records) > from || wait == 0 {
			s.writeRecords(w, records, from)
			return
		}
		select {
		case <-changed:
		case <-timer:
			wait = 0
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) writeRecords(w http.ResponseWriter, records []stored, from int) {
	out := binary.BigEndian.AppendUint64(nil, uint64(len(records)))
	out = binary.BigEndian.AppendUint64(out, 0)
	for _, r := range records[min(from, len(records)):] {
		content := append([]byte{byte(len(r.key))}, r.key...)
		content = append(content, r.value...)
		out = binary.BigEndian.AppendUint32(out, uint32(len(content)))
		out = append(out, content...)
	}
	_, _ = w.Write(out)
}

func (s *store) newest(w http.ResponseWriter, r *http.Request) {
	time.Sleep(4 * time.Millisecond)
	type item struct {
		Key    string `json:"key"`
		Value  []byte `json:"value"`
		Offset int    `json:"offset"`
	}
	after := r.URL.Query().Get("after")
	s.mu.Lock()
	records := s.topics[r.URL.Query().Get("topic")]
	s.mu.Unlock()
	latest := make(map[string]item)
	for i, record := range records {
		latest[record.key] = item{record.key, record.value, i}
	}
	items := []item{}
	for _, i := range latest {
		if i.Value != nil && i.Key > after {
			items = append(items, i)
		}
	}
	slices.SortFunc(items, func(a, b item) int {
		if a.Key < b.Key {
			return -1
		}
		return 1
	})
	more := len(items) > 500
	items = items[:min(len(items), 500)]
	writeJSON(w, map[string]any{"items": items, "has_more": more, "end_offset": len(records)})
}
