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

// Timeouts and delays of calls to rack owners.
const (
	commandTimeout = 3 * time.Second
	attachRetry    = 50 * time.Millisecond  // delay before another attempt to attach
	attachMargin   = 500 * time.Millisecond // added to SessionTTL, the longest time for which Attach waits for workers
	changesWait    = 2 * time.Second        // duration of one long poll
)

// Client implements Racks over all rack owners of its data centre. It can attach only once; after its feed has been
// closed, a new Client is needed.
type Client struct {
	self       structs.InstanceID
	timing     Timing
	log        *event.Log
	owners     func() []structs.InstanceID
	endpointOf func(structs.InstanceID) endpoint
	feed       *feed
	ctx        context.Context
	cancel     context.CancelFunc
	wg         sync.WaitGroup

	mu          sync.Mutex
	epoch       uint64                                  // highest epoch that was used here or reported by a rack owner
	attached    map[structs.InstanceID]uint64           // epoch of the scheduler role at each attached rack owner
	followed    map[structs.InstanceID]bool             // rack owners whose change feed is read by a goroutine
	holders     map[structs.WorkerID]structs.InstanceID // rack owner that holds each worker's session
	withhold    []structs.JobID                         // jobs whose task leases must not be extended
	permitGangs bool                                    // set by the first call of Withhold
}

var _ Racks = (*Client)(nil)

// NewRemote returns a Client that reaches the rack owners of its data centre by peer calls. It stops when ctx ends.
func NewRemote(ctx context.Context, view membership.View, caller peer.Caller, timing Timing, log *event.Log) *Client {
	self, dc := view.Self()
	owners := func() []structs.InstanceID { return view.Entries(dc) }
	endpointOf := func(id structs.InstanceID) endpoint { return remoteOwner{caller: caller, id: id} }
	return newClient(ctx, self, owners, endpointOf, timing, log)
}

// NewLocal returns a Client for rack owners in the same process. It stops when ctx ends.
func NewLocal(ctx context.Context, self structs.InstanceID, timing Timing, log *event.Log, owners ...*Owner) *Client {
	byID := map[structs.InstanceID]*Owner{}
	var ids []structs.InstanceID
	for _, o := range owners {
		byID[o.self] = o
		ids = append(ids, o.self)
	}
	endpointOf := func(id structs.InstanceID) endpoint { return byID[id] }
	return newClient(ctx, self, func() []structs.InstanceID { return ids }, endpointOf, timing, log)
}

func newClient(ctx context.Context, self structs.InstanceID, owners func() []structs.InstanceID,
	endpointOf func(structs.InstanceID) endpoint, timing Timing, log *event.Log) *Client {
	ctx, cancel := context.WithCancel(ctx)
	return &Client{
		self: self, timing: timing, log: log, owners: owners, endpointOf: endpointOf, feed: newFeed(), ctx: ctx, cancel: cancel,
		attached: map[structs.InstanceID]uint64{}, followed: map[structs.InstanceID]bool{},
		holders: map[structs.WorkerID]structs.InstanceID{},
	}
}

// Attach implements Racks. Rack owners that cannot be reached are attached later, once they answer. Attach fails if
// another scheduler still holds the role at a rack owner when ctx ends.
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
	c.feed.put(Change{}) // marks the end of the initial snapshot
	c.wg.Add(2)
	go c.forwardFeed()
	go c.followOwners(owners, sequences)
	return nil
}

