package membership

import (
	"bytes"
	"fmt"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"dogwoodnotch.example/dogwoodnotch/internal/codec"
	"dogwoodnotch.example/dogwoodnotch/internal/errkind"
	"dogwoodnotch.example/dogwoodnotch/internal/structs"
)

// topics holds this instance's values.
type topics struct {
	version  uint64 // incremented at every change of a value
	attached []*topic
}

type topic struct {
	name    string
	scope   Scope
	source  func() any
	data    []byte
	version uint64 // topics.version at the last change of data
}

// changedSince returns the values that changed after version and whose scope includes the receiver.
func (t *topics) changedSince(version uint64, sameDataCentre bool) []topicUpdate {
	var changed []topicUpdate
	for _, entry := range t.attached {
		if entry.version > version && entry.reaches(sameDataCentre) {
			changed = append(changed, topicUpdate{entry.name, entry.data})
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

// Attach implements Values. It panics when the topic is attached already or there are too many topics.
func (m *Members) Attach(name string, scope Scope, source func() any) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, t := range m.topics.attached {
		if t.name == name {
			panic(fmt.Sprintf("topic %q is attached twice", name))
		}
	}
	if len(m.topics.attached) >= maxTopics {
		panic("too many topics are attached")
	}
	m.topics.attached = append(m.topics.attached, &topic{name: name, scope: scope, source: source})
}

// collectValues reads the present value of every topic from its source.
func (m *Members) collectValues() {
	m.mu.Lock()
	attached := m.topics.attached
	m.mu.Unlock()
	for _, t := range attached {
		data, err := msgpack.Marshal(t.source())
		if err != nil || len(data) > maxValueBytes {
			continue // keep the last value
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
	if err := codec.Unmarshal(v.data, into); err != nil {
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

// notify wakes the watchers of a topic. The caller holds m.mu.
func (m *Members) notify(name string) {
	if watcher := m.watchers[name]; watcher != nil {
		close(watcher)
		delete(m.watchers, name)
	}
}
