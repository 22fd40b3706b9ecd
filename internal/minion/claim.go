package minion

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"dogwoodnotch.example/dogwoodnotch/internal/event"
	"dogwoodnotch.example/dogwoodnotch/internal/peer"
	"dogwoodnotch.example/dogwoodnotch/internal/structs"
)

// CallRelease is the kind of the peer call by which a new owner asks for minions.
const CallRelease = "minion.release"

// Bounds of the claim loop.
const (
	claimEvery      = 100 * time.Millisecond // while minions are being claimed
	reconcileEvery  = time.Second            // otherwise, besides changes of the view
	releaseTimeout  = 500 * time.Millisecond // of one call
	releaseParallel = 8
	maxAsked        = 4096 // minions in one call
)

// ReleaseRequest asks another instance to stop using minions that the sender owns according to its view.
type ReleaseRequest struct {
	Minions []structs.MinionID `msgpack:"minions"`
}

// ReleaseAnswer tells for each minion of the request whether the receiver has given it up.
type ReleaseAnswer struct {
	Minions []ReleasedMinion `msgpack:"minions"`
}

// ReleasedMinion is one minion of a ReleaseAnswer. A released minion gets no new work from the receiver; InFlight is
// the number of requests that the receiver still waits for, which only falls.
type ReleasedMinion struct {
	ID       structs.MinionID `msgpack:"id"`
	Released bool             `msgpack:"released"`
	InFlight int              `msgpack:"in_flight"`
}

// Register registers the calls that the pool serves.
func (p *Pool) Register(registrar peer.Registrar) {
	registrar.Handle(CallRelease, func(_ context.Context, _ structs.InstanceID, decode func(any) error) (any, error) {
		var request ReleaseRequest
		if err := decode(&request); err != nil {
			return nil, err
		}
		return p.release(request), nil
	})
}

// release gives up the minions that this instance does not own according to its own view.
func (p *Pool) release(request ReleaseRequest) ReleaseAnswer {
	asked := request.Minions[:min(len(request.Minions), maxAsked)]
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
	return ReleasedMinion{ID: id, Released: true, InFlight: m.foreignWaited() + m.inFlight}
}

// owns reports whether this instance is the owner according to its own view.
func (p *Pool) owns(id structs.MinionID) bool {
	return p.cfg.View.Owner(p.centre, ownerKey(id)) == p.self
}

func ownerKey(id structs.MinionID) string { return "minion/" + string(id) }

// releaseLocked stops new work for a minion.
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

// reclaimLocked starts the claim of a minion from the beginning.
func (p *Pool) reclaimLocked(m *member) {
	if m.phase == phaseReleased {
		return
	}
	m.phase = phaseClaiming
	clear(m.cleared)
	m.stopStatus()
	p.reindexLocked(m)
}

