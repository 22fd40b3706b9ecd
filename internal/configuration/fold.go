package configuration

import (
	"fmt"
	"sync"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"dogwoodnotch.example/dogwoodnotch/internal/configuration/stream"
	"dogwoodnotch.example/dogwoodnotch/internal/event"
	"dogwoodnotch.example/dogwoodnotch/internal/spec"
)

// Bounds of what a fold keeps.
const (
	// keptResults is how many publish ids a fold recognises. All readers use the same number, as it is part of the fold.
	keptResults = 1024
	// keptTextBytes bounds the earlier texts kept in memory, so that differences can be shown in a log outage.
	keptTextBytes = 8 << 20
)

const kindPublish = "publish"

// publishRecord is the body of a publish record.
type publishRecord struct {
	BaseVersion uint64    `msgpack:"base_version"`
	PublishID   string    `msgpack:"publish_id"`
	Author      string    `msgpack:"author"`
	Time        time.Time `msgpack:"time"`
	Text        string    `msgpack:"text"`
}

// Entry is the result of one publish record.
type Entry struct {
	PublishID   string    `json:"publish_id" msgpack:"publish_id"`
	Accepted    bool      `json:"accepted" msgpack:"accepted"`
	Version     uint64    `json:"version" msgpack:"version"` // the new one when accepted, otherwise the one that it lost against
	BaseVersion uint64    `json:"base_version" msgpack:"base_version"`
	Author      string    `json:"author" msgpack:"author"`
	Time        time.Time `json:"time" msgpack:"time"`
	Offset      uint64    `json:"offset" msgpack:"offset"`
}

// state is everything that a snapshot holds. It depends on the records only.
type state struct {
	Version uint64  `msgpack:"version"`
	Text    string  `msgpack:"text"`
	Results []Entry `msgpack:"results"` // oldest first, at most keptResults
}

// fold builds the state of stream config. Invariant: the version never falls.
type fold struct {
	events *event.Log

	mu      sync.RWMutex
	state   state
	byID    map[string]Entry
	texts   map[uint64]string // recent texts by version, at most keptTextBytes together
	kept    int
	changed chan struct{} // closed when the version rises

	tried  uint64     // version of the latest text that was decoded, whether it was usable or not
	usable *spec.Text // newest usable text, nil when there is none
	source uint64     // its version
}

func newFold(events *event.Log) *fold {
	return &fold{events: events, byID: map[string]Entry{}, texts: map[uint64]string{}, changed: make(chan struct{})}
}

// Apply folds a publish record. It is accepted when its base is the current version and its id has not been seen.
// Whether the text is valid plays no part: instances of different releases may judge that differently, and their
// versions must not differ.
func (f *fold) Apply(record stream.Record) {
	var publish publishRecord
	if record.Kind != kindPublish || record.Decode(&publish) != nil {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if _, seen := f.byID[publish.PublishID]; seen {
		return
	}
	entry := Entry{
		PublishID:   publish.PublishID,
		Accepted:    publish.BaseVersion == f.state.Version,
		Version:     f.state.Version,
		BaseVersion: publish.BaseVersion,
		Author:      publish.Author,
		Time:        publish.Time,
		Offset:      record.Offset,
	}
	if entry.Accepted {
		entry.Version = f.state.Version + 1
		f.setText(entry.Version, publish.Text)
	}
	f.addResult(entry)
}

// State returns the encoded state.
func (f *fold) State() ([]byte, error) {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return msgpack.Marshal(&f.state)
}

// Restore takes over a state. It refuses a state with a lower version.
func (f *fold) Restore(data []byte) error {
	var restored state
	if err := msgpack.Unmarshal(data, &restored); err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if restored.Version < f.state.Version {
		f.events.Emit(eventLower, event.F("version", f.state.Version), event.F("offered", restored.Version))
		return fmt.Errorf("a state of version %d was offered to an instance at version %d", restored.Version, f.state.Version)
	}
	results := restored.Results
	restored.Results = nil
	rises := restored.Version > f.state.Version
	f.byID = make(map[string]Entry, len(results))
	f.state.Results = nil
	for _, entry := range results {
		f.addResult(entry)
	}
	if rises {
		f.setText(restored.Version, restored.Text)
	}
	return nil
}

// setText puts a text in force. The caller holds mu.
func (f *fold) setText(version uint64, text string) {
	f.state.Version = version
	f.state.Text = text
	f.texts[version] = text
	f.kept += len(text)
	for oldest := f.oldestKept(); f.kept > keptTextBytes && oldest < version; oldest = f.oldestKept() {
		f.kept -= len(f.texts[oldest])
		delete(f.texts, oldest)
	}
	close(f.changed)
	f.changed = make(chan struct{})
}

func (f *fold) oldestKept() uint64 {
	oldest := f.state.Version
	for version := range f.texts {
		oldest = min(oldest, version)
	}
	return oldest
}

// addResult keeps the result of an id and drops the oldest one beyond keptResults. The caller holds mu.
func (f *fold) addResult(entry Entry) {
	f.state.Results = append(f.state.Results, entry)
	f.byID[entry.PublishID] = entry
	if len(f.state.Results) > keptResults {
		delete(f.byID, f.state.Results[0].PublishID)
		f.state.Results = f.state.Results[1:]
	}
}

func (f *fold) result(id string) (Entry, bool) {
	f.mu.RLock()
	defer f.mu.RUnlock()
	entry, seen := f.byID[id]
	return entry, seen
}

func (f *fold) version() uint64 {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.state.Version
}

func (f *fold) text(version uint64) (string, bool) {
	f.mu.RLock()
	defer f.mu.RUnlock()
	text, found := f.texts[version]
	return text, found
}

// acceptedAt returns the entry that made a version, newest results first.
func (f *fold) acceptedAt(version uint64) (Entry, bool) {
	f.mu.RLock()
	defer f.mu.RUnlock()
	for i := len(f.state.Results) - 1; i >= 0; i-- {
		if entry := f.state.Results[i]; entry.Accepted && entry.Version == version {
			return entry, true
		}
	}
	return Entry{}, false
}

// inForce returns the newest usable text and its version. Each version is decoded once, when it is first asked for.
func (f *fold) inForce() (*spec.Text, uint64) {
	f.mu.RLock()
	text, source, known := f.usable, f.source, f.tried == f.state.Version
	f.mu.RUnlock()
	if known {
		return text, source
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.tried == f.state.Version {
		return f.usable, f.source
	}
	f.tried = f.state.Version
	decoded, err := spec.Parse([]byte(f.state.Text))
	if err != nil {
		f.events.Emit(eventUnusable, event.F("version", f.tried), event.F("error", err))
		return f.usable, f.source
	}
	f.usable, f.source = decoded, f.tried
	return f.usable, f.source
}
