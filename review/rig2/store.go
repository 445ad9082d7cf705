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

// store is a stand-in for the platform's metadata store. It serves the three log calls that
// the nodes make, as PROTOCOL.md describes them.
type store struct {
	mu      sync.Mutex
	topics  map[string]*topic
	changed chan struct{} // closed and replaced at each append
}

type topic struct {
	records [][]byte
	newest  map[string]int // offset of the newest record of each key that has a value
}

const maxPageItems = 500

func newStore() *store {
	return &store{topics: make(map[string]*topic), changed: make(chan struct{})}
}

func (s *store) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/log-append", s.serveAppend)
	mux.HandleFunc("GET /v1/log-read", s.serveRead)
	mux.HandleFunc("GET /v1/log-newest", s.serveNewest)
	return mux
}

func (s *store) topic(name string) *topic {
	if s.topics[name] == nil {
		s.topics[name] = &topic{newest: make(map[string]int)}
	}
	return s.topics[name]
}

// put appends a record to a keyed topic.
func (s *store) put(name, key, value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.add(name, append(append([]byte{byte(len(key))}, key...), value...))
}

func (s *store) add(name string, record []byte) {
	t := s.topic(name)
	if len(record) > 0 && int(record[0]) < len(record) {
		key := string(record[1 : 1+record[0]])
		delete(t.newest, key)
		if len(record) > 1+len(key) {
			t.newest[key] = len(t.records)
		}
	}
	t.records = append(t.records, record)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) serveAppend(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	name := r.URL.Query().Get("topic")
	t := s.topic(name)
	offset := len(t.records)
	if at := r.URL.Query().Get("at"); at != "" && at != strconv.Itoa(offset) {
		writeJSON(w, http.StatusPreconditionFailed, map[string]any{"end_offset": offset})
		return
	}
	for len(body) >= 4 {
		size := int(binary.BigEndian.Uint32(body))
		if size > len(body)-4 {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		s.add(name, slices.Clone(body[4:4+size]))
		body = body[4+size:]
	}
	writeJSON(w, http.StatusOK, map[string]any{"offset": offset, "end_offset": len(t.records)})
}

func (s *store) serveRead(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, _ := strconv.Atoi(q.Get("from"))
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	for waits := wait > 0; ; {
		s.mu.Lock()
		t, changed := s.topic(q.Get("topic")), s.changed
		if from < len(t.records) || !waits {
			b := binary.BigEndian.AppendUint64(nil, uint64(len(t.records)))
			b = binary.BigEndian.AppendUint64(b, 0)
			for _, record := range t.records[min(from, len(t.records)):] {
				b = binary.BigEndian.AppendUint32(b, uint32(len(record)))
				b = append(b, record...)
			}
			s.mu.Unlock()
			_, _ = w.Write(b)
			return
		}
		s.mu.Unlock()
		select {
		case <-changed:
		case <-deadline:
			waits = false
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) serveNewest(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(r.URL.Query().Get("topic"))
	keys := []string{}
	for key := range t.newest {
		if key > r.URL.Query().Get("after") {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	more := len(keys) > maxPageItems
	items := []map[string]any{}
	for _, key := range keys[:min(len(keys), maxPageItems)] {
		value := t.records[t.newest[key]][1+len(key):]
		items = append(items, map[string]any{"key": key, "value": base64.StdEncoding.EncodeToString(value), "offset": t.newest[key]})
	}
	writeJSON(w, http.StatusOK, map[string]any{"items": items, "has_more": more, "end_offset": len(t.records)})
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
