// Package logsink writes log lines without blocking the process that logs. Lines wait
// in a bounded queue; when the queue is full, new lines are dropped and counted.
package logsink

import (
	"fmt"
	"io"
	"sync"
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
	// closing is closed once no more lines are taken, done once the queued ones are written.
	closing   chan struct{}
	closeOnce sync.Once
	done      chan struct{}
}

// New returns a sink that writes to out and queues up to maxLines lines.
func New(out io.Writer, maxLines int) *Sink {
	s := &Sink{lines: make(chan []byte, maxLines), out: out, closing: make(chan struct{}), done: make(chan struct{})}
	go s.run()
	return s
}

// Write queues a line, or drops and counts it when the queue is full or the sink closed. It never
// fails and never blocks.
func (s *Sink) Write(line []byte) (int, error) {
	copied := append([]byte(nil), line...)
	select {
	case <-s.closing:
		s.dropped.Add(1)
		return len(line), nil
	default:
	}
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
	for {
		select {
		case line := <-s.lines:
			reported = s.writeAfterDropped(line, reported)
		case <-s.closing:
			if len(s.lines) == 0 {
				return
			}
		}
	}
}

// writeAfterDropped writes a line, after one on the lines dropped since reported was the count of them. It
// returns the new count.
func (s *Sink) writeAfterDropped(line []byte, reported int64) int64 {
	n := s.dropped.Load()
	if n > reported {
		s.write([]byte(fmt.Sprintf("{\"level\":\"warning\",\"msg\":\"log lines left out\",\"count\":%d}\n", n-reported)))
	}
	s.write(line)
	return n
}

// write ignores errors: there is nowhere to report that the log can't be written.
func (s *Sink) write(line []byte) { _, _ = s.out.Write(line) }

// Close waits up to timeout until the queued lines are written. Lines that are written later are
// dropped.
func (s *Sink) Close(timeout time.Duration) {
	s.closeOnce.Do(func() { close(s.closing) })
	select {
	case <-s.done:
	case <-time.After(timeout):
	}
}
