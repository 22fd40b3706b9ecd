package peer

import (
	"context"
	"errors"
	"time"

	"dogwoodnotch.example/dogwoodnotch/internal/errkind"
	"dogwoodnotch.example/dogwoodnotch/internal/structs"
)

// Call implements Caller. A call whose context has no deadline ends after 10 s; no call lasts longer than 2 min.
func (n *Node) Call(ctx context.Context, to structs.InstanceID, kind string, request, response any) error {
	ctx, cancel := withinCallTime(ctx)
	defer cancel()
	start := time.Now()
	err := n.call(ctx, to, kind, request, response)
	n.metrics.calls.Inc(1)
	n.metrics.latency.Record(time.Since(start))
	if errors.Is(err, ErrNotSent) {
		n.metrics.notSent.Inc(1)
	} else if err != nil {
		n.metrics.failed.Inc(1)
	}
	return err
}

func (n *Node) call(ctx context.Context, to structs.InstanceID, kind string, request, response any) error {
	payload, err := encodePayload(request)
	if err != nil {
		return errors.Join(ErrNotSent, err)
	}
	if to == n.config.Self {
		answer, err := n.runHandler(ctx, to, kind, payload)
		if err != nil {
			return toWire(err).fromWire() // as for a remote instance; this removes ErrNotSent of calls that the handler made
		}
		return decodeAnswer(kind, answer, response)
	}
	answer, err := n.roundTrip(ctx, to, kind, payload)
	if err != nil {
		return callError(err, to, kind)
	}
	if answer.Error != nil {
		return answer.Error.fromWire()
	}
	if answer.Version != protocolVersion {
		return wrongVersion(answer.Version)
	}
	return decodeAnswer(kind, answer.Payload, response)
}

// roundTrip sends the request over a connection of its class and returns the answer. A connection that failed before
// the request was sent is replaced once.
func (n *Node) roundTrip(ctx context.Context, to structs.InstanceID, kind string, payload []byte) (*message, error) {
	l := n.link(n.route(to, kind))
	for attempt := 0; ; attempt++ {
		s, err := l.open(ctx)
		if err != nil {
			return nil, err
		}
		answer, err := s.call(ctx, kind, payload)
		stale := err != nil && errors.Is(err, ErrNotSent) && !s.usable()
		if !stale || attempt > 0 || ctx.Err() != nil {
			return answer, err
		}
	}
}

// route selects the connection for a kind of call.
func (n *Node) route(to structs.InstanceID, kind string) linkKey {
	if !n.bulkKinds[kind] {
		return linkKey{to: to, class: classControl}
	}
	return linkKey{to: to, class: classBulk, slot: int(n.nextBulkSlot.Add(1) % bulkConnections)}
}

// maxLinks is the number of links above which unused ones are dropped, which limits the memory for instances that have
// ended.
const maxLinks = 4096

func (n *Node) link(key linkKey) *link {
	n.mu.Lock()
	defer n.mu.Unlock()
	if l, known := n.links[key]; known {
		return l
	}
	if len(n.links) >= maxLinks {
		n.dropUnusedLinks()
	}
	l := &link{node: n, key: key}
	n.links[key] = l
	return l
}

// dropUnusedLinks removes the links that have no connection. The caller holds n.mu. A locked link may wait for n.mu, so
// unused does not wait for the link's lock.
func (n *Node) dropUnusedLinks() {
	for key, l := range n.links {
		if l.unused() {
			delete(n.links, key)
		}
	}
}

// callError gives the error of a call without an answer its errkind.
func callError(err error, to structs.InstanceID, kind string) error {
	var typed *errkind.Error
	if errors.As(err, &typed) {
		return err
	}
	switch {
	case errors.Is(err, ErrNotSent):
		return errkind.Wrap(err, errkind.Unavailable, "use another instance", "%s was not sent to %s", kind, to)
	case errors.Is(err, context.DeadlineExceeded):
		return errkind.Wrap(err, errkind.Deadline, "the call may still take effect", "%s did not answer %s in time", to, kind)
	default:
		return errkind.Wrap(err, errkind.Unknown, "the call may have taken effect", "%s did not answer %s", to, kind)
	}
}

// encodePayload encodes a request or an answer. nil gives an empty payload.
func encodePayload(value any) ([]byte, error) {
	if value == nil {
		return nil, nil
	}
	data, err := encodeValue(value)
	if err != nil {
		return nil, errkind.Wrap(err, errkind.Internal, "report this", "cannot encode %T", value)
	}
	return data, nil
}

func decodeAnswer(kind string, data []byte, into any) error {
	if into == nil || len(data) == 0 {
		return nil
	}
	if err := decodeValue(data, into); err != nil {
		return errkind.Wrap(err, errkind.Unknown, "run the same version on every instance", "answer to %s is malformed", kind)
	}
	return nil
}
