// Package store is a stand-in for the platform's metadata store: topics with offsets, conditional and idempotent appends,
// long polls, the newest record of each key, and faults that can be switched on. It is for tests and demonstrations, keeps
// everything in memory and has one partition a topic.
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
	pageItems    = 500     // records of one page of the newest of each key
	maxBody      = 2 << 20 // bytes of one append
	rememberLast = 5       // appends of a producer whose answers are repeated
	headerBytes  = 16
)

// Faults are what can be switched on while the store runs. The zero value is a store without faults.
type Faults struct {
	Outage      bool    `json:"outage"`       // every call is refused with 503
	Silent      bool    `json:"silent"`       // no call is answered
	LoseAnswers float64 `json:"lose_answers"` // probability that an append takes effect without an answer, 0 to 1
	SlowMS      int64   `json:"slow_ms"`      // added to every call

	// Forgets is the probability, 0 to 1, that an idempotent append is acknowledged and not recorded, which no store may do. It
	// shows that the checks of a soak find broken promises.
	Forgets float64 `json:"forgets"`
}

// Store is the store. It is an http.Handler.
type Store struct {
	router *mux.Router

	mu     sync.Mutex
	topics map[string]*topic
	faults Faults
}

type topic struct {
	first     int64
	records   [][]byte
	newest    map[string]int64 // offset by key
	values    map[string][]byte
	changed   chan struct{}
	producers map[string]*producer
}

type producer struct {
	epoch, sequence int64
	begun           bool
	answers         map[int64]appended
}

type appended struct {
	Offset    int64 `json:"offset"`
	EndOffset int64 `json:"end_offset"`
}

// New returns an empty store.
func New() *Store {
	s := &Store{router: mux.NewRouter(), topics: map[string]*topic{}}
	s.router.HandleFunc("/v1/log-append", s.append).Methods(http.MethodPost)
	s.router.HandleFunc("/v1/log-read", s.read).Methods(http.MethodGet)
	s.router.HandleFunc("/v1/log-newest", s.newest).Methods(http.MethodGet)
	s.router.HandleFunc("/control/faults", s.control).Methods(http.MethodPost)
	s.router.HandleFunc("/control/records", s.put).Methods(http.MethodPost)
	return s
}

// ServeHTTP answers one call, with the faults that are switched on.
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

// SetFaults switches faults.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

func (s *Store) control(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFaults(f)
}

// put writes the body as the value of a key, as the platform's own writers do: ?topic=T&key=K.
func (s *Store) put(w http.ResponseWriter, r *http.Request) {
	value, err := io.ReadAll(io.LimitReader(r.Body, maxBody))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.Put(r.URL.Query().Get("topic"), r.URL.Query().Get("key"), value)
	w.WriteHeader(http.StatusOK)
}

// Put writes the value of a key as the platform's own writers do. An empty value drops the key.
func (s *Store) Put(name, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	record := append([]byte{byte(len(key))}, key...)
	s.topic(name).add(append(record, value...))
}

// Trim drops all records of a topic but keeps the newest of each key, as the platform does with old history.
func (s *Store) Trim(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	t.first += int64(len(t.records))
	t.records = nil
}

func (s *Store) topic(name string) *topic {
	t := s.topics[name]
	if t == nil {
		t = &topic{newest: map[string]int64{}, values: map[string][]byte{}, changed: make(chan struct{}), producers: map[string]*producer{}}
		s.topics[name] = t
	}
	return t
}

func (t *topic) end() int64 { return t.first + int64(len(t.records)) }

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

func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // a caller that has gone needs no answer
}

func number(r *http.Request, name string) int64 {
	n, _ := strconv.ParseInt(r.URL.Query().Get(name), 10, 64) // 0 when absent, as the interface has it
	return n
}

func (s *Store) append(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBody))
	if err != nil {
		return
	}
	s.mu.Lock()
	status, result := s.appendLocked(r, body)
	lose := status == http.StatusOK && rand.Float64() < s.faults.LoseAnswers
	s.mu.Unlock()
	if lose {
		panic(http.ErrAbortHandler) // closes the connection without an answer
	}
	answer(w, status, result)
}

func (s *Store) appendLocked(r *http.Request, body []byte) (int, any) {
	t := s.topic(r.URL.Query().Get("topic"))
	if at := r.URL.Query().Get("at"); at != "" && at != strconv.FormatInt(t.end(), 10) {
		return http.StatusPreconditionFailed, map[string]int64{"end_offset": t.end()}
	}
	records, ok := split(body)
	if !ok {
		return http.StatusBadRequest, nil
	}
	name := r.URL.Query().Get("producer")
	if name == "" {
		return http.StatusOK, t.appendAll(records)
	}
	epoch, sequence := number(r, "epoch"), number(r, "sequence")
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
	if len(records) == 0 {
		return http.StatusOK, appended{t.end(), t.end()}
	}
	if earlier, repeated := p.answers[sequence]; repeated {
		return http.StatusOK, earlier
	}
	if p.begun && sequence != p.sequence+1 {
		return http.StatusConflict, map[string]any{"reason": "seq", "sequence": p.sequence + 1}
	}
	result := appended{t.end(), t.end()}
	if rand.Float64() >= s.faults.Forgets {
		result = t.appendAll(records)
	}
	p.remember(sequence, result)
	return http.StatusOK, result
}

func (p *producer) remember(sequence int64, result appended) {
	p.begun, p.sequence = true, sequence
	if p.answers == nil {
		p.answers = map[int64]appended{}
	}
	p.answers[sequence] = result
	delete(p.answers, sequence-rememberLast)
}

func (t *topic) appendAll(records [][]byte) appended {
	offset := t.end()
	for _, record := range records {
		t.add(record)
	}
	return appended{offset, t.end()}
}

// split reads records that are each preceded by their length.
func split(body []byte) (records [][]byte, ok bool) {
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

func (s *Store) read(w http.ResponseWriter, r *http.Request) {
	from, wait := number(r, "from"), time.Duration(number(r, "wait_ms"))*time.Millisecond
	ctx, cancel := context.WithTimeout(r.Context(), wait)
	defer cancel()
	for {
		s.mu.Lock()
		t := s.topic(r.URL.Query().Get("topic"))
		if from < t.first {
			first := t.first
			s.mu.Unlock()
			answer(w, http.StatusGone, map[string]int64{"first_offset": first})
			return
		}
		body, changed := t.encode(from), t.changed
		s.mu.Unlock()
		if len(body) > headerBytes || ctx.Err() != nil {
			_, _ = w.Write(body) // a caller that has gone needs no answer
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}

// encode returns the records from an offset on in the store's framing.
func (t *topic) encode(from int64) []byte {
	body := binary.BigEndian.AppendUint64(nil, uint64(t.end()))
	body = binary.BigEndian.AppendUint64(body, uint64(t.first))
	for i := from - t.first; i < int64(len(t.records)); i++ {
		body = binary.BigEndian.AppendUint32(body, uint32(len(t.records[i])))
		body = append(body, t.records[i]...)
	}
	return body
}

type item struct {
	Key    string `json:"key"`
	Value  []byte `json:"value"`
	Offset int64  `json:"offset"`
}

func (s *Store) newest(w http.ResponseWriter, r *http.Request) {
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
	answer(w, http.StatusOK, map[string]any{"items": items, "has_more": more, "end_offset": end})
}
