package catalog

import (
	"maps"
	"slices"
	"sync"
)

// Evacuations is the set of data centres in which no task may start, as the operator's records list them. The zero value is an empty set.
// It is safe for concurrent use.
type Evacuations struct {
	mu          sync.RWMutex
	dataCentres map[string]bool
}

// Set adds a data centre to the set or removes it.
func (e *Evacuations) Set(dataCentre string, evacuated bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !evacuated {
		delete(e.dataCentres, dataCentre)
		return
	}
	if e.dataCentres == nil {
		e.dataCentres = map[string]bool{}
	}
	e.dataCentres[dataCentre] = true
}

// Replace makes the set contain the given data centres and no others.
func (e *Evacuations) Replace(dataCentres []string) {
	next := make(map[string]bool, len(dataCentres))
	for _, name := range dataCentres {
		next[name] = true
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.dataCentres = next
}

// Evacuated reports whether the set contains a data centre.
func (e *Evacuations) Evacuated(dataCentre string) bool {
	e.mu.RLock()
	defer e.mu.RUnlock()
	return e.dataCentres[dataCentre]
}

// List returns the data centres in the set, sorted.
func (e *Evacuations) List() []string {
	e.mu.RLock()
	defer e.mu.RUnlock()
	return slices.Sorted(maps.Keys(e.dataCentres))
}
