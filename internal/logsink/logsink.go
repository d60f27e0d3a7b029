// Package logsink writes log lines without blocking the process that logs. Lines wait
// in a bounded queue; when the queue is full, new lines are dropped and counted.
package logsink

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

// DefaultLines is the default length of the queue.
const DefaultLines = 1024

// Sink is an io.Writer that queues one line with each write. It is safe for concurrent
// use.
type Sink struct {
	lines   chan []byte
	out     io.Writer
	dropped atomic.Int64
	done    chan struct{}
}

// New returns a sink that writes to out and queues up to maxLines lines.
func New(out io.Writer, maxLines int) *Sink {
	s := &Sink{lines: make(chan []byte, maxLines), out: out, done: make(chan struct{})}
	go s.run()
	return s
}

// Write queues a line, or drops and counts it when the queue is full. It never fails and
// never blocks.
func (s *Sink) Write(line []byte) (int, error) {
	copied := append([]byte(nil), line...)
	select {
	case s.lines <- copied:
	default:
		s.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines dropped since the start.
func (s *Sink) Dropped() int64 { return s.dropped.Load() }

func (s *Sink) run() {
	defer close(s.done)
	reported := int64(0)
	for line := range s.lines {
		if n := s.dropped.Load(); n > reported {
			s.write([]byte(fmt.Sprintf("{\"level\":\"warning\",\"msg\":\"log lines left out\",\"count\":%d}\n", n-reported)))
			reported = n
		}
		s.write(line)
	}
}

// write ignores errors: there is nowhere to report that the log can't be written.
func (s *Sink) write(line []byte) { _, _ = s.out.Write(line) }

// Close waits up to timeout until the queued lines are written. Write must not be called
// after Close.
func (s *Sink) Close(timeout time.Duration) {
	close(s.lines)
	select {
	case <-s.done:
	case <-time.After(timeout):
	}
}
