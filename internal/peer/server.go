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

// inbound is the listener's end of a connection that has proved a shared key.
type inbound struct {
	node    *Node
	conn    *tls.Conn
	reader  *bufio.Reader
	from    structs.InstanceID
	class   class
	running chan struct{} // one element for each running call
	writing chan struct{} // held while a frame is written
}

// accept starts the handshake of a new connection, or closes it when too many are waiting.
func (n *Node) accept(conn net.Conn) {
	if !n.dials.Allow() || !n.track(conn) {
		conn.Close()
		return
	}
	select {
	case n.handshakes <- struct{}{}:
	default:
		n.untrack(conn)
		return
	}
	started := n.spawn(func() {
		defer n.untrack(conn)
		in, err := n.welcome(conn)
		<-n.handshakes
		if err != nil {
			n.reportStranger(conn, err)
			return
		}
		in.serve()
	})
	if !started {
		<-n.handshakes
		n.untrack(conn)
	}
}

func (n *Node) reportStranger(conn net.Conn, err error) {
	n.metrics.strangers.Inc(1)
	if n.ctx.Err() == nil && n.reports.Allow() {
		n.config.Events.Emit(eventStranger, event.F("address", conn.RemoteAddr()), event.F("cause", err))
	}
}

// welcome does the listener's part of the handshake. The dialer proves its key first, so a stranger learns nothing.
func (n *Node) welcome(raw net.Conn) (*inbound, error) {
	if err := raw.SetDeadline(time.Now().Add(n.timeouts.handshake)); err != nil {
		return nil, err
	}
	conn := tls.Server(raw, n.tls)
	if err := conn.HandshakeContext(n.ctx); err != nil {
		return nil, err
	}
	exported, err := export(conn)
	if err != nil {
		return nil, err
	}
	reader := bufio.NewReader(conn)
	theirs, err := readHello(reader)
	if err != nil {
		return nil, err
	}
	ours := &hello{From: n.config.Self, To: theirs.From, Class: theirs.Class}
	err = n.admit(theirs, exported)
	if err == nil {
		ours.sign(n.config.Keys, exported, roleListener)
	} else {
		ours = &hello{Version: protocolVersion, Error: toWire(err)}
	}
	return &inbound{
		node:    n,
		conn:    conn,
		reader:  reader,
		from:    theirs.From,
		class:   theirs.Class,
		running: make(chan struct{}, theirs.Class.maxRunning()),
		writing: make(chan struct{}, 1),
	}, errors.Join(err, writeHello(conn, ours))
}

func (c class) maxRunning() int {
	if c == classBulk {
		return maxRunningBulk
	}
	return maxRunningControl
}

// admit checks a dialer that has sent its hello.
func (n *Node) admit(theirs *hello, exported []byte) error {
	if err := theirs.verify(n.config.Keys, exported, roleDialer); err != nil {
		return err
	}
	if theirs.To != n.config.Self {
		return errkind.New(errkind.NotFound, "wait for the instance list to catch up",
			"this is instance %s, not %.128s", n.config.Self, theirs.To)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if len(n.conns) > maxInbound {
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
	frame, err := encodeFrame(h, 2*maxErrorText+maxHelloBytes)
	if err != nil {
		return err
	}
	_, err = conn.Write(frame)
	return err
}

// serve reads requests until the connection fails, breaks the protocol or is idle for too long.
func (in *inbound) serve() {
	for {
		data, release, err := in.next()
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

// next reads one frame. release gives back the memory that it counts against.
func (in *inbound) next() (data []byte, release func(), err error) {
	size, err := in.awaitFrame()
	if err != nil {
		return nil, nil, err
	}
	release = func() {}
	if size > largeFrame {
		if err := in.node.inboundBytes.Acquire(in.node.ctx, int64(size)); err != nil {
			return nil, nil, err
		}
		release = func() { in.node.inboundBytes.Release(int64(size)) }
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

// awaitFrame waits for the length of the next frame and leaves it in the reader.
func (in *inbound) awaitFrame() (int, error) {
	for {
		if err := in.conn.SetReadDeadline(time.Now().Add(in.node.timeouts.idle)); err != nil {
			return 0, err
		}
		_, err := in.reader.Peek(1)
		if err == nil {
			break
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) || len(in.running) == 0 {
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

// dispatch runs a request in its own goroutine, or refuses it when too many are running.
func (in *inbound) dispatch(request *message, release func()) {
	if request.Version != protocolVersion {
		release()
		in.answer(request.ID, nil, wrongVersion(request.Version))
		return
	}
	select {
	case in.running <- struct{}{}:
	default:
		release()
		in.node.metrics.refused.Inc(1)
		in.answer(request.ID, nil, errkind.New(errkind.Overloaded, "try again later", "too many calls from one instance are running"))
		return
	}
	started := in.node.spawn(func() {
		defer func() { <-in.running }()
		defer release()
		payload, err := in.handle(request)
		in.answer(request.ID, payload, err)
	})
	if !started {
		<-in.running
		release()
	}
}

// handle runs the handler until the caller's deadline. A lost connection does not end it: the caller may ask again
// through another instance, and its answer is then already there.
func (in *inbound) handle(request *message) ([]byte, error) {
	ctx, cancel := context.WithDeadline(in.node.ctx, request.deadline(time.Now()))
	defer cancel()
	if ctx.Err() != nil {
		return nil, errkind.New(errkind.Deadline, "allow more time", "the deadline of %s passed before it was started", request.Kind)
	}
	return in.node.run(ctx, in.from, request.Kind, request.Payload)
}

// answer writes an answer. A connection that cannot take it in time is closed.
func (in *inbound) answer(id uint64, payload []byte, failure error) {
	reply := &message{Version: protocolVersion, ID: id, Payload: payload}
	if failure != nil {
		reply.Error = toWire(failure)
	}
	frame, err := encodeFrame(reply, in.class.limit())
	if err != nil {
		in.node.config.Events.Emit(eventOversized, event.F("to", in.from), event.F("cause", err))
		reply = &message{Version: protocolVersion, ID: id, Error: toWire(errkind.Wrap(err, errkind.TooLarge, "ask for less", "the answer is too large"))}
		frame, err = encodeFrame(reply, in.class.limit())
	}
	if err != nil {
		in.conn.NetConn().Close()
		return
	}
	in.writing <- struct{}{} // each holder writes for at most timeouts.frame
	defer func() { <-in.writing }()
	err = in.conn.SetWriteDeadline(time.Now().Add(in.node.timeouts.frame))
	if err == nil {
		_, err = in.conn.Write(frame)
	}
	if err != nil {
		in.conn.NetConn().Close()
	}
}
