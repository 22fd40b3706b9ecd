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

// kindHandover is the kind of the calls that hand over tables.
const kindHandover = "idempotency.handover"

// Bounds of a hand-over.
const (
	partBytes      = 2 << 20 // about, of one call
	commitAttempts = 3
	attemptTimeout = 5 * time.Second
	maxTransfers   = 16
	transferExpiry = time.Minute
)

// part is one call of a hand-over. Parts are numbered from 0; the successor acts on nothing before the last one.
type part struct {
	Transfer uint64       `msgpack:"t"` // incarnation of the sender
	Number   int          `msgpack:"n"`
	Last     bool         `msgpack:"l,omitempty"`
	Tables   []tableState `msgpack:"a,omitempty"` // in the last part
	Records  []entry      `msgpack:"r,omitempty"`
}

// tableState is a table without its records.
type tableState struct {
	Issuer     Issuer    `msgpack:"i"`
	Generation uint32    `msgpack:"g"`
	Issued     uint64    `msgpack:"s"`
	Now        time.Time `msgpack:"n"` // the issuer's time
}

// entry is a used key.
type entry struct {
	Issuer   Issuer    `msgpack:"i"`
	Serial   uint64    `msgpack:"s"`
	Expires  int64     `msgpack:"e"` // Unix time in ns
	Answered bool      `msgpack:"a,omitempty"`
	Response *Response `msgpack:"p,omitempty"`
}

// Register registers the handler of hand-overs.
func (k *Keys) Register(r peer.Registrar) { r.Handle(kindHandover, k.receive) }

// Handover closes the tables, the adopted ones included, and hands them to the first of the candidates that takes them.
// Call it at a planned stop, after running requests have ended; a key that still runs is handed over as unknown. Once a
// candidate may have received the last part, no other one is tried, whatever its answer: two successors could run the
// same key. It returns the successor, and an error when it is not known to have taken over.
func (k *Keys) Handover(ctx context.Context, candidates []structs.InstanceID) (structs.InstanceID, error) {
	parts, candidates := k.close(candidates)
	err := errkind.New(errkind.Unavailable, "callers get the outcome unknown for keys of this instance", "there is no successor for the request keys")
	for _, to := range candidates {
		if to == k.config.Self.Instance {
			continue
		}
		if err = k.transferTo(ctx, to, parts[:len(parts)-1]); err != nil {
			continue
		}
		var mayHave bool
		if mayHave, err = k.commit(ctx, to, parts[len(parts)-1]); mayHave {
			return to, err
		}
	}
	return "", err
}

// transferTo sends all parts but the last.
func (k *Keys) transferTo(ctx context.Context, to structs.InstanceID, parts []part) error {
	for _, p := range parts {
		if err := k.send(ctx, to, p); err != nil {
			return err
		}
	}
	return nil
}

// commit sends the last part, again when its answer is lost. mayHave is false only when it surely was not received.
func (k *Keys) commit(ctx context.Context, to structs.InstanceID, last part) (mayHave bool, err error) {
	for range commitAttempts {
		err = k.send(ctx, to, last)
		if !mayHave && !errors.Is(err, peer.ErrNotSent) {
			mayHave = true
			k.nameSuccessor(last.Tables, to)
		}
		if err == nil {
			k.config.Events.Emit(eventHandedOver, event.F("successor", to))
			return true, nil
		}
		if ctx.Err() != nil {
			break
		}
	}
	if mayHave {
		k.config.Events.Emit(eventHandoverUnconfirmed, event.F("successor", to), event.F("cause", err))
	}
	return mayHave, err
}

func (k *Keys) send(ctx context.Context, to structs.InstanceID, p part) error {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	return k.config.Caller.Call(ctx, to, kindHandover, p, nil)
}

// nameSuccessor makes requests with the keys of the tables go to the successor.
func (k *Keys) nameSuccessor(tables []tableState, to structs.InstanceID) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.handedTo = to
	for _, t := range tables {
		k.succeed(t.Issuer, to, t.Generation)
	}
}

// close stops all runs of keys here and returns the parts of the hand-over and the candidates that may get them. Both
// are the same from the first call on: parts of two hand-overs must not mix at a receiver, and the tables may already
// have a successor.
func (k *Keys) close(candidates []structs.InstanceID) ([]part, []structs.InstanceID) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.stopped = true
	if k.handedTo != "" {
		candidates = []structs.InstanceID{k.handedTo}
	}
	if k.parts == nil {
		k.parts = k.closeTables()
	}
	return k.parts, candidates
}

func (k *Keys) closeTables() []part {
	builder := partBuilder{transfer: k.config.Self.Incarnation}
	var states []tableState
	for _, t := range k.tables {
		t.closed = true
		for _, r := range t.records {
			builder.add(entry{t.issuer, r.serial, r.expires, r.phase == phaseAnswered, r.response})
		}
		states = append(states, tableState{t.issuer, t.generation + 1, t.issued, t.clock.now()})
	}
	return builder.finish(states)
}

