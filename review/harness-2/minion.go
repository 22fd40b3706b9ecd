package main

import (
	"encoding/json"
	"hash/fnv"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Bounds of the deployment, as in its settings.
const (
	maxHold     = 10 * time.Second
	gangWait    = 3 * time.Second
	stopTime    = 100 * time.Millisecond // how long a stop takes; at most bounds.stop_timeout_ms
	heartbeat   = 1500 * time.Millisecond
	maxListed   = 500
	tickTime    = 10 * time.Millisecond
	failureTime = 50 * time.Millisecond // how soon a run ends on a minion that fails all that it starts
)

// resources is what a task asks for or a minion has.
type resources struct {
	CPU   int64 `json:"cpu"`
	MemMB int64 `json:"mem_mb"`
	GPU   int64 `json:"gpu"`
}

// taskSpec is what the spec of a job tells the stand-in about the tasks of one step.
type taskSpec struct {
	TakesMS   int64     `json:"takes_ms"`
	Gang      int       `json:"gang,omitempty"` // number of members, 0 for single tasks
	Label     string    `json:"label,omitempty"`
	Needs     resources `json:"needs"`
	FailShare int       `json:"fail_share,omitempty"` // one in so many runs fails by its own fault, 0 for none
}

// run is a run of a task on a minion.
type run struct {
	task     string
	number   int
	spec     taskSpec
	began    time.Time
	workFrom time.Time // when it began to work; zero while a gang is not complete
	fails    bool
	stopAt   time.Time // when a stop takes effect; zero without one
}

// end is a listed end of a run.
type end struct {
	number int64
	task   string
	run    int
	how    string
	lapsed bool // the minion's lease lapsed after it
}

// life is one incarnation of a minion: it knows nothing of those before.
type life struct {
	m        *minion
	born     time.Time
	kind     string
	capacity resources
	token    int64
	leaseEnd time.Time
	runs     map[string]*run
	highest  map[string]int
	ends     []end
	lastEnd  int64
	over     bool
	server   *http.Server
	incoming *pipeListener
}

// minion is a stand-in for a minion of the platform: one address at which one incarnation after the other runs.
type minion struct {
	f        *fleet
	id, rack string
	listener net.Listener

	life  *life // nil while it is down
	fails bool  // fails all that it starts
}

// fleet is all minions of the deployment. One lock guards them all, as gangs span minions.
type fleet struct {
	rec     *record
	publish func(id string, entry []byte)

	mu      sync.Mutex
	minions []*minion
	noted   map[string]bool // tasks of which an end done was taken note of
	started []startEvent
	broken  []string
}

// startEvent is a run that began.
type startEvent struct {
	at     time.Time
	task   string
	run    int
	minion string
}

func newFleet(rec *record, publish func(string, []byte)) *fleet {
	f := &fleet{rec: rec, publish: publish, noted: map[string]bool{}}
	go func() {
		for {
			time.Sleep(tickTime)
			f.mu.Lock()
			f.tick(time.Now())
			f.mu.Unlock()
		}
	}()
	return f
}

// add starts a minion.
func (f *fleet) add(id, kind, rack string, capacity resources) (*minion, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0") //nolint:noctx // a stand-in without a context of its own
	if err != nil {
		return nil, err
	}
	m := &minion{f: f, id: id, rack: rack, listener: l}
	f.mu.Lock()
	f.minions = append(f.minions, m)
	f.begin(m, kind, capacity)
	f.mu.Unlock()
	go m.accept()
	go m.beat()
	return m, nil
}

// begin starts an incarnation. The caller holds mu.
func (f *fleet) begin(m *minion, kind string, capacity resources) {
	b := &life{m: m, born: time.Now(), kind: kind, capacity: capacity, runs: map[string]*run{}, highest: map[string]int{}, incoming: newPipeListener(m.listener.Addr())}
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+wire["start_call"], b.handle(b.start))
	mux.HandleFunc("POST "+wire["stop_call"], b.handle(b.stop))
	mux.HandleFunc("POST "+wire["hold_call"], b.handle(b.hold))
	b.server = &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second}
	m.life = b
	go func() { _ = b.server.Serve(b.incoming) }()
}

