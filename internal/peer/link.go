package peer

import (
	"bufio"
	"context"
	"crypto/tls"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"dogwoodnotch.example/dogwoodnotch/internal/errkind"
	"dogwoodnotch.example/dogwoodnotch/internal/event"
	"dogwoodnotch.example/dogwoodnotch/internal/structs"
)

// linkKey names one of the connections to a peer.
type linkKey struct {
	to    structs.InstanceID
	class class
	slot  int
}

// link dials one connection to a peer when a call needs it. At most one dial is under way at a time.
type link struct {
	node *Node
	key  linkKey

	mu       sync.Mutex
	session  *session
	underWay chan struct{} // closed when the dial under way ends
	failure  error         // of the last dial
	failedAt time.Time
}

// open returns a connected session. Every error holds ErrNotSent.
func (l *link) open(ctx context.Context) (*session, error) {
	for {
		s, wait, err := l.poll()
		if s != nil || err != nil {
			return s, err
		}
		select {
		case <-wait:
		case <-ctx.Done():
			return nil, errors.Join(ErrNotSent, ctx.Err())
		}
	}
}

// poll returns the session, the recent dial error, or a channel that is closed when the dial that it started ends.
func (l *link) poll() (*session, <-chan struct{}, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.session != nil && l.session.usable() {
		return l.session, nil, nil
	}
	l.session = nil
	if l.underWay != nil {
		return nil, l.underWay, nil
	}
	if l.failure != nil && time.Since(l.failedAt) < redialPause {
		return nil, nil, l.failure
	}
	done := make(chan struct{})
	if !l.node.spawn(func() { l.dial(done) }) {
		return nil, nil, errors.Join(ErrNotSent, net.ErrClosed)
	}
	l.underWay = done
	return nil, done, nil
}

func (l *link) dial(done chan struct{}) {
	s, err := l.node.connect(l.key)
	l.mu.Lock()
	l.session = s
	l.failure = err
	l.failedAt = time.Now()
	l.underWay = nil
	l.mu.Unlock()
	close(done)
	if s == nil {
		return
	}
	s.read()
	l.node.untrack(s.conn.NetConn())
}

// connect dials a peer and does the dialer's part of the handshake. Every error holds ErrNotSent.
func (n *Node) connect(key linkKey) (*session, error) {
	address, known := n.config.Resolve(key.to)
	if !known {
		return nil, errkind.Wrap(ErrNotSent, errkind.NotFound, "wait for the instance list to catch up", "address of instance %s is not known", key.to)
	}
	dialer := net.Dialer{Timeout: dialTimeout}
	raw, err := dialer.DialContext(n.ctx, "tcp", address)
	if errors.Is(err, syscall.ECONNREFUSED) {
		return nil, errkind.Wrap(errors.Join(ErrNotSent, ErrPeerGone, err), errkind.Unavailable, "use another instance", "instance %s is gone", key.to)
	}
	if err != nil {
		return nil, errkind.Wrap(errors.Join(ErrNotSent, err), errkind.Unavailable, "use another instance", "cannot reach instance %s", key.to)
	}
	counted := &countingConn{Conn: raw}
	if !n.track(counted) {
		raw.Close()
		return nil, errors.Join(ErrNotSent, net.ErrClosed)
	}
	s, err := n.introduce(counted, key)
	if err != nil {
		n.untrack(counted)
		n.reportDial(key.to, err)
		return nil, errkind.Wrap(errors.Join(ErrNotSent, err), errkind.Unavailable, "use another instance", "instance %s did not complete the handshake", key.to)
	}
	return s, nil
}

func (n *Node) reportDial(to structs.InstanceID, err error) {
	if errkind.Is(err, errkind.Unauthorised) && n.reports.Allow() {
		n.config.Events.Emit(eventDialFailed, event.F("instance", to), event.F("cause", err))
	}
}

// introduce proves the shared key to the listener and checks the listener's proof and name.
func (n *Node) introduce(counted *countingConn, key linkKey) (*session, error) {
	if err := counted.SetDeadline(time.Now().Add(n.timeouts.handshake)); err != nil {
		return nil, err
	}
	conn := tls.Client(counted, n.tls)
	if err := conn.HandshakeContext(n.ctx); err != nil {
		return nil, err
	}
	exported, err := export(conn)
	if err != nil {
		return nil, err
	}
	ours := &hello{From: n.config.Self, To: key.to, Class: key.class}
	ours.sign(n.config.Keys, exported, roleDialer)
	if err := writeHello(conn, ours); err != nil {
		return nil, err
	}
	reader := bufio.NewReader(conn)
	theirs, err := readHello(reader)
	if err != nil {
		return nil, err
	}
	if theirs.Error != nil {
		return nil, theirs.Error.fromWire()
	}
	if err := theirs.verify(n.config.Keys, exported, roleListener); err != nil {
		return nil, err
	}
	if theirs.From != key.to || theirs.To != n.config.Self || theirs.Class != key.class {
		return nil, errkind.New(errkind.Unauthorised, "check the instance list", "instance %.128s answered in place of %s", theirs.From, key.to)
	}
	if err := counted.SetDeadline(time.Time{}); err != nil {
		return nil, err
	}
	return newSession(conn, counted, reader, key.class, n.timeouts), nil
}

// countingConn counts the bytes handed to the network, to tell a request that was not sent from one that may have been.
type countingConn struct {
	net.Conn
	written atomic.Int64
}

// Write writes to the connection.
func (c *countingConn) Write(data []byte) (int, error) {
	n, err := c.Conn.Write(data)
	c.written.Add(int64(n))
	return n, err
}

// unused reports whether the link has neither a connection nor a dial under way. A link that is locked is in use.
func (l *link) unused() bool {
	if !l.mu.TryLock() {
		return false
	}
	defer l.mu.Unlock()
	return l.underWay == nil && (l.session == nil || !l.session.usable())
}
