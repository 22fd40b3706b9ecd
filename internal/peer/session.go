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

// silenceLimit is the time without any received answer, while a call waits, after which later calls use a new
// connection. It lets calls resume soon after a partition heals; TCP may retransmit on the old connection only minutes
// later.
const silenceLimit = time.Second

// errConnectionLost is the error of the calls that wait for an answer when their connection fails.
var errConnectionLost = errors.New("connection was lost before the answer arrived")

// session is the dialer's end of a connection. Many calls share it; one goroutine reads the answers.
type session struct {
	conn      *tls.Conn
	rawConn   *countingConn
	reader    *bufio.Reader
	class     class
	timeouts  timeouts
	writeLock chan struct{} // held while a frame is written
	lastRead  atomic.Int64  // Unix time in ns of the last received answer or, before the first, of the connection
	done      chan struct{} // closed when the connection has failed

	mu      sync.Mutex
	pending map[uint64]chan *message
	nextID  uint64
	failed  bool
	retired bool // accepts no new calls and closes after the last answer
}

func newSession(conn *tls.Conn, rawConn *countingConn, reader *bufio.Reader, connClass class, limits timeouts) *session {
	s := &session{
		conn:      conn,
		rawConn:   rawConn,
		reader:    reader,
		class:     connClass,
		timeouts:  limits,
		writeLock: make(chan struct{}, 1),
		done:      make(chan struct{}),
		pending:   make(map[uint64]chan *message),
	}
	s.lastRead.Store(time.Now().UnixNano())
	return s
}

// usable reports whether the session accepts new calls.
func (s *session) usable() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.failed && !s.retired
}

// readAnswers delivers answers to their callers until the connection fails or has been idle for too long.
func (s *session) readAnswers() {
	defer s.fail()
	for {
		data, err := s.nextFrame()
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

func (s *session) nextFrame() ([]byte, error) {
	for {
		if err := s.conn.SetReadDeadline(time.Now().Add(s.timeouts.idle)); err != nil {
			return nil, err
		}
		_, err := s.reader.Peek(1)
		if err == nil {
			break
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) || s.retireIfIdle() {
			return nil, err
		}
	}
	if err := s.conn.SetReadDeadline(time.Now().Add(s.timeouts.frame)); err != nil {
		return nil, err
	}
	return readFrame(s.reader, s.class.limit())
}

// retireIfIdle retires the session if no call waits, and reports whether it did.
func (s *session) retireIfIdle() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.pending) > 0 {
		return false
	}
	s.retired = true
	return true
}

// deliver passes an answer to its caller, or drops it if the caller no longer waits.
func (s *session) deliver(answer *message) {
	s.mu.Lock()
	waiter := s.pending[answer.ID]
	delete(s.pending, answer.ID)
	s.mu.Unlock()
	if waiter != nil {
		waiter <- answer // never blocks: the channel has room for one answer
	}
	s.closeIfDrained()
}

// fail closes the session and ends all waiting calls.
func (s *session) fail() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.failed {
		return
	}
	s.failed = true
	close(s.done)
	s.rawConn.Close()
}

// closeIfDrained closes a retired session that has no waiting calls; readAnswers then returns.
func (s *session) closeIfDrained() {
	s.mu.Lock()
	drained := s.retired && len(s.pending) == 0
	s.mu.Unlock()
	if drained {
		s.rawConn.Close()
	}
}

// addCall registers a call and returns its id and the channel for its answer.
func (s *session) addCall() (uint64, chan *message, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.failed || s.retired {
		return 0, nil, errors.Join(ErrNotSent, net.ErrClosed)
	}
	if len(s.pending) >= maxPendingCalls {
		return 0, nil, errkind.Wrap(ErrNotSent, errkind.Overloaded, "try again later", "too many calls to one instance are waiting for answers")
	}
	s.nextID++
	waiter := make(chan *message, 1)
	s.pending[s.nextID] = waiter
	return s.nextID, waiter, nil
}

func (s *session) removeCall(id uint64) {
	s.mu.Lock()
	delete(s.pending, id)
	s.mu.Unlock()
	s.closeIfDrained()
}

// call sends one request and waits for its answer.
func (s *session) call(ctx context.Context, kind string, payload []byte) (*message, error) {
	id, waiter, err := s.addCall()
	if err != nil {
		return nil, err
	}
	defer s.removeCall(id)
	sentAt := time.Now()
	if err := s.send(ctx, &message{Version: protocolVersion, ID: id, Kind: kind, Payload: payload}); err != nil {
		return nil, err
	}
	select {
	case answer := <-waiter:
		return answer, nil
	case <-s.done:
		return s.answerAfterLoss(waiter)
	case <-ctx.Done():
		s.retireIfSilent(sentAt)
		return nil, ctx.Err()
	}
}

// answerAfterLoss returns the answer if it arrived just before the connection failed.
func (s *session) answerAfterLoss(waiter chan *message) (*message, error) {
	select {
	case answer := <-waiter:
		return answer, nil
	default:
		return nil, errConnectionLost
	}
}

// retireIfSilent makes later calls use a new connection if no answer has arrived on this one since sentAt and that is
// at least silenceLimit ago.
func (s *session) retireIfSilent(sentAt time.Time) {
	if time.Since(sentAt) < silenceLimit || s.lastRead.Load() > sentAt.UnixNano() {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.retired = true
}

// send writes a request. The error holds ErrNotSent if no byte of the request was passed to the network.
func (s *session) send(ctx context.Context, request *message) error {
	select {
	case s.writeLock <- struct{}{}:
	case <-ctx.Done():
		return errors.Join(ErrNotSent, ctx.Err())
	}
	defer func() { <-s.writeLock }()
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
	before := s.rawConn.written.Load()
	_, err = s.conn.Write(frame)
	if err == nil {
		return nil
	}
	s.fail()
	if s.rawConn.written.Load() == before {
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