// accept hands connections to the current incarnation, and resets them while there is none.
func (m *minion) accept() {
	for {
		conn, err := m.listener.Accept()
		if err != nil {
			return
		}
		m.f.mu.Lock()
		b := m.life
		m.f.mu.Unlock()
		if b == nil {
			reset(conn)
			continue
		}
		b.incoming.add(conn)
	}
}

// beat writes the entry of the minion into the store at each heartbeat.
func (m *minion) beat() {
	sequence := 0
	for {
		m.f.mu.Lock()
		b := m.life
		var entry []byte
		if b != nil {
			sequence++
			entry, _ = json.Marshal(map[string]any{ // cannot fail: all values have a JSON form
				"service": serviceName, "address": m.listener.Addr().String(), "zone": zoneName, "version": "v1", "slots": 8, "state": "ready",
				wire["cold"]: 0, "capacity": b.capacity, "labels": []string{b.kind, m.rack}, "clock_ms": b.clock(time.Now()),
				"born": b.born.UnixMilli(), "sequence": sequence,
			})
		}
		m.f.mu.Unlock()
		if entry != nil {
			m.f.publish(m.id, entry)
		}
		time.Sleep(heartbeat)
	}
}

// crash ends the process of the minion. What ran there is over, and its connections are reset.
func (m *minion) crash() {
	m.f.mu.Lock()
	b := m.life
	m.life = nil
	if b == nil {
		m.f.mu.Unlock()
		return
	}
	b.over = true
	m.f.rec.note("minion %s crashes with %d runs", m.id, len(b.runs))
	m.f.mu.Unlock()
	_ = b.server.Close()
	_ = b.incoming.Close() // never fails
}

// restart starts the minion again under its id and at its address.
func (m *minion) restart(kind string, capacity resources) {
	m.f.mu.Lock()
	defer m.f.mu.Unlock()
	m.f.begin(m, kind, capacity)
	m.f.rec.note("minion %s is up again, kind %s, %d gpu", m.id, kind, capacity.GPU)
}

// setFails makes the minion fail all that it starts, or ends that.
func (m *minion) setFails(fails bool) {
	m.f.mu.Lock()
	defer m.f.mu.Unlock()
	m.fails = fails
	m.f.rec.note("minion %s fails all that it starts: %v", m.id, fails)
}

// clock returns the clock of the incarnation in milliseconds.
func (b *life) clock(now time.Time) int64 { return now.Sub(b.born).Milliseconds() }

// order is the body of any call; each call uses some of the fields.
type order struct {
	Task       string `json:"task"`
	Run        int    `json:"run"`
	Spec       string `json:"spec"`
	DeadlineMS int64  `json:"deadline_ms"`
	Token      int64  `json:"-"`
	LastSeen   int64  `json:"-"`
	WaitMS     int64  `json:"wait_ms"`
}

// decodeOrder reads the body of a call.
func decodeOrder(body io.Reader) (order, error) {
	var o order
	data, err := io.ReadAll(body)
	if err != nil {
		return o, err
	}
	if err := json.Unmarshal(data, &o); err != nil {
		return o, err
	}
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(data, &fields); err != nil {
		return o, err
	}
	for name, into := range map[string]*int64{"token": &o.Token, "acknowledged_end": &o.LastSeen} {
		if raw, present := fields[wire[name]]; present {
			if err := json.Unmarshal(raw, into); err != nil {
				return o, err
			}
		}
	}
	return o, nil
}

// handle decodes a call and checks what holds for all calls.
func (b *life) handle(do func(http.ResponseWriter, order)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		o, err := decodeOrder(r.Body)
		if err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		if target := r.Header.Get(wire["target_header"]); target != "" && target != b.m.id {
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		do(w, o)
	}
}

