package minion

import (
	"errors"
	"net"
	"net/http/httptrace"
	"sync"
)

var errSealed = errors.New("the request was given up before it was written")

// guardedConn is a connection whose writes can be ended. net/http writes a request in a goroutine of its own, which may
// still start to write after RoundTrip has returned an error; sealing makes the number of bytes written final.
type guardedConn struct {
	net.Conn

	mu      sync.Mutex
	sealed  bool
	pending int   // writes in progress
	written int64 // bytes handed to the kernel
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

// seal makes every later write fail. It reports whether a write after base bytes took place or is in progress.
func (c *guardedConn) seal(base int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sealed = true
	return c.pending > 0 || c.written > base
}

// attempt follows the connections that net/http chooses for one request: more than one when a kept connection turned
// out to be closed before anything was written to it.
type attempt struct {
	mu    sync.Mutex
	conns []usedConn
}

type usedConn struct {
	conn *guardedConn
	base int64 // bytes that earlier requests had written
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
	a.conns = append(a.conns, usedConn{conn: conn, base: conn.writtenSoFar()})
}

// abandon seals and closes every connection of the attempt. It reports whether any byte of the request may have been
// sent; when it returns false, none ever will be.
func (a *attempt) abandon() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	sent := false
	for _, used := range a.conns {
		sent = used.conn.seal(used.base) || sent
		used.conn.Close()
	}
	return sent
}
