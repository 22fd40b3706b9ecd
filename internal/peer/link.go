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

// linkKey identifies one of the connections to a peer.
type linkKey struct {
	to    structs.InstanceID
	class class
	slot  int // index among the connections of a class
}

// link keeps one connection to a peer. It dials when a call needs the connection, with at most one dial at a time.
type link struct {
	node *Node
	key  linkKey

	mu          sync.Mutex
	session     *session
	dialDone    chan struct{} // closed when the dial in progress ends; nil: no dial is in progress
	dialError   error         // error of the last dial
	dialEndedAt time.Time     // when the last dial ended
}

// open returns a connected session. Every error holds ErrNotSent.
func (l *link) open(ctx context.Context) (*session, error) {
	for {
		s, wait, err := l.sessionOrDial()
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

// sessionOrDial returns the session if it is usable, the error of a dial that failed less than redialDelay ago, or a
// channel that is closed when the dial in progress ends. It starts a dial if there is none.
func (l *link) sessionOrDial() (*session, <-chan struct{}, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.session != nil && l.session.usable() {
		return l.session, nil, nil
	}
	l.session = nil
	if l.dialDone != nil {
		return nil, l.dialDone, nil
	}
	if l.dialError != nil && time.Since(l.dialEndedAt) < redialDelay {
		return nil, nil, l.dialError
	}
	done := make(chan struct{})
	if !l.node.spawn(func() { l.dial(done) }) {
		return nil, nil, errors.Join(ErrNotSent, net.ErrClosed)
	}
	l.dialDone = done
	return nil, done, nil
}

func (l *link) dial(done chan struct{}) {
	s, err := l.node.connect(l.key)
	l.mu.Lock()
	l.session = s
	l.dialError = err
	l.dialEndedAt = time.Now()
	l.dialDone = nil
	l.mu.Unlock()
	close(done)
	if s == nil {
		return
	}
	s.readAnswers()
	l.node.untrack(s.conn.NetConn())
}

// connect dials a peer and performs the dialer's part of the handshake. Every error holds ErrNotSent.
func (n *Node) connect(key linkKey) (*session, error) {
	address, known := n.config.Resolve(key.to)
	if !known {
		return nil, errkind.Wrap(ErrNotSent, errkind.NotFound, "wait for the instance list to catch up", "address of instance %s is not known", key.to)
	}
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(n.ctx, "tcp", address)
	if errors.Is(err, syscall.ECONNREFUSED) {
		return nil, errkind.Wrap(errors.Join(ErrNotSent, ErrPeerGone, err), errkind.Unavailable, "use another instance", "instance %s is gone", key.to)
	}
	if err != nil {
		return nil, errkind.Wrap(errors.Join(ErrNotSent, err), errkind.Unavailable, "use another instance", "cannot reach instance %s", key.to)
	}
	counting := &countingConn{Conn: conn}
	if !n.track(counting) {
		conn.Close()
		return nil, errors.Join(ErrNotSent, net.ErrClosed)
	}
	s, err := n.handshakeAsDialer(counting, key)
	if err != nil {
		n.untrack(counting)
		n.reportDialError(key.to, err)
		return nil, errkind.Wrap(errors.Join(ErrNotSent, err), errkind.Unavailable, "use another instance", "instance %s did not complete the handshake", key.to)
	}
	return s, nil
}

func (n *Node) reportDialError(to structs.InstanceID, err error) {
	if errkind.Is(err, errkind.Unauthorised) && n.eventLimiter.Allow() {
		n.config.Events.Emit(eventDialFailed, event.F("instance", to), event.F("cause", err))
	}
}

// handshakeAsDialer proves possession of the shared key to the listener and checks the listener's proof and name.
func (n *Node) handshakeAsDialer(rawConn *countingConn, key linkKey) (*session, error) {
	if err := rawConn.SetDeadline(time.Now().Add(n.timeouts.handshake)); err != nil {
		return nil, err
	}
	conn := tls.Client(rawConn, n.tls)
	if err := conn.HandshakeContext(n.ctx); err != nil {
		return nil, err
	}
	exported, err := exportKeyingMaterial(conn)
	if err != nil {
		return nil, err
	}
	ownHello := &hello{From: n.config.Self, To: key.to, Class: key.class}
	ownHello.sign(n.config.Keys, exported, roleDialer)
	if err := writeHello(conn, ownHello); err != nil {
		return nil, err
	}
	reader := bufio.NewReader(conn)
	peerHello, err := readHello(reader)
	if err != nil {
		return nil, err
	}
	if peerHello.Error != nil {
		return nil, peerHello.Error.fromWire()
	}
	if err := peerHello.verify(n.config.Keys, exported, roleListener); err != nil {
		return nil, err
	}
	if peerHello.From != key.to || peerHello.To != n.config.Self || peerHello.Class != key.class {
		return nil, errkind.New(errkind.Unauthorised, "check the instance list", "instance %.128s answered in place of %s", peerHello.From, key.to)
	}
	if err := rawConn.SetDeadline(time.Time{}); err != nil {
		return nil, err
	}
	return newSession(conn, rawConn, reader, key.class, n.timeouts), nil
}

// countingConn counts the bytes passed to the network. The count distinguishes a request that was not sent from one
// that may have been sent in part.
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

// unused reports whether the link has neither a usable connection nor a dial in progress. A locked link counts as used.
func (l *link) unused() bool {
	if !l.mu.TryLock() {
		return false
	}
	defer l.mu.Unlock()
	return l.dialDone == nil && (l.session == nil || !l.session.usable())
}
