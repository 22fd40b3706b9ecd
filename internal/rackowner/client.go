package rackowner

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"dogwoodnotch.example/dogwoodnotch/internal/errkind"
	"dogwoodnotch.example/dogwoodnotch/internal/event"
	"dogwoodnotch.example/dogwoodnotch/internal/lease"
	"dogwoodnotch.example/dogwoodnotch/internal/membership"
	"dogwoodnotch.example/dogwoodnotch/internal/peer"
	"dogwoodnotch.example/dogwoodnotch/internal/platform"
	"dogwoodnotch.example/dogwoodnotch/internal/structs"
)

// Bounds of the scheduler's side.
const (
	commandTimeout = 3 * time.Second
	attachRetry    = 50 * time.Millisecond
	attachSlack    = 500 * time.Millisecond // beyond the time that a rack owner waits for its workers
	feedWait       = 2 * time.Second
)

// Client implements Racks over all rack owners of the own data centre. A Client attaches once: after its feed was
// closed, a new one is made.
type Client struct {
	self     structs.InstanceID
	timing   Timing
	log      *event.Log
	owners   func() []structs.InstanceID
	endpoint func(structs.InstanceID) endpoint
	feed     *feed
	ctx      context.Context
	cancel   context.CancelFunc
	wg       sync.WaitGroup

	mu       sync.Mutex
	epoch    uint64                                  // highest used or seen
	attached map[structs.InstanceID]uint64           // epoch at each rack owner
	watched  map[structs.InstanceID]bool             // rack owners with a goroutine
	holders  map[structs.WorkerID]structs.InstanceID // rack owner that holds each worker's session
	withhold []structs.JobID
	permit   bool
}

var _ Racks = (*Client)(nil)

// NewRemote returns the Racks of the own data centre, reached through peer calls. It ends with ctx.
func NewRemote(ctx context.Context, view membership.View, caller peer.Caller, timing Timing, log *event.Log) *Client {
	self, dc := view.Self()
	owners := func() []structs.InstanceID { return view.Entries(dc) }
	reach := func(id structs.InstanceID) endpoint { return remote{caller: caller, id: id} }
	return newClient(ctx, self, owners, reach, timing, log)
}

// NewLocal returns the Racks of owners in the same process. It ends with ctx.
func NewLocal(ctx context.Context, self structs.InstanceID, timing Timing, log *event.Log, owners ...*Owner) *Client {
	byID := map[structs.InstanceID]*Owner{}
	var ids []structs.InstanceID
	for _, o := range owners {
		byID[o.self] = o
		ids = append(ids, o.self)
	}
	reach := func(id structs.InstanceID) endpoint { return byID[id] }
	return newClient(ctx, self, func() []structs.InstanceID { return ids }, reach, timing, log)
}

func newClient(ctx context.Context, self structs.InstanceID, owners func() []structs.InstanceID,
	reach func(structs.InstanceID) endpoint, timing Timing, log *event.Log) *Client {
	ctx, cancel := context.WithCancel(ctx)
	return &Client{
		self: self, timing: timing, log: log, owners: owners, endpoint: reach, feed: newFeed(), ctx: ctx, cancel: cancel,
		attached: map[structs.InstanceID]uint64{}, watched: map[structs.InstanceID]bool{},
		holders: map[structs.WorkerID]structs.InstanceID{},
	}
}

// Attach implements Racks. Rack owners that cannot be reached are attached later, when they answer. It fails when
// another scheduler holds the role at a rack owner for longer than ctx allows.
func (c *Client) Attach(ctx context.Context) error {
	group, groupCtx := errgroup.WithContext(ctx)
	owners := c.owners()
	sequences := make([]uint64, len(owners))
	for i, id := range owners {
		group.Go(func() error {
			sequence, err := c.attachOwner(groupCtx, id)
			sequences[i] = sequence
			if errkind.Is(err, errkind.Conflict) {
				return err
			}
			return nil
		})
	}
	if err := group.Wait(); err != nil {
		c.Detach(context.WithoutCancel(ctx))
		return err
	}
	c.feed.put(Change{})
	c.wg.Add(2)
	go c.pump()
	go c.watch(owners, sequences)
	return nil
}

// attachOwner claims the role at one rack owner, with rising epochs, and queues what it reports.
func (c *Client) attachOwner(ctx context.Context, id structs.InstanceID) (uint64, error) {
	for {
		claim := c.nextClaim()
		callCtx, cancel := context.WithTimeout(ctx, c.timing.SessionTTL+attachSlack)
		response, err := c.endpoint(id).Attach(callCtx, AttachRequest{Claim: claim, TTL: c.timing.SessionTTL})
		cancel()
		if err != nil {
			return 0, err
		}
		if response.Refused == nil {
			c.noteAttached(id, claim.Epoch, response.Changes)
			return response.Sequence, nil
		}
		c.sawEpoch(response.Refused.Epoch)
		if response.Refused.Remaining == 0 || response.Refused.Holder == string(c.self) {
			continue
		}
		select {
		case <-ctx.Done():
			return 0, errkind.Wrap(response.Refused, errkind.Conflict, "wait for its lease to lapse",
				"another scheduler is attached to rack owner %s", id)
		case <-time.After(min(response.Refused.Remaining, attachRetry)):
		}
	}
}

