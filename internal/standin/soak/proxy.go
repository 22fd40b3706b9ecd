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
	proxyBuffer = 16 << 10              // bytes forwarded at a time
	blockPoll   = 10 * time.Millisecond // interval between checks whether a block has ended
)

// direction is a direction of a proxied connection.
type direction int

const (
	toServer direction = iota // bytes from the client, which dialled, to the server
	toClient
)

// proxy forwards TCP connections to one address and can delay, block or reset them. Blocked bytes are delivered when the block
// ends, as after a network partition that is shorter than TCP's own timeouts.
type proxy struct {
	target   string
	listener net.Listener
	done     sync.WaitGroup

	mu           sync.Mutex
	delay        time.Duration          // delay of each chunk
	blockedUntil [2]time.Time           // time before which nothing is forwarded, by direction
	droppedUntil time.Time              // time before which new connections are muted
	conns        map[*connPair]struct{} // open connections
}

// connPair is the two sides of a proxied connection.
type connPair struct {
	client, server net.Conn
	muted          bool // nothing is forwarded any more, and the connection is not reset
}

// newProxy starts a proxy on a free loopback address.
func newProxy(ctx context.Context, target string) (*proxy, error) {
	var config net.ListenConfig
	l, err := config.Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{target: target, listener: l, conns: map[*connPair]struct{}{}}
	p.done.Go(func() { p.serve(ctx) })
	return p, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

func (p *proxy) serve(ctx context.Context) {
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			return // the listener was closed
		}
		p.done.Go(func() { p.connect(ctx, conn) })
	}
}

func (p *proxy) connect(ctx context.Context, conn net.Conn) {
	var dialer net.Dialer
	server, err := dialer.DialContext(ctx, "tcp", p.target)
	if err != nil {
		reset(conn) // the target is not listening at present
		return
	}
	pair := &connPair{client: conn, server: server}
	p.mu.Lock()
	pair.muted = time.Now().Before(p.droppedUntil)
	p.conns[pair] = struct{}{}
	p.mu.Unlock()
	var directions sync.WaitGroup
	directions.Go(func() { p.forward(pair, conn, server, toServer) })
	directions.Go(func() { p.forward(pair, server, conn, toClient) })
	directions.Wait()
	p.mu.Lock()
	delete(p.conns, pair)
	p.mu.Unlock()
}

// forward copies one direction until either side closes, and then closes both.
func (p *proxy) forward(pair *connPair, from, to net.Conn, d direction) {
	defer from.Close()
	defer to.Close()
	buffer := make([]byte, proxyBuffer)
	for {
		n, err := from.Read(buffer)
		if n > 0 && p.waitToForward(pair, d) {
			_, writeErr := to.Write(buffer[:n])
			err = errors.Join(err, writeErr)
		}
		if err != nil {
			return // closed or reset by either side; the deferred calls close both
		}
	}
}

// waitToForward waits out the delay and any block of a direction. It returns false if the connection is muted.
func (p *proxy) waitToForward(pair *connPair, d direction) bool {
	p.mu.Lock()
	delay := p.delay
	p.mu.Unlock()
	time.Sleep(delay)
	for {
		p.mu.Lock()
		muted, until := pair.muted, p.blockedUntil[d]
		p.mu.Unlock()
		if muted {
			return false
		}
		if time.Now().After(until) {
			return true
		}
		time.Sleep(blockPoll)
	}
}

// delayFor delays each chunk for a time.
func (p *proxy) delayFor(delay, length time.Duration) {
	p.setDelay(delay)
	time.AfterFunc(length, func() { p.setDelay(0) })
}

func (p *proxy) setDelay(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.delay = d
}

// block stops forwarding in the given directions for a time.
func (p *proxy) block(length time.Duration, directions ...direction) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, d := range directions {
		p.blockedUntil[d] = time.Now().Add(length)
	}
}

// mute stops forwarding on the open connections for good, without closing them; new connections work.
func (p *proxy) mute() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for pair := range p.conns {
		pair.muted = true
	}
}

// drop loses all that is sent for a time, as a partition that is longer than the senders' timeouts.
func (p *proxy) drop(length time.Duration) {
	p.mu.Lock()
	p.droppedUntil = time.Now().Add(length)
	p.mu.Unlock()
	p.mute()
}

// resetAll resets both sides of all open connections.
func (p *proxy) resetAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for pair := range p.conns {
		reset(pair.client)
		reset(pair.server)
	}
}

// close stops the proxy and resets its connections.
func (p *proxy) close() {
	p.listener.Close()
	p.block(0, toServer, toClient) // ends active blocks, so that forward can return
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
