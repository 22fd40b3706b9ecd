// Package event defines numbered log events and writes them as structured log lines.
package event

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"
)

// ringSize bounds the events kept in memory for the events command.
const ringSize = 4096

// Definition describes an event. Number ranges: server 1000, settings 1100, configuration 1200, jobstore 1300,
// peer 1400, membership 1500, idempotency 1600, router 1700, minion 1800, rackowner 1900, scheduler 2000,
// gang 2100, api 2200, platform 2300, leadership 2400, dispatch 2500, entry 2600, node 2700.
type Definition struct {
	Number  int
	Name    string
	Level   zerolog.Level
	Meaning string
	Action  string // what the operator should do; empty when nothing
}

var (
	catalogueMu sync.Mutex
	catalogue   = map[int]Definition{}
)

// Define registers an event and returns it. It panics when the number is taken, which a test would show at start.
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

// Record is an event that happened.
type Record struct {
	Sequence uint64            `json:"sequence"`
	Time     time.Time         `json:"time"`
	Number   int               `json:"number"`
	Name     string            `json:"name"`
	Fields   map[string]string `json:"fields,omitempty"`
}

// Field is a named value of an event.
type Field struct{ Name, Value string }

// F returns a field with the value formatted by fmt.
func F(name string, value any) Field { return Field{Name: name, Value: fmt.Sprint(value)} }

// Log writes events and keeps the latest ones. It is safe for concurrent use.
type Log struct {
	logger   zerolog.Logger
	mu       sync.Mutex
	ring     []Record
	sequence uint64
	changed  chan struct{}
	budgets  map[int]*budget
}

func init() {
	zerolog.TimeFieldFormat = "2006-01-02T15:04:05.000Z07:00" // lines of several instances are put in order by it
}

// linesPerSecond bounds the lines of one event. An instance's events stay far below it except when a fault repeats itself.
const linesPerSecond = 60

// budget counts the lines of one event in the present second.
type budget struct {
	second  int64
	lines   int
	leftOut int // since the last line that was written
}

// NewLog returns a log that writes JSON lines to w.
func NewLog(w io.Writer, instance string) *Log {
	logger := zerolog.New(w).With().Timestamp().Str("instance", instance).Logger()
	return &Log{logger: logger, changed: make(chan struct{}), budgets: map[int]*budget{}}
}

// Discard returns a log that writes nothing; events are still kept in memory.
func Discard() *Log { return NewLog(io.Discard, "") }

// Emit writes an event. Beyond linesPerSecond of one event, lines are left out; the next one says how many in left_out.
func (l *Log) Emit(d Definition, fields ...Field) {
	leftOut, write := l.admit(d.Number, time.Now().Unix())
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

// admit reports whether another line of an event may be written, and how many were left out before it.
func (l *Log) admit(number int, second int64) (leftOut int, write bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.budgets[number]
	if b == nil {
		b = &budget{}
		l.budgets[number] = b
	}
	if b.second != second {
		b.second, b.lines = second, 0
	}
	if b.lines >= linesPerSecond {
		b.leftOut++
		return 0, false
	}
	b.lines++
	leftOut, b.leftOut = b.leftOut, 0
	return leftOut, true
}

func (l *Log) append(record Record) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sequence++
	record.Sequence = l.sequence
	l.ring = append(l.ring, record)
	if len(l.ring) > ringSize {
		l.ring = slices.Clone(l.ring[len(l.ring)-ringSize/2:])
	}
	close(l.changed)
	l.changed = make(chan struct{})
}

// Since returns the kept events after the given sequence number, and a channel that is closed at the next event.
func (l *Log) Since(sequence uint64) ([]Record, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	i, _ := slices.BinarySearchFunc(l.ring, sequence+1, func(r Record, s uint64) int { return cmp.Compare(r.Sequence, s) })
	return slices.Clone(l.ring[i:]), l.changed
}