// claimLoop follows the view and claims the minions that this instance owns, until ctx ends.
func (p *Pool) claimLoop(ctx context.Context) {
	for {
		changed := p.cfg.View.Changed()
		p.reconcile()
		pending := p.claimRound(ctx)
		wait := reconcileEvery
		if pending {
			wait = claimEvery
		}
		timer := time.NewTimer(wait)
		select {
		case <-ctx.Done():
		case <-changed:
		case <-p.wake:
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
	case p.wake <- struct{}{}:
	default: // a round is already due
	}
}

// claimRound asks every instance that may still use a minion that this instance wants, then takes what is clear. It
// returns whether anything remains to be asked.
func (p *Pool) claimRound(ctx context.Context) bool {
	others := p.others()
	group := errgroup.Group{}
	group.SetLimit(releaseParallel)
	for _, other := range others {
		wanted := p.wantedFrom(other)
		if len(wanted) == 0 {
			continue
		}
		group.Go(func() error {
			p.askRelease(ctx, other, wanted)
			return nil
		})
	}
	_ = group.Wait() // the functions return no errors
	return p.takeClear(ctx, others)
}

// others returns the other entry instances of the data centre that are known, suspected and leaving ones included.
func (p *Pool) others() []structs.InstanceID {
	var others []structs.InstanceID
	for id, centre := range p.cfg.View.AllEntries() {
		if id != p.self && centre == p.centre {
			others = append(others, id)
		}
	}
	return others
}

// wantedFrom returns the minions that another instance must be asked for. Requests in flight of an instance that has
// gone since it released a minion become orphans.
func (p *Pool) wantedFrom(other structs.InstanceID) []structs.MinionID {
	gone := p.cfg.View.Gone(other)
	p.mu.Lock()
	defer p.mu.Unlock()
	var wanted []structs.MinionID
	for _, m := range p.members {
		waited := m.foreignBy[other]
		switch {
		case gone && waited > 0:
			m.orphans += waited
			m.settledAt = time.Now().Add(settle)
			delete(m.foreignBy, other)
		case gone:
		case m.phase == phaseClaiming && !m.cleared[other], m.phase != phaseClaiming && waited > 0:
			wanted = append(wanted, m.id)
		}
	}
	return wanted[:min(len(wanted), maxAsked)]
}

func (p *Pool) askRelease(ctx context.Context, other structs.InstanceID, wanted []structs.MinionID) {
	ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	var answer ReleaseAnswer
	err := p.cfg.Peers.Call(ctx, other, CallRelease, ReleaseRequest{Minions: wanted}, &answer)
	if err != nil {
		return // asked again in the next round, unless the view shows that it is gone
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, released := range answer.Minions {
		p.noteReleasedLocked(other, released)
	}
}

func (p *Pool) noteReleasedLocked(other structs.InstanceID, released ReleasedMinion) {
	m := p.members[released.ID]
	switch {
	case m == nil:
		return
	case !released.Released && m.phase == phaseReleased:
		delete(m.foreignBy, other) // the other instance uses the minion again and counts its own requests
		return
	case !released.Released:
		return
	}
	m.cleared[other] = true
	if released.InFlight > 0 {
		m.foreignBy[other] = released.InFlight
	} else {
		delete(m.foreignBy, other)
	}
	p.reindexLocked(m)
}

// takeClear begins to use the claimed minions that no other instance uses any more. It returns whether some are left.
func (p *Pool) takeClear(ctx context.Context, others []structs.InstanceID) bool {
	_, listed := p.cfg.View.AllEntries()[p.self]
	p.mu.Lock()
	defer p.mu.Unlock()
	pending := false
	for _, m := range p.members {
		if m.phase == phaseClaiming && listed && p.freshLocked(time.Now()) && p.clearLocked(m, others) {
			p.takeLocked(ctx, m)
		}
		pending = pending || m.phase == phaseClaiming || len(m.foreignBy) > 0
	}
	return pending
}

func (p *Pool) clearLocked(m *member, others []structs.InstanceID) bool {
	for _, other := range others {
		if !m.cleared[other] && !p.cfg.View.Gone(other) {
			return false
		}
	}
	return p.owns(m.id)
}

// takeLocked starts the minion's status loop. The minion gets work after its first status, and until then all its slots
// count as busy.
func (p *Pool) takeLocked(ctx context.Context, m *member) {
	ctx, m.stop = context.WithCancel(ctx)
	m.phase = phaseOwned
	m.statusAt = time.Time{}
	m.healthy = false
	m.orphans = m.limit()
	m.settledAt = time.Now().Add(settle)
	m.done = make(chan struct{})
	go func() {
		defer close(m.done)
		p.statusLoop(ctx, m)
	}()
	p.claimed.Inc(1)
	p.cfg.Events.Emit(eventClaimed, event.F("minion", m.id))
}

// stopAll ends the status loops and waits for them.
func (p *Pool) stopAll() {
	p.mu.Lock()
	var ended []chan struct{}
	for _, m := range p.members {
		p.releaseLocked(m)
		if m.done != nil {
			ended = append(ended, m.done)
		}
	}
	p.mu.Unlock()
	for _, done := range ended {
		<-done
	}
}