// attachOwner claims the scheduler role at one rack owner, with a higher epoch after each refusal, and queues the state
// that the rack owner reports. It returns the feed position of that state.
func (c *Client) attachOwner(ctx context.Context, id structs.InstanceID) (uint64, error) {
	for {
		claim := c.nextClaim()
		callCtx, cancel := context.WithTimeout(ctx, c.timing.SessionTTL+attachMargin)
		response, err := c.endpointOf(id).Attach(callCtx, AttachRequest{Claim: claim, TTL: c.timing.SessionTTL})
		cancel()
		if err != nil {
			return 0, err
		}
		if response.Refused == nil {
			c.recordAttachment(id, claim.Epoch, response.Changes)
			return response.Sequence, nil
		}
		c.raiseEpoch(response.Refused.Epoch)
		if response.Refused.Remaining == 0 || response.Refused.Holder == string(c.self) {
			continue
		}
		select {
		case <-ctx.Done():
			return 0, errkind.Wrap(response.Refused, errkind.Conflict, "wait until its lease expires",
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

// raiseEpoch makes the next claim use a higher epoch than the given one.
func (c *Client) raiseEpoch(epoch uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.epoch = max(c.epoch, epoch)
}

func (c *Client) recordAttachment(id structs.InstanceID, epoch uint64, changes []Change) {
	c.mu.Lock()
	c.attached[id] = epoch
	c.mu.Unlock()
	c.queueChanges(id, changes)
}

// queueChanges records which rack owner holds each worker's session and queues the changes for the scheduler. A report
// that a worker is unreachable is dropped while another rack owner holds its session, unless the worker is gone from
// the instance list.
func (c *Client) queueChanges(id structs.InstanceID, changes []Change) {
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

// forwardFeed forwards queued changes until the client's context ends, and then closes the feed.
func (c *Client) forwardFeed() {
	defer c.wg.Done()
	c.feed.forward(c.ctx)
}

// followOwners starts a goroutine for each rack owner, including those that join later.
func (c *Client) followOwners(owners []structs.InstanceID, sequences []uint64) {
	defer c.wg.Done()
	for i, id := range owners {
		c.startFollowing(id, sequences[i])
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
			c.startFollowing(id, 0)
		}
	}
}

func (c *Client) startFollowing(id structs.InstanceID, sequence uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.followed[id] {
		return
	}
	c.followed[id] = true
	c.wg.Add(1)
	go c.follow(id, sequence)
}

// isCurrentOwner reports whether an instance is still an entry instance, and so a rack owner, of the data centre.
func (c *Client) isCurrentOwner(id structs.InstanceID) bool {
	for _, known := range c.owners() {
		if known == id {
			return true
		}
	}
	return false
}

// forgetOwner drops the state of a rack owner that is no longer followed and reports its workers as unreachable.
func (c *Client) forgetOwner(id structs.InstanceID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.followed, id)
	delete(c.attached, id)
	for worker, holder := range c.holders {
		if holder == id {
			delete(c.holders, worker)
			c.feed.put(Change{Worker: worker})
		}
	}
}

// follow reads one rack owner's change feed, and attaches again after the role was lost there. A second goroutine
// renews the scheduler role meanwhile.
func (c *Client) follow(id structs.InstanceID, sequence uint64) {
	defer c.wg.Done()
	var renewals sync.WaitGroup
	renewals.Add(1)
	go func() {
		defer renewals.Done()
		c.renewLoop(id)
	}()
	defer c.forgetOwner(id)
	defer renewals.Wait()
	for c.ctx.Err() == nil && c.isCurrentOwner(id) {
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

// followOnce makes one long poll, or attaches if necessary. It returns the position of the next poll.
func (c *Client) followOnce(id structs.InstanceID, sequence uint64) (uint64, error) {
	claim, attached := c.currentClaim(id)
	if !attached {
		return c.reattach(id)
	}
	c.feed.waitForRoom(c.ctx)
	ctx, cancel := context.WithTimeout(c.ctx, changesWait+commandTimeout)
	defer cancel()
	response, err := c.endpointOf(id).Changes(ctx, ChangesRequest{Claim: claim, Since: sequence, Wait: changesWait})
	if err != nil {
		return 0, err
	}
	if response.Refused != nil {
		c.handleRefusal(id, claim, *response.Refused)
		return 0, response.Refused
	}
	c.queueChanges(id, response.Changes)
	return response.Sequence, nil
}

// reattach claims the role at a rack owner again. The Client ends if another scheduler holds the role there.
func (c *Client) reattach(id structs.InstanceID) (uint64, error) {
	ctx, cancel := context.WithTimeout(c.ctx, 2*c.timing.SessionTTL)
	defer cancel()
	sequence, err := c.attachOwner(ctx, id)
	if errkind.Is(err, errkind.Conflict) && c.ctx.Err() == nil {
		c.loseRole(id, err)
	}
	return sequence, err
}

// handleRefusal drops the attachment to a rack owner. If another scheduler holds the role there, the Client ends.
func (c *Client) handleRefusal(id structs.InstanceID, used Claim, refusal lease.RefusedError) {
	c.raiseEpoch(refusal.Epoch)
	c.mu.Lock()
	if c.attached[id] == used.Epoch {
		delete(c.attached, id)
	}
	c.mu.Unlock()
	if refusal.Holder != "" && refusal.Holder != string(c.self) && refusal.Remaining > 0 {
		c.loseRole(id, &refusal)
	}
}

// loseRole ends the Client, which closes its feed.
func (c *Client) loseRole(id structs.InstanceID, cause error) {
	c.log.Emit(eventRoleLost, event.F("rack_owner", id), event.F("cause", cause))
	c.cancel()
}

// currentClaim returns the claim for calls to a rack owner, and whether the role is held there.
func (c *Client) currentClaim(id structs.InstanceID) (Claim, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	epoch, attached := c.attached[id]
	return Claim{Scheduler: c.self, Epoch: epoch}, attached
}

// renewLoop renews the scheduler role at one rack owner until that instance leaves or the Client ends.
func (c *Client) renewLoop(id structs.InstanceID) {
	ticker := time.NewTicker(c.timing.Renew)
	defer ticker.Stop()
	for c.isCurrentOwner(id) {
		select {
		case <-c.ctx.Done():
			return
		case <-ticker.C:
			_ = c.renewOwner(c.ctx, id)
		}
	}
}

func (c *Client) renewOwner(ctx context.Context, id structs.InstanceID) error {
	claim, attached := c.currentClaim(id)
	if !attached {
		return nil
	}
	c.mu.Lock()
	request := RenewGangsRequest{Claim: claim, TTL: c.timing.SessionTTL, Permit: c.permitGangs, Withhold: c.withhold}
	c.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, c.timing.SessionTTL/2)
	defer cancel()
	response, err := c.endpointOf(id).RenewGangs(ctx, request)
	if err == nil && response.Refused != nil {
		c.handleRefusal(id, claim, *response.Refused)
		return response.Refused
	}
	return err
}

// Withhold implements Racks. The first call also declares that the scheduler has rebuilt its view of the gangs; until
// then, renewals don't permit rack owners to extend gangs that span several of them.
func (c *Client) Withhold(ctx context.Context, jobs []structs.JobID) error {
	c.mu.Lock()
	c.withhold = jobs
	c.permitGangs = true
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
			_, _ = c.endpointOf(id).Attach(ctx, AttachRequest{Claim: claim, Release: true})
		}()
	}
	wg.Wait()
}

// command sends a command to the rack owner that holds the worker's session.
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
	response, err := c.endpointOf(id).Command(ctx, kind, request)
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
