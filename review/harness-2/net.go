package main

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

func sprintf(format string, args ...any) string { return fmt.Sprintf(format, args...) }

// jobOf returns the job of a task named ID.K.STEP.INDEX, stepName its ID.K.STEP, and stepOf the number of the step or -1.
func jobOf(task string) string { return strings.SplitN(task, ".", 2)[0] }

func stepName(task string) string { return task[:max(strings.LastIndexByte(task, '.'), 0)] }

func stepOf(task string) int {
	parts := strings.Split(task, ".")
	if len(parts) != 4 {
		return -1
	}
	n, err := strconv.Atoi(parts[2])
	if err != nil {
		return -1
	}
	return n
}

// reset closes a connection with a reset.
func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0) // without it the connection is closed in the usual way
	}
	_ = c.Close()
}

// pipeListener is a listener that is fed with accepted connections.
type pipeListener struct {
	address net.Addr
	conns   chan net.Conn
	once    sync.Once
	closed  chan struct{}
}

func newPipeListener(address net.Addr) *pipeListener {
	return &pipeListener{address: address, conns: make(chan net.Conn, 64), closed: make(chan struct{})}
}

func (l *pipeListener) add(c net.Conn) {
	select {
	case l.conns <- c:
	case <-l.closed:
		reset(c)
	}
}

// Accept implements net.Listener.
func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, http.ErrServerClosed
	}
}

// Close implements net.Listener.
func (l *pipeListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

// Addr implements net.Listener.
func (l *pipeListener) Addr() net.Addr { return l.address }

// proxy forwards connections to a target until it is cut. While it is cut, bytes are dropped silently and connections stay open, as
// behind a partition; when the cut heals, the connections of before are reset.
type proxy struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	cut   bool
	conns map[net.Conn]bool // connections that were open during a cut
}

func newProxy(target string) (*proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0") //nolint:noctx // a stand-in without a context of its own
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: l, target: target, conns: map[net.Conn]bool{}}
	go p.accept()
	return p, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

func (p *proxy) accept() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		p.mu.Lock()
		p.conns[c] = true
		cut := p.cut
		p.mu.Unlock()
		if cut {
			continue // nothing answers; the caller's time limit ends the attempt
		}
		go p.forward(c)
	}
}

// forward copies bytes both ways as long as the proxy is not cut.
func (p *proxy) forward(c net.Conn) {
	t, err := net.Dial("tcp", p.target) //nolint:noctx // a stand-in without a context of its own
	if err != nil {
		reset(c)
		return
	}
	p.mu.Lock()
	p.conns[t] = true
	p.mu.Unlock()
	copyBytes := func(to, from net.Conn) {
		buffer := make([]byte, 64<<10)
		for {
			n, err := from.Read(buffer)
			p.mu.Lock()
			cut := p.cut
			p.mu.Unlock()
			if cut {
				return // the bytes are dropped; heal resets the connection
			}
			if n > 0 {
				if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
					err = writeErr
				}
			}
			if err != nil {
				_ = to.Close()
				_ = from.Close()
				p.mu.Lock()
				delete(p.conns, to)
				delete(p.conns, from)
				p.mu.Unlock()
				return
			}
		}
	}
	go copyBytes(t, c)
	copyBytes(c, t)
}

// setCut begins or ends a cut.
func (p *proxy) setCut(cut bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cut = cut
	if cut {
		return
	}
	for c := range p.conns {
		reset(c)
	}
	p.conns = map[net.Conn]bool{}
}

// waitFor polls until a condition holds, and reports whether it did in time.
func waitFor(limit time.Duration, condition func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); {
		if condition() {
			return true
		}
		time.Sleep(10 * time.Millisecond)
	}
	return condition()
}
