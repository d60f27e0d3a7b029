package pool

import "iter"

// orderedMap is a map that is iterated in insertion order, so that decisions are
// deterministic.
type orderedMap[K comparable, V any] struct {
	entries map[K]*orderedMapEntry[K, V]
	order   []*orderedMapEntry[K, V]
}

type orderedMapEntry[K comparable, V any] struct {
	key     K
	value   V
	removed bool
}

func newOrderedMap[K comparable, V any]() orderedMap[K, V] {
	return orderedMap[K, V]{entries: map[K]*orderedMapEntry[K, V]{}}
}

func (m *orderedMap[K, V]) get(key K) (V, bool) {
	if e, ok := m.entries[key]; ok {
		return e.value, true
	}
	var zero V
	return zero, false
}

// getOrZero returns the value of a key, or the zero value.
func (m *orderedMap[K, V]) getOrZero(key K) V {
	value, _ := m.get(key)
	return value
}

func (m *orderedMap[K, V]) has(key K) bool {
	_, ok := m.entries[key]
	return ok
}

func (m *orderedMap[K, V]) len() int { return len(m.entries) }

func (m *orderedMap[K, V]) set(key K, value V) {
	if e, ok := m.entries[key]; ok {
		e.value = value
		return
	}
	e := &orderedMapEntry[K, V]{key: key, value: value}
	m.entries[key] = e
	m.order = append(m.order, e)
}

// remove only marks the entry in the order; the order is compacted once more than half of
// it is marked.
func (m *orderedMap[K, V]) remove(key K) {
	e, ok := m.entries[key]
	if !ok {
		return
	}
	e.removed = true
	delete(m.entries, key)
	if len(m.order) <= 2*len(m.entries) {
		return
	}
	// A new slice, since an iteration in progress goes on over the old one.
	order := make([]*orderedMapEntry[K, V], 0, len(m.entries))
	for _, e := range m.order {
		if !e.removed {
			order = append(order, e)
		}
	}
	m.order = order
}

func (m *orderedMap[K, V]) clear() {
	for _, e := range m.order {
		e.removed = true
	}
	clear(m.entries)
	m.order = nil
}

// all iterates over the map, which may change meanwhile: removed entries are skipped, and
// added ones are not visited.
func (m *orderedMap[K, V]) all() iter.Seq2[K, V] {
	return func(yield func(K, V) bool) {
		for _, e := range m.order {
			if !e.removed && !yield(e.key, e.value) {
				return
			}
		}
	}
}
