package membership

import (
	"bytes"
	"fmt"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"dogwoodnotch.example/dogwoodnotch/internal/errkind"
	"dogwoodnotch.example/dogwoodnotch/internal/structs"
)

// topics holds the own values.
type topics struct {
	version uint64 // rises with every change of a value
	all     []*topic
}

type topic struct {
	name    string
	scope   Scope
	source  func() any
	data    []byte
	version uint64 // at which it changed last
}

// since returns the values for a receiver that changed after a version.
func (t *topics) since(version uint64, sameDataCentre bool) []topicBeat {
	var changed []topicBeat
	for _, entry := range t.all {
		if entry.version > version && entry.reaches(sameDataCentre) {
			changed = append(changed, topicBeat{entry.name, entry.data})
		}
	}
	return changed
}

func (t *topic) reaches(sameDataCentre bool) bool {
	if t.scope == Everywhere {
		return true
	}
	return sameDataCentre == (t.scope == SameDataCentre)
}

// Attach implements Values. It panics when the topic is taken or there are too many.
func (m *Members) Attach(name string, scope Scope, source func() any) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, t := range m.topics.all {
		if t.name == name {
			panic(fmt.Sprintf("topic %q is attached twice", name))
		}
	}
	if len(m.topics.all) >= maxTopics {
		panic("too many topics are attached")
	}
	m.topics.all = append(m.topics.all, &topic{name: name, scope: scope, source: source})
}

// collect asks every source for its value.
func (m *Members) collect() {
	m.mu.Lock()
	attached := m.topics.all
	m.mu.Unlock()
	for _, t := range attached {
		data, err := msgpack.Marshal(t.source())
		if err != nil || len(data) > maxValueBytes {
			continue // the last value stays
		}
		m.mu.Lock()
		if !bytes.Equal(t.data, data) {
			m.topics.version++
			t.data = data
			t.version = m.topics.version
		}
		m.mu.Unlock()
	}
}

// Value implements Values. The error is of kind Invalid when the value does not decode.
func (m *Members) Value(from structs.InstanceID, name string, into any) (time.Time, bool, error) {
	m.mu.Lock()
	var v value
	r, known := m.records[from]
	if known {
		v, known = r.values[name]
	}
	m.mu.Unlock()
	if !known {
		return time.Time{}, false, nil
	}
	if err := msgpack.Unmarshal(v.data, into); err != nil {
		return v.changed, true, errkind.Wrap(err, errkind.Invalid, "run the same version on every instance", "value %s of %s is malformed", name, from)
	}
	return v.changed, true, nil
}

// Watch implements Values.
func (m *Members) Watch(name string) <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.watchers[name] == nil {
		m.watchers[name] = make(chan struct{})
	}
	return m.watchers[name]
}

// notify wakes the watchers of a topic. m.mu is held.
func (m *Members) notify(name string) {
	if watcher := m.watchers[name]; watcher != nil {
		close(watcher)
		delete(m.watchers, name)
	}
}
