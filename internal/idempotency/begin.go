package idempotency

import (
	"dogwoodnotch.example/dogwoodnotch/internal/errkind"
	"dogwoodnotch.example/dogwoodnotch/internal/event"
	"dogwoodnotch.example/dogwoodnotch/internal/structs"
)

// Begin decides about a request with a key. An error means that this request is not run and never will be: Invalid (not
// a genuine key, or for another service), Forbidden (another customer's), Overloaded (the table is full), Unavailable
// (the table is being handed over).
//
// At most one call for a key, in all processes together, returns ActionRun until its Run ends with NotRun.
func (k *Keys) Begin(key string, customer structs.Customer, service structs.ServiceName) (Decision, error) {
	ticket, err := k.sealer.open(key)
	if err != nil {
		return Decision{}, err
	}
	if ticket.Customer != customer {
		return Decision{}, errkind.New(errkind.Forbidden, "get a key of your own from POST /v1/keys", "the request key was issued to another customer")
	}
	if ticket.Service != service {
		return Decision{}, errkind.New(errkind.Invalid, "get a key for this service from POST /v1/keys", "the request key was issued for service %s", ticket.Service)
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if t, acting := k.tables[ticket.Issuer]; acting {
		return k.decide(t, ticket)
	}
	return k.elsewhere(ticket.Issuer), nil
}

// elsewhere decides about a key that another process is responsible for.
func (k *Keys) elsewhere(issuer Issuer) Decision {
	if s, known := k.successors[issuer]; known {
		if s.To == k.config.Self.Instance || k.config.Directory.Gone(s.To) {
			return Decision{Action: ActionUnknown} // the process that had taken over has ended
		}
		return Decision{Action: ActionForward, To: s.To}
	}
	if issuer.Instance == k.config.Self.Instance || k.config.Directory.Gone(issuer.Instance) {
		return Decision{Action: ActionUnknown}
	}
	return Decision{Action: ActionForward, To: issuer.Instance}
}

// decide decides about a key of a table that this process acts for, or has handed over.
func (k *Keys) decide(t *table, ticket *Ticket) (Decision, error) {
	if !t.clock.now().Before(ticket.Expires) {
		return Decision{Action: ActionExpired}, nil
	}
	if r, used := t.records[ticket.Serial]; used {
		k.repeats.Inc(1)
		return r.repeat(), nil
	}
	if t.closed {
		return k.afterClose(t)
	}
	if ticket.Serial > t.issued {
		return Decision{Action: ActionUnknown}, nil
	}
	if k.used >= k.config.MaxUsed {
		k.refused.Inc(1)
		if k.reports.Allow() {
			k.config.Events.Emit(eventFull, event.F("used", k.used))
		}
		return Decision{}, errkind.New(errkind.Overloaded, "try again later or at another instance with a new key", "the table of used request keys is full")
	}
	return Decision{Action: ActionRun, Run: k.start(t, ticket)}, nil
}

// afterClose decides about an unused key of a table that no longer runs anything here.
func (k *Keys) afterClose(t *table) (Decision, error) {
	if s, known := k.successors[t.issuer]; known {
		return Decision{Action: ActionForward, To: s.To}, nil
	}
	return Decision{}, errkind.New(errkind.Unavailable, "try again at another instance with the same key", "this instance is handing over its request keys")
}

func (k *Keys) start(t *table, ticket *Ticket) *Run {
	r := &record{serial: ticket.Serial, expires: ticket.Expires.UnixNano(), phase: phaseRunning, done: make(chan struct{})}
	t.add(r)
	k.used++
	k.runs.Inc(1)
	return &Run{keys: k, table: t, record: r}
}

// repeat decides about a key that was used before.
func (r *record) repeat() Decision {
	switch {
	case r.phase == phaseRunning:
		return Decision{Action: ActionInProgress, Done: r.done}
	case r.phase == phaseAnswered && r.response != nil:
		return Decision{Action: ActionRecorded, Response: r.response}
	default:
		return Decision{Action: ActionUnknown}
	}
}

// Run is the only run of a key. Exactly one of its methods takes effect, the first one called. Defer Unknown, so that a
// run that ends in an unforeseen way is never repeated.
type Run struct {
	keys   *Keys
	table  *table
	record *record
}

// Answered records the minion's complete response.
func (r *Run) Answered(response *Response) {
	r.end(func() {
		r.record.phase = phaseAnswered
		r.keys.keepResponse(r.record, response)
	})
}

// Unknown notes that the request may have run.
func (r *Run) Unknown() { r.end(func() { r.record.phase = phaseUnknown }) }

// NotRun notes that no byte of the request reached a minion and none ever will. The key may be used again, unless the
// table was handed over meanwhile: the successor then holds the key as used.
func (r *Run) NotRun() {
	r.end(func() {
		if r.table.closed {
			r.record.phase = phaseUnknown
			return
		}
		delete(r.table.records, r.record.serial)
		r.record.phase = phaseUnknown
		r.record.dropped = true
		r.keys.used--
	})
}

func (r *Run) end(apply func()) {
	r.keys.mu.Lock()
	defer r.keys.mu.Unlock()
	if r.record.phase != phaseRunning {
		return
	}
	apply()
	close(r.record.done)
	r.record.done = nil // its memory is larger than the rest of the record
}
