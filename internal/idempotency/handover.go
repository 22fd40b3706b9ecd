package idempotency

import (
	"context"
	"errors"
	"time"

	"dogwoodnotch.example/dogwoodnotch/internal/errkind"
	"dogwoodnotch.example/dogwoodnotch/internal/event"
	"dogwoodnotch.example/dogwoodnotch/internal/peer"
	"dogwoodnotch.example/dogwoodnotch/internal/structs"
)

// kindHandover is the kind of the peer calls that hand over tables.
const kindHandover = "idempotency.handover"

// Limits of a handover.
const (
	targetPartBytes = 2 << 20 // approximate encoded size at which a part is sent
	commitAttempts  = 3
	attemptTimeout  = 5 * time.Second
	maxTransfers    = 16
	transferExpiry  = time.Minute
)

// handoverPart is the message of one call of a handover. Parts are numbered from 0. The successor takes over the tables
// only when it has received the last part.
type handoverPart struct {
	Transfer uint64        `msgpack:"t"` // incarnation of the sender
	Number   int           `msgpack:"n"`
	Last     bool          `msgpack:"l,omitempty"`
	Tables   []tableState  `msgpack:"a,omitempty"` // set in the last part
	Records  []recordState `msgpack:"r,omitempty"`
}

// tableState is the encoded form of a table without its records.
type tableState struct {
	Issuer        Issuer    `msgpack:"i"`
	Generation    uint32    `msgpack:"g"`
	HighestSerial uint64    `msgpack:"s"`
	Now           time.Time `msgpack:"n"` // by the issuer's clock
}

// recordState is the encoded form of the record of a used key.
type recordState struct {
	Issuer   Issuer    `msgpack:"i"`
	Serial   uint64    `msgpack:"s"`
	Expires  int64     `msgpack:"e"` // Unix time in ns
	Answered bool      `msgpack:"a,omitempty"`
	Response *Response `msgpack:"p,omitempty"`
}

// Register registers the handler of the calls from instances that hand over their tables.
func (k *Keys) Register(r peer.Registrar) { r.Handle(kindHandover, k.receive) }

// Handover closes all tables, including adopted ones, and hands them over to the first candidate that accepts them. Call
// it at a planned stop, after running requests have ended; a key that is still running is handed over as unknown. Once a
// candidate may have received the last part, no other is tried, whatever its reply: two successors could run the same
// key. Handover returns the successor, and an error unless the successor has confirmed.
func (k *Keys) Handover(ctx context.Context, candidates []structs.InstanceID) (structs.InstanceID, error) {
	parts, candidates := k.close(candidates)
	err := errkind.New(errkind.Unavailable, "requests with keys of this instance get the outcome unknown", "no instance took over the request keys")
	for _, to := range candidates {
		if to == k.config.Self.Instance {
			continue
		}
		if err = k.transferTo(ctx, to, parts[:len(parts)-1]); err != nil {
			continue
		}
		var mayHaveReceived bool
		if mayHaveReceived, err = k.commit(ctx, to, parts[len(parts)-1]); mayHaveReceived {
			return to, err
		}
	}
	return "", err
}

// transferTo sends the given parts, which are all but the last one.
func (k *Keys) transferTo(ctx context.Context, to structs.InstanceID, parts []handoverPart) error {
	for _, p := range parts {
		if err := k.send(ctx, to, p); err != nil {
			return err
		}
	}
	return nil
}

// commit sends the last part and retries when the reply is lost. mayHaveReceived is false only when the candidate
// certainly did not receive it.
func (k *Keys) commit(ctx context.Context, to structs.InstanceID, last handoverPart) (mayHaveReceived bool, err error) {
	for range commitAttempts {
		err = k.send(ctx, to, last)
		if !mayHaveReceived && !errors.Is(err, peer.ErrNotSent) {
			mayHaveReceived = true
			k.recordSuccessors(last.Tables, to)
		}
		if err == nil {
			k.config.Events.Emit(eventHandedOver, event.F("successor", to))
			return true, nil
		}
		if ctx.Err() != nil {
			break
		}
	}
	if mayHaveReceived {
		k.config.Events.Emit(eventHandoverUnconfirmed, event.F("successor", to), event.F("cause", err))
	}
	return mayHaveReceived, err
}

func (k *Keys) send(ctx context.Context, to structs.InstanceID, p handoverPart) error {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	return k.config.Caller.Call(ctx, to, kindHandover, p, nil)
}

// recordSuccessors records the successor of the tables, so that requests with their keys are forwarded to it.
func (k *Keys) recordSuccessors(tables []tableState, to structs.InstanceID) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.handoverTo = to
	for _, t := range tables {
		k.recordSuccession(t.Issuer, to, t.Generation)
	}
}

// close closes the tables, so that no further key runs here, and returns the parts of the handover and the candidates that
// may receive them. Repeated calls return the same parts, because a receiver must not mix parts of two handovers, and only
// the successor once there may be one.
func (k *Keys) close(candidates []structs.InstanceID) ([]handoverPart, []structs.InstanceID) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.stopped = true
	if k.handoverTo != "" {
		candidates = []structs.InstanceID{k.handoverTo}
	}
	if k.handoverParts == nil {
		k.handoverParts = k.buildParts()
	}
	return k.handoverParts, candidates
}

// buildParts closes all tables and encodes them as the parts of a handover. k.mu is held.
func (k *Keys) buildParts() []handoverPart {
	builder := partBuilder{transfer: k.config.Self.Incarnation}
	var states []tableState
	for _, t := range k.tables {
		t.closed = true
		for _, r := range t.records {
			builder.add(recordState{t.issuer, r.serial, r.expires, r.phase == phaseAnswered, r.response})
		}
		states = append(states, tableState{t.issuer, t.generation + 1, t.highestSerial, t.clock.now()})
	}
	return builder.finish(states)
}

