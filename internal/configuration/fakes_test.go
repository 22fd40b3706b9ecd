package configuration

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"dogwoodnotch.example/dogwoodnotch/internal/peer"
	"dogwoodnotch.example/dogwoodnotch/internal/platform"
	"dogwoodnotch.example/dogwoodnotch/internal/structs"
)

// Small slow reads make the states between two reads visible.
const (
	readDelay  = 20 * time.Millisecond
	maxPerRead = 2
)

var errDown = errors.New("log is down")

// fakeLog keeps one stream with retention by age. Its faults are set between calls. all is never dropped.
type fakeLog struct {
	mu            sync.Mutex
	retention     time.Duration
	all           []platform.LogRecord
	changed       chan struct{}
	down          bool
	loseAnswers   int           // the next appends take effect, but their answers are lost
	lateSnapshots time.Duration // snapshots take effect that much later, their answers are lost
	latePublish   time.Duration // the same for the next publish record
}

func newFakeLog(retention time.Duration) *fakeLog {
	return &fakeLog{retention: retention, changed: make(chan struct{})}
}

func (l *fakeLog) Append(ctx context.Context, _ string, data []byte) (uint64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return 0, errors.Join(platform.ErrNotAppended, errDown)
	}
	var head struct {
		Kind string `msgpack:"kind"`
	}
	if err := msgpack.Unmarshal(data, &head); err != nil {
		return 0, err
	}
	late := l.lateSnapshots
	if head.Kind == kindPublish {
		late, l.latePublish = l.latePublish, 0
	}
	if late > 0 {
		time.AfterFunc(late, func() { l.set(func() { l.take(data) }) })
		return 0, context.DeadlineExceeded
	}
	offset := l.take(data)
	if l.loseAnswers > 0 {
		l.loseAnswers--
		return 0, context.DeadlineExceeded
	}
	return offset, ctx.Err()
}

func (l *fakeLog) take(data []byte) uint64 {
	offset := uint64(len(l.all))
	l.all = append(l.all, platform.LogRecord{Offset: offset, Time: time.Now(), Data: data})
	close(l.changed)
	l.changed = make(chan struct{})
	return offset
}

func (l *fakeLog) Read(ctx context.Context, _ string, from uint64, limit int, wait time.Duration) (platform.ReadResponse, error) {
	time.Sleep(readDelay)
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for waited := wait == 0; ; {
		answer, changed, err := l.read(from, limit)
		if err != nil || len(answer.Records) > 0 || waited {
			return answer, err
		}
		select {
		case <-changed:
		case <-timer.C:
			waited = true
		case <-ctx.Done():
			return platform.ReadResponse{}, ctx.Err()
		}
	}
}

func (l *fakeLog) read(from uint64, limit int) (platform.ReadResponse, <-chan struct{}, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return platform.ReadResponse{}, nil, errDown
	}
	earliest := uint64(0)
	for earliest < uint64(len(l.all)) && time.Since(l.all[earliest].Time) > l.retention {
		earliest++
	}
	end := uint64(len(l.all))
	first := min(end, max(from, earliest))
	last := min(end, first+min(maxPerRead, uint64(limit)))
	records := append([]platform.LogRecord(nil), l.all[first:last]...)
	return platform.ReadResponse{Earliest: earliest, Next: end, Records: records}, l.changed, nil
}

func (l *fakeLog) set(change func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	change()
}

// fakeNet carries calls between the stores and cuts instances off.
type fakeNet struct {
	mu       sync.Mutex
	handlers map[structs.InstanceID]peer.Handler
	cut      map[structs.InstanceID]bool
}

// port is one instance's side of the net and of the log.
type port struct {
	net  *fakeNet
	log  *fakeLog
	self structs.InstanceID
}

func (p port) Handle(_ string, handler peer.Handler) {
	p.net.mu.Lock()
	defer p.net.mu.Unlock()
	p.net.handlers[p.self] = handler
}

func (p port) isCut(ids ...structs.InstanceID) bool {
	p.net.mu.Lock()
	defer p.net.mu.Unlock()
	for _, id := range ids {
		if p.net.cut[id] {
			return true
		}
	}
	return false
}

func (p port) Call(ctx context.Context, to structs.InstanceID, _ string, request, response any) error {
	p.net.mu.Lock()
	handler := p.net.handlers[to]
	p.net.mu.Unlock()
	if handler == nil || p.isCut(p.self, to) {
		return peer.ErrNotSent
	}
	data, err := msgpack.Marshal(request)
	if err != nil {
		return err
	}
	answer, err := handler(ctx, p.self, func(into any) error { return msgpack.Unmarshal(data, into) })
	if err != nil {
		return err
	}
	data, err = msgpack.Marshal(answer)
	if err != nil {
		return err
	}
	return msgpack.Unmarshal(data, response)
}

func (p port) Append(ctx context.Context, stream string, data []byte) (uint64, error) {
	if p.isCut(p.self) {
		return 0, errors.Join(platform.ErrNotAppended, errDown)
	}
	return p.log.Append(ctx, stream, data)
}

func (p port) Read(ctx context.Context, stream string, from uint64, limit int, wait time.Duration) (platform.ReadResponse, error) {
	if p.isCut(p.self) {
		return platform.ReadResponse{}, errDown
	}
	return p.log.Read(ctx, stream, from, limit, wait)
}
