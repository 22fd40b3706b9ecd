// Package event defines numbered log events, writes them as structured log lines and keeps the latest ones in memory.
package event

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/rs/zerolog"
)

// maxRecentEvents is the largest number of events kept in memory for the events command.
const maxRecentEvents = 4096

// Definition describes an event. Each package has a range of numbers, which starts at: server 1000, settings 1100, configuration 1200, jobstore 1300,
// peer 1400, membership 1500, idempotency 1600, router 1700, minion 1800, rackowner 1900, scheduler 2000,
// gang 2100, api 2200, platform 2300, leadership 2400, dispatch 2500, entry 2600, node 2700, forecast 2800, clientlimit 2900.
type Definition struct {
	Number  int
	Name    string
	Level   zerolog.Level
	Meaning string
	Action  string // what the operator should do; empty: nothing
}

var (
	catalogueMu sync.Mutex
	catalogue   = map[int]Definition{}
)

// Define adds an event to the catalogue and returns it. Call it only to initialise package variables, so that every program
// and test that imports the package panics at start when a number is defined twice.
func Define(number int, name string, level zerolog.Level, meaning, action string) Definition {
	catalogueMu.Lock()
	defer catalogueMu.Unlock()
	if _, taken := catalogue[number]; taken {
		panic(fmt.Sprintf("event number %d is defined twice", number))
	}
	d := Definition{Number: number, Name: name, Level: level, Meaning: meaning, Action: action}
	catalogue[number] = d
	return d
}

// Catalogue returns all defined events in order of their numbers.
func Catalogue() []Definition {
	catalogueMu.Lock()
	defer catalogueMu.Unlock()
	all := make([]Definition, 0, len(catalogue))
	for _, d := range catalogue {
		all = append(all, d)
	}
	slices.SortFunc(all, func(a, b Definition) int { return cmp.Compare(a.Number, b.Number) })
	return all
}

// Record is one occurrence of an event.
type Record struct {
	Sequence uint64            `json:"sequence"`
	Time     time.Time         `json:"time"`
	Number   int               `json:"number"`
	Name     string            `json:"name"`
	Fields   map[string]string `json:"fields,omitempty"`
}

// Field is a named value of an event.
type Field struct{ Name, Value string }

// maxFieldBytes is the largest size of a field's value. Values often quote what another program wrote.
const maxFieldBytes = 1024

// F returns a field with the value formatted by fmt. A longer value than maxFieldBytes is cut, and its size added.
func F(name string, value any) Field {
	text := fmt.Sprint(value)
	if len(text) > maxFieldBytes {
		text = strings.ToValidUTF8(text[:maxFieldBytes], "") + fmt.Sprintf("... (%d bytes)", len(text))
	}
	return Field{Name: name, Value: text}
}

// Log writes events and keeps the latest ones in memory. It is safe for concurrent use.
type Log struct {
	logger     zerolog.Logger
	mu         sync.Mutex
	recent     []Record
	sequence   uint64
	changed    chan struct{}
	lineCounts map[int]*lineCount
}

func init() {
	zerolog.TimeFieldFormat = "2006-01-02T15:04:05.000Z07:00" // milliseconds and zone, to put the lines of several instances in order
}

// linesPerSecond limits the lines of one event. Only an event that a fault repeats in a loop reaches the limit.
const linesPerSecond = 60

// lineCount counts the lines of one event in the current second.
type lineCount struct {
	second  int64 // in Unix time
	lines   int
	leftOut int // lines dropped since the last one that was written
}

// NewLog returns a log that writes JSON lines to w.
func NewLog(w io.Writer, instance string) *Log {
	logger := zerolog.New(w).With().Timestamp().Str("instance", instance).Logger()
	return &Log{logger: logger, changed: make(chan struct{}), lineCounts: map[int]*lineCount{}}
}

// Discard returns a log that writes no lines. It still keeps events in memory.
func Discard() *Log { return NewLog(io.Discard, "") }

// Emit writes an event and keeps it in memory. Occurrences of one event beyond linesPerSecond are dropped; the field left_out
// of the next one gives their number.
func (l *Log) Emit(d Definition, fields ...Field) {
	leftOut, write := l.allowLine(d.Number, time.Now().Unix())
	if !write {
		return
	}
	if leftOut > 0 {
		fields = append(fields, F("left_out", leftOut))
	}
	line := l.logger.WithLevel(d.Level).Int("event", d.Number)
	record := Record{Time: time.Now().UTC(), Number: d.Number, Name: d.Name, Fields: make(map[string]string, len(fields))}
	for _, f := range fields {
		line = line.Str(f.Name, f.Value)
		record.Fields[f.Name] = f.Value
	}
	line.Msg(d.Name)
	l.append(record)
}

// allowLine returns whether another line of an event may be written in the given second, and how many lines were dropped
// since the last one.
func (l *Log) allowLine(number int, second int64) (leftOut int, write bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	count := l.lineCounts[number]
	if count == nil {
		count = &lineCount{}
		l.lineCounts[number] = count
	}
	if count.second != second {
		count.second, count.lines = second, 0
	}
	if count.lines >= linesPerSecond {
		count.leftOut++
		return 0, false
	}
	count.lines++
	leftOut, count.leftOut = count.leftOut, 0
	return leftOut, true
}

// append keeps a record and wakes those that wait on the channel of Since.
func (l *Log) append(record Record) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sequence++
	record.Sequence = l.sequence
	l.recent = append(l.recent, record)
	if len(l.recent) > maxRecentEvents {
		l.recent = slices.Clone(l.recent[len(l.recent)-maxRecentEvents/2:])
	}
	close(l.changed)
	l.changed = make(chan struct{})
}

// Since returns the events in memory after the given sequence number, and a channel that is closed at the next event.
func (l *Log) Since(sequence uint64) ([]Record, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	i, _ := slices.BinarySearchFunc(l.recent, sequence+1, func(r Record, s uint64) int { return cmp.Compare(r.Sequence, s) })
	return slices.Clone(l.recent[i:]), l.changed
}
