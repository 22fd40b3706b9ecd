// Package minion is a stand-in for one minion of a service. It serves the platform's interface (POST /run, GET /status)
// and, for tests and demonstrations, GET /report and POST /control. One process can host many of them.
package minion

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"dogwoodnotch.example/dogwoodnotch/internal/platform"
	"dogwoodnotch.example/dogwoodnotch/internal/structs"
)

// Bounds of the stand-in.
const (
	maxRuns           = 1 << 20 // runs kept in the report
	payloadPrefix     = 64      // bytes of a body kept with its run
	readHeaderTimeout = 5 * time.Second
	idleTimeout       = 60 * time.Second
)

// Config sets the size and speed of a minion.
type Config struct {
	Slots       int           // requests at once
	Connections int           // only reported; the report shows the highest number seen
	ServiceTime time.Duration // time that each run takes
}

// Control is the body of POST /control. Fields that are absent keep their value.
type Control struct {
	Leaving       *bool          `json:"leaving,omitempty"`
	Frozen        *bool          `json:"frozen,omitempty"`         // answers nothing until it is thawed
	AcceptLeaving *bool          `json:"accept_leaving,omitempty"` // runs requests although it is leaving
	StatusSilent  *bool          `json:"status_silent,omitempty"`  // GET /status is not answered, as if only it were cut off
	Truncate      *float64       `json:"truncate,omitempty"`       // share of answers that are cut short, 0 to 1
	Repeat        *float64       `json:"repeat,omitempty"`         // share of answers that are sent again for the connection's next request
	Delay         *time.Duration `json:"delay,omitempty"`          // added after the run, before the answer, in nanoseconds
	ServiceTime   *time.Duration `json:"service_time,omitempty"`   // in nanoseconds
}

// Run is the record of one request that ran.
type Run struct {
	RequestID string           `json:"request_id"`
	Kind      structs.KindName `json:"kind"`
	Payload   string           `json:"payload"` // first bytes of the body, by which a client recognises its request
	Started   time.Time        `json:"started"`
	Finished  time.Time        `json:"finished"` // zero while it runs
}

// Report is the answer to GET /report.
type Report struct {
	HighestSlots       int `json:"highest_slots"`
	HighestConnections int `json:"highest_connections"`
	RefusedFull        int `json:"refused_full"`    // offered while all slots were busy
	RefusedLeaving     int `json:"refused_leaving"` // offered while the minion was leaving
	// LatestAfterLeaving is how long after the minion began to leave it was last offered a request.
	LatestAfterLeaving time.Duration `json:"latest_after_leaving"`
	Dropped            int           `json:"dropped"` // runs that exceeded the bound of the list
	Runs               []*Run        `json:"runs"`
}

// Minion is one stand-in minion. It is safe for concurrent use.
type Minion struct {
	mux *http.ServeMux

	mu           sync.Mutex
	cfg          Config
	control      settings
	busy         int
	connections  int
	answers      uint64 // answers begun, which decides which of them are faulty
	leavingSince time.Time
	thawed       chan struct{} // nil while not frozen
	report       Report
}

// settings are the faults in force.
type settings struct {
	accept   bool
	silent   bool
	truncate float64
	repeat   float64
	delay    time.Duration
}

// New returns a minion.
func New(cfg Config) *Minion {
	m := &Minion{cfg: cfg, mux: http.NewServeMux()}
	m.mux.HandleFunc("POST /run", m.run)
	m.mux.HandleFunc("GET /status", m.status)
	m.mux.HandleFunc("GET /report", m.serveReport)
	m.mux.HandleFunc("POST /control", m.serveControl)
	return m
}

// ServeHTTP serves one call.
func (m *Minion) ServeHTTP(w http.ResponseWriter, r *http.Request) { m.mux.ServeHTTP(w, r) }

// Server returns a server for the minion that counts its connections. The caller serves and closes it.
func (m *Minion) Server() *http.Server {
	return &http.Server{
		Handler:           m,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		ConnState:         m.countConnection,
	}
}

func (m *Minion) countConnection(_ net.Conn, state http.ConnState) {
	m.mu.Lock()
	defer m.mu.Unlock()
	switch state {
	case http.StateNew:
		m.connections++
		m.report.HighestConnections = max(m.report.HighestConnections, m.connections)
	case http.StateClosed: // a hijacked connection is counted until serveFaulty closes it
		m.connections--
	}
}

func (m *Minion) status(w http.ResponseWriter, r *http.Request) {
	if !m.waitThawed(r.Context().Done()) {
		return
	}
	m.mu.Lock()
	silent := m.control.silent
	answer := platform.MinionStatus{
		Slots:       m.cfg.Slots,
		SlotsBusy:   m.busy,
		Connections: m.connections,
		Leaving:     !m.leavingSince.IsZero(),
	}
	m.mu.Unlock()
	if silent {
		<-r.Context().Done()
		return
	}
	writeJSON(w, answer)
}

func (m *Minion) serveReport(w http.ResponseWriter, _ *http.Request) { writeJSON(w, m.Report()) }

// Report returns what the minion has counted.
func (m *Minion) Report() Report {
	m.mu.Lock()
	defer m.mu.Unlock()
	report := m.report
	report.Runs = make([]*Run, len(m.report.Runs))
	for i, run := range m.report.Runs {
		copied := *run
		report.Runs[i] = &copied
	}
	return report
}

func (m *Minion) serveControl(w http.ResponseWriter, r *http.Request) {
	var control Control
	if err := json.NewDecoder(io.LimitReader(r.Body, 1<<16)).Decode(&control); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	m.Apply(control)
	w.WriteHeader(http.StatusNoContent)
}

// Apply changes the behaviour of the minion.
func (m *Minion) Apply(control Control) {
	m.mu.Lock()
	defer m.mu.Unlock()
	set(control.AcceptLeaving, &m.control.accept)
	set(control.StatusSilent, &m.control.silent)
	set(control.Truncate, &m.control.truncate)
	set(control.Repeat, &m.control.repeat)
	set(control.Delay, &m.control.delay)
	set(control.ServiceTime, &m.cfg.ServiceTime)
	if control.Leaving != nil {
		m.setLeaving(*control.Leaving)
	}
	if control.Frozen != nil {
		m.setFrozen(*control.Frozen)
	}
}

func set[T any](from, to *T) {
	if from != nil {
		*to = *from
	}
}

func (m *Minion) setLeaving(leaving bool) {
	if !leaving {
		m.leavingSince = time.Time{}
		return
	}
	if m.leavingSince.IsZero() {
		m.leavingSince = time.Now()
	}
}

func (m *Minion) setFrozen(frozen bool) {
	switch {
	case frozen && m.thawed == nil:
		m.thawed = make(chan struct{})
	case !frozen && m.thawed != nil:
		close(m.thawed)
		m.thawed = nil
	}
}

// waitThawed waits until the minion is not frozen. It returns false when gone is closed first.
func (m *Minion) waitThawed(gone <-chan struct{}) bool {
	m.mu.Lock()
	thawed := m.thawed
	m.mu.Unlock()
	if thawed == nil {
		return true
	}
	select {
	case <-thawed:
		return true
	case <-gone:
		return false
	}
}

func writeJSON(w http.ResponseWriter, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	_, _ = w.Write(data) // a failed write means that the caller has gone
}
