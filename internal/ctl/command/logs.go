package command

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/pkg/errors"

	"github.com/chervilrun/chervilrun/internal/ctl"
	"github.com/chervilrun/chervilrun/internal/event"
)

// logEntry is a parsed line of a host's log.
type logEntry struct {
	Time    time.Time `json:"time"`
	Process string    `json:"process"`
	Event   int       `json:"event"`
	Name    string    `json:"msg"`
	// fields holds all fields of the line.
	fields map[string]any
}

func (p *program) logs() *ffcli.Command {
	return p.leaf(spec{
		usage: "logs ID PATH",
		help:  "show the log lines of all hosts on a job, a task or a request, in order of time; PATH is a log file or a directory of them, - is standard input",
		exec: func(_ context.Context, args []string) error {
			entries, skipped, err := p.readLogs(args[1])
			if err != nil {
				return err
			}
			related := relatedEntries(entries, args[0])
			if skipped > 0 {
				fmt.Fprintf(p.Stderr, "chervilctl: warning: %d lines skipped that are not log lines\n", skipped)
			}
			if len(related) == 0 {
				return errors.Errorf("no log line contains the id %s", args[0])
			}
			for _, e := range related {
				fmt.Fprintln(p.Stdout, e)
			}
			return nil
		},
	})
}

// readLogs reads the log lines of a file, of all files in a directory or of standard
// input, and counts the skipped lines that are not log lines.
func (p *program) readLogs(path string) ([]logEntry, int, error) {
	if path == "-" {
		return scanLog(p.Stdin)
	}
	files := []string{path}
	if info, err := os.Stat(path); err == nil && info.IsDir() {
		if files, err = filepath.Glob(filepath.Join(path, "*")); err != nil {
			return nil, 0, errors.WithStack(err)
		}
	}
	var entries []logEntry
	skipped := 0
	for _, file := range files {
		fileEntries, fileSkipped, err := scanFile(file)
		if err != nil {
			return nil, 0, &ctl.UsageError{Message: err.Error()}
		}
		entries = append(entries, fileEntries...)
		skipped += fileSkipped
	}
	return entries, skipped, nil
}

func scanFile(path string) ([]logEntry, int, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, 0, err
	}
	defer file.Close() //nolint:errcheck // the file was only read
	return scanLog(file)
}

const maxLogLineBytes = 1 << 20

// scanLog reads log lines. It ignores what a log collector has put before the JSON object.
func scanLog(in io.Reader) ([]logEntry, int, error) {
	var entries []logEntry
	skipped := 0
	scanner := bufio.NewScanner(in)
	scanner.Buffer(nil, maxLogLineBytes)
	for scanner.Scan() {
		line := scanner.Bytes()
		var e logEntry
		start := bytes.IndexByte(line, '{')
		if start < 0 || json.Unmarshal(line[start:], &e) != nil || e.Event == 0 {
			skipped++
			continue
		}
		if err := json.Unmarshal(line[start:], &e.fields); err != nil {
			return nil, 0, errors.WithStack(err)
		}
		entries = append(entries, e)
	}
	return entries, skipped, errors.WithStack(scanner.Err())
}

// contextEvents are events that are not about one job but may explain what happened to it:
// changes of the owner, of the confirmation of the configuration, of the store and of hosts.
var contextEvents = map[event.Number]bool{
	event.ProcessStarted: true, event.ProcessDraining: true, event.OwnershipTaken: true, event.OwnershipLost: true,
	event.OwnershipHandedOver: true, event.OwnerSuspected: true, event.StoreUnavailable: true, event.StoreRecovered: true,
	event.ViewStale: true, event.ViewConfirmed: true,
}

// workerEvents are events on the workers that a job ran on.
var workerEvents = map[event.Number]bool{
	event.WorkerSilent: true, event.WorkerAnswers: true, event.WorkerLost: true, event.WorkerRestarted: true,
	event.WorkerDraining: true, event.WorkerUnlisted: true, event.WorkerQuarantined: true, event.WorkerSlow: true,
	event.WorkerCrashed: true, event.CrashRetracted: true,
}

// relatedEntries returns the lines that contain an id, sorted by time. It adds the context
// events, and the worker events of the workers named in those lines, that lie between the
// first and the last of them.
func relatedEntries(entries []logEntry, id string) []logEntry {
	var related []logEntry
	workers := map[string]bool{}
	for _, e := range entries {
		if e.contains(id) {
			related = append(related, e)
			e.collectWorkers(workers)
		}
	}
	if len(related) == 0 {
		return nil
	}
	byTime := func(a, b logEntry) int { return a.Time.Compare(b.Time) }
	first, last := slices.MinFunc(related, byTime).Time, slices.MaxFunc(related, byTime).Time
	for _, e := range entries {
		if e.contains(id) || e.Time.Before(first) || e.Time.After(last) {
			continue
		}
		worker, _ := e.fields["worker"].(string)
		if contextEvents[event.Number(e.Event)] || workerEvents[event.Number(e.Event)] && workers[worker] {
			related = append(related, e)
		}
	}
	slices.SortStableFunc(related, byTime)
	return related
}

// contains reports whether a text field of the line contains the id.
func (e logEntry) contains(id string) bool {
	for _, value := range e.fields {
		if text, ok := value.(string); ok && strings.Contains(text, id) {
			return true
		}
	}
	return false
}

func (e logEntry) collectWorkers(workers map[string]bool) {
	if worker, ok := e.fields["worker"].(string); ok {
		workers[worker] = true
	}
	list, _ := e.fields["workers"].([]any)
	for _, worker := range list {
		if name, ok := worker.(string); ok {
			workers[name] = true
		}
	}
}

// String formats the line as "TIME PROCESS NUMBER NAME key=value ...".
func (e logEntry) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s %d %s", e.Time.Format(time.RFC3339Nano), e.Process, e.Event, e.Name)
	for _, key := range slices.Sorted(maps.Keys(e.fields)) {
		switch key {
		case "time", "process", "event", "msg", "level":
			continue
		}
		fmt.Fprintf(&b, " %s=%v", key, e.fields[key])
	}
	return b.String()
}
