package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the log of what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: file, start: time.Now()}, nil
}

// add writes a line with the time since the start of the case, in seconds.
func (r *record) add(who, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	// An incomplete record does not change the verdict.
	_, _ = fmt.Fprintf(r.file, "%8.3f %-14s %s\n", time.Since(r.start).Seconds(), who, fmt.Sprintf(format, args...))
}

func (r *record) close() { _ = r.file.Close() }