// partBuilder splits entries into parts of a bounded size.
type partBuilder struct {
	transfer uint64
	parts    []part
	entries  []entry
	size     int
}

// entryBytes is about the encoded size of an entry without a response.
const entryBytes = 96

func (b *partBuilder) add(e entry) {
	b.entries = append(b.entries, e)
	b.size += entryBytes
	if e.Response != nil {
		b.size += e.Response.size()
	}
	if b.size >= partBytes {
		b.flush()
	}
}

func (b *partBuilder) flush() {
	b.parts = append(b.parts, part{Transfer: b.transfer, Number: len(b.parts), Records: b.entries})
	b.entries = nil
	b.size = 0
}

// finish adds the last part, which has no records. There is always a part before it, so that a candidate that cannot
// take the tables refuses before it might act on them.
func (b *partBuilder) finish(states []tableState) []part {
	b.flush()
	return append(b.parts, part{Transfer: b.transfer, Number: len(b.parts), Last: true, Tables: states})
}

// transfer collects the parts of one sender.
type transfer struct {
	id       uint64
	next     int
	entries  []entry
	bytes    int64
	began    time.Time
	complete bool // taken over
}

// receive takes a part. Repeating the last part is harmless, so its sender may repeat it when the answer was lost.
func (k *Keys) receive(_ context.Context, from structs.InstanceID, decode func(any) error) (any, error) {
	var p part
	if err := decode(&p); err != nil {
		return nil, err
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	t, err := k.transferOf(from, &p)
	if err != nil || t.complete {
		return nil, err
	}
	if p.Number < t.next {
		return nil, nil
	}
	if p.Number > t.next {
		return nil, errkind.New(errkind.Conflict, "start the hand-over again", "part %d is missing", t.next)
	}
	if err := k.collect(t, &p); err != nil {
		return nil, err
	}
	if p.Last {
		k.adopt(from, t, p.Tables)
	}
	return nil, nil
}

// transferOf returns the transfer that a part belongs to.
func (k *Keys) transferOf(from structs.InstanceID, p *part) (*transfer, error) {
	if k.stopped {
		return nil, errkind.New(errkind.Unavailable, "use another successor", "instance %s is stopping itself", k.config.Self.Instance)
	}
	t, known := k.transfers[from]
	if known && t.id == p.Transfer {
		return t, nil
	}
	if !known && len(k.transfers) >= maxTransfers {
		return nil, errkind.New(errkind.Overloaded, "use another successor", "too many hand-overs are under way")
	}
	t = &transfer{id: p.Transfer, began: k.config.Now()}
	k.transfers[from] = t
	return t, nil
}

// collect keeps the entries of a part within the bounds of the table.
func (k *Keys) collect(t *transfer, p *part) error {
	if k.used+len(t.entries)+len(p.Records) > k.config.MaxUsed {
		return errkind.New(errkind.Overloaded, "use another successor", "the table of used request keys has no room for the hand-over")
	}
	for _, e := range p.Records {
		if e.Response != nil && t.bytes+int64(e.Response.size()) > k.config.MaxBytes {
			e.Response = nil
		}
		if e.Response != nil {
			t.bytes += int64(e.Response.size())
		}
		t.entries = append(t.entries, e)
	}
	t.next++
	return nil
}

// adopt makes this process act as the issuer of the tables.
func (k *Keys) adopt(from structs.InstanceID, t *transfer, states []tableState) {
	for _, s := range states {
		if _, acting := k.tables[s.Issuer]; acting {
			continue // it has run keys since it took over, so the table that it has is newer
		}
		adopted := newTable(s.Issuer, newClock(s.Now, k.config.Now))
		adopted.generation = s.Generation
		adopted.issued = s.Issued
		k.tables[s.Issuer] = adopted
		k.succeed(s.Issuer, k.config.Self.Instance, s.Generation)
	}
	for _, e := range t.entries {
		k.adoptEntry(e)
	}
	k.config.Events.Emit(eventAdopted, event.F("from", from), event.F("tables", len(states)), event.F("used", len(t.entries)))
	t.entries = nil
	t.complete = true
}

func (k *Keys) adoptEntry(e entry) {
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
	k.used++
	k.keepResponse(r, e.Response)
}

// forgetTransfers drops hand-overs that did not complete in time; a complete one is kept as long as its sender may
// repeat the last part. k.mu is held.
func (k *Keys) forgetTransfers() {
	now := k.config.Now()
	for from, t := range k.transfers {
		if now.Sub(t.began) > transferExpiry {
			delete(k.transfers, from)
		}
	}
}
