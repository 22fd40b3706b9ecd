package configuration

import (
	"bytes"
	"compress/flate"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"time"

	"golang.org/x/sync/errgroup"

	"dogwoodnotch.example/dogwoodnotch/internal/event"
	"dogwoodnotch.example/dogwoodnotch/internal/peer"
	"dogwoodnotch.example/dogwoodnotch/internal/structs"
)

// CallFetch is the kind of the call by which an instance takes over the state of a peer that is ahead.
const CallFetch = "configuration.fetch"

const (
	maxHints      = 64
	fetchTimeout  = time.Second
	fetchAtOnce   = 8
	maxStateBytes = 16 << 20 // a text of 1 MiB and 1,024 results stay far below
	// exchangeInterval is how often peers are asked while the log cannot be read. With fetchPeers of them asked each time,
	// a version spreads through a part of the deployment that is cut off from the log well within 5 s.
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
	State   []byte `msgpack:"state"` // compressed, since control messages are bounded by 1 MiB
}

type hint struct {
	from structs.InstanceID
	next uint64
}

// Register registers the handler of the fetch call.
func (s *Store) Register(registrar peer.Registrar) {
	registrar.Handle(CallFetch, s.handleFetch)
}

// PeerAt tells the store how far a peer is, as its heartbeat says. It never blocks.
func (s *Store) PeerAt(from structs.InstanceID, version, next uint64) {
	own, placed := s.reader.Position()
	if placed && next <= own || version <= s.fold.version() {
		return
	}
	select {
	case s.hints <- hint{from: from, next: next}:
	default: // the next heartbeat repeats it
	}
}

func (s *Store) handleFetch(_ context.Context, _ structs.InstanceID, decode func(any) error) (any, error) {
	var request fetchRequest
	if err := decode(&request); err != nil {
		return nil, err
	}
	if !s.isServing() {
		return fetchResponse{}, nil
	}
	if own, _ := s.reader.Position(); request.Placed && own <= request.Next {
		return fetchResponse{Serving: true}, nil
	}
	next, state, ok, err := s.reader.Export()
	if err != nil || !ok {
		return fetchResponse{}, err
	}
	packed, err := pack(state)
	return fetchResponse{Serving: true, Ahead: true, Next: next, State: packed}, err
}

// exchange fetches states from peers: from those whose heartbeats show that they are ahead, and from random ones while
// the log leaves this instance behind.
func (s *Store) exchange(ctx context.Context) error {
	started := time.Now()
	ticker := time.NewTicker(exchangeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case h := <-s.hints:
			if own, placed := s.reader.Position(); !placed || h.next > own {
				s.fetchFrom(ctx, []structs.InstanceID{h.from})
			}
		case <-ticker.C:
			s.exchangeIfBehind(ctx, started)
		}
	}
}

func (s *Store) exchangeIfBehind(ctx context.Context, started time.Time) {
	lastRead := s.reader.UpToDate()
	if time.Since(started) < logGrace || time.Since(lastRead) < s.options.PollWait+logGrace {
		return
	}
	peers := s.otherEntries()
	if s.isServing() {
		s.fetchFrom(ctx, peers[:min(len(peers), fetchPeers)])
		return
	}
	// At start all peers are asked, and nothing is shown before the answers are in: the highest version counts. Peers
	// that are starting themselves do not count, or instances that restart together would agree on an old version.
	if s.fetchFrom(ctx, peers) > 0 && s.fold.version() > 0 {
		s.options.Events.Emit(eventServesFromPeers, event.F("version", s.fold.version()))
		s.serving.Store(true)
	}
}

func (s *Store) otherEntries() []structs.InstanceID {
	var others []structs.InstanceID
	for id := range s.options.Entries() {
		if id != s.options.Self {
			others = append(others, id)
		}
	}
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	return others
}

// fetchFrom asks peers, a few at once, and returns how many answered that are serving.
func (s *Store) fetchFrom(ctx context.Context, peers []structs.InstanceID) int {
	group := errgroup.Group{}
	group.SetLimit(fetchAtOnce)
	answered := make([]bool, len(peers))
	for i, id := range peers {
		group.Go(func() error {
			serving, err := s.fetch(ctx, id)
			answered[i] = serving && err == nil
			if err != nil {
				s.options.Events.Emit(eventFetchFails, event.F("peer", id), event.F("error", err))
			}
			return nil
		})
	}
	_ = group.Wait() // its functions return nil
	count := 0
	for _, ok := range answered {
		if ok {
			count++
		}
	}
	return count
}

// nobodyAhead asks every other entry instance. An instance that does not answer may be ahead.
func (s *Store) nobodyAhead(ctx context.Context) bool {
	before, _ := s.reader.Position()
	others := s.otherEntries()
	answered := s.fetchFrom(ctx, others)
	after, _ := s.reader.Position()
	return answered == len(others) && after == before
}

// fetch takes over a peer's state when the peer is ahead, and reports whether the peer is serving.
func (s *Store) fetch(ctx context.Context, from structs.InstanceID) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	next, placed := s.reader.Position()
	var response fetchResponse
	if err := s.options.Peers.Call(ctx, from, CallFetch, fetchRequest{Placed: placed, Next: next}, &response); err != nil {
		return false, err
	}
	if !response.Ahead {
		return response.Serving, nil
	}
	state, err := unpack(response.State)
	if err != nil {
		return false, err
	}
	_, err = s.reader.Adopt(response.Next, state)
	return response.Serving, err
}

func pack(data []byte) ([]byte, error) {
	var buffer bytes.Buffer
	w, err := flate.NewWriter(&buffer, flate.DefaultCompression)
	if err != nil {
		return nil, err
	}
	if _, err := w.Write(data); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return buffer.Bytes(), nil
}

func unpack(data []byte) ([]byte, error) {
	state, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(data)), maxStateBytes+1))
	if err != nil {
		return nil, err
	}
	if len(state) > maxStateBytes {
		return nil, fmt.Errorf("state has more than %d bytes", maxStateBytes)
	}
	return state, nil
}
