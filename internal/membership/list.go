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

// listState is the result of the reads of the instance list. Members.mu guards it.
type listState struct {
	index         *listIndex
	revision      uint64
	asOf          time.Time // AsOf of the latest accepted list as received; shows whether another list is older
	effectiveTime time.Time // time that this list describes: its AsOf, or the start of its read if AsOf is missing or in the future
	loaded        bool      // at least one list was accepted
	readFailing   bool      // the last read failed
	ignoring      bool      // the last list that was read was ignored
	unreadable    int       // rows of the last list that cannot be decoded
	instanceCount int
}

// pollList reads the list at intervals until ctx ends.
func (m *Members) pollList(ctx context.Context) {
	for {
		m.readList(ctx)
		timer := time.NewTimer(jitter(m.timing.ListPoll))
		select {
		case <-timer.C:
		case <-m.pollNow:
		case <-ctx.Done():
			timer.Stop()
			return
		}
		timer.Stop()
	}
}

// readList reads the list once. A failed read leaves the view as it is: only a list that was read can show that an
// instance is missing from it.
func (m *Members) readList(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	began := m.config.Now()
	list, err := m.config.List.Get(ctx)
	m.noteListHealth(err)
	if err != nil || !m.applyList(list, began) {
		m.freshness.recordListFailure(began)
		return
	}
	m.freshness.recordListRead(began)
	m.rebuild(m.config.Now())
	if reader, caches := m.config.List.(cachingListReader); caches && m.needsNewerList() {
		reader.Forget()
	}
}

// needsNewerList reports whether the list no longer contains an instance whose last message is too recent for the
// list's AsOf to prove that it has ended.
func (m *Members) needsNewerList() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, r := range m.records {
		if r.listing.delisted() && !r.gone(m.list.effectiveTime) {
			return true
		}
	}
	return false
}

func (m *Members) noteListHealth(err error) {
	m.mu.Lock()
	was := m.list.readFailing
	m.list.readFailing = err != nil
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

// applyList applies a list unless it is older than the last one or contains no entry instance. As this process is an
// entry instance, a list without any must have lost its data. It reports whether the list was applied.
func (m *Members) applyList(list platform.InstanceList, began time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	ignored := m.outdated(list) || !hasEntries(list)
	if ignored && !m.list.ignoring {
		m.config.Events.Emit(eventListIgnored, event.F("revision", list.Revision), event.F("as_of", list.AsOf))
	}
	m.list.ignoring = ignored
	if ignored {
		return false
	}
	if list.Unreadable != m.list.unreadable {
		m.list.unreadable = list.Unreadable
		m.config.Events.Emit(eventListRowsIgnored, event.F("rows", list.Unreadable))
	}
	m.list.loaded = true
	m.list.effectiveTime = list.AsOf
	if list.AsOf.IsZero() || list.AsOf.After(began.Add(clockSkew)) {
		m.list.effectiveTime = began
	}
	unchanged := list.Revision == m.list.revision && list.Revision != 0 && len(list.Instances) == m.list.instanceCount
	m.list.asOf = list.AsOf
	m.list.instanceCount = len(list.Instances)
	m.list.revision = list.Revision
	if unchanged {
		return true
	}
	m.list.index = newListIndex(list)
	m.applyEntries(list, began)
	return true
}

// outdated reports whether the list is older than the last one, because a replica that lags further behind answered.
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
	wasDelisted := m.ownListing.delisted()
	m.ownListing.listed = false
	for _, r := range m.records {
		r.listing.listed = false
	}
	for _, row := range list.Instances {
		if row.Role == platform.RoleEntry {
			m.applyEntry(row, now)
		}
	}
	if m.ownListing.delisted() && !wasDelisted {
		m.config.Events.Emit(eventDelisted)
	}
	m.freshness.delisted.Store(m.ownListing.delisted())
}

func (m *Members) applyEntry(row platform.Instance, now time.Time) {
	id := structs.InstanceID(row.ID)
	if id == m.config.Self {
		m.ownListing = listing{listed: true, everListed: true, leaving: row.State == platform.StateLeaving}
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
	r.applyListing(row)
}
