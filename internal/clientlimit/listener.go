package clientlimit

import (
	"errors"
	"net"
	"time"

	"golang.org/x/sys/unix"
)

// Pauses of Accept.
const (
	minAcceptPause = 10 * time.Millisecond // after an error, doubled up to maxAcceptPause
	maxAcceptPause = time.Second
	closingPause   = 2 * time.Millisecond // between two looks at the number of connections that are ending
	maxRoomWait    = time.Second          // of one read for memory that is being released
)

// listener counts the connections that it accepts.
type listener struct {
	net.Listener
	guard *Guard
	port  string
}

// Listener returns a listener whose connections the guard bounds. The port is its name in metrics and log lines.
func (g *Guard) Listener(l net.Listener, port string) net.Listener {
	if t, ok := l.(*net.TCPListener); ok && g.limits.SocketBytes > 0 {
		setSocketBuffers(t, g.limits.SocketBytes)
	}
	return &listener{Listener: l, guard: g, port: port}
}

// setSocketBuffers sets the size of the buffers that accepted connections have. Bytes that a client sends unasked wait there.
func setSocketBuffers(l *net.TCPListener, bytes int) {
	raw, err := l.SyscallConn()
	if err != nil {
		return // the listener is closed
	}
	_ = raw.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, bytes) // the kernel's own sizes remain if it refuses
		_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_SNDBUF, bytes)
	})
}

// Accept implements net.Listener. It returns an error only when the listener is closed.
func (l *listener) Accept() (net.Conn, error) {
	for pause := minAcceptPause; ; {
		l.guard.awaitTurn()
		accepted, err := l.Listener.Accept()
		switch {
		case errors.Is(err, net.ErrClosed):
			return nil, err
		case err != nil: // no descriptor or no memory is left, or the client has gone already
			l.guard.refuse(reasonAccept, l.port)
			l.guard.closeWorst()
			time.Sleep(pause)
			pause = min(2*pause, maxAcceptPause)
			continue
		}
		pause = minAcceptPause
		c := &conn{Conn: accepted, guard: l.guard, port: l.port}
		if l.guard.add(c) {
			return c, nil
		}
		reset(accepted)
		l.guard.refuse(reasonConnections, l.port)
	}
}

// closeWorst closes the worst connection.
func (g *Guard) closeWorst() {
	g.mu.Lock()
	chosen := g.choose(1, 0)
	g.mu.Unlock()
	g.closeAll(chosen)
}

// awaitTurn waits a little before a connection is accepted: while many connections that were closed still have a goroutine, so that closing
// keeps up with opening, and while all connections are too young to be closed for a new one.
func (g *Guard) awaitTurn() {
	for deadline := time.Now().Add(g.limits.Grace); ; time.Sleep(closingPause) {
		g.mu.Lock()
		ready := g.closing <= g.limits.Connections/8 && (len(g.conns) < g.limits.Connections || g.hasOld())
		g.mu.Unlock()
		if ready || time.Now().After(deadline) {
			return
		}
	}
}

// hasOld reports whether there is a connection that is old enough to be closed for a new one. While many have not sent a complete request,
// idle ones are spared, since one of the others is old enough soon. g.mu must be held.
func (g *Guard) hasOld() bool {
	now, pending, idle := time.Now(), 0, false
	for c := range g.conns {
		age, ok := c.weightedAge(now)
		switch {
		case !ok:
		case c.in() == phaseIdle:
			idle = idle || age >= g.limits.Grace
		case age >= g.limits.Grace*pendingWeight:
			return true
		default:
			pending++
		}
	}
	return idle && pending <= g.limits.Connections/8
}