// partBuilder splits records into parts of about targetPartBytes.
type partBuilder struct {
	transfer uint64
	parts    []handoverPart
	records  []recordState
	size     int
}

// recordStateBytes is the approximate encoded size of a recordState without a response.
const recordStateBytes = 96

func (b *partBuilder) add(e recordState) {
	b.records = append(b.records, e)
	b.size += recordStateBytes
	if e.Response != nil {
		b.size += e.Response.size()
	}
	if b.size >= targetPartBytes {
		b.flush()
	}
}

func (b *partBuilder) flush() {
	b.parts = append(b.parts, handoverPart{Transfer: b.transfer, Number: len(b.parts), Records: b.records})
	b.records = nil
	b.size = 0
}

// finish adds the last part, which has no records. There is always a part before it, so that a candidate that cannot
// accept the tables rejects them before it receives the last part.
func (b *partBuilder) finish(states []tableState) []handoverPart {
	b.flush()
	return append(b.parts, handoverPart{Transfer: b.transfer, Number: len(b.parts), Last: true, Tables: states})
}

// transfer collects the parts of a handover from one sender.
type transfer struct {
	id        uint64
	nextPart  int
	records   []recordState
	bytes     int64
	startedAt time.Time
	complete  bool // the tables were taken over
}

// receive handles a part from a stopping instance. The sender may repeat the last part when the reply is lost: a repeated
// part has no effect.
func (k *Keys) receive(_ context.Context, from structs.InstanceID, decode func(any) error) (any, error) {
	var p handoverPart
	if err := decode(&p); err != nil {
		return nil, err
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	t, err := k.findOrStartTransfer(from, &p)
	if err != nil || t.complete {
		return nil, err
	}
	if p.Number < t.nextPart {
		return nil, nil
	}
	if p.Number > t.nextPart {
		return nil, errkind.New(errkind.Conflict, "start the handover again", "part %d is missing", t.nextPart)
	}
	if err := k.collect(t, &p); err != nil {
		return nil, err
	}
	if p.Last {
		k.adopt(from, t, p.Tables)
	}
	return nil, nil
}

// findOrStartTransfer returns the transfer that a part belongs to, and starts a new one if necessary. k.mu is held.
func (k *Keys) findOrStartTransfer(from structs.InstanceID, p *handoverPart) (*transfer, error) {
	if k.stopped {
		return nil, errkind.New(errkind.Unavailable, "use another successor", "instance %s is stopping too", k.config.Self.Instance)
	}
	t, known := k.transfers[from]
	if known && t.id == p.Transfer {
		return t, nil
	}
	if !known && len(k.transfers) >= maxTransfers {
		return nil, errkind.New(errkind.Overloaded, "use another successor", "too many handovers are in progress")
	}
	t = &transfer{id: p.Transfer, startedAt: k.config.Now()}
	k.transfers[from] = t
	return t, nil
}

// collect stores the records of a part within the limits on records and response bytes. k.mu is held.
func (k *Keys) collect(t *transfer, p *handoverPart) error {
	if k.usedCount+len(t.records)+len(p.Records) > k.config.MaxUsed {
		return errkind.New(errkind.Overloaded, "use another successor", "the table of used request keys has no room for the handover")
	}
	for _, e := range p.Records {
		if e.Response != nil && t.bytes+int64(e.Response.size()) > k.config.MaxBytes {
			e.Response = nil
		}
		if e.Response != nil {
			t.bytes += int64(e.Response.size())
		}
		t.records = append(t.records, e)
	}
	t.nextPart++
	return nil
}

// adopt takes over the tables of a completed transfer, for which this process then acts as the issuer. k.mu is held.
func (k *Keys) adopt(from structs.InstanceID, t *transfer, states []tableState) {
	for _, s := range states {
		if _, acting := k.tables[s.Issuer]; acting {
			continue // already adopted; the table here is newer because keys have run since
		}
		adopted := newTable(s.Issuer, newClock(s.Now, k.config.Now))
		adopted.generation = s.Generation
		adopted.highestSerial = s.HighestSerial
		k.tables[s.Issuer] = adopted
		k.recordSuccession(s.Issuer, k.config.Self.Instance, s.Generation)
	}
	for _, e := range t.records {
		k.adoptRecord(e)
	}
	k.config.Events.Emit(eventAdopted, event.F("from", from), event.F("tables", len(states)), event.F("used", len(t.records)))
	t.records = nil
	t.complete = true
}

// adoptRecord adds the record of a used key to an adopted table. k.mu is held.
func (k *Keys) adoptRecord(e recordState) {
	t, adopted := k.tables[e.Issuer]
	if !adopted || t == k.own {
		return
	}
	if _, has := t.records[e.Serial]; has {
		return
	}
	r := &record{serial: e.Serial, expires: e.Expires, phase: phaseUnknown}
	if e.Answered {
		r.phase = phaseAnswered
	}
	t.add(r)
	k.usedCount++
	k.keepResponse(r, e.Response)
}

// dropExpiredTransfers drops transfers that began more than transferExpiry ago. A complete transfer is kept until then
// because its sender may repeat the last part. k.mu is held.
func (k *Keys) dropExpiredTransfers() {
	now := k.config.Now()
	for from, t := range k.transfers {
		if now.Sub(t.startedAt) > transferExpiry {
			delete(k.transfers, from)
		}
	}
}
