// Package store is a stand-in for the metadata store of the users' platform: topics with offsets, conditional and
// idempotent appends, long polls, the newest record of each key, and faults that can be switched on. It is for tests and
// demonstrations: it keeps everything in memory, and each topic has one partition.
package store

import (
	"context"
	"encoding/binary"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/gorilla/mux"
)

const (
	pageItems       = 500     // records in one page of the newest records by key
	maxBody         = 2 << 20 // bytes of one request body
	maxRecord       = 8 << 10 // bytes of one record; the platform's limit is higher
	repeatedAnswers = 5       // number of latest appends of a producer whose answers are repeated for a retry
	headerBytes     = 16      // bytes of the end offset and the first offset at the start of a read's answer
)

// Faults can be switched on while the store runs. The zero value means no faults.
type Faults struct {
	Outage      bool    `json:"outage"`       // every call is refused with 503
	Silent      bool    `json:"silent"`       // no call is answered
	LoseAnswers float64 `json:"lose_answers"` // probability, 0 to 1, that an append takes effect but is not answered
	SlowMS      int64   `json:"slow_ms"`      // delay of every call

	// Forgets is the probability, 0 to 1, that an idempotent append is acknowledged but not stored. No real store may do this; it
	// shows that the checks of package soak detect lost records.
	Forgets float64 `json:"forgets"`
}

// Store is a store. It is an http.Handler and safe for concurrent use.
type Store struct {
	router *mux.Router

	mu     sync.Mutex
	topics map[string]*topic
	faults Faults
}

// topic is an append-only sequence of records. Each record is the length of its key in one byte, the key and the value.
type topic struct {
	first     int64 // offset of records[0]
	records   [][]byte
	newest    map[string]int64  // offset of the newest record by key
	values    map[string][]byte // value of the newest record by key
	changed   chan struct{}     // closed and replaced at each append
	producers map[string]*producer
}

// producer is the state of idempotent appends by one producer.
type producer struct {
	epoch, sequence int64                  // epoch and sequence number of the latest append
	hasAppended     bool                   // whether sequence is valid
	answers         map[int64]appendResult // answers of the latest appends by sequence number
}

// appendResult is the answer to an append.
type appendResult struct {
	Offset    int64 `json:"offset"`
	EndOffset int64 `json:"end_offset"`
}

// New returns an empty store.
func New() *Store {
	s := &Store{router: mux.NewRouter(), topics: map[string]*topic{}}
	s.router.HandleFunc("/v1/log-append", s.handleAppend).Methods(http.MethodPost)
	s.router.HandleFunc("/v1/log-read", s.handleRead).Methods(http.MethodGet)
	s.router.HandleFunc("/v1/log-newest", s.handleNewest).Methods(http.MethodGet)
	s.router.HandleFunc("/control/faults", s.handleFaults).Methods(http.MethodPost)
	s.router.HandleFunc("/control/records", s.handlePut).Methods(http.MethodPost)
	return s
}

// ServeHTTP serves one call and applies the active faults. Control calls are exempt from faults.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	f := s.faults
	s.mu.Unlock()
	if r.URL.Path == "/control/faults" || r.URL.Path == "/control/records" {
		s.router.ServeHTTP(w, r)
		return
	}
	if f.Silent {
		<-r.Context().Done()
		return
	}
	if f.Outage {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	time.Sleep(time.Duration(f.SlowMS) * time.Millisecond)
	s.router.ServeHTTP(w, r)
}

// SetFaults replaces the active faults.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

func (s *Store) handleFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFaults(f)
}

// handlePut writes the body as the value of a key, as other writers of the platform do. The query is ?topic=T&key=K.
func (s *Store) handlePut(w http.ResponseWriter, r *http.Request) {
	value, err := io.ReadAll(io.LimitReader(r.Body, maxBody))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.Put(r.URL.Query().Get("topic"), r.URL.Query().Get("key"), value)
	w.WriteHeader(http.StatusOK)
}

// Put writes the value of a key, as other writers of the platform do. An empty value deletes the key.
func (s *Store) Put(name, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	record := append([]byte{byte(len(key))}, key...)
	s.topic(name).add(append(record, value...))
}

// Trim drops all records of a topic but keeps the newest value of each key, as the platform does with old history.
func (s *Store) Trim(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	t.first += int64(len(t.records))
	t.records = nil
}

// topic returns a topic, which it creates if needed. The caller holds mu.
func (s *Store) topic(name string) *topic {
	t := s.topics[name]
	if t == nil {
		t = &topic{newest: map[string]int64{}, values: map[string][]byte{}, changed: make(chan struct{}), producers: map[string]*producer{}}
		s.topics[name] = t
	}
	return t
}

// end returns the offset of the next record.
func (t *topic) end() int64 { return t.first + int64(len(t.records)) }

// add appends one record and wakes up waiting reads.
func (t *topic) add(record []byte) {
	offset := t.end()
	t.records = append(t.records, record)
	if n := int(record[0]); len(record) > n {
		key, value := string(record[1:1+n]), record[1+n:]
		if len(value) == 0 {
			delete(t.newest, key)
			delete(t.values, key)
		} else {
			t.newest[key], t.values[key] = offset, value
		}
	}
	close(t.changed)
	t.changed = make(chan struct{})
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // a failed write means that the caller has gone
}

// intParameter returns an integer parameter of the query, or 0 if it is absent.
func intParameter(r *http.Request, name string) int64 {
	n, _ := strconv.ParseInt(r.URL.Query().Get(name), 10, 64) // absent parameters default to 0
	return n
}

