package config

import (
	"fmt"
	"regexp"
	"slices"
	"strings"
)

// table reads the keys of one TOML table and reports invalid values and unknown keys.
type table struct {
	doc    *document
	path   string
	values map[string]any
	// knownKeys holds the keys that were passed to get.
	knownKeys []string
}

// get returns the value of key, or nil if it is missing, and marks key as known.
func (t *table) get(key string) any {
	t.knownKeys = append(t.knownKeys, key)
	return t.values[key]
}

func (t *table) report(key, remedy, format string, args ...any) {
	t.doc.report(joinPath(t.path, key), remedy, format, args...)
}

// requiredString returns the string at key and reports a missing one.
func (t *table) requiredString(key, remedy string) string {
	value := t.get(key)
	if value == nil {
		t.report(key, remedy, "is missing")
		return ""
	}
	text, ok := value.(string)
	if !ok {
		t.report(key, remedy, "is %s, expected a string", describeValue(value))
	}
	return text
}

// integer returns the integer at key, which must be within [low, high], or defaultValue
// if key is missing. A defaultValue below low means that the key is required.
func (t *table) integer(key string, low, high, defaultValue int64) int64 {
	value := t.get(key)
	if value == nil && defaultValue >= low {
		return defaultValue
	}
	number, ok := value.(int64)
	if ok && low <= number && number <= high {
		return number
	}
	remedy := fmt.Sprintf("write an integer from %d to %d", low, high)
	switch {
	case value == nil:
		t.report(key, remedy, "is missing")
	case !ok:
		t.report(key, remedy, "is %s, expected an integer", describeValue(value))
	default:
		t.report(key, remedy, "is %d, expected %d to %d", number, low, high)
	}
	return number
}

// boolean returns the boolean at key, or false if key is missing.
func (t *table) boolean(key string) bool {
	value := t.get(key)
	flag, ok := value.(bool)
	if value != nil && !ok {
		t.report(key, "write true or false", "is %s, expected a boolean", describeValue(value))
	}
	return flag
}

// listItem is one string in a list, and its path.
type listItem struct {
	path string
	text string
}

// stringList returns the strings of the list at key. Duplicates are reported and left out.
func (t *table) stringList(key, remedy string) []listItem {
	value := t.get(key)
	if value == nil {
		return nil
	}
	values, ok := value.([]any)
	if !ok {
		t.report(key, remedy, "is %s, expected a list of strings", describeValue(value))
		return nil
	}
	var items []listItem
	for i, value := range values {
		path := t.elementPath(key, i)
		text, ok := value.(string)
		if !ok {
			t.doc.report(path, remedy, "is %s, expected a string", describeValue(value))
			continue
		}
		if slices.ContainsFunc(items, func(other listItem) bool { return other.text == text }) {
			t.doc.report(path, "remove one of the two", "%q is listed twice", text)
			continue
		}
		items = append(items, listItem{path: path, text: text})
	}
	return items
}

func (t *table) elementPath(key string, index int) string {
	return arrayElementPath(joinPath(t.path, key), index)
}

// tables returns the elements of an array of tables.
func (t *table) tables(key string) []*table {
	value := t.get(key)
	if value == nil {
		return nil
	}
	items, ok := value.([]any)
	if !ok {
		t.report(key, "write [["+key+"]] above each one", "is %s, expected an array of tables", describeValue(value))
		return nil
	}
	var tables []*table
	for i, item := range items {
		values, ok := item.(map[string]any)
		if !ok {
			t.doc.report(t.elementPath(key, i), "write [["+key+"]] above each one", "is %s, expected a table", describeValue(item))
			continue
		}
		tables = append(tables, &table{doc: t.doc, path: t.elementPath(key, i), values: values})
	}
	return tables
}

// reportUnknownKeys reports every key that was never passed to get.
func (t *table) reportUnknownKeys() {
	for key := range t.values {
		if !slices.Contains(t.knownKeys, key) {
			t.report(key, "remove it; the keys here are "+strings.Join(t.knownKeys, ", "), "is unknown")
		}
	}
}

// maxIDBytes is the maximum length of an identifier, in bytes.
const maxIDBytes = 63

var idPattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]*[a-z0-9])?$`)

const idRemedy = "write 1 to 63 of a to z, 0 to 9 and -, with no - at either end"

// requiredID returns the identifier at key and reports a missing or invalid one.
func (t *table) requiredID(key string) string {
	text := t.requiredString(key, idRemedy)
	if text == "" && t.values[key] != "" {
		return ""
	}
	if len(text) > maxIDBytes || !idPattern.MatchString(text) {
		t.report(key, idRemedy, "%q is not a valid identifier", text)
	}
	return text
}

func describeValue(value any) string {
	switch value := value.(type) {
	case string:
		return fmt.Sprintf("the string %q", value)
	case bool, int64, float64:
		return fmt.Sprintf("%v", value)
	case []any:
		return "a list"
	case map[string]any:
		return "a table"
	}
	return "a date or a time"
}
