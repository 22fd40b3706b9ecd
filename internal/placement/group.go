package placement

// group holds items that are interchangeable for a decision: those with the same key.
type group[K comparable, T any] struct {
	key           K
	nonEmptyIndex int // position in groups.nonEmpty
	items         []T
}

// groups is an index of items by key. The order of its groups and items depends only on the sequence of calls, so that
// decisions are repeatable.
type groups[K comparable, T any] struct {
	byKey    map[K]*group[K, T]
	nonEmpty []*group[K, T]
}

func newGroups[K comparable, T any]() groups[K, T] {
	return groups[K, T]{byKey: map[K]*group[K, T]{}}
}

// add appends an item to the group of key and returns the group.
func (x *groups[K, T]) add(key K, item T) *group[K, T] {
	g := x.byKey[key]
	if g == nil {
		g = &group[K, T]{key: key, nonEmptyIndex: len(x.nonEmpty)}
		x.byKey[key] = g
		x.nonEmpty = append(x.nonEmpty, g)
	}
	g.items = append(g.items, item)
	return g
}

// remove deletes the item at pos of g and moves the last item of g there. It returns the moved item; ok is false when
// the deleted item was the last one.
func (x *groups[K, T]) remove(g *group[K, T], pos int) (moved T, ok bool) {
	last := len(g.items) - 1
	if pos < last {
		moved, ok = g.items[last], true
		g.items[pos] = moved
	}
	var zero T
	g.items[last] = zero
	g.items = g.items[:last]
	if last == 0 {
		x.drop(g)
	}
	return moved, ok
}

// drop deletes an empty group.
func (x *groups[K, T]) drop(g *group[K, T]) {
	end := len(x.nonEmpty) - 1
	x.nonEmpty[g.nonEmptyIndex] = x.nonEmpty[end]
	x.nonEmpty[g.nonEmptyIndex].nonEmptyIndex = g.nonEmptyIndex
	x.nonEmpty = x.nonEmpty[:end]
	delete(x.byKey, g.key)
}