func (s *Store) handleAppend(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBody))
	if err != nil {
		return
	}
	s.mu.Lock()
	status, result := s.appendLocked(r, body)
	lose := status == http.StatusOK && rand.Float64() < s.faults.LoseAnswers
	s.mu.Unlock()
	if lose {
		panic(http.ErrAbortHandler) // net/http closes the connection without an answer
	}
	writeJSON(w, status, result)
}

// appendLocked executes an append and returns the status and body of its answer. The caller holds mu.
func (s *Store) appendLocked(r *http.Request, body []byte) (int, any) {
	t := s.topic(r.URL.Query().Get("topic"))
	if at := r.URL.Query().Get("at"); at != "" && at != strconv.FormatInt(t.end(), 10) {
		return http.StatusPreconditionFailed, map[string]int64{"end_offset": t.end()}
	}
	records, ok := splitRecords(body)
	if !ok {
		return http.StatusBadRequest, nil
	}
	if slices.ContainsFunc(records, func(r []byte) bool { return len(r) > maxRecord }) {
		return http.StatusRequestEntityTooLarge, nil
	}
	name := r.URL.Query().Get("producer")
	if name == "" {
		return http.StatusOK, t.appendAll(records)
	}
	epoch, sequence := intParameter(r, "epoch"), intParameter(r, "sequence")
	p := t.producers[name]
	if p == nil {
		p = &producer{}
		t.producers[name] = p
	}
	if epoch < p.epoch {
		return http.StatusConflict, map[string]string{"reason": "fenced"}
	}
	if epoch > p.epoch {
		*p = producer{epoch: epoch}
	}
	if len(records) == 0 { // an append without records only raises the epoch, which fences older producers
		return http.StatusOK, appendResult{t.end(), t.end()}
	}
	if earlier, repeated := p.answers[sequence]; repeated {
		return http.StatusOK, earlier
	}
	if p.hasAppended && sequence != p.sequence+1 {
		return http.StatusConflict, map[string]any{"reason": "seq", "sequence": p.sequence + 1}
	}
	result := appendResult{t.end(), t.end()}
	if rand.Float64() >= s.faults.Forgets {
		result = t.appendAll(records)
	}
	p.recordAppend(sequence, result)
	return http.StatusOK, result
}

// recordAppend stores the result of an append, so that a retry gets the same answer.
func (p *producer) recordAppend(sequence int64, result appendResult) {
	p.hasAppended, p.sequence = true, sequence
	if p.answers == nil {
		p.answers = map[int64]appendResult{}
	}
	p.answers[sequence] = result
	delete(p.answers, sequence-repeatedAnswers)
}

func (t *topic) appendAll(records [][]byte) appendResult {
	offset := t.end()
	for _, record := range records {
		t.add(record)
	}
	return appendResult{offset, t.end()}
}

// splitRecords splits a body into its records, each of which is preceded by its length. It returns false if the body is malformed.
func splitRecords(body []byte) (records [][]byte, ok bool) {
	for len(body) > 0 {
		if len(body) < 4 {
			return nil, false
		}
		n := int(binary.BigEndian.Uint32(body))
		body = body[4:]
		if n == 0 || n > len(body) || 1+int(body[0]) > n {
			return nil, false
		}
		records = append(records, slices.Clone(body[:n]))
		body = body[n:]
	}
	return records, true
}

// handleRead returns the records from an offset on, and waits for one if there is none yet.
func (s *Store) handleRead(w http.ResponseWriter, r *http.Request) {
	from, wait := intParameter(r, "from"), time.Duration(intParameter(r, "wait_ms"))*time.Millisecond
	ctx, cancel := context.WithTimeout(r.Context(), wait)
	defer cancel()
	for {
		s.mu.Lock()
		t := s.topic(r.URL.Query().Get("topic"))
		if from < t.first {
			first := t.first
			s.mu.Unlock()
			writeJSON(w, http.StatusGone, map[string]int64{"first_offset": first})
			return
		}
		body, changed := t.encode(from), t.changed
		s.mu.Unlock()
		if len(body) > headerBytes || ctx.Err() != nil {
			_, _ = w.Write(body) // a failed write means that the caller has gone
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}

// encode returns the answer to a read: the end offset, the first offset, and each record from an offset on after its length.
func (t *topic) encode(from int64) []byte {
	body := binary.BigEndian.AppendUint64(nil, uint64(t.end()))
	body = binary.BigEndian.AppendUint64(body, uint64(t.first))
	for i := from - t.first; i < int64(len(t.records)); i++ {
		body = binary.BigEndian.AppendUint32(body, uint32(len(t.records[i])))
		body = append(body, t.records[i]...)
	}
	return body
}

// item is the newest record of a key.
type item struct {
	Key    string `json:"key"`
	Value  []byte `json:"value"`
	Offset int64  `json:"offset"`
}

// handleNewest returns one page of the newest records by key, in the order of the keys.
func (s *Store) handleNewest(w http.ResponseWriter, r *http.Request) {
	after := r.URL.Query().Get("after")
	s.mu.Lock()
	t := s.topic(r.URL.Query().Get("topic"))
	keys := make([]string, 0, len(t.newest))
	for key := range t.newest {
		if key > after {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	more := len(keys) > pageItems
	items := []item{}
	for _, key := range keys[:min(len(keys), pageItems)] {
		items = append(items, item{key, t.values[key], t.newest[key]})
	}
	end := t.end()
	s.mu.Unlock()
	writeJSON(w, http.StatusOK, map[string]any{"items": items, "has_more": more, "end_offset": end})
}
