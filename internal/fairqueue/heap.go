package fairqueue

import "container/heap"

// indexedHeap is a heap whose elements store their position in it, so that any element can be moved or removed in
// logarithmic time. The position is -1 while the element is not in the heap.
type indexedHeap[T any] struct{ core heapCore[T] }

// newIndexedHeap returns an empty heap. index returns the address where an element stores its position.
func newIndexedHeap[T any](less func(a, b T) bool, index func(T) *int) *indexedHeap[T] {
	return &indexedHeap[T]{core: heapCore[T]{less: less, index: index}}
}

func (h *indexedHeap[T]) len() int { return len(h.core.items) }

func (h *indexedHeap[T]) first() T { return h.core.items[0] }

// update inserts an element or moves it to its position after its key has changed; it removes it when present is false.
func (h *indexedHeap[T]) update(item T, present bool) {
	index := *h.core.index(item)
	switch {
	case present && index < 0:
		heap.Push(&h.core, item)
	case present:
		heap.Fix(&h.core, index)
	case index >= 0:
		heap.Remove(&h.core, index)
	}
}

// reorder restores the order after the keys of many elements have changed.
func (h *indexedHeap[T]) reorder() { heap.Init(&h.core) }

// heapCore implements heap.Interface.
type heapCore[T any] struct {
	items []T
	less  func(a, b T) bool
	index func(T) *int
}

// Len is part of heap.Interface.
func (c *heapCore[T]) Len() int { return len(c.items) }

// Less is part of heap.Interface.
func (c *heapCore[T]) Less(i, j int) bool { return c.less(c.items[i], c.items[j]) }

// Swap is part of heap.Interface.
func (c *heapCore[T]) Swap(i, j int) {
	c.items[i], c.items[j] = c.items[j], c.items[i]
	*c.index(c.items[i]) = i
	*c.index(c.items[j]) = j
}

// Push is part of heap.Interface.
func (c *heapCore[T]) Push(x any) {
	item := x.(T)
	*c.index(item) = len(c.items)
	c.items = append(c.items, item)
}

// Pop is part of heap.Interface.
func (c *heapCore[T]) Pop() any {
	last := len(c.items) - 1
	item := c.items[last]
	var zero T
	c.items[last] = zero
	c.items = c.items[:last]
	*c.index(item) = -1
	return item
}
