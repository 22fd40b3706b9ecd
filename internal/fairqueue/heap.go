package fairqueue

import "container/heap"

// ordered is a heap whose elements know their place in it, so that any element can be moved or removed in
// logarithmic time. An element's place is -1 while it is not in the heap.
type ordered[T any] struct{ core heapCore[T] }

func newOrdered[T any](less func(a, b T) bool, place func(T) *int) *ordered[T] {
	return &ordered[T]{core: heapCore[T]{less: less, place: place}}
}

func (o *ordered[T]) len() int { return len(o.core.items) }

func (o *ordered[T]) least() T { return o.core.items[0] }

// set inserts the element, moves it to its place, or removes it when present is false.
func (o *ordered[T]) set(item T, present bool) {
	place := *o.core.place(item)
	switch {
	case present && place < 0:
		heap.Push(&o.core, item)
	case present:
		heap.Fix(&o.core, place)
	case place >= 0:
		heap.Remove(&o.core, place)
	}
}

// rebuild restores the order after the keys of many elements have changed.
func (o *ordered[T]) rebuild() { heap.Init(&o.core) }

// heapCore implements heap.Interface.
type heapCore[T any] struct {
	items []T
	less  func(a, b T) bool
	place func(T) *int
}

// Len is part of heap.Interface.
func (c *heapCore[T]) Len() int { return len(c.items) }

// Less is part of heap.Interface.
func (c *heapCore[T]) Less(i, j int) bool { return c.less(c.items[i], c.items[j]) }

// Swap is part of heap.Interface.
func (c *heapCore[T]) Swap(i, j int) {
	c.items[i], c.items[j] = c.items[j], c.items[i]
	*c.place(c.items[i]) = i
	*c.place(c.items[j]) = j
}

// Push is part of heap.Interface.
func (c *heapCore[T]) Push(x any) {
	item := x.(T)
	*c.place(item) = len(c.items)
	c.items = append(c.items, item)
}

// Pop is part of heap.Interface.
func (c *heapCore[T]) Pop() any {
	last := len(c.items) - 1
	item := c.items[last]
	var zero T
	c.items[last] = zero
	c.items = c.items[:last]
	*c.place(item) = -1
	return item
}
