package config

import "fmt"

// Problem is one mistake in a submitted configuration.
type Problem struct {
	// Line and Column are the position in the text, counted from 1; Column counts
	// bytes. Both are 0 for a mistake without a position, such as a missing table.
	Line   int `json:"line"`
	Column int `json:"column"`
	// Key is the path of the key, for example "organisation[0].guarantee[1].tasks".
	Key string `json:"key"`
	// Message describes the mistake.
	Message string `json:"message"`
	// Remedy describes how to correct it.
	Remedy string `json:"remedy"`
}

// String formats p on one line: "3:1: zone[0].id: message; remedy". The position and
// the key are omitted if p has none.
func (p Problem) String() string {
	text := p.Message + "; " + p.Remedy
	if p.Key != "" {
		text = p.Key + ": " + text
	}
	if p.Line > 0 {
		text = fmt.Sprintf("%d:%d: %s", p.Line, p.Column, text)
	}
	return text
}
