package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record writes what was sent, answered and run, one line each, with the seconds since the
// start. It is safe for concurrent use.
type record struct {
	mu    sync.Mutex
	file  *os.File
	w     *bufio.Writer
	began time.Time
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: f, w: bufio.NewWriter(f), began: time.Now()}, nil
}

func (r *record) add(format string, args ...any) {
	r.addAt(time.Now(), format, args...)
}

func (r *record) addAt(at time.Time, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.w, "%9.3f ", at.Sub(r.began).Seconds())
	fmt.Fprintf(r.w, format, args...)
	fmt.Fprintln(r.w)
}

// say writes a line to the record and to standard output.
func (r *record) say(format string, args ...any) {
	r.add(format, args...)
	fmt.Printf(format+"\n", args...)
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.w.Flush()
	_ = r.file.Close()
}
