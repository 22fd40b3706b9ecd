package minion

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"dogwoodnotch.example/dogwoodnotch/internal/event"
	"dogwoodnotch.example/dogwoodnotch/internal/peer"
	"dogwoodnotch.example/dogwoodnotch/internal/structs"
)

// CallRelease is the kind of the peer call by which a new owner asks earlier owners to release minions.
const CallRelease = "minion.release"

// Intervals and bounds of the claim loop.
const (
	claimInterval     = 100 * time.Millisecond // between rounds while minions are being claimed
	reconcileInterval = time.Second            // between rounds otherwise; a change of the view starts one at once
	releaseTimeout    = 500 * time.Millisecond // of one release call
	maxReleaseCalls   = 8                      // concurrent release calls
	maxMinionsPerCall = 4096
)

// ReleaseRequest asks another instance to stop using minions that, in the sender's view, the sender owns.
type ReleaseRequest struct {
	Minions []structs.MinionID `msgpack:"minions"`
}

// ReleaseAnswer reports for each minion of the request whether the receiver has released it.
type ReleaseAnswer struct {
	Minions []ReleasedMinion `msgpack:"minions"`
}

// ReleasedMinion is one minion of a ReleaseAnswer. A released minion gets no new requests from the receiver. InFlight
// is the number of requests that the receiver still waits for; it can only fall.
type ReleasedMinion struct {
	ID       structs.MinionID `msgpack:"id"`
	Released bool             `msgpack:"released"`
	InFlight int              `msgpack:"in_flight"`
}

// Register registers the handler of CallRelease.
func (p *Pool) Register(registrar peer.Registrar) {
	registrar.Handle(CallRelease, func(_ context.Context, _ structs.InstanceID, decode func(any) error) (any, error) {
		var request ReleaseRequest
		if err := decode(&request); err != nil {
			return nil, err
		}
		return p.release(request), nil
	})
}

// release releases those of the requested minions that this instance does not own in its own view.
func (p *Pool) release(request ReleaseRequest) ReleaseAnswer {
	asked := request.Minions[:min(len(request.Minions), maxMinionsPerCall)]
	answer := ReleaseAnswer{Minions: make([]ReleasedMinion, 0, len(asked))}
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, id := range asked {
		answer.Minions = append(answer.Minions, p.releaseOneLocked(id))
	}
	return answer
}

func (p *Pool) releaseOneLocked(id structs.MinionID) ReleasedMinion {
	m := p.members[id]
	if m == nil {
		return ReleasedMinion{ID: id, Released: true}
	}
	if m.phase != phaseReleased && p.owns(id) {
		return ReleasedMinion{ID: id}
	}
	p.releaseLocked(m)
	return ReleasedMinion{ID: id, Released: true, InFlight: m.foreignRequests() + m.inFlight}
}

// owns reports whether this instance is the minion's owner in its own view.
func (p *Pool) owns(id structs.MinionID) bool {
	return p.cfg.View.Owner(p.dataCentre, ownerKey(id)) == p.self
}

func ownerKey(id structs.MinionID) string { return "minion/" + string(id) }

// releaseLocked ends the ownership of a minion: it gets no new requests, and those in flight may still finish.
func (p *Pool) releaseLocked(m *member) {
	if m.phase == phaseReleased {
		return
	}
	m.phase = phaseReleased
	m.stopStatus()
	p.reindexLocked(m)
	if m.inFlight == 0 {
		m.closeConnections()
	}
	p.released.Inc(1)
	p.cfg.Events.Emit(eventReleased, event.F("minion", m.id), event.F("in_flight", m.inFlight))
}

// reclaimLocked makes a minion that was not released be claimed again from all other instances.
func (p *Pool) reclaimLocked(m *member) {
	if m.phase == phaseReleased {
		return
	}
	m.phase = phaseClaiming
	clear(m.releasedBy)
	m.stopStatus()
	p.reindexLocked(m)
}

// claimLoop keeps the pool in line with the view and claims the minions that this instance owns, until ctx ends.
func (p *Pool) claimLoop(ctx context.Context) {
	for {
		changed := p.cfg.View.Changed()
		p.reconcile()
		pending := p.claimRound(ctx)
		wait := reconcileInterval
		if pending {
			wait = claimInterval
		}
		timer := time.NewTimer(wait)
		select {
		case <-ctx.Done():
		case <-changed:
		case <-p.claimNow:
		case <-timer.C:
		}
		timer.Stop()
		if ctx.Err() != nil {
			return
		}
	}
}

func (p *Pool) wakeClaims() {
	select {
	case p.claimNow <- struct{}{}:
	default: // a round is already due
	}
}

