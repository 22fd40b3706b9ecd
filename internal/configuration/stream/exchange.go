package stream

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"dogwoodnotch.example/dogwoodnotch/internal/event"
	"dogwoodnotch.example/dogwoodnotch/internal/peer"
	"dogwoodnotch.example/dogwoodnotch/internal/structs"
)

const (
	maxHints     = 64
	fetchTimeout = time.Second
	fetchAtOnce  = 8
	// exchangeInterval is how often peers are asked while the log cannot be read. With fetchPeers of them asked each time,
	// a state spreads through a part of the deployment that is cut off from the log well within 5 s.
	exchangeInterval = 500 * time.Millisecond
	fetchPeers       = 3
	// logGrace is how long the log may leave this instance behind before it asks its peers.
	logGrace = time.Second
)

// fetchRequest tells how far the caller is.
type fetchRequest struct {
	Placed bool   `msgpack:"placed"`
	Next   uint64 `msgpack:"next"`
}

// fetchResponse carries a state when the receiver is ahead of the caller.
type fetchResponse struct {
	Serving bool   `msgpack:"serving"` // the receiver's own state is as new as it could find out
	Ahead   bool   `msgpack:"ahead"`
	Next    uint64 `msgpack:"next"`
	State   []byte `msgpack:"state"` // compressed
}

// hint says that a peer is at offset next.
type hint struct {
	from structs.InstanceID
	next uint64
}

// ExchangeOptions configures an exchange. All fields are required.
type ExchangeOptions struct {
	Self   structs.InstanceID
	Kind   string // of the call between peers
	Caller peer.Caller
	// Entries returns the known entry instances that follow the stream.
	Entries func() []structs.InstanceID
}

// Exchange hands the state of a stream on between peers while the log cannot be read.
type Exchange struct {
	options ExchangeOptions
	reader  *Reader
	hints   chan hint
	serving atomic.Bool
}

// NewExchange returns an exchange for a reader that does not run yet, and lets the reader close gaps.
func NewExchange(options ExchangeOptions, reader *Reader) *Exchange {
	e := &Exchange{options: options, reader: reader, hints: make(chan hint, maxHints)}
	reader.nobodyAhead = e.nobodyAhead
	return e
}

// Register registers the handler of the call between peers.
func (e *Exchange) Register(registrar peer.Registrar) { registrar.Handle(e.options.Kind, e.handle) }

// Serving reports whether the state may be shown: the log has been read to its end once, or it could not be read and the
// peers have been asked. Before that, an instance that restarts would show states older than it has shown before.
func (e *Exchange) Serving() bool {
	if e.serving.Load() {
		return true
	}
	if e.reader.UpToDate().IsZero() {
		return false
	}
	e.serving.Store(true)
	return true
}

// RecordPeerPosition tells how far a peer is, as its heartbeat says. It never blocks.
func (e *Exchange) RecordPeerPosition(from structs.InstanceID, next uint64) {
	if own, placed := e.reader.Position(); placed && next <= own {
		return
	}
	select {
	case e.hints <- hint{from: from, next: next}:
	default: // the next heartbeat repeats it
	}
}

// Run fetches states from peers until ctx ends: from those whose heartbeats show that they are ahead, and from random
// ones while the log leaves this instance behind.
func (e *Exchange) Run(ctx context.Context) error {
	started := time.Now()
	ticker := time.NewTicker(exchangeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case h := <-e.hints:
			if own, placed := e.reader.Position(); !placed || h.next > own {
				e.fetchFrom(ctx, []structs.InstanceID{h.from})
			}
		case <-ticker.C:
			e.fetchIfBehind(ctx, started)
		}
	}
}

func (e *Exchange) handle(_ context.Context, _ structs.InstanceID, decode func(any) error) (any, error) {
	var request fetchRequest
	if err := decode(&request); err != nil {
		return nil, err
	}
	if !e.Serving() {
		return fetchResponse{}, nil
	}
	if own, _ := e.reader.Position(); request.Placed && own <= request.Next {
		return fetchResponse{Serving: true}, nil
	}
	next, state, ok, err := e.reader.Export()
	if err != nil || !ok {
		return fetchResponse{}, err
	}
	packed, err := deflate(state)
	return fetchResponse{Serving: true, Ahead: true, Next: next, State: packed}, err
}

func (e *Exchange) fetchIfBehind(ctx context.Context, started time.Time) {
	late := e.reader.options.PollWait + logGrace
	if time.Since(started) < logGrace || time.Since(e.reader.UpToDate()) < late {
		return
	}
	peers := e.others()
	if e.Serving() {
		e.fetchFrom(ctx, peers[:min(len(peers), fetchPeers)])
		return
	}
	// At start all peers are asked, and nothing is shown before the answers are in: the newest state counts. Peers that
	// are starting themselves do not count, or instances that restart together would agree on an old state.
	answered := e.fetchFrom(ctx, peers)
	if next, placed := e.reader.Position(); answered > 0 && placed {
		e.reader.options.Events.Emit(eventServesFromPeers, event.F("stream", e.reader.options.Stream), event.F("next", next))
		e.serving.Store(true)
	}
}

func (e *Exchange) others() []structs.InstanceID {
	var others []structs.InstanceID
	for _, id := range e.options.Entries() {
		if id != e.options.Self {
			others = append(others, id)
		}
	}
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	return others
}

// nobodyAhead asks every other entry instance. An instance that does not answer may be ahead.
func (e *Exchange) nobodyAhead(ctx context.Context) bool {
	before, _ := e.reader.Position()
	others := e.others()
	answered := e.fetchFrom(ctx, others)
	after, _ := e.reader.Position()
	return answered == len(others) && after == before
}

// fetchFrom asks peers, a few at once, and returns how many answered that are serving.
func (e *Exchange) fetchFrom(ctx context.Context, peers []structs.InstanceID) int {
	group := errgroup.Group{}
	group.SetLimit(fetchAtOnce)
	var answered atomic.Int32
	for _, id := range peers {
		group.Go(func() error {
			serving, err := e.fetch(ctx, id)
			if err != nil {
				e.reader.options.Events.Emit(eventFetchFails,
					event.F("stream", e.reader.options.Stream), event.F("peer", id), event.F("error", err))
			}
			if err == nil && serving {
				answered.Add(1)
			}
			return nil
		})
	}
	_ = group.Wait() // its functions return nil
	return int(answered.Load())
}

// fetch takes over a peer's state when the peer is ahead, and reports whether the peer is serving.
func (e *Exchange) fetch(ctx context.Context, from structs.InstanceID) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	next, placed := e.reader.Position()
	var response fetchResponse
	if err := e.options.Caller.Call(ctx, from, e.options.Kind, fetchRequest{Placed: placed, Next: next}, &response); err != nil {
		return false, err
	}
	if !response.Ahead {
		return response.Serving, nil
	}
	state, err := inflate(response.State)
	if err != nil {
		return false, err
	}
	_, err = e.reader.Adopt(response.Next, state)
	return response.Serving, err
}
