// Package clientlimit bounds what HTTP clients can hold of a process: connections, memory and time. When a bound is reached, the
// connections that hold the most and have gone longest without sending a complete request are closed first.
package clientlimit

import (
	"cmp"
	"net/http"
	"time"

	"golang.org/x/sys/unix"

	"dogwoodnotch.example/dogwoodnotch/internal/errkind"
)

// Defaults of the limits. None is below what the operator's configuration grants ordinary clients.
const (
	defaultHeaderBytes   = 16 << 10
	defaultHeaderTimeout = 4 * time.Second
	defaultBodyTimeout   = 30 * time.Second
	defaultIdleTimeout   = 30 * time.Second
	defaultWriteTimeout  = 10 * time.Second
	defaultBodyWait      = 500 * time.Millisecond
	defaultMemoryBytes   = 64 << 20
)

// MaxHeaderBytes is the largest limit of a head's bytes.
const MaxHeaderBytes = http.DefaultMaxHeaderBytes

// Descriptors that are not available to clients.
const (
	fileDescriptors   = 200     // for files
	workerDescriptors = 350 * 4 // for the scheduler's connections: the idle ones to one worker, times the workers of the largest deployment
	otherDescriptors  = 100     // for the store, the advisor and peers
	minClientShare    = 4       // clients get a quarter of the descriptors if the above leaves less
)

// memoryShare is the part of the machine's memory that clients may hold. The Go runtime aims at 0.6 of it, half of which is for tasks.
const memoryShare = 0.2

// connectionsShare divides the budget: idle connections up to their limit take half of it, and the rest is left for requests.
const connectionsShare = 2

// minConnections is the smallest limit of connections that follows from memory or descriptors.
const minConnections = 32

// Settings are the limits of the settings file. 0 stands for the default.
type Settings struct {
	Connections     int   `yaml:"connections" json:"connections"`             // open connections of all ports; default: from descriptors and memory
	MemoryMB        int64 `yaml:"memory_mb" json:"memory_mb"`                 // memory for connections, requests and decoded bodies; default: a fifth of the machine's, or 64
	HeaderBytes     int   `yaml:"header_bytes" json:"header_bytes"`           // of a request's head; default 16,384
	HeaderTimeoutMS int64 `yaml:"header_timeout_ms" json:"header_timeout_ms"` // for a request's head; default 4,000
	BodyTimeoutMS   int64 `yaml:"body_timeout_ms" json:"body_timeout_ms"`     // for a request's body; default 30,000
	IdleTimeoutMS   int64 `yaml:"idle_timeout_ms" json:"idle_timeout_ms"`     // between two requests; default 30,000
	WriteTimeoutMS  int64 `yaml:"write_timeout_ms" json:"write_timeout_ms"`   // for each write of a response; default 10,000
	BodyWaitMS      int64 `yaml:"body_wait_ms" json:"body_wait_ms"`           // until a body is refused that cannot be decoded for lack of memory; default 500
}

// Ranges of the settings that are not 0.
const (
	minHeaderBytes = 1 << 10
	minMemoryMB    = 4
	maxTimeoutMS   = int64(time.Hour / time.Millisecond)
)

// Check returns an error of kind Invalid for the first setting that is out of its range.
func (s Settings) Check() error {
	for _, c := range []struct {
		name               string
		value, least, most int64
	}{
		{"connections", int64(s.Connections), minConnections, 1 << 20},
		{"memory_mb", s.MemoryMB, minMemoryMB, 1 << 20},
		{"header_bytes", int64(s.HeaderBytes), minHeaderBytes, MaxHeaderBytes},
		{"header_timeout_ms", s.HeaderTimeoutMS, 1, maxTimeoutMS},
		{"body_timeout_ms", s.BodyTimeoutMS, 1, maxTimeoutMS},
		{"idle_timeout_ms", s.IdleTimeoutMS, 1, maxTimeoutMS},
		{"write_timeout_ms", s.WriteTimeoutMS, 1, maxTimeoutMS},
		{"body_wait_ms", s.BodyWaitMS, 1, maxTimeoutMS},
	} {
		if c.value != 0 && (c.value < c.least || c.value > c.most) {
			return errkind.New(errkind.Invalid, "leave it out, or choose a value in the range", "the setting clients.%s is %d; %d to %d are possible", c.name, c.value, c.least, c.most)
		}
	}
	return nil
}

// Limits are the limits of a process.
type Limits struct {
	Connections   int
	MemoryBytes   int64 // for connections and the requests that they send
	DecodeBytes   int64 // for decoded bodies
	HeaderBytes   int
	HeaderTimeout time.Duration
	BodyTimeout   time.Duration
	IdleTimeout   time.Duration
	WriteTimeout  time.Duration // for each write
	BodyWait      time.Duration
	Collect       bool          // whether to collect garbage when much was released; for a process whose runtime has no memory limit
	Grace         time.Duration // see graceTime, the default
	SocketBytes   int           // size of the kernel's receive and send buffers, 0 for the kernel's own choice
}

// Derive returns the limits of a process on a machine with the given memory and descriptors; 0 means that they are not known. The process's
// own limit on descriptors counts if it is lower. Half of the memory is for decoded bodies.
func (s Settings) Derive(memoryMB int64, descriptors int) Limits {
	memory := s.MemoryMB << 20
	if memory == 0 && memoryMB > 0 {
		memory = max(int64(memoryShare*float64(memoryMB)*(1<<20)), minMemoryMB<<20)
	}
	memory = cmp.Or(memory, defaultMemoryBytes)
	l := Limits{
		MemoryBytes: memory / 2, DecodeBytes: memory / 2, HeaderBytes: cmp.Or(s.HeaderBytes, defaultHeaderBytes),
		HeaderTimeout: milliseconds(s.HeaderTimeoutMS, defaultHeaderTimeout), BodyTimeout: milliseconds(s.BodyTimeoutMS, defaultBodyTimeout),
		IdleTimeout: milliseconds(s.IdleTimeoutMS, defaultIdleTimeout), WriteTimeout: milliseconds(s.WriteTimeoutMS, defaultWriteTimeout),
		BodyWait: milliseconds(s.BodyWaitMS, defaultBodyWait), Grace: graceTime,
	}
	var own unix.Rlimit
	if unix.Getrlimit(unix.RLIMIT_NOFILE, &own) == nil && (descriptors == 0 || own.Cur < uint64(descriptors)) {
		descriptors = int(min(own.Cur, 1<<30))
	}
	left := max(descriptors-fileDescriptors-workerDescriptors-otherDescriptors, descriptors/minClientShare)
	l.Connections = cmp.Or(s.Connections, max(min(left, int(l.MemoryBytes/connectionsShare/connectionBytes)), minConnections))
	return l
}

func milliseconds(n int64, otherwise time.Duration) time.Duration {
	if n == 0 {
		return otherwise
	}
	return time.Duration(n) * time.Millisecond
}