func (c *Client) nextClaim() Claim {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.epoch++
	return Claim{Scheduler: c.self, Epoch: c.epoch}
}

func (c *Client) sawEpoch(epoch uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.epoch = max(c.epoch, epoch)
}

func (c *Client) noteAttached(id structs.InstanceID, epoch uint64, changes []Change) {
	c.mu.Lock()
	c.attached[id] = epoch
	c.mu.Unlock()
	c.deliver(id, changes)
}

// deliver remembers which rack owner holds each worker and queues the changes. A report of a rack owner that never
// held a worker does not hide the session of the one that does.
func (c *Client) deliver(id structs.InstanceID, changes []Change) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, change := range changes {
		holder := c.holders[change.Worker]
		switch {
		case change.Reachable:
			c.holders[change.Worker] = id
		case holder == id:
			delete(c.holders, change.Worker)
		case holder != "" && !change.Gone:
			continue
		}
		c.feed.put(change)
	}
}

// Changes implements Racks.
func (c *Client) Changes() <-chan Change { return c.feed.out }

// pump ends with the client's context and closes the feed.
func (c *Client) pump() {
	defer c.wg.Done()
	c.feed.pump(c.ctx)
}

// watch starts a goroutine for each rack owner, also for those that appear later.
func (c *Client) watch(owners []structs.InstanceID, sequences []uint64) {
	defer c.wg.Done()
	for i, id := range owners {
		c.watchOwner(id, sequences[i])
	}
	ticker := time.NewTicker(c.timing.Renew / 4)
	defer ticker.Stop()
	for {
		select {
		case <-c.ctx.Done():
			return
		case <-ticker.C:
		}
		for _, id := range c.owners() {
			c.watchOwner(id, 0)
		}
	}
}

func (c *Client) watchOwner(id structs.InstanceID, sequence uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.watched[id] {
		return
	}
	c.watched[id] = true
	c.wg.Add(1)
	go c.follow(id, sequence)
}

// current reports whether a rack owner still belongs to the data centre.
func (c *Client) current(id structs.InstanceID) bool {
	for _, known := range c.owners() {
		if known == id {
			return true
		}
	}
	return false
}

// unwatch forgets a rack owner that left.
func (c *Client) unwatch(id structs.InstanceID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.watched, id)
	delete(c.attached, id)
	for worker, holder := range c.holders {
		if holder == id {
			delete(c.holders, worker)
			c.feed.put(Change{Worker: worker})
		}
	}
}

// follow reads one rack owner's change feed and attaches again when it was lost. Its renewals run beside it.
func (c *Client) follow(id structs.InstanceID, sequence uint64) {
	defer c.wg.Done()
	var renewals sync.WaitGroup
	renewals.Add(1)
	go func() {
		defer renewals.Done()
		c.renewLoop(id)
	}()
	defer c.unwatch(id)
	defer renewals.Wait()
	for c.ctx.Err() == nil && c.current(id) {
		next, err := c.followOnce(id, sequence)
		if err == nil {
			sequence = next
			continue
		}
		select {
		case <-c.ctx.Done():
		case <-time.After(attachRetry):
		}
	}
}

func (c *Client) followOnce(id structs.InstanceID, sequence uint64) (uint64, error) {
	claim, attached := c.claim(id)
	if !attached {
		return c.reattach(id)
	}
	c.feed.waitRoom(c.ctx)
	ctx, cancel := context.WithTimeout(c.ctx, feedWait+commandTimeout)
	defer cancel()
	response, err := c.endpoint(id).Changes(ctx, ChangesRequest{Claim: claim, Since: sequence, Wait: feedWait})
	if err != nil {
		return 0, err
	}
	if response.Refused != nil {
		c.refused(id, claim, *response.Refused)
		return 0, response.Refused
	}
	c.deliver(id, response.Changes)
	return response.Sequence, nil
}

func (c *Client) reattach(id structs.InstanceID) (uint64, error) {
	ctx, cancel := context.WithTimeout(c.ctx, 2*c.timing.SessionTTL)
	defer cancel()
	sequence, err := c.attachOwner(ctx, id)
	if errkind.Is(err, errkind.Conflict) && c.ctx.Err() == nil {
		c.loseRole(id, err)
	}
	return sequence, err
}

