package membership

import (
	"context"
	"time"

	"dogwoodnotch.example/dogwoodnotch/internal/event"
	"dogwoodnotch.example/dogwoodnotch/internal/platform"
	"dogwoodnotch.example/dogwoodnotch/internal/structs"
)

// listTimeout bounds one read of the list.
const listTimeout = 2 * time.Second

var emptyList platform.InstanceList

// listState is what the reads of the instance list gave. Members.mu guards it.
type listState struct {
	index    *listIndex
	revision uint64
	asOf     time.Time
	evidence time.Time // the time that the newest list describes
	usable   bool      // at least one read gave a list
	down     bool
	ignored  bool
	size     int
}

// pollList reads the list at intervals until ctx ends.
func (m *Members) pollList(ctx context.Context) {
	for {
		m.readList(ctx)
		timer := time.NewTimer(jitter(m.timing.ListPoll))
		select {
		case <-timer.C:
		case <-m.poll:
		case <-ctx.Done():
			timer.Stop()
			return
		}
		timer.Stop()
	}
}

// readList reads the list once. A failure changes nothing in the view: absence from the list means something, an absent
// list does not.
func (m *Members) readList(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	began := m.config.Now()
	list, err := m.config.List.Get(ctx)
	m.noteListHealth(err)
	if err != nil || !m.applyList(list, began) {
		m.fresh.listFailed(began)
		return
	}
	m.fresh.listRead(began)
	m.rebuild(m.config.Now())
	if reader, caches := m.config.List.(forgetter); caches && m.lacksEvidence() {
		reader.Forget()
	}
}

// lacksEvidence reports whether an instance that the list no longer shows was heard too late for the list's AsOf to
// prove that it has ended.
func (m *Members) lacksEvidence() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, r := range m.records {
		if r.listing.dropped() && !r.gone(m.list.evidence) {
			return true
		}
	}
	return false
}

func (m *Members) noteListHealth(err error) {
	m.mu.Lock()
	was := m.list.down
	m.list.down = err != nil
	m.mu.Unlock()
	if err != nil {
		m.listErrors.Inc(1)
	}
	switch {
	case err != nil && !was:
		m.config.Events.Emit(eventListDown, event.F("cause", err))
	case err == nil && was:
		m.config.Events.Emit(eventListUp)
	}
}

// applyList takes over a list that is not older than the last one. A list without entry instances has lost its data,
// because this process is one. It reports whether the list was usable.
func (m *Members) applyList(list platform.InstanceList, began time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	ignored := m.outdated(list) || !hasEntries(list)
	if ignored && !m.list.ignored {
		m.config.Events.Emit(eventListIgnored, event.F("revision", list.Revision), event.F("as_of", list.AsOf))
	}
	m.list.ignored = ignored
	if ignored {
		return false
	}
	m.list.usable = true
	m.list.evidence = list.AsOf
	if list.AsOf.IsZero() || list.AsOf.After(began.Add(clockSkew)) {
		m.list.evidence = began
	}
	unchanged := list.Revision == m.list.revision && list.Revision != 0 && len(list.Instances) == m.list.size
	m.list.asOf = list.AsOf
	m.list.size = len(list.Instances)
	m.list.revision = list.Revision
	if unchanged {
		return true
	}
	m.list.index = newListIndex(list)
	m.applyEntries(list, began)
	return true
}

// outdated reports whether a replica of the list that lags further behind than an earlier one has answered.
func (m *Members) outdated(list platform.InstanceList) bool {
	if list.AsOf.Equal(m.list.asOf) {
		return list.Revision < m.list.revision
	}
	return list.AsOf.Before(m.list.asOf)
}

func hasEntries(list platform.InstanceList) bool {
	for _, row := range list.Instances {
		if row.Role == platform.RoleEntry {
			return true
		}
	}
	return false
}

func (m *Members) applyEntries(list platform.InstanceList, now time.Time) {
	wasDropped := m.listing.dropped()
	m.listing.shown = false
	for _, r := range m.records {
		r.listing.shown = false
	}
	for _, row := range list.Instances {
		if row.Role == platform.RoleEntry {
			m.applyEntry(row, now)
		}
	}
	if m.listing.dropped() && !wasDropped {
		m.config.Events.Emit(eventDropped)
	}
	m.fresh.dropped.Store(m.listing.dropped())
}

func (m *Members) applyEntry(row platform.Instance, now time.Time) {
	id := structs.InstanceID(row.ID)
	if id == m.config.Self {
		m.listing = listing{shown: true, ever: true, leaving: row.State == platform.StateLeaving}
		return
	}
	r, known := m.records[id]
	if !known {
		if len(m.records) >= maxRecords {
			return
		}
		r = &record{id: id, firstSeen: now, values: make(map[string]value)}
		m.records[id] = r
	}
	r.show(row)
}
