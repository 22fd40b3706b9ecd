package peer

import (
	"bufio"
	"context"
	"crypto/tls"
	"encoding/binary"
	"errors"
	"net"
	"os"
	"time"

	"dogwoodnotch.example/dogwoodnotch/internal/errkind"
	"dogwoodnotch.example/dogwoodnotch/internal/event"
	"dogwoodnotch.example/dogwoodnotch/internal/structs"
)

// inbound is the listener's end of a connection whose dialer has proved possession of a shared key.
type inbound struct {
	node         *Node
	conn         *tls.Conn
	reader       *bufio.Reader
	from         structs.InstanceID
	class        class
	runningCalls chan struct{} // semaphore with one element for each running call
	writeLock    chan struct{} // held while a frame is written
}

// accept starts the handshake of a new connection, or closes it if there are too many handshakes.
func (n *Node) accept(conn net.Conn) {
	if !n.handshakeLimiter.Allow() || !n.track(conn) {
		conn.Close()
		return
	}
	select {
	case n.runningHandshakes <- struct{}{}:
	default:
		n.untrack(conn)
		return
	}
	started := n.spawn(func() {
		defer n.untrack(conn)
		in, err := n.handshakeAsListener(conn)
		<-n.runningHandshakes
		if err != nil {
			n.reportRejected(conn, err)
			return
		}
		in.serve()
	})
	if !started {
		<-n.runningHandshakes
		n.untrack(conn)
	}
}

func (n *Node) reportRejected(conn net.Conn, err error) {
	n.metrics.rejected.Inc(1)
	if n.ctx.Err() == nil && n.eventLimiter.Allow() {
		n.config.Events.Emit(eventConnectionRejected, event.F("address", conn.RemoteAddr()), event.F("cause", err))
	}
}

// handshakeAsListener performs the listener's part of the handshake. The dialer proves its key first, so that an
// unauthenticated peer learns nothing.
func (n *Node) handshakeAsListener(rawConn net.Conn) (*inbound, error) {
	if err := rawConn.SetDeadline(time.Now().Add(n.timeouts.handshake)); err != nil {
		return nil, err
	}
	conn := tls.Server(rawConn, n.tls)
	if err := conn.HandshakeContext(n.ctx); err != nil {
		return nil, err
	}
	exported, err := exportKeyingMaterial(conn)
	if err != nil {
		return nil, err
	}
	reader := bufio.NewReader(conn)
	peerHello, err := readHello(reader)
	if err != nil {
		return nil, err
	}
	ownHello := &hello{From: n.config.Self, To: peerHello.From, Class: peerHello.Class}
	err = n.checkDialer(peerHello, exported)
	if err == nil {
		ownHello.sign(n.config.Keys, exported, roleListener)
	} else {
		ownHello = &hello{Version: protocolVersion, Error: toWire(err)}
	}
	return &inbound{
		node:         n,
		conn:         conn,
		reader:       reader,
		from:         peerHello.From,
		class:        peerHello.Class,
		runningCalls: make(chan struct{}, peerHello.Class.maxRunning()),
		writeLock:    make(chan struct{}, 1),
	}, errors.Join(err, writeHello(conn, ownHello))
}

func (c class) maxRunning() int {
	if c == classBulk {
		return maxRunningBulk
	}
	return maxRunningControl
}

