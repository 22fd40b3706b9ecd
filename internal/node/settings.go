// Package node runs an entry instance on a platform where no machine is reserved for control and none has a disk: the platform's
// log keeps all durable state, and the instances elect one of themselves as the scheduler. An instance serves callers, follows
// the log, and is the scheduler while it holds the term.
package node

import (
	"fmt"
	"os"
	"time"

	"github.com/goccy/go-yaml"

	"dogwoodnotch.example/dogwoodnotch/internal/clientlimit"
	"dogwoodnotch.example/dogwoodnotch/internal/dispatch"
	"dogwoodnotch.example/dogwoodnotch/internal/errkind"
)

// Settings of an instance, in YAML.
type Settings struct {
	Instance   string               `yaml:"instance"`
	DataCentre string               `yaml:"data_centre"`
	Listen     Listen               `yaml:"listen"`
	Store      string               `yaml:"store"`   // address of the platform's log, host:port
	Advisor    string               `yaml:"advisor"` // address of the service that approves workers for a step, host:port; empty for none
	Machine    Machine              `yaml:"machine"`
	Bounds     Bounds               `yaml:"bounds"`
	Clients    clientlimit.Settings `yaml:"clients"`
}

// Listen holds the addresses to listen on, host:port.
type Listen struct {
	Jobs      string `yaml:"jobs"`
	Readiness string `yaml:"readiness"`
	Control   string `yaml:"control"` // serves metrics and the state dump; empty for none
}

// Machine holds the resources that the instance may use.
type Machine struct {
	ProcessorShare float64 `yaml:"processor_share"` // share of a core
	MemoryMB       int64   `yaml:"memory_mb"`
	Descriptors    int     `yaml:"descriptors"` // descriptors that the process may open; 0 for the process's own limit
}

// Bounds are limits that the platform sets.
type Bounds struct {
	LeaseMS     int64   `yaml:"lease_ms"`      // longest lease of a task, in milliseconds
	StopMS      int64   `yaml:"stop_ms"`       // longest time that a worker takes to stop a task, in milliseconds; 0 if not known
	KeepStatusS float64 `yaml:"keep_status_s"` // how long the state of an ended job must be reported, in seconds
	EvacuateMS  int64   `yaml:"evacuate_ms"`   // longest time from the acknowledgement of an evacuation until no task starts there, in milliseconds; 0 if there is none
	CancelMS    int64   `yaml:"cancel_ms"`     // longest time from the acknowledgement of a cancellation until no task of the job starts, in milliseconds; 0 if there is none
	RecordBytes int     `yaml:"record_bytes"`  // largest record that the log takes; 0 for ledger.DefaultRecordLimit
}

// Load reads and checks a settings file.
func Load(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errkind.Wrap(err, errkind.Invalid, "check the path of the settings file", "cannot read the settings file")
	}
	var s Settings
	if err := yaml.UnmarshalWithOptions(data, &s, yaml.Strict()); err != nil {
		return nil, errkind.Wrap(err, errkind.Invalid, "correct the settings file", "cannot parse the settings file %s", path)
	}
	return &s, s.check()
}

func (s *Settings) check() error {
	required := []struct{ name, value string }{
		{"instance", s.Instance}, {"listen.jobs", s.Listen.Jobs}, {"listen.readiness", s.Listen.Readiness}, {"store", s.Store},
	}
	for _, r := range required {
		if r.value == "" {
			return errkind.New(errkind.Invalid, "give a value", "the setting %s is missing", r.name)
		}
	}
	if s.Bounds.LeaseMS <= 0 {
		return errkind.New(errkind.Invalid, "give a positive number of milliseconds", "the setting bounds.lease_ms is %d", s.Bounds.LeaseMS)
	}
	if s.Bounds.StopMS < 0 {
		return errkind.New(errkind.Invalid, "give 0 or a positive number of milliseconds", "the setting bounds.stop_ms is %d", s.Bounds.StopMS)
	}
	if ms := s.Bounds.EvacuateMS; ms != 0 && ms < minEvacuateMS {
		return errkind.New(errkind.Invalid, fmt.Sprintf("give 0 for no evacuations, or at least %d milliseconds", minEvacuateMS), "the setting bounds.evacuate_ms is %d", ms)
	}
	if s.Bounds.RecordBytes < 0 {
		return errkind.New(errkind.Invalid, "give 0 or a positive number of bytes", "the setting bounds.record_bytes is %d", s.Bounds.RecordBytes)
	}
	if s.Machine.ProcessorShare < 0 || s.Machine.MemoryMB < 0 || s.Machine.Descriptors < 0 {
		return errkind.New(errkind.Invalid, "give numbers of 0 or more", "a setting of the machine is negative")
	}
	return s.Clients.Check()
}

// minEvacuateMS leaves 1 s for the age of the view of the operator's records besides the 1.5 s that start orders take. With less, most of
// the starts would be withheld, as reads of the records make a view up to 1.3 s old.
const minEvacuateMS = 2500

func milliseconds(n int64) time.Duration { return time.Duration(n) * time.Millisecond }

func seconds(n float64) time.Duration { return time.Duration(n * float64(time.Second)) }

// socketBytes is the size of the kernel's buffers of a client's connection, which count towards the machine's memory. The kernel doubles it.
// With the derived number of connections they take 0.13 of the memory at most.
const socketBytes = 16 << 10

// clientLimits returns the limits for clients of all ports.
func (s *Settings) clientLimits() clientlimit.Limits {
	l := s.Clients.Derive(s.Machine.MemoryMB, s.Machine.Descriptors)
	l.SocketBytes = socketBytes
	return l
}

// taskBytes is the memory that the scheduler needs for a task of an accepted job: 360 bytes and its share of records that are being written.
const taskBytes = 400

// dispatchBounds returns the bounds of the scheduler. Tasks may take half of the memory that the Go runtime aims to stay under.
func (s *Settings) dispatchBounds() dispatch.Bounds {
	b := s.Bounds
	return dispatch.Bounds{
		Lease: milliseconds(b.LeaseMS), Stop: milliseconds(b.StopMS), StatusRetention: seconds(b.KeepStatusS), Evacuation: milliseconds(b.EvacuateMS),
		Cancellation: milliseconds(b.CancelMS),
		Tasks:        int(memoryLimitShare / 2 * float64(s.Machine.MemoryMB) * (1 << 20) / taskBytes),
		RecordBytes:  b.RecordBytes,
	}
}
