package harness

import (
	"context"
	"net"
	"sync"
	"time"
)

// cutPoll is the interval between checks whether a cut has ended.
const cutPoll = 5 * time.Millisecond

// Link forwards TCP connections to an address and can be cut: nothing passes, nothing is reset, and what was held up is delivered when
// the cut ends, as after a partition that is shorter than TCP's own timeouts.
type Link struct {
	target   string
	listener net.Listener

	mu  sync.Mutex
	cut bool
}

// NewLink starts a link to an address.
func NewLink(ctx context.Context, target string) (*Link, error) {
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l := &Link{target: target, listener: listener}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return // closed
			}
			go l.connect(ctx, conn)
		}
	}()
	return l, nil
}

// Address is where the link listens.
func (l *Link) Address() string { return l.listener.Addr().String() }

// SetCut begins or ends a cut.
func (l *Link) SetCut(cut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut = cut
}

// await waits until the link is whole.
func (l *Link) await() {
	for {
		l.mu.Lock()
		cut := l.cut
		l.mu.Unlock()
		if !cut {
			return
		}
		time.Sleep(cutPoll)
	}
}

func (l *Link) connect(ctx context.Context, client net.Conn) {
	l.await()
	server, err := (&net.Dialer{}).DialContext(ctx, "tcp", l.target)
	if err != nil {
		client.Close()
		return
	}
	go l.forward(client, server)
	l.forward(server, client)
}

// forward copies one direction until either side closes, and then closes both.
func (l *Link) forward(from, to net.Conn) {
	defer from.Close()
	defer to.Close()
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			l.await()
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
