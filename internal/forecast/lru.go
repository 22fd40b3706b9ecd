package forecast

import "container/list"

// lru is a map of bounded size that evicts the entry that was used longest ago.
type lru[K comparable, V any] struct {
	limit   int
	entries map[K]*list.Element
	order   *list.List // of *lruEntry[K, V], the latest used first
}

type lruEntry[K comparable, V any] struct {
	key   K
	value V
}

func newLRU[K comparable, V any](limit int) *lru[K, V] {
	return &lru[K, V]{limit: limit, entries: map[K]*list.Element{}, order: list.New()}
}

// get returns the value of a key, or the zero value, without counting as a use.
func (l *lru[K, V]) get(key K) (value V) {
	if e := l.entries[key]; e != nil {
		return e.Value.(*lruEntry[K, V]).value
	}
	return value
}

// use returns the value of a key, created if it is new, and counts as a use.
func (l *lru[K, V]) use(key K, create func() V) V {
	if e := l.entries[key]; e != nil {
		l.order.MoveToFront(e)
		return e.Value.(*lruEntry[K, V]).value
	}
	if len(l.entries) >= l.limit {
		l.remove(l.oldest())
	}
	value := create()
	l.entries[key] = l.order.PushFront(&lruEntry[K, V]{key, value})
	return value
}

// oldest returns the key that was used longest ago. The map must not be empty.
func (l *lru[K, V]) oldest() K { return l.order.Back().Value.(*lruEntry[K, V]).key }

// remove drops a key.
func (l *lru[K, V]) remove(key K) {
	if e := l.entries[key]; e != nil {
		delete(l.entries, key)
		l.order.Remove(e)
	}
}

// each calls f for all entries, the latest used first.
func (l *lru[K, V]) each(f func(K, V)) {
	for e := l.order.Front(); e != nil; e = e.Next() {
		entry := e.Value.(*lruEntry[K, V])
		f(entry.key, entry.value)
	}
}
