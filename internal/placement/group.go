package placement

// group holds the items that are alike for a decision.
type group[K comparable, T any] struct {
	key   K
	at    int // position in the index's list of groups with items
	items []T
}

// groups is an index of items by key. Its order depends only on the sequence of calls, so that decisions are
// repeatable.
type groups[K comparable, T any] struct {
	byKey map[K]*group[K, T]
	live  []*group[K, T]
}

func newGroups[K comparable, T any]() groups[K, T] {
	return groups[K, T]{byKey: map[K]*group[K, T]{}}
}

// add appends item to the group of key and returns the group. The item's position is its last one.
func (x *groups[K, T]) add(key K, item T) *group[K, T] {
	g := x.byKey[key]
	if g == nil {
		g = &group[K, T]{key: key, at: len(x.live)}
		x.byKey[key] = g
		x.live = append(x.live, g)
	}
	g.items = append(g.items, item)
	return g
}

// remove drops the item at pos of g by moving the last item there, and reports whether an item was moved.
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

func (x *groups[K, T]) drop(g *group[K, T]) {
	end := len(x.live) - 1
	x.live[g.at] = x.live[end]
	x.live[g.at].at = g.at
	x.live = x.live[:end]
	delete(x.byKey, g.key)
}
