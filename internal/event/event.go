// Package event records what a process does as numbered events. Every event goes to
// the log and to a bounded ring buffer. The timeline of a deployment is merged from the
// ring buffers of all processes. docs/EVENTS.md lists the numbers and their meanings.
package event

import (
	"fmt"
	"strings"
	"sync"

	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"
)

// Number identifies a kind of event. A number is never reused for another kind.
type Number int

// Subject names the objects that an event is about; fields that do not apply are empty.
type Subject struct {
	Job          string `json:"job,omitempty"`
	Request      string `json:"request,omitempty"`
	Worker       string `json:"worker,omitempty"`
	Zone         string `json:"zone,omitempty"`
	Organisation string `json:"organisation,omitempty"`
	Executor     string `json:"executor,omitempty"`
	Host         string `json:"host,omitempty"`
}

// MaxFieldBytes is the largest size of a text in an event. Texts may quote what others have
// written.
const MaxFieldBytes = 4 << 10

// cut returns a text that is not longer than MaxFieldBytes.
func cut(text string) string {
	if len(text) <= MaxFieldBytes {
		return text
	}
	end := fmt.Sprintf("... (%d bytes)", len(text))
	// The copy releases the memory of the whole text.
	return strings.ToValidUTF8(text[:MaxFieldBytes-len(end)], "") + end
}

func (s Subject) cut() Subject {
	return Subject{
		Job: cut(s.Job), Request: cut(s.Request), Worker: cut(s.Worker), Zone: cut(s.Zone),
		Organisation: cut(s.Organisation), Executor: cut(s.Executor), Host: cut(s.Host),
	}
}

// Event is one entry of the timeline.
type Event struct {
	Time    Timestamp `json:"time"`
	Number  Number    `json:"number"`
	Name    string    `json:"name"`
	Process string    `json:"process"`
	Subject Subject   `json:"subject"`
	// Detail is a human-readable sentence.
	Detail string `json:"detail,omitempty"`
	// Fields holds the inputs and the outcome of a decision.
	Fields Fields `json:"fields,omitempty"`
}

// Fields holds the named inputs of a decision, with their age or version, and its outcome.
type Fields map[string]any

// Recorder writes events to the log and keeps the latest ones in a ring buffer.
// It is safe for concurrent use.
type Recorder struct {
	process string
	clock   *HybridClock
	wall    clockwork.Clock
	log     *logrus.Logger
	// throttle limits the rate of log lines; nil means no limit.
	throttle *throttle

	mu   sync.Mutex
	ring []Event
	// next is the index in ring of the next event.
	next    int
	wrapped bool
}

// DefaultRingEvents is the number of events that a process keeps.
const DefaultRingEvents = 8192

// NewRecorder returns a recorder for the named process that keeps ringEvents events.
func NewRecorder(process string, clock clockwork.Clock, log *logrus.Logger, ringEvents int) *Recorder {
	return &Recorder{
		process: process,
		clock:   NewHybridClock(clock),
		wall:    clock,
		log:     log,
		ring:    make([]Event, ringEvents),
	}
}

// LimitLog limits the rate of log lines for each kind of event. The field left_out of a
// line counts the lines of the same kind that were suppressed before it. LimitLog must be
// called before the first event.
func (r *Recorder) LimitLog(limit Limit) { r.throttle = newThrottle(limit) }

// Clock returns the hybrid clock that stamps the events.
func (r *Recorder) Clock() *HybridClock { return r.clock }

// Record logs an event with a detail for human readers and adds it to the ring buffer.
// It panics when the number is not in the catalogue, since a reader could not look it up.
func (r *Recorder) Record(number Number, subject Subject, detail string) {
	r.record(number, subject, detail, nil)
}

// RecordFields records a decision as Record does, with its inputs and outcome as fields.
func (r *Recorder) RecordFields(number Number, subject Subject, fields Fields) {
	r.record(number, subject, "", fields)
}

func (r *Recorder) record(number Number, subject Subject, detail string, fields Fields) {
	entry, known := catalogue[number]
	if !known {
		panic("event: number without a catalogue entry")
	}
	for key, value := range fields {
		if text, ok := value.(string); ok {
			fields[key] = cut(text)
		}
	}
	e := Event{
		Time:    r.clock.Now(),
		Number:  number,
		Name:    entry.Name,
		Process: r.process,
		Subject: subject.cut(),
		Detail:  cut(detail),
		Fields:  fields,
	}
	r.store(e)
	r.write(e, entry.Level)
}

func (r *Recorder) store(e Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ring[r.next] = e
	r.next++
	if r.next == len(r.ring) {
		r.next = 0
		r.wrapped = true
	}
}

func (r *Recorder) write(e Event, level logrus.Level) {
	if !r.log.IsLevelEnabled(level) {
		return
	}
	suppressed := 0
	if r.throttle != nil {
		var ok bool
		if suppressed, ok = r.throttle.admit(e.Number, r.wall.Now()); !ok {
			return
		}
	}
	fields := logrus.Fields{"event": int(e.Number), "process": e.Process}
	if suppressed > 0 {
		fields["left_out"] = suppressed
	}
	addField(fields, "job", e.Subject.Job)
	addField(fields, "request", e.Subject.Request)
	addField(fields, "worker", e.Subject.Worker)
	addField(fields, "zone", e.Subject.Zone)
	addField(fields, "organisation", e.Subject.Organisation)
	addField(fields, "executor", e.Subject.Executor)
	addField(fields, "host", e.Subject.Host)
	addField(fields, "detail", e.Detail)
	for key, value := range e.Fields {
		fields[key] = value
	}
	r.log.WithFields(fields).Log(level, e.Name)
}

func addField(fields logrus.Fields, key, value string) {
	if value != "" {
		fields[key] = value
	}
}

// Filter selects events; empty fields match everything.
type Filter struct {
	Subject Subject
	// SinceWallNS and UntilWallNS are the first and last wall clock times that match, in
	// nanoseconds since 1970; 0 means no limit.
	SinceWallNS int64
	UntilWallNS int64
	// Limit is the maximum number of events returned, the latest ones; 0 means all.
	Limit int
}

// Matches reports whether e passes the filter.
func (f Filter) Matches(e Event) bool {
	return matches(f.Subject.Job, e.Subject.Job) &&
		matches(f.Subject.Request, e.Subject.Request) &&
		matches(f.Subject.Worker, e.Subject.Worker) &&
		matches(f.Subject.Zone, e.Subject.Zone) &&
		matches(f.Subject.Organisation, e.Subject.Organisation) &&
		matches(f.Subject.Executor, e.Subject.Executor) &&
		matches(f.Subject.Host, e.Subject.Host) &&
		(f.SinceWallNS == 0 || e.Time.WallNS >= f.SinceWallNS) &&
		(f.UntilWallNS == 0 || e.Time.WallNS <= f.UntilWallNS)
}

func matches(want, got string) bool { return want == "" || want == got }

// Read returns the events in the ring buffer that pass the filter, oldest first.
func (r *Recorder) Read(filter Filter) []Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	var matching []Event
	if r.wrapped {
		matching = appendMatching(matching, r.ring[r.next:], filter)
	}
	matching = appendMatching(matching, r.ring[:r.next], filter)
	if filter.Limit > 0 && len(matching) > filter.Limit {
		matching = matching[len(matching)-filter.Limit:]
	}
	return matching
}

func appendMatching(matching, events []Event, filter Filter) []Event {
	for _, e := range events {
		if filter.Matches(e) {
			matching = append(matching, e)
		}
	}
	return matching
}
