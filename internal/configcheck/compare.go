package configcheck

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"dogwoodnotch.example/dogwoodnotch/platform"
)

// secretKeys are the keys whose values are not printed.
var secretKeys = []string{platform.FieldKeys, "token_sha256"}

// compare adds the differences of to from from. path names entries of lists by what identifies them.
func (r *report) compare(path string, from, to *value) {
	switch {
	case from.kind != to.kind:
		r.differ(to.position, path, "it has another form")
	case to.kind == mapping:
		r.compareMappings(path, from, to)
	case to.kind == list:
		r.compareLists(path, from, to)
	case path != platform.FieldVersion && !sameScalar(from.scalar, to.scalar):
		r.differ(to.position, path, "%s, was %s", shown(path, to), shown(path, from))
	}
}

func (r *report) compareMappings(path string, from, to *value) {
	for _, m := range to.members {
		if to.member(m.key) != m.value {
			continue // a later one with the same key counts
		}
		below := joinPath(path, m.key)
		if before := from.member(m.key); before != nil {
			r.compare(below, before, m.value)
		} else {
			r.differ(m.position, below, "added: %s", shown(below, m.value))
		}
	}
	for _, m := range from.members {
		if to.member(m.key) == nil {
			below := joinPath(path, m.key)
			r.differ(to.position, below, "removed; it was %s", shown(below, m.value))
		}
	}
}

func (r *report) compareLists(path string, from, to *value) {
	before, after := identified(from), identified(to)
	for _, id := range after.order {
		below := fmt.Sprintf("%s[%s]", path, hidden(path, id))
		if earlier := before.items[id]; earlier != nil {
			r.compare(below, earlier, after.items[id])
		} else {
			r.differ(after.items[id].position, below, "added: %s", shown(path, after.items[id]))
		}
	}
	for _, id := range before.order {
		if after.items[id] == nil {
			r.differ(to.position, fmt.Sprintf("%s[%s]", path, hidden(path, id)), "removed; it was %s", shown(path, before.items[id]))
		}
	}
}

func (r *report) differ(at position, path, format string, args ...any) {
	r.addAt(Differs, at, path, "send it if the change is meant", format, args...)
}

// identifiedItems are the entries of a list by what identifies them.
type identifiedItems struct {
	order []string
	items map[string]*value
}

// identified returns the entries of a list by name, by data centre and size, or by value, whichever they have. Entries that share it are
// numbered.
func identified(l *value) identifiedItems {
	result := identifiedItems{items: map[string]*value{}}
	for _, item := range l.items {
		base := identity(item)
		id := base
		for n := 2; result.items[id] != nil; n++ {
			id = fmt.Sprintf("%s#%d", base, n)
		}
		result.order = append(result.order, id)
		result.items[id] = item
	}
	return result
}

func identity(item *value) string {
	if item.kind == scalar {
		return item.scalar
	}
	if name := item.member(platform.FieldName); name != nil {
		return name.scalar
	}
	if centre, size := item.member("data_centre"), item.member("size"); centre != nil && size != nil {
		return centre.scalar + "/" + size.scalar
	}
	return ""
}

// sameScalar reports whether two scalars have the same value, for example 2s and 2000ms.
func sameScalar(a, b string) bool {
	if a == b {
		return true
	}
	if x, err := time.ParseDuration(a); err == nil {
		y, err := time.ParseDuration(b)
		return err == nil && x == y
	}
	if strings.ContainsAny(a+b, ".eE") { // whole numbers that differ may be equal as floating-point numbers
		x, errX := strconv.ParseFloat(a, 64)
		y, errY := strconv.ParseFloat(b, 64)
		return errX == nil && errY == nil && x == y
	}
	return false
}

// isSecret reports whether a path leads to values that are not printed.
func isSecret(path string) bool {
	for _, key := range secretKeys {
		if strings.HasSuffix(path, key) || strings.Contains(path, key+"[") {
			return true
		}
	}
	return false
}

// hidden returns what identifies an entry of the list at path, or a placeholder for a secret.
func hidden(path, id string) string {
	if isSecret(path) {
		return "hidden"
	}
	return id
}

// shown returns a value in short form, without secrets.
func shown(path string, v *value) string {
	switch {
	case isSecret(path):
		return "a secret"
	case v.kind == mapping:
		return fmt.Sprintf("an entry of %d key(s)", len(v.members))
	case v.kind == list:
		return fmt.Sprintf("a list of %d", len(v.items))
	}
	return fmt.Sprintf("%.80q", v.scalar)
}
