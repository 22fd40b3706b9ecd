// Package minion is a stand-in for a minion of a service. It serves the platform's interface (POST /run, GET /status) and, for
// tests and demonstrations, GET /report and POST /control. One process can host many minions.
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

// Limits of the stand-in.
const (
	maxRuns           = 1 << 20 // maximum number of runs listed in the report
	payloadPrefix     = 64      // number of first bytes of a request body that are recorded with its run
	readHeaderTimeout = 5 * time.Second
	idleTimeout       = 60 * time.Second
)

// Config sets the size and speed of a minion.
type Config struct {
	Slots       int           // requests that can run at the same time
	Connections int           // number of connections, not enforced; the report shows the highest number seen
	ServiceTime time.Duration // time that each run takes
}

// Control is the body of POST /control. An absent field leaves its setting unchanged.
type Control struct {
	Leaving       *bool          `json:"leaving,omitempty"`        // reports that it is leaving and refuses requests
	Frozen        *bool          `json:"frozen,omitempty"`         // answers no calls until it is thawed
	AcceptLeaving *bool          `json:"accept_leaving,omitempty"` // accepts requests although it is leaving
	StatusSilent  *bool          `json:"status_silent,omitempty"`  // does not answer GET /status, while other calls work
	Truncate      *float64       `json:"truncate,omitempty"`       // share of answers that are truncated, 0 to 1
	Repeat        *float64       `json:"repeat,omitempty"`         // share of answers that are also sent as the answer to the next request on the connection, 0 to 1
	Delay         *time.Duration `json:"delay,omitempty"`          // delay between the end of the run and the answer, in nanoseconds
	ServiceTime   *time.Duration `json:"service_time,omitempty"`   // time that each run takes, in nanoseconds
}

// Run is the record of one request that ran.
type Run struct {
	RequestID string           `json:"request_id"`
	Kind      structs.KindName `json:"kind"`
	Payload   string           `json:"payload"` // first bytes of the body, which identify the request to its client
	Started   time.Time        `json:"started"`
	Finished  time.Time        `json:"finished"` // zero while it runs
}

// Report is the answer to GET /report.
type Report struct {
	HighestSlots       int `json:"highest_slots"`
	HighestConnections int `json:"highest_connections"`
	RefusedFull        int `json:"refused_full"`    // requests offered while all slots were busy
	RefusedLeaving     int `json:"refused_leaving"` // requests offered while the minion was leaving
	// LatestAfterLeaving is the time from the start of leaving to the latest request that was offered.
	LatestAfterLeaving time.Duration `json:"latest_after_leaving"`
	Dropped            int           `json:"dropped"` // runs that are not listed because Runs is full
	Runs               []*Run        `json:"runs"`
}

// Minion is a stand-in minion. It is safe for concurrent use.
type Minion struct {
	mux *http.ServeMux

	mu           sync.Mutex
	cfg          Config
	faults       faults
	busySlots    int
	connections  int
	answers      uint64        // answers so far; determines which answers are faulty
	leavingSince time.Time     // zero while not leaving
	thawed       chan struct{} // channel that is closed when the freeze ends; nil while not frozen
	report       Report
}

// faults are the active faults; see Control.
type faults struct {
	acceptLeaving bool
	statusSilent  bool
	truncate      float64
	repeat        float64
	delay         time.Duration
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

// Server returns an HTTP server for the minion that counts its connections. The caller starts and closes it.
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
	case http.StateClosed: // a hijacked connection does not get here; closeFaulty counts it
		m.connections--
	}
}

func (m *Minion) status(w http.ResponseWriter, r *http.Request) {
	if !m.waitThawed(r.Context().Done()) {
		return
	}
	m.mu.Lock()
	silent := m.faults.statusSilent
	answer := platform.MinionStatus{
		Slots:       m.cfg.Slots,
		SlotsBusy:   m.busySlots,
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

// Report returns a copy of the report.
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

// Apply changes the settings of the minion.
func (m *Minion) Apply(control Control) {
	m.mu.Lock()
	defer m.mu.Unlock()
	setIfPresent(control.AcceptLeaving, &m.faults.acceptLeaving)
	setIfPresent(control.StatusSilent, &m.faults.statusSilent)
	setIfPresent(control.Truncate, &m.faults.truncate)
	setIfPresent(control.Repeat, &m.faults.repeat)
	setIfPresent(control.Delay, &m.faults.delay)
	setIfPresent(control.ServiceTime, &m.cfg.ServiceTime)
	if control.Leaving != nil {
		m.setLeaving(*control.Leaving)
	}
	if control.Frozen != nil {
		m.setFrozen(*control.Frozen)
	}
}

// setIfPresent copies a value unless it is absent.
func setIfPresent[T any](from, to *T) {
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

// waitThawed waits until the minion is not frozen. It returns false if gone is closed first.
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
