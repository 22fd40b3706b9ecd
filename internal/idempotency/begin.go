package idempotency

import (
	"dogwoodnotch.example/dogwoodnotch/internal/errkind"
	"dogwoodnotch.example/dogwoodnotch/internal/event"
	"dogwoodnotch.example/dogwoodnotch/internal/structs"
)

// Begin decides what to do with a request that carries a key. An error means that this request is not run and never will
// be. Its kind is Invalid (the key is not genuine or is for another service), Forbidden (it belongs to another customer),
// Overloaded (the table is full) or Unavailable (the table is being handed over).
//
// Across all processes, at most one call for a key returns ActionRun until its Run ends with NotRun.
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
	return k.decideForOther(ticket.Issuer), nil
}

// decideForOther decides about a key whose table this process does not hold. k.mu is held.
func (k *Keys) decideForOther(issuer Issuer) Decision {
	if s, known := k.successors[issuer]; known {
		if s.To == k.config.Self.Instance || k.config.Directory.Gone(s.To) {
			return Decision{Action: ActionUnknown} // the successor has ended
		}
		return Decision{Action: ActionForward, To: s.To}
	}
	if issuer.Instance == k.config.Self.Instance || k.config.Directory.Gone(issuer.Instance) {
		return Decision{Action: ActionUnknown}
	}
	return Decision{Action: ActionForward, To: issuer.Instance}
}

// decide decides about a key of a table that this process holds, which it may have closed for a handover. k.mu is held.
func (k *Keys) decide(t *table, ticket *Ticket) (Decision, error) {
	if !t.clock.now().Before(ticket.Expires) {
		return Decision{Action: ActionExpired}, nil
	}
	if r, used := t.records[ticket.Serial]; used {
		k.repeats.Inc(1)
		return r.decideRepeat(), nil
	}
	if t.closed {
		return k.decideAfterClose(t)
	}
	if ticket.Serial > t.highestSerial {
		return Decision{Action: ActionUnknown}, nil // the table does not cover this serial
	}
	if k.usedCount >= k.config.MaxUsed {
		k.refused.Inc(1)
		if k.fullEvents.Allow() {
			k.config.Events.Emit(eventFull, event.F("used", k.usedCount))
		}
		return Decision{}, errkind.New(errkind.Overloaded, "try again later or at another instance with a new key", "the table of used request keys is full")
	}
	return Decision{Action: ActionRun, Run: k.startRun(t, ticket)}, nil
}

// decideAfterClose decides about an unused key of a closed table. k.mu is held.
func (k *Keys) decideAfterClose(t *table) (Decision, error) {
	if s, known := k.successors[t.issuer]; known {
		return Decision{Action: ActionForward, To: s.To}, nil
	}
	return Decision{}, errkind.New(errkind.Unavailable, "try again at another instance with the same key", "this instance is handing over its request keys")
}

// startRun records a key as used and running. k.mu is held.
func (k *Keys) startRun(t *table, ticket *Ticket) *Run {
	r := &record{serial: ticket.Serial, expires: ticket.Expires.UnixNano(), phase: phaseRunning, done: make(chan struct{})}
	t.add(r)
	k.usedCount++
	k.runs.Inc(1)
	return &Run{keys: k, table: t, record: r}
}

// decideRepeat decides about a key that was used before.
func (r *record) decideRepeat() Decision {
	switch {
	case r.phase == phaseRunning:
		return Decision{Action: ActionInProgress, Done: r.done}
	case r.phase == phaseAnswered && r.response != nil:
		return Decision{Action: ActionRecorded, Response: r.response}
	default:
		return Decision{Action: ActionUnknown}
	}
}

// Run is the permission to run the request of a key once. Only the first method that is called takes effect. Callers
// should defer Unknown, so that a run that ends unexpectedly is never repeated.
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

// Unknown records that the request may have run.
func (r *Run) Unknown() { r.end(func() { r.record.phase = phaseUnknown }) }

// NotRun records that no byte of the request has reached or will reach a minion. The key may be used again, unless the
// table was closed for a handover meanwhile: the successor then has the key as used.
func (r *Run) NotRun() {
	r.end(func() {
		if r.table.closed {
			r.record.phase = phaseUnknown
			return
		}
		delete(r.table.records, r.record.serial)
		r.record.phase = phaseUnknown
		r.record.dropped = true
		r.keys.usedCount--
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
	r.record.done = nil // frees the channel, which takes more memory than the rest of the record
}
