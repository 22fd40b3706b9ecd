package ledger

import (
	"fmt"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"dogwoodnotch.example/dogwoodnotch/internal/codec"
	"dogwoodnotch.example/dogwoodnotch/internal/workload"
)

// First characters of keys in JobsTopic, which tell the kind of record. The rest of the key is the job's id.
const (
	submissionKey   = 'j'
	cancellationKey = 'c'
	outcomeKey      = 'o'
)

// State is a job's state as customers see it.
type State uint8

// States of a job. Completed, Failed and Cancelled are final.
const (
	Queued State = iota
	Running
	Completed
	Failed
	Cancelled
)

var stateNames = [...]string{"queued", "running", "completed", "failed", "cancelled"}

// String returns the state's name.
func (s State) String() string {
	if int(s) < len(stateNames) {
		return stateNames[s]
	}
	return fmt.Sprintf("state %d", uint8(s))
}

// Final reports whether the job has ended.
func (s State) Final() bool { return s >= Completed }

// Outcome is the state of a job as the scheduler recorded it.
type Outcome struct {
	State  State     `msgpack:"s"`
	Reason string    `msgpack:"r,omitempty"`
	Time   time.Time `msgpack:"t"`
}

// Cancellation is a customer's request to end a job. It also holds for a submission that the log carries out after it.
type Cancellation struct {
	Time time.Time `msgpack:"t"`
	// Unverified says that the instance did not know the job, so that only a job of Customer is cancelled.
	Unverified bool   `msgpack:"u,omitempty"`
	Customer   string `msgpack:"c,omitempty"`
}

// Cancellations are the requests to end one job. Before its submission is known, several customers may have cancelled its id.
type Cancellations []Cancellation

// Add returns the requests with one more. A repeated request changes nothing.
func (cs Cancellations) Add(c Cancellation) Cancellations {
	for _, known := range cs {
		if known.Unverified == c.Unverified && known.Customer == c.Customer {
			return cs
		}
	}
	return append(cs, c)
}

// Cover reports whether any of the requests holds for a job of a customer.
func (cs Cancellations) Cover(customer string) bool {
	for _, c := range cs {
		if !c.Unverified || c.Customer == customer {
			return true
		}
	}
	return false
}

// UnitState is the state of a unit. A unit is a task or a whole gang, and is started and stopped as one.
type UnitState uint8

// States of a unit.
const (
	UnitWaiting UnitState = iota
	UnitActive            // started or about to be started
	UnitDone
)

// Unit is the durable state of a unit.
type Unit struct {
	State      UnitState `msgpack:"s"`
	Run        int       `msgpack:"n"`           // number of the latest run
	Failures   int       `msgpack:"f,omitempty"` // number of runs that ended as failed
	FailedRun  int       `msgpack:"r,omitempty"` // number of the latest run that ended as failed
	Checkpoint string    `msgpack:"c,omitempty"`
	Workers    []string  `msgpack:"w,omitempty"` // worker of each member of the active run
	Addresses  []string  `msgpack:"a,omitempty"` // address of each of Workers
	Started    int64     `msgpack:"t,omitempty"` // start of the active run in Unix milliseconds; 0 if not known
	// Standby names the workers on which later runs than Run may have been started although no record of them was written.
	Standby []string `msgpack:"b,omitempty"`
}

// UnitName identifies a unit. Index is -1 for a gang.
type UnitName struct {
	Job                     string
	Occurrence, Step, Index int
}

// Key returns the record key of the unit. It contains Index+1, since a task name has no negative numbers.
func (n UnitName) Key() string {
	return workload.TaskName{Job: n.Job, Occurrence: n.Occurrence, Step: n.Step, Index: n.Index + 1}.String()
}

// ParseUnitName is the inverse of Key.
func ParseUnitName(key string) (UnitName, error) {
	name, err := workload.ParseTaskName(key)
	return UnitName{name.Job, name.Occurrence, name.Step, name.Index - 1}, err
}

// encode returns the msgpack form of one of this package's record types.
func encode(value any) []byte {
	data, err := msgpack.Marshal(value)
	if err != nil {
		panic(fmt.Sprintf("encode %T: %v", value, err)) // unreachable: msgpack supports all types used here
	}
	return data
}

// SubmissionRecord returns the record of an accepted job.
func SubmissionRecord(job *workload.Job) Record {
	return Record{Key: string(submissionKey) + job.ID, Value: encode(job)}
}

// CancellationRecord returns the record of a cancellation.
func CancellationRecord(id string, c Cancellation) Record {
	return Record{Key: string(cancellationKey) + id, Value: encode(c)}
}

// OutcomeRecord returns the record of a job's state.
func OutcomeRecord(id string, o Outcome) Record {
	return Record{Key: string(outcomeKey) + id, Value: encode(o)}
}

// RemovalRecords returns the tombstones that delete all records of a job from JobsTopic.
func RemovalRecords(id string) []Record {
	return []Record{{Key: string(submissionKey) + id}, {Key: string(cancellationKey) + id}, {Key: string(outcomeKey) + id}}
}

// UnitRecord returns the record of a unit's state.
func UnitRecord(name UnitName, u Unit) Record { return Record{Key: name.Key(), Value: encode(u)} }

// DecodeUnit reads a record of RunsTopic.
func DecodeUnit(r Record) (UnitName, Unit, error) {
	name, err := ParseUnitName(r.Key)
	if err != nil {
		return UnitName{}, Unit{}, err
	}
	var u Unit
	if err := codec.Unmarshal(r.Value, &u); err != nil {
		return name, u, fmt.Errorf("decode unit %s: %w", r.Key, err)
	}
	return name, u, nil
}

// CancellationRemoval returns the tombstone of a cancellation whose job was never submitted. It leaves a submission alone that is
// appended at the same time.
func CancellationRemoval(id string) Record { return Record{Key: string(cancellationKey) + id} }

// Entry is one decoded record of JobsTopic. Exactly one of the pointers is set, or none for a tombstone.
type Entry struct {
	ID           string
	Submission   *workload.Job
	Cancellation *Cancellation
	Outcome      *Outcome

	// CancellationRemoved is set for the tombstone of a cancellation.
	CancellationRemoved bool
}

// DecodeEntry reads a record of JobsTopic. It returns an error for jobs that Validate refuses, which no reader could handle; limits
// of Validate may therefore only grow from version to version.
func DecodeEntry(r Record) (Entry, error) {
	if len(r.Key) < 2 {
		return Entry{}, fmt.Errorf("record key %q is too short", r.Key)
	}
	e := Entry{ID: r.Key[1:]}
	if len(r.Value) == 0 {
		e.CancellationRemoved = r.Key[0] == cancellationKey
		return e, nil
	}
	var target any
	switch r.Key[0] {
	case submissionKey:
		e.Submission = &workload.Job{}
		target = e.Submission
	case cancellationKey:
		e.Cancellation = &Cancellation{}
		target = e.Cancellation
	case outcomeKey:
		e.Outcome = &Outcome{}
		target = e.Outcome
	default:
		return Entry{}, fmt.Errorf("record key %q has an unknown kind", r.Key)
	}
	if err := codec.Unmarshal(r.Value, target); err != nil {
		return Entry{}, fmt.Errorf("decode record %q: %w", r.Key, err)
	}
	if e.Submission != nil {
		if err := e.Submission.Validate(); err != nil {
			return Entry{}, fmt.Errorf("decode record %q: %w", r.Key, err)
		}
	}
	return e, nil
}