// claimRound asks the other instances to release the minions that this one claims, and takes over those that all have
// released. It also asks for the requests that earlier owners still wait for. It reports whether another round is
// needed soon.
func (p *Pool) claimRound(ctx context.Context) bool {
	others := p.otherEntries()
	group := errgroup.Group{}
	group.SetLimit(maxReleaseCalls)
	for _, other := range others {
		wanted := p.minionsToRequest(other)
		if len(wanted) == 0 {
			continue
		}
		group.Go(func() error {
			p.requestRelease(ctx, other, wanted)
			return nil
		})
	}
	_ = group.Wait() // the functions return no errors
	return p.takeOverReleased(ctx, others)
}

// otherEntries returns all other known entry instances of the data centre, including suspected and leaving ones.
func (p *Pool) otherEntries() []structs.InstanceID {
	var others []structs.InstanceID
	for id, centre := range p.cfg.View.AllEntries() {
		if id != p.self && centre == p.dataCentre {
			others = append(others, id)
		}
	}
	return others
}

// minionsToRequest returns the minions that another instance must be asked to release or to report on. If that instance
// is gone, the requests that it waited for become orphans instead.
func (p *Pool) minionsToRequest(other structs.InstanceID) []structs.MinionID {
	gone := p.cfg.View.Gone(other)
	p.mu.Lock()
	defer p.mu.Unlock()
	var wanted []structs.MinionID
	for _, m := range p.members {
		inFlight := m.foreignInFlight[other]
		switch {
		case gone && inFlight > 0:
			m.orphans += inFlight
			m.settledAt = time.Now().Add(settleTime)
			delete(m.foreignInFlight, other)
		case gone:
		case m.phase == phaseClaiming && !m.releasedBy[other], m.phase != phaseClaiming && inFlight > 0:
			wanted = append(wanted, m.id)
		}
	}
	return wanted[:min(len(wanted), maxMinionsPerCall)]
}

func (p *Pool) requestRelease(ctx context.Context, other structs.InstanceID, wanted []structs.MinionID) {
	ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	var answer ReleaseAnswer
	err := p.cfg.Peers.Call(ctx, other, CallRelease, ReleaseRequest{Minions: wanted}, &answer)
	if err != nil {
		return // the next round asks again, unless the view shows by then that the instance is gone
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, released := range answer.Minions {
		p.recordReleaseLocked(other, released)
	}
}

func (p *Pool) recordReleaseLocked(other structs.InstanceID, released ReleasedMinion) {
	m := p.members[released.ID]
	switch {
	case m == nil:
		return
	case !released.Released && m.phase == phaseReleased:
		delete(m.foreignInFlight, other) // the other instance owns the minion again and counts these requests itself
		return
	case !released.Released:
		return
	}
	m.releasedBy[other] = true
	if released.InFlight > 0 {
		m.foreignInFlight[other] = released.InFlight
	} else {
		delete(m.foreignInFlight, other)
	}
	p.reindexLocked(m)
}

// takeOverReleased takes over the claimed minions that all other instances have released. It reports whether some
// minions are still claimed, or have requests that earlier owners wait for.
func (p *Pool) takeOverReleased(ctx context.Context, others []structs.InstanceID) bool {
	_, listed := p.cfg.View.AllEntries()[p.self]
	p.mu.Lock()
	defer p.mu.Unlock()
	pending := false
	for _, m := range p.members {
		if m.phase == phaseClaiming && listed && p.usableLocked(time.Now()) && p.releasedByAllLocked(m, others) {
			p.takeOverLocked(ctx, m)
		}
		pending = pending || m.phase == phaseClaiming || len(m.foreignInFlight) > 0
	}
	return pending
}

// releasedByAllLocked reports whether this instance still owns the minion and each other instance has released it or is
// gone.
func (p *Pool) releasedByAllLocked(m *member, others []structs.InstanceID) bool {
	for _, other := range others {
		if !m.releasedBy[other] && !p.cfg.View.Gone(other) {
			return false
		}
	}
	return p.owns(m.id)
}

// takeOverLocked makes this instance use a minion and starts the minion's status loop. All its slots count as busy
// until a status shows how many are free.
func (p *Pool) takeOverLocked(ctx context.Context, m *member) {
	ctx, m.cancelStatus = context.WithCancel(ctx)
	m.phase = phaseOwned
	m.statusAt = time.Time{}
	m.healthy = false
	m.orphans = m.slotLimit()
	m.settledAt = time.Now().Add(settleTime)
	m.statusLoopDone = make(chan struct{})
	go func() {
		defer close(m.statusLoopDone)
		p.statusLoop(ctx, m)
	}()
	p.claimed.Inc(1)
	p.cfg.Events.Emit(eventClaimed, event.F("minion", m.id))
}

// stopAll releases all minions and waits until their status loops have ended.
func (p *Pool) stopAll() {
	p.mu.Lock()
	var loopsDone []chan struct{}
	for _, m := range p.members {
		p.releaseLocked(m)
		if m.statusLoopDone != nil {
			loopsDone = append(loopsDone, m.statusLoopDone)
		}
	}
	p.mu.Unlock()
	for _, done := range loopsDone {
		<-done
	}
}