// refused drops the attachment to a rack owner. The role is lost when another scheduler holds it there.
func (c *Client) refused(id structs.InstanceID, used Claim, refusal lease.RefusedError) {
	c.sawEpoch(refusal.Epoch)
	c.mu.Lock()
	if c.attached[id] == used.Epoch {
		delete(c.attached, id)
	}
	c.mu.Unlock()
	if refusal.Holder != "" && refusal.Holder != string(c.self) && refusal.Remaining > 0 {
		c.loseRole(id, &refusal)
	}
}

func (c *Client) loseRole(id structs.InstanceID, cause error) {
	c.log.Emit(eventRoleLost, event.F("rack_owner", id), event.F("cause", cause))
	c.cancel()
}

func (c *Client) claim(id structs.InstanceID) (Claim, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	epoch, attached := c.attached[id]
	return Claim{Scheduler: c.self, Epoch: epoch}, attached
}

// renewLoop sends renew_gangs to one rack owner.
func (c *Client) renewLoop(id structs.InstanceID) {
	ticker := time.NewTicker(c.timing.Renew)
	defer ticker.Stop()
	for c.current(id) {
		select {
		case <-c.ctx.Done():
			return
		case <-ticker.C:
			_ = c.renewOwner(c.ctx, id)
		}
	}
}

func (c *Client) renewOwner(ctx context.Context, id structs.InstanceID) error {
	claim, attached := c.claim(id)
	if !attached {
		return nil
	}
	c.mu.Lock()
	request := RenewGangsRequest{Claim: claim, TTL: c.timing.SessionTTL, Permit: c.permit, Withhold: c.withhold}
	c.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, c.timing.SessionTTL/2)
	defer cancel()
	response, err := c.endpoint(id).RenewGangs(ctx, request)
	if err == nil && response.Refused != nil {
		c.refused(id, claim, *response.Refused)
		return response.Refused
	}
	return err
}

// Withhold implements Racks. The first call tells the rack owners that the scheduler has rebuilt its view.
func (c *Client) Withhold(ctx context.Context, jobs []structs.JobID) error {
	c.mu.Lock()
	c.withhold = jobs
	c.permit = true
	c.mu.Unlock()
	group, groupCtx := errgroup.WithContext(ctx)
	for _, id := range c.owners() {
		group.Go(func() error { return c.renewOwner(groupCtx, id) })
	}
	return group.Wait()
}

// Detach implements Racks.
func (c *Client) Detach(ctx context.Context) {
	c.cancel()
	c.mu.Lock()
	released := map[structs.InstanceID]Claim{}
	for id, epoch := range c.attached {
		released[id] = Claim{Scheduler: c.self, Epoch: epoch}
	}
	c.mu.Unlock()
	c.wg.Wait()
	ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	var wg sync.WaitGroup
	for id, claim := range released {
		wg.Add(1)
		go func() {
			defer wg.Done()
			_, _ = c.endpoint(id).Attach(ctx, AttachRequest{Claim: claim, Release: true})
		}()
	}
	wg.Wait()
}

// command sends a command to the rack owner that holds the worker.
func (c *Client) command(ctx context.Context, kind string, request CommandRequest) error {
	c.mu.Lock()
	id, known := c.holders[request.Task.Worker]
	epoch, attached := c.attached[id]
	c.mu.Unlock()
	if !known || !attached || c.ctx.Err() != nil {
		return fmt.Errorf("no rack owner holds worker %s: %w", request.Task.Worker, peer.ErrNotSent)
	}
	request.Claim = Claim{Scheduler: c.self, Epoch: epoch}
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	response, err := c.endpoint(id).Command(ctx, kind, request)
	switch {
	case err != nil:
		return err
	case response.Refusal != nil:
		return &platform.RefusedError{Refusal: *response.Refusal}
	case response.NotSent:
		return fmt.Errorf("%s: %w", response.Failure, peer.ErrNotSent)
	case response.Failure != "":
		return errors.New(response.Failure)
	}
	return nil
}

// Hold implements Racks.
func (c *Client) Hold(ctx context.Context, task structs.Task, ttl time.Duration) error {
	return c.command(ctx, kindHold, CommandRequest{Task: task, TTL: ttl})
}

// Start implements Racks.
func (c *Client) Start(ctx context.Context, task structs.Task) error {
	return c.command(ctx, kindStart, CommandRequest{Task: task})
}

// Release implements Racks.
func (c *Client) Release(ctx context.Context, task structs.Task) error {
	return c.command(ctx, kindRelease, CommandRequest{Task: task})
}

// Stop implements Racks.
func (c *Client) Stop(ctx context.Context, task structs.Task, checkpoint bool, grace time.Duration) error {
	return c.command(ctx, kindStop, CommandRequest{Task: task, Checkpoint: checkpoint, Grace: grace})
}

// Forget implements Racks.
func (c *Client) Forget(ctx context.Context, task structs.Task) error {
	return c.command(ctx, kindForget, CommandRequest{Task: task})
}
