package clientlimit

import (
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"time"
)

// headerSlack is added to the limit of a head's bytes, since the last read of a head may contain up to a buffer of what follows it.
const headerSlack = 4 << 10

// Response to a head over the limit. The client may still be sending, and would not see the response if the connection were closed with
// unread bytes, so a little is read before.
const (
	tooLargeResponse = "HTTP/1.1 431 Request Header Fields Too Large\r\nContent-Type: text/plain; charset=utf-8\r\nConnection: close\r\n\r\n" +
		"431 Request Header Fields Too Large"
	lingerTime  = 500 * time.Millisecond
	lingerBytes = 256 << 10
)

var errHeaderBytes = errors.New("the head of the request is larger than the limit")

// conn is a connection of a client.
type conn struct {
	net.Conn
	guard *Guard
	port  string

	writingSince  atomic.Int64 // start of the write in progress in Unix nanoseconds, 0 for none
	asked         atomic.Int64 // write deadline that the server has set in Unix nanoseconds, 0 for none
	writeDeadline atomic.Int64 // in force, in Unix nanoseconds

	phase atomic.Int32 // a phase; written under guard.mu

	// Guarded by guard.mu.
	held        int64
	headBytes   int64
	bodyBytes   int64
	since       time.Time // opening, beginning of a head, or end of the last response
	idleBounded bool      // the deadline of the idle time has been set; the next one is that of a head
	removed     bool
	reason      string // why it was chosen to be closed
	closed      bool
}

// weightedAge returns how long a connection has gone without a complete request, with the weight of its phase. It reports false if the
// connection must not be closed. guard.mu must be held.
func (c *conn) weightedAge(now time.Time) (age time.Duration, ok bool) {
	switch c.in() {
	case phaseHead, phaseBody: // incomplete
		return now.Sub(c.since) * pendingWeight, true
	case phaseAnswer:
		since := c.writingSince.Load()
		age = now.Sub(time.Unix(0, since))
		return age * pendingWeight, since != 0 && age >= unreadAfter
	}
	return now.Sub(c.since), true
}

// in returns the phase of the connection.
func (c *conn) in() phase { return phase(c.phase.Load()) }

// enter changes the phase of the connection. guard.mu must be held.
func (c *conn) enter(p phase) { c.phase.Store(int32(p)) }

// Read implements net.Conn. It charges what it reads.
func (c *conn) Read(p []byte) (int, error) {
	c.guard.awaitRoom(c)
	n, err := c.Conn.Read(p)
	if n > 0 && c.in() != phaseAnswer && !c.received(int64(n)) {
		c.rejectHead()
		return 0, &net.OpError{Op: "read", Net: "tcp", Err: errHeaderBytes} // net/http answers no error of this type
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		c.countTimeout()
	}
	return n, err
}

// received charges n bytes. It returns false if they exceed the limit of a head.
func (c *conn) received(n int64) bool {
	g := c.guard
	g.mu.Lock()
	if c.in() == phaseIdle {
		c.startHead()
	}
	fits := true
	switch c.in() {
	case phaseHead:
		c.headBytes += n
		fits = c.headBytes <= g.headerBytes+headerSlack
		g.charge(c, n*headerFactor)
	case phaseBody:
		c.bodyBytes += n
		g.charge(c, n*bodyFactor)
	}
	victims := g.reduce()
	g.mu.Unlock()
	g.closeAll(victims)
	return fits
}

// startHead begins the head of a further request. guard.mu must be held.
func (c *conn) startHead() {
	c.enter(phaseHead)
	c.headBytes, c.since = 0, time.Now()
}

// rejectHead answers a head over the limit, and reads a little of what the client still sends.
func (c *conn) rejectHead() {
	c.guard.refuse(reasonHeaderBytes, c.port)
	deadline := time.Now().Add(lingerTime)
	_ = c.SetDeadline(deadline)
	if _, err := io.WriteString(c.Conn, tooLargeResponse); err != nil {
		return
	}
	if t, ok := c.Conn.(*net.TCPConn); ok {
		_ = t.CloseWrite() // fails only if the client has closed the connection
	}
	_, _ = io.CopyBuffer(io.Discard, io.LimitReader(c.Conn, lingerBytes), make([]byte, 1<<10)) // ends at the deadline at the latest
}

// countTimeout counts a request that did not arrive in time. The end of an idle connection is no refusal.
func (c *conn) countTimeout() {
	switch c.in() { // in other phases net/http itself ended the read, or the connection was idle
	case phaseHead:
		c.guard.refuse(reasonHeaderTime, c.port)
	case phaseBody:
		c.guard.refuse(reasonBodyTime, c.port)
	}
}

// startAnswer is called when the head of a request has been read.
func (c *conn) startAnswer(h http.Header) {
	g := c.guard
	g.mu.Lock()
	c.enter(phaseAnswer)
	c.chargeRequest(h)
	victims := g.reduce()
	g.mu.Unlock()
	g.closeAll(victims)
}

