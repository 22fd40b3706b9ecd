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

// faultyTimeout limits how long a connection with a faulty answer stays open.
const faultyTimeout = 5 * time.Second

// run serves one request. The answer echoes the request's body, so that a caller can verify that the answer belongs to it.
func (m *Minion) run(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, structs.MaxBodyBytes))
	if err != nil {
		return
	}
	m.waitThawed(nil) // a request that a frozen process has received runs after the thaw, even if its caller has gone
	run, serviceTime := m.begin(r, body)
	if run == nil {
		w.Header().Set(structs.HeaderMinionOutcome, string(structs.OutcomeNotRun))
		http.Error(w, "no free slot", http.StatusServiceUnavailable)
		return
	}
	time.Sleep(serviceTime) // a run continues when its caller gives up
	fault, delay := m.finish(run)
	time.Sleep(delay)
	m.waitThawed(nil)
	m.answer(w, run.RequestID, body, fault)
}

// begin occupies a slot and records the run. It returns a nil run if the minion refuses the request.
func (m *Minion) begin(r *http.Request, body []byte) (*Run, time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	leaving := !m.leavingSince.IsZero()
	if leaving {
		m.report.LatestAfterLeaving = time.Since(m.leavingSince)
	}
	switch {
	case leaving && !m.faults.acceptLeaving:
		m.report.RefusedLeaving++
		return nil, 0
	case m.busySlots >= m.cfg.Slots:
		m.report.RefusedFull++
		return nil, 0
	}
	m.busySlots++
	m.report.HighestSlots = max(m.report.HighestSlots, m.busySlots)
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

// fault is the fault of an answer.
type fault int

const (
	faultNone     fault = iota
	faultTruncate       // the last byte is missing
	faultRepeat         // the answer is sent again for the connection's next request
)

// finish frees the slot and returns the fault and the delay of the answer.
func (m *Minion) finish(run *Run) (fault, time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.busySlots--
	run.Finished = time.Now()
	m.answers++
	switch {
	case isFaulty(m.answers, m.faults.truncate):
		return faultTruncate, m.faults.delay
	case isFaulty(m.answers, m.faults.repeat):
		return faultRepeat, m.faults.delay
	default:
		return faultNone, m.faults.delay
	}
}

// isFaulty reports whether an answer is faulty. It spreads the share of faulty answers evenly, so that every run of a test has the
// same number of them.
func isFaulty(answer uint64, share float64) bool {
	return uint64(float64(answer)*share) != uint64(float64(answer-1)*share)
}

func (m *Minion) answer(w http.ResponseWriter, id string, body []byte, fault fault) {
	if fault != faultNone {
		m.serveFaulty(w, rawResponse(id, body), fault)
		return
	}
	w.Header().Set(structs.HeaderRequestID, id)
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = w.Write(body) // a failed write means that the caller has gone
}

// rawResponse returns an HTTP response as it is sent on the connection.
func rawResponse(id string, body []byte) []byte {
	header := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: %d\r\n\r\n", structs.HeaderRequestID, id, len(body))
	return append([]byte(header), body...)
}

// serveFaulty hijacks the connection from the HTTP server, writes the faulty answer and closes the connection.
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
	if _, err := conn.Read(next); err == nil { // the next request has begun to arrive
		_, _ = conn.Write(answer)
	}
}

func (m *Minion) closeFaulty(conn net.Conn) {
	conn.Close()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.connections--
}
