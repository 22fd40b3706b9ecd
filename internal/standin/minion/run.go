package minion

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"dogwoodnotch.example/dogwoodnotch/internal/structs"
)

// faultyTimeout bounds how long a connection with a faulty answer stays open.
const faultyTimeout = 5 * time.Second

// run serves one request. The answer's body is the request's body, so a caller can see that the answer is its own.
func (m *Minion) run(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, structs.MaxBodyBytes))
	if err != nil {
		return
	}
	m.waitThawed(nil) // what a frozen process has received runs when it is thawed, whether its caller is there or not
	run, serviceTime := m.begin(r, body)
	if run == nil {
		w.Header().Set(structs.HeaderMinionOutcome, string(structs.OutcomeNotRun))
		http.Error(w, "no free slot", http.StatusServiceUnavailable)
		return
	}
	time.Sleep(serviceTime) // a run goes on when its caller gives up
	fault, delay := m.finish(run)
	time.Sleep(delay)
	m.waitThawed(nil)
	m.answer(w, run.RequestID, body, fault)
}

// begin takes a slot and records the run. It returns nil when the minion refuses the request.
func (m *Minion) begin(r *http.Request, body []byte) (*Run, time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	leaving := !m.leavingSince.IsZero()
	if leaving {
		m.report.LatestAfterLeaving = time.Since(m.leavingSince)
	}
	switch {
	case leaving && !m.control.accept:
		m.report.RefusedLeaving++
		return nil, 0
	case m.busy >= m.cfg.Slots:
		m.report.RefusedFull++
		return nil, 0
	}
	m.busy++
	m.report.HighestSlots = max(m.report.HighestSlots, m.busy)
	run := &Run{
		RequestID: r.Header.Get(structs.HeaderRequestID),
		Kind:      structs.KindName(r.Header.Get(structs.HeaderKind)),
		Payload:   string(body[:min(len(body), payloadPrefix)]),
		Started:   time.Now(),
	}
	if len(m.report.Runs) < maxRuns {
		m.report.Runs = append(m.report.Runs, run)
	} else {
		m.report.Dropped++
	}
	return run, m.cfg.ServiceTime
}

// fault is what is wrong with an answer.
type fault int

const (
	faultNone fault = iota
	faultTruncate
	faultRepeat
)

// finish gives the slot back and chooses the fault of the answer and its delay.
func (m *Minion) finish(run *Run) (fault, time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.busy--
	run.Finished = time.Now()
	m.answers++
	switch {
	case due(m.answers, m.control.truncate):
		return faultTruncate, m.control.delay
	case due(m.answers, m.control.repeat):
		return faultRepeat, m.control.delay
	default:
		return faultNone, m.control.delay
	}
}

// due spreads a share of faults evenly over the answers, so every run of a test has the same number of them.
func due(answer uint64, share float64) bool {
	return uint64(float64(answer)*share) != uint64(float64(answer-1)*share)
}

func (m *Minion) answer(w http.ResponseWriter, id string, body []byte, fault fault) {
	if fault != faultNone {
		m.serveFaulty(w, message(id, body), fault)
		return
	}
	w.Header().Set(structs.HeaderRequestID, id)
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = w.Write(body) // a failed write means that the caller has gone
}

func message(id string, body []byte) []byte {
	header := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: %d\r\n\r\n", structs.HeaderRequestID, id, len(body))
	return append([]byte(header), body...)
}

// serveFaulty takes the connection over from the HTTP server, writes the answer with its fault and closes it.
func (m *Minion) serveFaulty(w http.ResponseWriter, answer []byte, fault fault) {
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	defer m.closeFaulty(conn)
	_ = conn.SetDeadline(time.Now().Add(faultyTimeout))
	if fault == faultTruncate {
		_, _ = conn.Write(answer[:len(answer)-1])
		return
	}
	_, _ = conn.Write(answer)
	next := make([]byte, 1)
	if _, err := conn.Read(next); err == nil {
		_, _ = conn.Write(answer)
	}
}

func (m *Minion) closeFaulty(conn net.Conn) {
	conn.Close()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.connections--
}