// answer writes an answer with the fields that all answers have.
func (b *life) answer(w http.ResponseWriter, status int, body map[string]any) {
	body["clock_ms"] = b.clock(time.Now())
	body["born"] = b.born.UnixMilli()
	data, _ := json.Marshal(body) // cannot fail: all values have a JSON form
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data) // fails only if the caller has gone
}

// fenced refuses a call with a lower token than one seen before. The caller holds mu.
func (b *life) fenced(token int64) bool {
	if token < b.token {
		return true
	}
	b.token = token
	return false
}

// extend extends the lease, which never shortens. The caller holds mu.
func (b *life) extend(deadlineMS int64, now time.Time) {
	if deadlineMS <= 0 {
		return
	}
	until := b.born.Add(time.Duration(deadlineMS) * time.Millisecond)
	if limit := now.Add(maxHold); until.After(limit) {
		until = limit
	}
	if until.After(b.leaseEnd) {
		b.leaseEnd = until
	}
}

func (b *life) start(w http.ResponseWriter, o order) {
	f, now := b.m.f, time.Now()
	f.mu.Lock()
	status, reason := b.begin(o, now)
	f.mu.Unlock()
	body := map[string]any{}
	if reason != "" {
		body["reason"] = reason
	}
	f.rec.note("  start %s run %d token %d at %s -> %d %s", o.Task, o.Run, o.Token, b.m.id, status, reason)
	b.answer(w, status, body)
}

// begin begins a run if nothing speaks against it. The caller holds mu.
func (b *life) begin(o order, now time.Time) (status int, reason string) {
	f := b.m.f
	if b.over {
		return http.StatusServiceUnavailable, ""
	}
	if b.fenced(o.Token) {
		return http.StatusConflict, "fence"
	}
	if r := b.runs[o.Task]; r != nil && r.number == o.Run {
		b.extend(o.DeadlineMS, now)
		return http.StatusOK, ""
	}
	if o.Run <= b.highest[o.Task] || b.runs[o.Task] != nil {
		b.extend(o.DeadlineMS, now)
		return http.StatusConflict, "old"
	}
	if o.DeadlineMS <= b.clock(now) {
		return http.StatusConflict, "late"
	}
	var specs []taskSpec
	step := stepOf(o.Task)
	if err := json.Unmarshal([]byte(o.Spec), &specs); err != nil || step < 0 || step >= len(specs) {
		return http.StatusBadRequest, ""
	}
	s := specs[step]
	b.extend(o.DeadlineMS, now)
	f.judgeStart(b, o, s)
	r := &run{task: o.Task, number: o.Run, spec: s, began: now, fails: b.m.fails}
	b.runs[o.Task] = r
	f.started = append(f.started, startEvent{now, o.Task, o.Run, b.m.id})
	if s.Gang == 0 {
		r.workFrom = now
	} else {
		f.assemble(r, now)
	}
	return http.StatusOK, ""
}

// judgeStart notes the rules that a start breaks. The caller holds mu.
func (f *fleet) judgeStart(b *life, o order, s taskSpec) {
	if f.noted[o.Task] {
		f.broke("TWICE: %s run %d starts on %s after an end done was taken note of", o.Task, o.Run, b.m.id)
	}
	for _, other := range f.minions {
		if other.life != nil && other.life.runs[o.Task] != nil {
			f.broke("TWICE: %s run %d starts on %s while a run of it is on %s", o.Task, o.Run, b.m.id, other.id)
		}
	}
	if s.Label != "" && s.Label != b.kind && s.Label != b.m.rack {
		f.broke("ROUTE: %s run %d, which requires the label %q, starts on %s, whose labels are %q and %q", o.Task, o.Run, s.Label, b.m.id, b.kind, b.m.rack)
	}
	used := s.Needs
	for _, r := range b.runs {
		used.CPU, used.MemMB, used.GPU = used.CPU+r.spec.Needs.CPU, used.MemMB+r.spec.Needs.MemMB, used.GPU+r.spec.Needs.GPU
	}
	if used.CPU > b.capacity.CPU || used.MemMB > b.capacity.MemMB || used.GPU > b.capacity.GPU {
		f.broke("LIMIT: %s run %d brings %s to %v of %v", o.Task, o.Run, b.m.id, used, b.capacity)
	}
}

