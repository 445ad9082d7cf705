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

const (
	lengthBytes  = 4
	maxPageItems = 500
)

// store is a stand-in of the platform's store, with the calls that nodes use on topics of
// the kind "keyed.". It keeps all records.
type store struct {
	server *http.Server

	mu      sync.Mutex
	topics  map[string][][]byte
	changed chan struct{} // closed and replaced at each append
}

func newStore(address string) (*store, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s := &store{topics: make(map[string][][]byte), changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/log-append", s.serveAppend)
	mux.HandleFunc("GET /v1/log-read", s.serveRead)
	mux.HandleFunc("GET /v1/log-newest", s.serveNewest)
	s.server = &http.Server{Handler: mux}
	go func() { _ = s.server.Serve(l) }() // ends with close
	return s, nil
}

func (s *store) close() { s.server.Close() }

// put appends a record in the role of the operator.
func (s *store) put(topic, key, value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.add(topic, append(append([]byte{byte(len(key))}, key...), value...))
}

func (s *store) add(topic string, content []byte) {
	s.topics[topic] = append(s.topics[topic], content)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) serveAppend(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	topic := r.URL.Query().Get("topic")
	s.mu.Lock()
	defer s.mu.Unlock()
	offset := len(s.topics[topic])
	for len(body) >= lengthBytes {
		size := min(int(binary.BigEndian.Uint32(body)), len(body)-lengthBytes)
		s.add(topic, body[lengthBytes:lengthBytes+size])
		body = body[lengthBytes+size:]
	}
	writeJSON(w, map[string]int{"offset": offset, "end_offset": len(s.topics[topic])})
}

func (s *store) serveRead(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, _ := strconv.Atoi(q.Get("from"))
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		records, changed := s.topics[q.Get("topic")], s.changed
		s.mu.Unlock()
		if from > len(records) {
			w.WriteHeader(http.StatusGone)
			return
		}
		if from < len(records) || wait == 0 {
			_, _ = w.Write(encodeRecords(records, from))
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

func encodeRecords(records [][]byte, from int) []byte {
	b := binary.BigEndian.AppendUint64(nil, uint64(len(records)))
	b = binary.BigEndian.AppendUint64(b, 0) // the first offset
	for _, content := range records[from:] {
		b = binary.BigEndian.AppendUint32(b, uint32(len(content)))
		b = append(b, content...)
	}
	return b
}

func (s *store) serveNewest(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	records := s.topics[r.URL.Query().Get("topic")]
	newest := make(map[string]int)
	for offset, content := range records {
		key := recordKey(content)
		delete(newest, key)
		if len(content) > 1+len(key) {
			newest[key] = offset
		}
	}
	var keys []string
	for key := range newest {
		if key > r.URL.Query().Get("after") {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	items := []map[string]any{}
	for _, key := range keys[:min(len(keys), maxPageItems)] {
		offset := newest[key]
		value := base64.StdEncoding.EncodeToString(records[offset][1+len(key):])
		items = append(items, map[string]any{"key": key, "value": value, "offset": offset})
	}
	writeJSON(w, map[string]any{"items": items, "has_more": len(keys) > maxPageItems, "end_offset": len(records)})
}

// recordKey returns the key of a record: the length of the key comes first, in one byte.
func recordKey(content []byte) string {
	if len(content) == 0 || int(content[0]) >= len(content) {
		return ""
	}
	return string(content[1 : 1+content[0]])
}

func writeJSON(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}
