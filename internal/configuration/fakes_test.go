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

// Small and slow reads make the states between two reads visible to the tests.
const (
	readDelay  = 20 * time.Millisecond
	maxPerRead = 2
)

var errDown = errors.New("log is down")

// fakeLog keeps one stream and applies retention by age on reads; records holds all records ever appended. Tests set
// its faults with set.
type fakeLog struct {
	mu            sync.Mutex
	retention     time.Duration
	records       []platform.LogRecord
	changed       chan struct{}
	down          bool
	loseAnswers   int           // number of next appends that take effect but whose answers are lost
	snapshotDelay time.Duration // delay after which appended snapshots take effect; their answers are lost
	publishDelay  time.Duration // the same for the next publish record only
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
	late := l.snapshotDelay
	if head.Kind == kindPublish {
		late, l.publishDelay = l.publishDelay, 0
	}
	if late > 0 {
		time.AfterFunc(late, func() { l.set(func() { l.appendRecord(data) }) })
		return 0, context.DeadlineExceeded
	}
	offset := l.appendRecord(data)
	if l.loseAnswers > 0 {
		l.loseAnswers--
		return 0, context.DeadlineExceeded
	}
	return offset, ctx.Err()
}

func (l *fakeLog) appendRecord(data []byte) uint64 {
	offset := uint64(len(l.records))
	l.records = append(l.records, platform.LogRecord{Offset: offset, Time: time.Now(), Data: data})
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
	for earliest < uint64(len(l.records)) && time.Since(l.records[earliest].Time) > l.retention {
		earliest++
	}
	end := uint64(len(l.records))
	first := min(end, max(from, earliest))
	last := min(end, first+min(maxPerRead, uint64(limit)))
	records := append([]platform.LogRecord(nil), l.records[first:last]...)
	return platform.ReadResponse{Earliest: earliest, Next: end, Records: records}, l.changed, nil
}

func (l *fakeLog) set(change func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	change()
}

// fakeNetwork carries calls between the stores and can cut instances off.
type fakeNetwork struct {
	mu       sync.Mutex
	handlers map[structs.InstanceID]peer.Handler
	cut      map[structs.InstanceID]bool
}

// transport gives one instance access to the network and to the log.
type transport struct {
	network *fakeNetwork
	log     *fakeLog
	self    structs.InstanceID
}

func (p transport) Handle(_ string, handler peer.Handler) {
	p.network.mu.Lock()
	defer p.network.mu.Unlock()
	p.network.handlers[p.self] = handler
}

func (p transport) isCut(ids ...structs.InstanceID) bool {
	p.network.mu.Lock()
	defer p.network.mu.Unlock()
	for _, id := range ids {
		if p.network.cut[id] {
			return true
		}
	}
	return false
}

func (p transport) Call(ctx context.Context, to structs.InstanceID, _ string, request, response any) error {
	p.network.mu.Lock()
	handler := p.network.handlers[to]
	p.network.mu.Unlock()
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

func (p transport) Append(ctx context.Context, stream string, data []byte) (uint64, error) {
	if p.isCut(p.self) {
		return 0, errors.Join(platform.ErrNotAppended, errDown)
	}
	return p.log.Append(ctx, stream, data)
}

func (p transport) Read(ctx context.Context, stream string, from uint64, limit int, wait time.Duration) (platform.ReadResponse, error) {
	if p.isCut(p.self) {
		return platform.ReadResponse{}, errDown
	}
	return p.log.Read(ctx, stream, from, limit, wait)
}