// broke notes a broken rule. The caller holds mu.
func (f *fleet) broke(format string, args ...any) {
	text := sprintf(format, args...)
	f.broken = append(f.broken, text)
	f.rec.note("! %s", text)
}

// violations returns the rules that starts have broken so far.
func (f *fleet) violations() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]string(nil), f.broken...)
}

// assemble lets the members of a gang work once all of one run are there. The caller holds mu.
func (f *fleet) assemble(r *run, now time.Time) {
	members := f.gangOf(r)
	if len(members) < r.spec.Gang {
		return
	}
	for _, m := range members {
		m.workFrom = now
	}
}

// gangOf returns the runs of the gang to which a run belongs. The caller holds mu.
func (f *fleet) gangOf(r *run) []*run {
	var members []*run
	for _, m := range f.minions {
		if m.life == nil {
			continue
		}
		for _, other := range m.life.runs {
			if other.number == r.number && stepName(other.task) == stepName(r.task) {
				members = append(members, other)
			}
		}
	}
	return members
}

func (b *life) stop(w http.ResponseWriter, o order) {
	f, now := b.m.f, time.Now()
	f.mu.Lock()
	status, reason := http.StatusOK, ""
	switch {
	case b.over:
		status = http.StatusServiceUnavailable
	case b.fenced(o.Token):
		status, reason = http.StatusConflict, "fence"
	default:
		b.highest[o.Task] = max(b.highest[o.Task], o.Run)
		if r := b.runs[o.Task]; r != nil && r.number <= o.Run && r.stopAt.IsZero() {
			r.stopAt = now.Add(stopTime)
		}
	}
	f.mu.Unlock()
	f.rec.note("  stop %s run %d token %d at %s -> %d %s", o.Task, o.Run, o.Token, b.m.id, status, reason)
	body := map[string]any{}
	if reason != "" {
		body["reason"] = reason
	}
	b.answer(w, status, body)
}

func (b *life) hold(w http.ResponseWriter, o order) {
	f := b.m.f
	until := time.Now().Add(min(time.Duration(o.WaitMS)*time.Millisecond, 2*time.Second))
	first := true
	for {
		now := time.Now()
		f.mu.Lock()
		if b.over {
			f.mu.Unlock()
			return
		}
		if b.fenced(o.Token) {
			f.mu.Unlock()
			b.answer(w, http.StatusConflict, map[string]any{"reason": "fence"})
			return
		}
		if first {
			first = false
			b.extend(o.DeadlineMS, now)
			b.forget(o.LastSeen)
		}
		if len(b.ends) > 0 || !now.Before(until) {
			body := b.lists(now)
			f.mu.Unlock()
			b.answer(w, http.StatusOK, body)
			return
		}
		f.mu.Unlock()
		time.Sleep(tickTime)
	}
}

// forget drops the ends up to a number, which are taken note of. The caller holds mu.
func (b *life) forget(lastSeen int64) {
	kept := b.ends[:0]
	for _, e := range b.ends {
		if e.number > lastSeen {
			kept = append(kept, e)
			continue
		}
		if e.how == "done" && !e.lapsed {
			b.m.f.noted[e.task] = true
		}
	}
	b.ends = kept
}

// lists returns the runs and the ends. The caller holds mu.
func (b *life) lists(now time.Time) map[string]any {
	running, finished := [][]any{}, [][]any{}
	for _, r := range b.runs {
		percent := int64(0)
		if !r.workFrom.IsZero() {
			percent = min(100*now.Sub(r.workFrom).Milliseconds()/max(r.spec.TakesMS, 1), 99)
		}
		running = append(running, []any{r.task, r.number, "", percent, r.spec.Needs.CPU})
	}
	for _, e := range b.ends[:min(len(b.ends), maxListed)] {
		finished = append(finished, []any{e.number, e.task, e.run, e.how, ""})
	}
	return map[string]any{"running": running, "finished": finished}
}

