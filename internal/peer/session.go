package peer

import (
	"bufio"
	"context"
	"crypto/tls"
	"errors"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"dogwoodnotch.example/dogwoodnotch/internal/errkind"
)

// silenceLimit is how long a connection may be silent while a call waits before later calls use a new one. It lets
// calls resume soon after a partition heals, when TCP would retransmit on the old connection only after minutes.
const silenceLimit = time.Second

// errConnectionLost ends the calls that wait for an answer when their connection fails.
var errConnectionLost = errors.New("connection was lost before the answer arrived")

// session is the dialer's end of a connection: many calls share it, one goroutine reads the answers.
type session struct {
	conn     *tls.Conn
	counted  *countingConn
	reader   *bufio.Reader
	class    class
	timeouts timeouts
	writing  chan struct{} // held while a frame is written
	lastRead atomic.Int64  // Unix time in ns
	done     chan struct{} // closed when the connection has failed

	mu      sync.Mutex
	pending map[uint64]chan *message
	nextID  uint64
	failed  bool
	retired bool // takes no new calls, closes after the last answer
}

func newSession(conn *tls.Conn, counted *countingConn, reader *bufio.Reader, c class, limits timeouts) *session {
	s := &session{
		conn:     conn,
		counted:  counted,
		reader:   reader,
		class:    c,
		timeouts: limits,
		writing:  make(chan struct{}, 1),
		done:     make(chan struct{}),
		pending:  make(map[uint64]chan *message),
	}
	s.lastRead.Store(time.Now().UnixNano())
	return s
}

// usable reports whether the session takes new calls.
func (s *session) usable() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.failed && !s.retired
}

// read hands answers to their callers until the connection fails or has been idle for too long.
func (s *session) read() {
	defer s.fail()
	for {
		data, err := s.next()
		if err != nil {
			return
		}
		var answer message
		if err := decodeValue(data, &answer); err != nil {
			return
		}
		s.lastRead.Store(time.Now().UnixNano())
		s.deliver(&answer)
	}
}

func (s *session) next() ([]byte, error) {
	for {
		if err := s.conn.SetReadDeadline(time.Now().Add(s.timeouts.idle)); err != nil {
			return nil, err
		}
		_, err := s.reader.Peek(1)
		if err == nil {
			break
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) || s.idle() {
			return nil, err
		}
	}
	if err := s.conn.SetReadDeadline(time.Now().Add(s.timeouts.frame)); err != nil {
		return nil, err
	}
	return readFrame(s.reader, s.class.limit())
}

// idle reports whether no call waits, and then takes no more calls.
func (s *session) idle() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.pending) > 0 {
		return false
	}
	s.retired = true
	return true
}

// deliver hands an answer to its caller; an answer that nobody waits for any more is dropped.
func (s *session) deliver(answer *message) {
	s.mu.Lock()
	waiter := s.pending[answer.ID]
	delete(s.pending, answer.ID)
	s.mu.Unlock()
	if waiter != nil {
		waiter <- answer // has room for one
	}
	s.closeIfDrained()
}

// fail ends the session and all calls that wait.
func (s *session) fail() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.failed {
		return
	}
	s.failed = true
	close(s.done)
	s.counted.Close()
}

// closeIfDrained closes a retired session without calls; its reader then ends.
func (s *session) closeIfDrained() {
	s.mu.Lock()
	drained := s.retired && len(s.pending) == 0
	s.mu.Unlock()
	if drained {
		s.counted.Close()
	}
}

// add registers a call.
func (s *session) add() (uint64, chan *message, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.failed || s.retired {
		return 0, nil, errors.Join(ErrNotSent, net.ErrClosed)
	}
	if len(s.pending) >= maxPending {
		return 0, nil, errkind.Wrap(ErrNotSent, errkind.Overloaded, "try again later", "too many calls to one instance are waiting")
	}
	s.nextID++
	waiter := make(chan *message, 1)
	s.pending[s.nextID] = waiter
	return s.nextID, waiter, nil
}

func (s *session) remove(id uint64) {
	s.mu.Lock()
	delete(s.pending, id)
	s.mu.Unlock()
	s.closeIfDrained()
}

// call sends one request and waits for its answer.
func (s *session) call(ctx context.Context, kind string, payload []byte) (*message, error) {
	id, waiter, err := s.add()
	if err != nil {
		return nil, err
	}
	defer s.remove(id)
	sentAt := time.Now()
	if err := s.send(ctx, &message{Version: protocolVersion, ID: id, Kind: kind, Payload: payload}); err != nil {
		return nil, err
	}
	select {
	case answer := <-waiter:
		return answer, nil
	case <-s.done:
		return s.late(waiter)
	case <-ctx.Done():
		s.retireIfSilent(sentAt)
		return nil, ctx.Err()
	}
}

// late returns an answer that arrived together with the failure of the connection.
func (s *session) late(waiter chan *message) (*message, error) {
	select {
	case answer := <-waiter:
		return answer, nil
	default:
		return nil, errConnectionLost
	}
}

// retireIfSilent makes later calls use a new connection when nothing has arrived on this one since sentAt.
func (s *session) retireIfSilent(sentAt time.Time) {
	if time.Since(sentAt) < silenceLimit || s.lastRead.Load() > sentAt.UnixNano() {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.retired = true
}

// send writes a request. Its error holds ErrNotSent when no byte of the request was handed to the network.
func (s *session) send(ctx context.Context, request *message) error {
	select {
	case s.writing <- struct{}{}:
	case <-ctx.Done():
		return errors.Join(ErrNotSent, ctx.Err())
	}
	defer func() { <-s.writing }()
	now := time.Now()
	deadline, _ := ctx.Deadline()
	request.setDeadline(deadline, now)
	frame, err := encodeFrame(request, s.class.limit())
	if err != nil {
		return errkind.Wrap(errors.Join(ErrNotSent, err), errkind.TooLarge, "send less", "request %s is too large", request.Kind)
	}
	if err := s.conn.SetWriteDeadline(earlier(deadline, now.Add(s.timeouts.frame))); err != nil {
		return errors.Join(ErrNotSent, err)
	}
	before := s.counted.written.Load()
	_, err = s.conn.Write(frame)
	if err == nil {
		return nil
	}
	s.fail()
	if s.counted.written.Load() == before {
		return errors.Join(ErrNotSent, err)
	}
	return err
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
