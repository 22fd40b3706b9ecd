// Package logservice is a stand-in for the platform's append-only log: streams with offsets, a retention, a limited append rate,
// and faults that can be switched on. It is for tests and demonstrations and keeps everything in memory.
package logservice

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/gorilla/mux"
	"golang.org/x/time/rate"

	"dogwoodnotch.example/dogwoodnotch/internal/platform"
)

const (
	maxRecordBytes = 4 << 20
	defaultRate    = 300              // appends a second over all streams
	maxWait        = 30 * time.Second // longest wait of a read
	rateWait       = time.Second      // longest wait of an append for the rate limit
	busyWindow     = time.Second      // sliding window over which Report.Busiest is counted
)

// Faults can be switched on while the log runs. The zero value means no faults.
type Faults struct {
	Outage      bool    `json:"outage"`       // every call fails with 503
	SlowMS      int64   `json:"slow_ms"`      // delay of every call
	LoseAnswers float64 `json:"lose_answers"` // probability, 0 to 1, that an append takes effect but is not answered
}

// Options are the limits of the log.
type Options struct {
	Retention time.Duration // how long records are kept; 0 means for ever
	Rate      float64       // appends a second over all streams; 0 means 300
	Seed      uint64        // seed of the random choice of lost answers
}

// Service is a log. It is an http.Handler and safe for concurrent use.
type Service struct {
	options Options
	router  *mux.Router
	limiter *rate.Limiter

	mu      sync.Mutex
	streams map[string]*stream
	faults  Faults
	random  *rand.Rand
	appends uint64      // records appended so far
	recent  []time.Time // times of the appends within the last busyWindow
	busiest int         // most appends within one busyWindow since the faults last changed
}

// stream is an append-only sequence of records.
type stream struct {
	earliest uint64 // offset of records[0]
	records  []platform.LogRecord
	changed  chan struct{} // closed and replaced at each append
}

// New returns an empty log.
func New(options Options) *Service {
	if options.Rate == 0 {
		options.Rate = defaultRate
	}
	s := &Service{
		options: options,
		router:  mux.NewRouter(),
		limiter: rate.NewLimiter(rate.Limit(options.Rate), int(options.Rate)),
		streams: map[string]*stream{},
		random:  rand.New(rand.NewPCG(options.Seed, 0)),
	}
	s.router.HandleFunc("/streams/{stream}/records", s.handleAppend).Methods(http.MethodPost)
	s.router.HandleFunc("/streams/{stream}/records", s.handleRead).Methods(http.MethodGet)
	s.router.HandleFunc("/control/log", s.handleControl).Methods(http.MethodPost)
	s.router.HandleFunc("/report/log", s.handleReport).Methods(http.MethodGet)
	return s
}

// ServeHTTP serves one call.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.router.ServeHTTP(w, r) }

// SetFaults replaces the active faults and restarts the count of the busiest second.
func (s *Service) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.recent = nil
	s.busiest = 0
}

// countAppend counts an append in the sliding window that ends at now. The caller holds mu.
func (s *Service) countAppend(now time.Time) {
	s.appends++
	s.recent = append(s.recent, now)
	for now.Sub(s.recent[0]) >= busyWindow {
		s.recent = s.recent[1:]
	}
	s.busiest = max(s.busiest, len(s.recent))
}

// Appends returns the number of records appended so far.
func (s *Service) Appends() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.appends
}

func (s *Service) handleAppend(w http.ResponseWriter, r *http.Request) {
	if !s.applyFaults(w, r) {
		return
	}
	var request platform.AppendRequest
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxRecordBytes)).Decode(&request); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), rateWait)
	defer cancel()
	if err := s.limiter.Wait(ctx); err != nil {
		http.Error(w, "append rate exceeded", http.StatusTooManyRequests)
		return
	}
	offset, lose := s.append(mux.Vars(r)["stream"], request.Data)
	if lose {
		panic(http.ErrAbortHandler) // net/http closes the connection without an answer
	}
	writeJSON(w, platform.AppendResponse{Offset: offset})
}