// limitBodyTime sets the deadline of a body.
func (c *conn) limitBodyTime() {
	_ = c.Conn.SetReadDeadline(time.Now().Add(c.guard.limits.BodyTimeout)) // fails only if the connection is closed
}

// awaitBody is called when the rest of a body is waited for.
func (c *conn) awaitBody() {
	c.guard.mu.Lock()
	c.enter(phaseBody)
	c.guard.mu.Unlock()
}

// chargeRequest replaces the charge for the worst head by that for the one that was read. guard.mu must be held.
func (c *conn) chargeRequest(h http.Header) {
	n := connectionBytes + requestBytes + c.headBytes
	for _, values := range h {
		n += fieldBytes + int64(len(values))*valueBytes
	}
	c.guard.charge(c, n-c.held)
}

// completeRequest is called when the body of a request has been read. net/http has removed the read deadline by then.
func (c *conn) completeRequest() {
	c.guard.mu.Lock()
	c.enter(phaseAnswer)
	c.guard.charge(c, -c.bodyBytes*(bodyFactor-1)) // the buffers in which it was collected are free again
	c.bodyBytes = 0
	c.guard.mu.Unlock()
}

// hold charges n bytes of a response.
func (c *conn) hold(n int64) {
	g := c.guard
	g.mu.Lock()
	g.charge(c, n)
	victims := g.reduce()
	g.mu.Unlock()
	g.closeAll(victims)
}

// becomeIdle is called when a response is complete.
func (c *conn) becomeIdle() {
	g := c.guard
	g.mu.Lock()
	defer g.mu.Unlock()
	c.enter(phaseIdle)
	c.since, c.headBytes, c.bodyBytes = time.Now(), 0, 0
	c.idleBounded = false
	if !c.removed {
		g.discard(c.held - connectionBytes)
	}
	g.charge(c, connectionBytes-c.held)
}

// SetReadDeadline implements net.Conn. It extends the server's deadlines by what the operator's limits exceed the settings. After a response
// net/http sets a deadline for the idle time, and then one for the next head.
func (c *conn) SetReadDeadline(t time.Time) error {
	if !t.After(time.Now()) { // no deadline, or one that ends a read in progress
		return c.Conn.SetReadDeadline(t)
	}
	g := c.guard
	g.mu.Lock()
	if c.in() == phaseIdle && c.idleBounded { // the first bytes of the next head had arrived together with the last request
		c.startHead()
	}
	switch c.in() {
	case phaseIdle:
		c.idleBounded = true
		t = t.Add(g.extraIdle)
	case phaseHead:
		t = t.Add(g.extraHeader)
	}
	g.mu.Unlock()
	return c.Conn.SetReadDeadline(t)
}

// SetWriteDeadline implements net.Conn.
func (c *conn) SetWriteDeadline(t time.Time) error {
	asked := int64(0)
	if !t.IsZero() {
		asked = t.UnixNano()
	}
	c.asked.Store(asked)
	c.writeDeadline.Store(0)
	return c.Conn.SetWriteDeadline(t)
}

// Write implements net.Conn. Each write has a time limit of its own, so that a handler may take as long as its request may. A deadline of
// which three quarters remain is used again, since setting one is expensive compared with a short write.
func (c *conn) Write(p []byte) (int, error) {
	now := time.Now()
	c.writingSince.Store(now.UnixNano())
	limit := c.guard.limits.WriteTimeout
	if time.Unix(0, c.writeDeadline.Load()).Sub(now) < limit-limit/4 {
		deadline := now.Add(limit)
		if asked := c.asked.Load(); asked != 0 && asked < deadline.UnixNano() {
			deadline = time.Unix(0, asked)
		}
		_ = c.Conn.SetWriteDeadline(deadline) // fails only if the connection is closed
		c.writeDeadline.Store(deadline.UnixNano())
	}
	n, err := c.Conn.Write(p)
	c.writingSince.Store(0)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		c.guard.refuse(reasonUnread, c.port)
	}
	return n, err
}

// CloseWrite lets net/http send the end of its side before it closes the connection, so that the client can read the last response.
func (c *conn) CloseWrite() error {
	if t, ok := c.Conn.(*net.TCPConn); ok {
		return t.CloseWrite()
	}
	return nil
}

// Close implements net.Conn. Every way in which a connection ends leads here.
func (c *conn) Close() error {
	g := c.guard
	g.mu.Lock()
	if !c.closed {
		c.closed = true
		if !c.removed {
			g.remove(c)
		}
		g.closing--
		g.closingHeld -= c.held
		g.discard(c.held)
		c.held = 0
	}
	g.mu.Unlock()
	return c.Conn.Close()
}

// body is the body of a request. It tells the connection when it is being read and when it has been read.
type body struct {
	io.ReadCloser
	conn          *conn
	reading, read bool
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	if !b.reading {
		b.reading = true
		b.conn.awaitBody()
	}
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) && !b.read {
		b.read = true
		b.conn.completeRequest()
	}
	return n, err
}

// leave is called when the handler has returned. net/http reads a part of what the handler has not read.
func (b *body) leave() {
	if !b.read {
		b.conn.awaitBody()
	}
}
