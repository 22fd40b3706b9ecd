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
	maxPeerPositions   = 64          // queue length of peer positions that heartbeats report
	fetchTimeout       = time.Second // timeout of one fetch call
	maxParallelFetches = 8           // fetch calls at the same time
	// exchangeInterval is the time between fetches from peers while the log cannot be read. With fetchPeers peers asked
	// each time, a state spreads well within 5 s through a part of the deployment that is cut off from the log.
	exchangeInterval = 500 * time.Millisecond
	fetchPeers       = 3
	// logDelayLimit is the time, beyond the long poll, without a read to the log's end after which the instance asks its
	// peers.
	logDelayLimit = time.Second
)

// fetchRequest carries the caller's position.
type fetchRequest struct {
	HasState bool   `msgpack:"placed"` // the caller has a state
	Next     uint64 `msgpack:"next"`
}

// fetchResponse carries the receiver's state if it is ahead of the caller.
type fetchResponse struct {
	Serving bool   `msgpack:"serving"` // the receiver serves its state, see Exchange.Serving
	Ahead   bool   `msgpack:"ahead"`
	Next    uint64 `msgpack:"next"`
	State   []byte `msgpack:"state"` // compressed
}

// peerPosition is the offset of the first record that a peer has not folded.
type peerPosition struct {
	from structs.InstanceID
	next uint64
}

// ExchangeOptions configures an exchange. All fields are required.
type ExchangeOptions struct {
	Self   structs.InstanceID
	Kind   string // kind of the fetch call between peers
	Caller peer.Caller
	// Entries returns the known entry instances that follow the stream.
	Entries func() []structs.InstanceID
}

// Exchange passes the state of a stream between peers while the log cannot be read.
type Exchange struct {
	options       ExchangeOptions
	reader        *Reader
	peerPositions chan peerPosition
	serving       atomic.Bool
}

// NewExchange returns an exchange for a reader that does not run yet. It enables the reader to close gaps.
func NewExchange(options ExchangeOptions, reader *Reader) *Exchange {
	e := &Exchange{options: options, reader: reader, peerPositions: make(chan peerPosition, maxPeerPositions)}
	reader.confirmNoneAhead = e.noneAhead
	return e
}

// Register registers the handler of the fetch call.
func (e *Exchange) Register(registrar peer.Registrar) {
	registrar.Handle(e.options.Kind, e.handleFetch)
}

// Serving reports whether the state may be shown: the log has been read to its end once, or it could not be read and
// the peers have been asked. Otherwise an instance that restarts could show a state older than the one it showed
// before.
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

// RecordPeerPosition processes the position that a peer's heartbeat reports. It never blocks.
func (e *Exchange) RecordPeerPosition(from structs.InstanceID, next uint64) {
	if own, hasState := e.reader.Position(); hasState && next <= own {
		return
	}
	select {
	case e.peerPositions <- peerPosition{from: from, next: next}:
	default: // dropped; the next heartbeat repeats it
	}
}

// Run fetches states from peers until ctx ends: from those whose heartbeats show that they are ahead, and from random
// ones while the log cannot be read.
func (e *Exchange) Run(ctx context.Context) error {
	started := time.Now()
	ticker := time.NewTicker(exchangeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case position := <-e.peerPositions:
			if own, hasState := e.reader.Position(); !hasState || position.next > own {
				e.fetchFrom(ctx, []structs.InstanceID{position.from})
			}
		case <-ticker.C:
			e.fetchIfBehind(ctx, started)
		}
	}
}

func (e *Exchange) handleFetch(_ context.Context, _ structs.InstanceID, decode func(any) error) (any, error) {
	var request fetchRequest
	if err := decode(&request); err != nil {
		return nil, err
	}
	if !e.Serving() {
		return fetchResponse{}, nil
	}
	if own, _ := e.reader.Position(); request.HasState && own <= request.Next {
		return fetchResponse{Serving: true}, nil
	}
	next, state, ok, err := e.reader.Export()
	if err != nil || !ok {
		return fetchResponse{}, err
	}
	compressed, err := compress(state)
	return fetchResponse{Serving: true, Ahead: true, Next: next, State: compressed}, err
}

func (e *Exchange) fetchIfBehind(ctx context.Context, started time.Time) {
	maxAge := e.reader.options.PollWait + logDelayLimit
	if time.Since(started) < logDelayLimit || time.Since(e.reader.UpToDate()) < maxAge {
		return
	}
	peers := e.shuffledPeers()
	if e.Serving() {
		e.fetchFrom(ctx, peers[:min(len(peers), fetchPeers)])
		return
	}
	// At start all peers are asked and the newest state is used; nothing is shown before that. Answers of peers that are
	// not serving do not count, because instances that restart together would otherwise agree on an old state.
	answered := e.fetchFrom(ctx, peers)
	if next, hasState := e.reader.Position(); answered > 0 && hasState {
		e.reader.options.Events.Emit(eventServesFromPeers, event.F("stream", e.reader.options.Stream), event.F("next", next))
		e.serving.Store(true)
	}
}

func (e *Exchange) shuffledPeers() []structs.InstanceID {
	var others []structs.InstanceID
	for _, id := range e.options.Entries() {
		if id != e.options.Self {
			others = append(others, id)
		}
	}
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	return others
}

// noneAhead asks every other entry instance and reports whether all answered and none was ahead. An instance that does
// not answer may be ahead.
func (e *Exchange) noneAhead(ctx context.Context) bool {
	before, _ := e.reader.Position()
	others := e.shuffledPeers()
	answered := e.fetchFrom(ctx, others)
	after, _ := e.reader.Position()
	return answered == len(others) && after == before
}

// fetchFrom fetches from peers, at most maxParallelFetches at once, and returns the number that answered and are
// serving.
func (e *Exchange) fetchFrom(ctx context.Context, peers []structs.InstanceID) int {
	group := errgroup.Group{}
	group.SetLimit(maxParallelFetches)
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
	_ = group.Wait() // no function returns an error
	return int(answered.Load())
}

// fetch adopts a peer's state if the peer is ahead, and reports whether the peer is serving.
func (e *Exchange) fetch(ctx context.Context, from structs.InstanceID) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	next, hasState := e.reader.Position()
	var response fetchResponse
	if err := e.options.Caller.Call(ctx, from, e.options.Kind, fetchRequest{HasState: hasState, Next: next}, &response); err != nil {
		return false, err
	}
	if !response.Ahead {
		return response.Serving, nil
	}
	state, err := decompress(response.State)
	if err != nil {
		return false, err
	}
	_, err = e.reader.Adopt(response.Next, state)
	return response.Serving, err
}
