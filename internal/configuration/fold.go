package configuration

import (
	"fmt"
	"sync"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"dogwoodnotch.example/dogwoodnotch/internal/codec"
	"dogwoodnotch.example/dogwoodnotch/internal/configuration/stream"
	"dogwoodnotch.example/dogwoodnotch/internal/event"
	"dogwoodnotch.example/dogwoodnotch/internal/spec"
)

// Limits on the data that a fold keeps.
const (
	// keptResults is the number of publish ids that a fold remembers. It determines the state, so all instances have to
	// use the same number.
	keptResults = 1024
	// keptTextBytes is the total size of the texts kept in memory, which allow differences to be shown in a log outage.
	keptTextBytes = 8 << 20
)

// kindPublish is the kind of the records that publish a text.
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
	Version     uint64    `json:"version" msgpack:"version"` // new version when accepted, otherwise the current one
	BaseVersion uint64    `json:"base_version" msgpack:"base_version"`
	Author      string    `json:"author" msgpack:"author"`
	Time        time.Time `json:"time" msgpack:"time"`
	Offset      uint64    `json:"offset" msgpack:"offset"`
}

// state is the part of the fold that a snapshot holds. It depends on the records only.
type state struct {
	Version uint64  `msgpack:"version"`
	Text    string  `msgpack:"text"`
	Results []Entry `msgpack:"results"` // oldest first, at most keptResults
}

// fold computes the state of the stream "config". Invariant: the version never falls.
type fold struct {
	events *event.Log

	mu         sync.RWMutex
	state      state
	resultByID map[string]Entry
	texts      map[uint64]string // recent texts by version, at most keptTextBytes together
	textBytes  int               // total size of texts
	changed    chan struct{}     // closed when the version rises

	parsedVersion uint64     // version of the last text that was parsed, whether it was usable or not
	usableText    *spec.Text // newest usable text, nil when there is none
	usableVersion uint64     // version of usableText
}

func newFold(events *event.Log) *fold {
	return &fold{events: events, resultByID: map[string]Entry{}, texts: map[uint64]string{}, changed: make(chan struct{})}
}

// Apply folds a publish record. The record is accepted when its base is the current version and its id is new. Whether
// the text is valid does not matter, because releases may differ in their checks and versions must not differ.
func (f *fold) Apply(record stream.Record) {
	var publish publishRecord
	if record.Kind != kindPublish || record.Decode(&publish) != nil {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if _, seen := f.resultByID[publish.PublishID]; seen {
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
		f.setAcceptedText(entry.Version, publish.Text)
	}
	f.addResult(entry)
}

// State returns the encoded state.
func (f *fold) State() ([]byte, error) {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return msgpack.Marshal(&f.state)
}

// Restore replaces the state by an encoded one. It refuses a state with a lower version.
func (f *fold) Restore(data []byte) error {
	var restored state
	if err := codec.Unmarshal(data, &restored); err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if restored.Version < f.state.Version {
		f.events.Emit(eventLowerVersionRefused, event.F("version", f.state.Version), event.F("offered", restored.Version))
		return fmt.Errorf("refused a state of version %d, because version %d is in force", restored.Version, f.state.Version)
	}
	results := restored.Results
	restored.Results = nil
	rises := restored.Version > f.state.Version
	f.resultByID = make(map[string]Entry, len(results))
	f.state.Results = nil
	for _, entry := range results {
		f.addResult(entry)
	}
	if rises {
		f.setAcceptedText(restored.Version, restored.Text)
	}
	return nil
}

// setAcceptedText sets the newest accepted text and drops the oldest kept texts beyond keptTextBytes. The caller holds
// mu.
func (f *fold) setAcceptedText(version uint64, text string) {
	f.state.Version = version
	f.state.Text = text
	f.texts[version] = text
	f.textBytes += len(text)
	for oldest := f.oldestKept(); f.textBytes > keptTextBytes && oldest < version; oldest = f.oldestKept() {
		f.textBytes -= len(f.texts[oldest])
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

// addResult stores the result of a publish record and drops the oldest one beyond keptResults. The caller holds mu.
func (f *fold) addResult(entry Entry) {
	f.state.Results = append(f.state.Results, entry)
	f.resultByID[entry.PublishID] = entry
	if len(f.state.Results) > keptResults {
		delete(f.resultByID, f.state.Results[0].PublishID)
		f.state.Results = f.state.Results[1:]
	}
}

func (f *fold) result(id string) (Entry, bool) {
	f.mu.RLock()
	defer f.mu.RUnlock()
	entry, seen := f.resultByID[id]
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

// acceptedAt returns the result of the record that created a version.
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

// inForce returns the newest usable text and its version. Each version is parsed at most once, on the first call after
// it was accepted.
func (f *fold) inForce() (*spec.Text, uint64) {
	f.mu.RLock()
	text, version, known := f.usableText, f.usableVersion, f.parsedVersion == f.state.Version
	f.mu.RUnlock()
	if known {
		return text, version
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.parsedVersion == f.state.Version {
		return f.usableText, f.usableVersion
	}
	f.parsedVersion = f.state.Version
	decoded, err := spec.Parse([]byte(f.state.Text))
	if err != nil {
		f.events.Emit(eventUnusable, event.F("version", f.parsedVersion), event.F("error", err))
		return f.usableText, f.usableVersion
	}
	f.usableText, f.usableVersion = decoded, f.parsedVersion
	return f.usableText, f.usableVersion
}