// checkDialer decides by the dialer's hello whether its connection is accepted.
func (n *Node) checkDialer(peerHello *hello, exported []byte) error {
	if err := peerHello.verify(n.config.Keys, exported, roleDialer); err != nil {
		return err
	}
	if peerHello.To != n.config.Self {
		return errkind.New(errkind.NotFound, "wait for the instance list to catch up",
			"this is instance %s, not %.128s", n.config.Self, peerHello.To)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if len(n.conns) > maxInboundConns {
		return errkind.New(errkind.Overloaded, "try again later", "instance %s has too many peer connections", n.config.Self)
	}
	return nil
}

func readHello(reader *bufio.Reader) (*hello, error) {
	data, err := readFrame(reader, maxHelloBytes)
	if err != nil {
		return nil, err
	}
	var h hello
	return &h, decodeValue(data, &h)
}

func writeHello(conn net.Conn, h *hello) error {
	frame, err := encodeFrame(h, 2*maxErrorTextBytes+maxHelloBytes)
	if err != nil {
		return err
	}
	_, err = conn.Write(frame)
	return err
}

// serve reads requests until the connection fails, violates the protocol or is idle for too long.
func (in *inbound) serve() {
	for {
		data, release, err := in.nextFrame()
		if err != nil {
			return
		}
		var request message
		if err := decodeValue(data, &request); err != nil {
			release()
			return
		}
		in.dispatch(&request, release)
	}
}

// nextFrame reads one frame. A large frame reserves part of inboundMemory, and release returns it.
func (in *inbound) nextFrame() (data []byte, release func(), err error) {
	size, err := in.awaitFrameLength()
	if err != nil {
		return nil, nil, err
	}
	release = func() {}
	if size > largeFrameBytes {
		if err := in.node.inboundMemory.Acquire(in.node.ctx, int64(size)); err != nil {
			return nil, nil, err
		}
		release = func() { in.node.inboundMemory.Release(int64(size)) }
	}
	err = in.conn.SetReadDeadline(time.Now().Add(in.node.timeouts.frame))
	if err == nil {
		data, err = readFrame(in.reader, in.class.limit())
	}
	if err != nil {
		release()
		return nil, nil, err
	}
	return data, release, nil
}

// awaitFrameLength waits for the next frame and returns its length. It consumes no bytes.
func (in *inbound) awaitFrameLength() (int, error) {
	for {
		if err := in.conn.SetReadDeadline(time.Now().Add(in.node.timeouts.idle)); err != nil {
			return 0, err
		}
		_, err := in.reader.Peek(1)
		if err == nil {
			break
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) || len(in.runningCalls) == 0 {
			return 0, err
		}
	}
	if err := in.conn.SetReadDeadline(time.Now().Add(in.node.timeouts.frame)); err != nil {
		return 0, err
	}
	header, err := in.reader.Peek(headerBytes)
	if err != nil {
		return 0, err
	}
	size := binary.BigEndian.Uint32(header)
	if size > uint32(in.class.limit()) {
		return 0, errFrameTooLarge
	}
	return int(size), nil
}

// dispatch runs a request in its own goroutine, or refuses it if too many calls are running.
func (in *inbound) dispatch(request *message, release func()) {
	if request.Version != protocolVersion {
		release()
		in.answer(request.ID, nil, wrongVersion(request.Version))
		return
	}
	select {
	case in.runningCalls <- struct{}{}:
	default:
		release()
		in.node.metrics.refused.Inc(1)
		in.answer(request.ID, nil, errkind.New(errkind.Overloaded, "try again later", "too many calls from one instance are running"))
		return
	}
	started := in.node.spawn(func() {
		defer func() { <-in.runningCalls }()
		defer release()
		payload, err := in.handle(request)
		in.answer(request.ID, payload, err)
	})
	if !started {
		<-in.runningCalls
		release()
	}
}

// handle runs the handler until the caller's deadline. A lost connection does not cancel it: the caller may retry
// through another instance, and the result is then available.
func (in *inbound) handle(request *message) ([]byte, error) {
	ctx, cancel := context.WithDeadline(in.node.ctx, request.deadline(time.Now()))
	defer cancel()
	if ctx.Err() != nil {
		return nil, errkind.New(errkind.Deadline, "allow more time", "the deadline of %s passed before it was started", request.Kind)
	}
	return in.node.runHandler(ctx, in.from, request.Kind, request.Payload)
}

// answer writes an answer. It closes the connection if that does not succeed in time.
func (in *inbound) answer(id uint64, payload []byte, failure error) {
	reply := &message{Version: protocolVersion, ID: id, Payload: payload}
	if failure != nil {
		reply.Error = toWire(failure)
	}
	frame, err := encodeFrame(reply, in.class.limit())
	if err != nil {
		in.node.config.Events.Emit(eventAnswerTooLarge, event.F("to", in.from), event.F("cause", err))
		reply = &message{Version: protocolVersion, ID: id, Error: toWire(errkind.Wrap(err, errkind.TooLarge, "ask for less", "the answer is too large"))}
		frame, err = encodeFrame(reply, in.class.limit())
	}
	if err != nil {
		in.conn.NetConn().Close()
		return
	}
	in.writeLock <- struct{}{} // each holder writes for at most timeouts.frame
	defer func() { <-in.writeLock }()
	err = in.conn.SetWriteDeadline(time.Now().Add(in.node.timeouts.frame))
	if err == nil {
		_, err = in.conn.Write(frame)
	}
	if err != nil {
		in.conn.NetConn().Close()
	}
}
