package minion

import (
	"errors"
	"net"
	"net/http/httptrace"
	"sync"
)

var errSealed = errors.New("request was abandoned before it was written")

// guardedConn is a connection that can be sealed against further writes. net/http writes a request in a separate
// goroutine, which may begin to write even after RoundTrip has returned an error. After sealing, the number of bytes
// written cannot grow, except by writes in progress.
type guardedConn struct {
	net.Conn

	mu      sync.Mutex
	sealed  bool
	pending int   // number of writes in progress
	written int64 // bytes passed to the kernel
}

// Write writes data unless the connection is sealed.
func (c *guardedConn) Write(data []byte) (int, error) {
	if !c.beginWrite() {
		return 0, errSealed
	}
	n, err := c.Conn.Write(data)
	c.endWrite(n)
	return n, err
}

func (c *guardedConn) beginWrite() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.sealed {
		return false
	}
	c.pending++
	return true
}

func (c *guardedConn) endWrite(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pending--
	c.written += int64(n)
}

func (c *guardedConn) writtenSoFar() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.written
}

// seal makes every later write fail. It reports whether anything was written after the first writtenBefore bytes, or is
// being written.
func (c *guardedConn) seal(writtenBefore int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sealed = true
	return c.pending > 0 || c.written > writtenBefore
}

// attempt records the connections that net/http used for one request. There can be several: net/http takes another one
// if an idle connection turns out to be closed before anything was written to it.
type attempt struct {
	mu    sync.Mutex
	conns []usedConn
}

type usedConn struct {
	conn          *guardedConn
	writtenBefore int64 // bytes written by earlier requests on the connection
}

func (a *attempt) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{GotConn: a.gotConn}
}

func (a *attempt) gotConn(info httptrace.GotConnInfo) {
	conn, ok := info.Conn.(*guardedConn)
	if !ok {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.conns = append(a.conns, usedConn{conn: conn, writtenBefore: conn.writtenSoFar()})
}

// abandon seals and closes every connection of the attempt. It reports whether any byte of the request may have been
// sent. If it returns false, none was sent and none will be.
func (a *attempt) abandon() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	sent := false
	for _, used := range a.conns {
		sent = used.conn.seal(used.writtenBefore) || sent
		used.conn.Close()
	}
	return sent
}
