package pool

import "iter"

// table is a map that is walked in the order of insertion, so that the same inputs
// always lead to the same decisions.
type table[K comparable, V any] struct {
	entries map[K]*tableEntry[K, V]
	order   []*tableEntry[K, V]
}

type tableEntry[K comparable, V any] struct {
	key     K
	value   V
	removed bool
}

func newTable[K comparable, V any]() table[K, V] {
	return table[K, V]{entries: map[K]*tableEntry[K, V]{}}
}

func (t *table[K, V]) get(key K) (V, bool) {
	if e, ok := t.entries[key]; ok {
		return e.value, true
	}
	var none V
	return none, false
}

// at returns the value of a key, or the zero value.
func (t *table[K, V]) at(key K) V {
	value, _ := t.get(key)
	return value
}

func (t *table[K, V]) has(key K) bool {
	_, ok := t.entries[key]
	return ok
}

func (t *table[K, V]) len() int { return len(t.entries) }

func (t *table[K, V]) set(key K, value V) {
	if e, ok := t.entries[key]; ok {
		e.value = value
		return
	}
	e := &tableEntry[K, V]{key: key, value: value}
	t.entries[key] = e
	t.order = append(t.order, e)
}

// remove leaves the entry in the order until half of the order is such remains.
func (t *table[K, V]) remove(key K) {
	e, ok := t.entries[key]
	if !ok {
		return
	}
	e.removed = true
	delete(t.entries, key)
	if len(t.order) <= 2*len(t.entries) {
		return
	}
	// A walk that is under way goes on over the old order.
	order := make([]*tableEntry[K, V], 0, len(t.entries))
	for _, e := range t.order {
		if !e.removed {
			order = append(order, e)
		}
	}
	t.order = order
}

func (t *table[K, V]) clear() {
	for _, e := range t.order {
		e.removed = true
	}
	clear(t.entries)
	t.order = nil
}

// all walks the table. Entries may be added and removed meanwhile; those removed are
// passed over, those added are not reached.
func (t *table[K, V]) all() iter.Seq2[K, V] {
	return func(yield func(K, V) bool) {
		for _, e := range t.order {
			if !e.removed && !yield(e.key, e.value) {
				return
			}
		}
	}
}
