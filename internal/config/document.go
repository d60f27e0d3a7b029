package config

import (
	"bytes"
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"
	"github.com/pkg/errors"
)

// document is a well-formed TOML text with the position of each key.
type document struct {
	text []byte
	root map[string]any
	// offsets maps the path of each key and table to its byte offset in text.
	offsets  map[string]int
	problems []Problem
}

// readDocument parses the text as TOML. It reports only the first syntax error, since
// the text after it can't be interpreted reliably.
func readDocument(text []byte) (*document, *Problem) {
	d := &document{text: text, offsets: map[string]int{}}
	if err := toml.Unmarshal(text, &d.root); err != nil {
		return nil, syntaxProblem(err)
	}
	d.index()
	return d, nil
}

func syntaxProblem(err error) *Problem {
	p := &Problem{
		Message: strings.TrimPrefix(err.Error(), "toml: "),
		Remedy:  "write valid TOML 1.0; the rest of the text was not checked",
	}
	var decode *toml.DecodeError
	if errors.As(err, &decode) {
		p.Line, p.Column = decode.Position()
		p.Key = strings.Join(decode.Key(), ".")
	}
	return p
}

// index fills in offsets from the syntax tree.
func (d *document) index() {
	var parser unstable.Parser
	parser.Reset(d.text)
	elements := map[string]int{}
	prefix := ""
	for parser.NextExpression() {
		expression := parser.Expression()
		switch expression.Kind {
		case unstable.Table:
			prefix = d.indexKey(expression.Key(), "", elements)
		case unstable.ArrayTable:
			prefix = d.indexArrayTable(expression.Key(), elements)
		case unstable.KeyValue:
			d.indexKeyValue(expression, prefix, elements)
		}
	}
}

// indexKey records the offset of a dotted key and returns its path. A part that names
// an array of tables refers to the array's latest element.
func (d *document) indexKey(key unstable.Iterator, prefix string, elements map[string]int) string {
	path := prefix
	for key.Next() {
		path = d.indexKeyPart(path, key.Node(), elements)
	}
	return path
}

func (d *document) indexKeyPart(path string, key *unstable.Node, elements map[string]int) string {
	path = joinPath(path, string(key.Data))
	if count := elements[path]; count > 0 {
		return arrayElementPath(path, count-1)
	}
	d.recordOffset(path, key)
	return path
}

// indexArrayTable records the offset of a new element of an array of tables.
func (d *document) indexArrayTable(key unstable.Iterator, elements map[string]int) string {
	path := ""
	for key.Next() {
		node := key.Node()
		if !key.IsLast() {
			path = d.indexKeyPart(path, node, elements)
			continue
		}
		array := joinPath(path, string(node.Data))
		d.recordOffset(array, node)
		path = arrayElementPath(array, elements[array])
		elements[array]++
		d.recordOffset(path, node)
	}
	return path
}

func (d *document) indexKeyValue(node *unstable.Node, prefix string, elements map[string]int) {
	path := d.indexKey(node.Key(), prefix, elements)
	d.indexValue(node.Value(), path, elements)
}

func (d *document) indexValue(value *unstable.Node, path string, elements map[string]int) {
	switch value.Kind {
	case unstable.InlineTable:
		for it := value.Children(); it.Next(); {
			if it.Node().Kind == unstable.KeyValue {
				d.indexKeyValue(it.Node(), path, elements)
			}
		}
	case unstable.Array:
		offset := d.offsets[path]
		i := 0
		for it := value.Children(); it.Next(); i++ {
			item := arrayElementPath(path, i)
			if it.Node().Kind == unstable.String {
				d.recordOffset(item, it.Node())
			} else {
				d.offsets[item] = offset
			}
			d.indexValue(it.Node(), item, elements)
		}
	}
}

func (d *document) recordOffset(path string, node *unstable.Node) {
	if _, known := d.offsets[path]; !known {
		d.offsets[path] = int(node.Raw.Offset)
	}
}

// report adds a problem at the position of path, or of the innermost enclosing key or
// table whose position is known.
func (d *document) report(path, remedy, format string, args ...any) {
	p := Problem{Key: path, Message: fmt.Sprintf(format, args...), Remedy: remedy}
	if offset, known := d.nearestOffset(path); known {
		before := d.text[:offset]
		p.Line = bytes.Count(before, []byte("\n")) + 1
		p.Column = offset - bytes.LastIndexByte(before, '\n')
	}
	d.problems = append(d.problems, p)
}

func (d *document) nearestOffset(path string) (int, bool) {
	for path != "" {
		if offset, known := d.offsets[path]; known {
			return offset, true
		}
		path = path[:max(strings.LastIndexAny(path, ".["), 0)]
	}
	return 0, false
}

// sortedProblems sorts the problems by their position in the text and returns them.
func (d *document) sortedProblems() []Problem {
	slices.SortStableFunc(d.problems, func(a, b Problem) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column), cmp.Compare(a.Key, b.Key))
	})
	return d.problems
}

func joinPath(path, key string) string {
	switch {
	case path == "":
		return key
	case key == "":
		return path
	}
	return path + "." + key
}

func arrayElementPath(path string, index int) string { return path + "[" + strconv.Itoa(index) + "]" }
