package config

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"fmt"
	"io"
	"time"

	"github.com/pkg/errors"

	"github.com/chervilrun/chervilrun/internal/model"
)

// Stored is the value at store.ConfigKey: an accepted text with its version.
type Stored struct {
	Version model.ConfigVersion `json:"version"`
	// Author is the operator who submitted the text.
	Author string `json:"author"`
	// Attempt identifies the write, so that a writer that received no response can tell
	// whether the stored value is its own.
	Attempt    model.AttemptID `json:"attempt"`
	AcceptedAt time.Time       `json:"accepted_at"`
	// History holds the latest changes including this one, oldest first; at most
	// MaxHistory.
	History []HistoryEntry `json:"history,omitempty"`
	Text    string         `json:"text"`
}

// HistoryEntry describes one accepted change.
type HistoryEntry struct {
	Version    model.ConfigVersion `json:"version"`
	Author     string              `json:"author"`
	Attempt    model.AttemptID     `json:"attempt"`
	AcceptedAt time.Time           `json:"accepted_at"`
	// Changes describes the changes in at most MaxHistoryChanges lines.
	Changes []string `json:"changes"`
}

// The limits of the history in a stored configuration.
const (
	MaxHistory        = 16
	MaxHistoryChanges = 10
)

// maxDecodedBytes limits the size of a stored value after decompression.
const maxDecodedBytes = 8 << 20

// gzipMagic is the prefix of every compressed value.
var gzipMagic = []byte{0x1f, 0x8b}

// Encode returns the value to be stored: JSON compressed with gzip, since every change
// is sent to every entry host.
func (s Stored) Encode() []byte {
	var value bytes.Buffer
	compressor := gzip.NewWriter(&value)
	err := json.NewEncoder(compressor).Encode(s)
	if err == nil {
		err = compressor.Close()
	}
	if err != nil {
		panic(errors.Wrap(err, "config: encode stored configuration"))
	}
	return value.Bytes()
}

// Decode reads a stored value, compressed or not.
func Decode(value []byte) (Stored, error) {
	var s Stored
	var reader io.Reader = bytes.NewReader(value)
	if bytes.HasPrefix(value, gzipMagic) {
		decompressor, err := gzip.NewReader(reader)
		if err != nil {
			return Stored{}, errors.Wrap(err, "stored configuration")
		}
		reader = decompressor
	}
	text, err := io.ReadAll(io.LimitReader(reader, maxDecodedBytes))
	if err != nil {
		return Stored{}, errors.Wrap(err, "stored configuration")
	}
	if err := json.Unmarshal(text, &s); err != nil {
		return Stored{}, errors.Wrap(err, "stored configuration")
	}
	return s, nil
}

// Cluster parses the text and sets the version. Version 0 gives an empty cluster.
func (s Stored) Cluster() (*Cluster, error) {
	if s.Version == 0 {
		return &Cluster{}, nil
	}
	c, problems := Parse([]byte(s.Text))
	if len(problems) > 0 {
		return nil, errors.Errorf("stored configuration, version %d: %s", s.Version, problems[0])
	}
	c.Version = s.Version
	return c, nil
}

// Next returns the value that replaces s when author's text is accepted.
func (s Stored) Next(author string, attempt model.AttemptID, at time.Time, text []byte, changes []Change) Stored {
	next := Stored{
		Version:    s.Version + 1,
		Author:     author,
		Attempt:    attempt,
		AcceptedAt: at,
		Text:       string(text),
	}
	entry := HistoryEntry{
		Version:    next.Version,
		Author:     author,
		Attempt:    attempt,
		AcceptedAt: at,
		Changes:    changeLines(changes),
	}
	kept := s.History[max(0, len(s.History)-MaxHistory+1):]
	next.History = append(append([]HistoryEntry{}, kept...), entry)
	return next
}

// ChangesSince returns the changes after version. complete is false if the history no longer
// contains all of them.
func (s Stored) ChangesSince(version model.ConfigVersion) (entries []HistoryEntry, complete bool) {
	for _, entry := range s.History {
		if entry.Version > version {
			entries = append(entries, entry)
		}
	}
	return entries, version+model.ConfigVersion(len(entries)) >= s.Version
}

func changeLines(changes []Change) []string {
	var lines []string
	for i, change := range changes {
		if i == MaxHistoryChanges-1 && len(changes) > MaxHistoryChanges {
			return append(lines, fmt.Sprintf("and %d more", len(changes)-i))
		}
		lines = append(lines, change.String())
	}
	return lines
}