// append appends a record. It also reports whether the answer is to be lost.
func (s *Service) append(name string, data []byte) (offset uint64, loseAnswer bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.stream(name)
	offset = st.earliest + uint64(len(st.records))
	now := time.Now()
	st.records = append(st.records, platform.LogRecord{Offset: offset, Time: now.UTC(), Data: data})
	close(st.changed)
	st.changed = make(chan struct{})
	s.countAppend(now)
	return offset, s.random.Float64() < s.faults.LoseAnswers
}

// handleRead returns records from an offset on, and waits for one if there is none yet.
func (s *Service) handleRead(w http.ResponseWriter, r *http.Request) {
	if !s.applyFaults(w, r) {
		return
	}
	query := r.URL.Query()
	from, _ := strconv.ParseUint(query.Get("from"), 10, 64)
	limit, err := strconv.Atoi(query.Get("max"))
	if err != nil || limit <= 0 {
		limit = 1000
	}
	waitMS, _ := strconv.ParseInt(query.Get("wait_ms"), 10, 64)
	wait := min(time.Duration(waitMS)*time.Millisecond, maxWait)
	deadline := time.NewTimer(wait)
	defer deadline.Stop()
	name := mux.Vars(r)["stream"]
	for {
		answer, changed := s.read(name, from, limit)
		if len(answer.Records) > 0 || wait <= 0 {
			writeJSON(w, answer)
			return
		}
		select {
		case <-changed:
		case <-deadline.C:
			wait = 0
		case <-r.Context().Done():
			return
		}
	}
}

// read returns the records from an offset on, and a channel that is closed at the next append.
func (s *Service) read(name string, from uint64, limit int) (platform.ReadResponse, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.stream(name)
	s.expire(st)
	next := st.earliest + uint64(len(st.records))
	answer := platform.ReadResponse{Earliest: st.earliest, Next: next}
	if from < next {
		start := max(from, st.earliest) - st.earliest
		end := min(start+uint64(limit), uint64(len(st.records)))
		answer.Records = st.records[start:end]
	}
	return answer, st.changed
}

// expire drops the records that are older than the retention. The caller holds mu.
func (s *Service) expire(st *stream) {
	if s.options.Retention == 0 {
		return
	}
	cutoff := time.Now().Add(-s.options.Retention)
	dropped := 0
	for dropped < len(st.records) && st.records[dropped].Time.Before(cutoff) {
		dropped++
	}
	st.records = st.records[dropped:]
	st.earliest += uint64(dropped)
}

// stream returns a stream, which it creates if needed. The caller holds mu.
func (s *Service) stream(name string) *stream {
	st := s.streams[name]
	if st == nil {
		st = &stream{changed: make(chan struct{})}
		s.streams[name] = st
	}
	return st
}

// applyFaults applies the faults that affect every call. It returns false if the call must not be served.
func (s *Service) applyFaults(w http.ResponseWriter, r *http.Request) bool {
	s.mu.Lock()
	faults := s.faults
	s.mu.Unlock()
	if faults.SlowMS > 0 {
		select {
		case <-time.After(time.Duration(faults.SlowMS) * time.Millisecond):
		case <-r.Context().Done():
			return false
		}
	}
	if faults.Outage {
		http.Error(w, "outage", http.StatusServiceUnavailable)
		return false
	}
	return true
}

func (s *Service) handleControl(w http.ResponseWriter, r *http.Request) {
	var faults Faults
	if err := json.NewDecoder(r.Body).Decode(&faults); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFaults(faults)
	w.WriteHeader(http.StatusNoContent)
}

// Report is the answer to GET /report/log.
type Report struct {
	Appends uint64 `json:"appends"` // records appended so far
	Busiest int    `json:"busiest"` // most appends within any one second since the faults last changed
}

func (s *Service) handleReport(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	report := Report{Appends: s.appends, Busiest: s.busiest}
	s.mu.Unlock()
	writeJSON(w, report)
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value) // a failed write means that the caller has gone
}