// tick ends the runs whose time has come. The caller holds mu.
func (f *fleet) tick(now time.Time) {
	for _, m := range f.minions {
		b := m.life
		if b == nil {
			continue
		}
		lapsed := !b.leaseEnd.IsZero() && now.After(b.leaseEnd)
		if lapsed {
			for i := range b.ends {
				b.ends[i].lapsed = true
			}
		}
		for _, r := range b.runs {
			switch {
			case lapsed:
				f.finish(b, r, "lapsed", now)
			case r.fails && now.Sub(r.began) >= failureTime:
				f.finish(b, r, "failed", now)
			case !r.stopAt.IsZero() && !now.Before(r.stopAt):
				f.finish(b, r, "stopped", now)
			case !r.workFrom.IsZero() && now.Sub(r.workFrom).Milliseconds() >= r.spec.TakesMS:
				f.finish(b, r, "done", now)
			case !r.workFrom.IsZero() && r.failsItself() && 2*now.Sub(r.workFrom).Milliseconds() >= r.spec.TakesMS:
				f.finish(b, r, "failed", now)
			case r.workFrom.IsZero() && now.Sub(r.began) >= gangWait:
				f.finish(b, r, "alone", now)
			}
		}
	}
}

// failsItself reports whether a run fails by its own fault, half-way. Which runs do depends only on their names.
func (r *run) failsItself() bool {
	if r.spec.FailShare == 0 {
		return false
	}
	h := fnv.New32a()
	_, _ = h.Write([]byte(r.task + "/" + strconv.Itoa(r.number))) // never fails
	return h.Sum32()%uint32(r.spec.FailShare) == 0
}

// finish ends a run and, if it does not end well, the other members of its gang. The caller holds mu.
func (f *fleet) finish(b *life, r *run, how string, now time.Time) {
	others := f.gangOf(r)
	delete(b.runs, r.task)
	b.highest[r.task] = max(b.highest[r.task], r.number)
	b.lastEnd++
	b.ends = append(b.ends, end{number: b.lastEnd, task: r.task, run: r.number, how: how})
	f.rec.note("  end %s run %d at %s: %s after %d ms", r.task, r.number, b.m.id, how, now.Sub(r.began).Milliseconds())
	if r.spec.Gang == 0 || how == "done" || how == "broken" || how == "alone" {
		return
	}
	for _, m := range f.minions {
		if m.life == nil {
			continue
		}
		for _, o := range others {
			if o != r && m.life.runs[o.task] == o {
				f.finish(m.life, o, "broken", now)
			}
		}
	}
}

// runsOf returns the number of current runs of a job.
func (f *fleet) runsOf(job string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, m := range f.minions {
		if m.life == nil {
			continue
		}
		for task := range m.life.runs {
			if jobOf(task) == job {
				n++
			}
		}
	}
	return n
}

// startsOf returns the starts of a job.
func (f *fleet) startsOf(job string) []startEvent {
	f.mu.Lock()
	defer f.mu.Unlock()
	var starts []startEvent
	for _, s := range f.started {
		if jobOf(s.task) == job {
			starts = append(starts, s)
		}
	}
	return starts
}

// halfInUse reports whether half of the cores or of the accelerators of all minions that are up are in use.
func (f *fleet) halfInUse() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	var used, total resources
	for _, m := range f.minions {
		if m.life == nil {
			continue
		}
		total.CPU, total.GPU = total.CPU+m.life.capacity.CPU, total.GPU+m.life.capacity.GPU
		for _, r := range m.life.runs {
			used.CPU, used.GPU = used.CPU+r.spec.Needs.CPU, used.GPU+r.spec.Needs.GPU
		}
	}
	return 2*used.CPU >= total.CPU || total.GPU > 0 && 2*used.GPU >= total.GPU
}
