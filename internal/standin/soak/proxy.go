package soak

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

// Sizes and timings of a proxy.
const (
	proxyBuffer = 16 << 10              // bytes passed on at a time
	holdPoll    = 10 * time.Millisecond // between looks at whether held bytes may pass
)

// way is a direction of a proxied connection.
type way int

const (
	toServer way = iota // from the side that dialled
	toDialler
)

// proxy passes TCP connections on to one address, disturbed as told. Bytes that are held arrive when the disturbance ends, as after
// a partition that TCP outlives.
type proxy struct {
	target   string
	listener net.Listener
	done     sync.WaitGroup

	mu    sync.Mutex
	delay time.Duration      // of each chunk
	held  [2]time.Time       // by way: nothing passes before
	conns map[*pair]struct{} // that are open
}

// pair is the two sides of a proxied connection.
type pair struct {
	dialler, server net.Conn
	muted           bool // nothing passes any more, without a reset
}

// newProxy listens on a free loopback address.
func newProxy(ctx context.Context, target string) (*proxy, error) {
	var config net.ListenConfig
	l, err := config.Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{target: target, listener: l, conns: map[*pair]struct{}{}}
	p.done.Go(func() { p.serve(ctx) })
	return p, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

func (p *proxy) serve(ctx context.Context) {
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			return // closed
		}
		p.done.Go(func() { p.connect(ctx, conn) })
	}
}

func (p *proxy) connect(ctx context.Context, conn net.Conn) {
	var dialer net.Dialer
	server, err := dialer.DialContext(ctx, "tcp", p.target)
	if err != nil {
		reset(conn) // nobody listens there at present
		return
	}
	link := &pair{dialler: conn, server: server}
	p.mu.Lock()
	p.conns[link] = struct{}{}
	p.mu.Unlock()
	var ways sync.WaitGroup
	ways.Go(func() { p.pass(link, conn, server, toServer) })
	ways.Go(func() { p.pass(link, server, conn, toDialler) })
	ways.Wait()
	p.mu.Lock()
	delete(p.conns, link)
	p.mu.Unlock()
}

// pass copies one way until a side closes, and then closes both.
func (p *proxy) pass(link *pair, from, to net.Conn, w way) {
	defer from.Close()
	defer to.Close()
	buffer := make([]byte, proxyBuffer)
	for {
		n, err := from.Read(buffer)
		if n > 0 && p.await(link, w) {
			_, writeErr := to.Write(buffer[:n])
			err = errors.Join(err, writeErr)
		}
		if err != nil {
			return // closed or reset by either side, which the other is told
		}
	}
}

// await waits until bytes may pass, and reports whether they are passed on at all.
func (p *proxy) await(link *pair, w way) bool {
	p.mu.Lock()
	delay := p.delay
	p.mu.Unlock()
	time.Sleep(delay)
	for {
		p.mu.Lock()
		muted, until := link.muted, p.held[w]
		p.mu.Unlock()
		if muted {
			return false
		}
		if time.Now().After(until) {
			return true
		}
		time.Sleep(holdPoll)
	}
}

// slow delays each chunk until length has passed.
func (p *proxy) slow(delay, length time.Duration) {
	p.setDelay(delay)
	time.AfterFunc(length, func() { p.setDelay(0) })
}

func (p *proxy) setDelay(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.delay = d
}

// hold stops the given ways for a time.
func (p *proxy) hold(length time.Duration, ways ...way) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, w := range ways {
		p.held[w] = time.Now().Add(length)
	}
}

// mute makes open connections silent for good; new ones work.
func (p *proxy) mute() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for link := range p.conns {
		link.muted = true
	}
}

// resetAll resets all open connections.
func (p *proxy) resetAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for link := range p.conns {
		reset(link.dialler)
		reset(link.server)
	}
}

// close ends the proxy and its connections.
func (p *proxy) close() {
	p.listener.Close()
	p.hold(0, toServer, toDialler)
	p.resetAll()
	p.done.Wait()
}

// reset closes a connection so that the peer sees a reset.
func reset(c io.Closer) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // it may be closed already
	}
	c.Close()
}
