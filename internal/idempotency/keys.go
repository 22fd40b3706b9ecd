package idempotency

import (
	"cmp"
	"container/list"
	"context"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
	"golang.org/x/time/rate"

	"dogwoodnotch.example/dogwoodnotch/internal/errkind"
	"dogwoodnotch.example/dogwoodnotch/internal/event"
	"dogwoodnotch.example/dogwoodnotch/internal/peer"
	"dogwoodnotch.example/dogwoodnotch/internal/structs"
)

// Defaults and limits.
const (
	// MaxBatch is the maximum number of keys that one call issues.
	MaxBatch        = 256
	defaultLifetime = 10 * time.Minute
	// defaultMaxUsed allows 870 non-idempotent requests a second at one instance for 10 minutes. It takes 42 MB at 81 bytes
	// per key (see BenchmarkUsedKey).
	defaultMaxUsed     = 1 << 19
	defaultMaxBytes    = 64 << 20
	defaultMaxResponse = 1 << 20
	clockSkew          = time.Second // maximum difference between the clocks of two instances
	sweepInterval      = time.Second
)

// Directory reports which instances are known to have ended. membership.View implements it.
type Directory interface {
	Gone(id structs.InstanceID) bool
}

// Config configures Keys. A limit of 0 means its default.
type Config struct {
	Self      Issuer
	Ring      *peer.KeyRing
	Directory Directory
	Caller    peer.Caller
	Lifetime  time.Duration // lifetime of a key; 10 minutes by default
	// MaxUsed limits the number of records of used keys, including adopted ones. When it is reached, requests with unused
	// keys are rejected as not run: dropping a record early would let a key run twice.
	MaxUsed     int
	MaxBytes    int64 // total size of recorded responses; the oldest are dropped first, and repeats then get ActionUnknown
	MaxResponse int   // maximum size of one recorded response in bytes
	Events      *event.Log
	Scope       tally.Scope
	Now         func() time.Time // time.Now if nil
}

// Keys issues request keys and decides what to do with requests that carry one. It is safe for concurrent use.
type Keys struct {
	config Config
	sealer *sealer

	mu            sync.Mutex
	own           *table
	tables        map[Issuer]*table // own and the adopted tables
	stopped       bool              // no more keys are issued and no tables are adopted
	usedCount     int               // number of records in all tables
	responses     *list.List        // every *record with a response, oldest first
	responseBytes int64
	successors    map[Issuer]succession
	transfers     map[structs.InstanceID]*transfer // incoming handovers by sender
	handoverParts []handoverPart                   // parts of the outgoing handover; nil before it begins
	handoverTo    structs.InstanceID               // the instance that may have received the last part

	fullEvents *rate.Limiter // limits eventFull, which callers can cause

	issued, runs, repeats, refused tally.Counter
}

// New returns the Keys of a process that is starting.
func New(config Config) (*Keys, error) {
	if config.Self.Instance == "" || config.Self.Incarnation == 0 || config.Ring == nil || config.Directory == nil {
		return nil, errkind.New(errkind.Invalid, "report this", "request keys need an instance id, an incarnation, a key ring and a directory")
	}
	config.Lifetime = cmp.Or(config.Lifetime, defaultLifetime)
	config.MaxUsed = cmp.Or(config.MaxUsed, defaultMaxUsed)
	config.MaxBytes = cmp.Or(config.MaxBytes, defaultMaxBytes)
	config.MaxResponse = cmp.Or(config.MaxResponse, defaultMaxResponse)
	if config.Now == nil {
		config.Now = time.Now
	}
	if config.Events == nil {
		config.Events = event.Discard()
	}
	if config.Scope == nil {
		config.Scope = tally.NoopScope
	}
	scope := config.Scope.SubScope("request_keys")
	own := newTable(config.Self, newClock(config.Now(), config.Now))
	return &Keys{
		config:     config,
		sealer:     newSealer(config.Ring),
		own:        own,
		tables:     map[Issuer]*table{config.Self: own},
		responses:  list.New(),
		successors: make(map[Issuer]succession),
		transfers:  make(map[structs.InstanceID]*transfer),
		fullEvents: rate.NewLimiter(1, 1),
		issued:     scope.Counter("issued"),
		runs:       scope.Counter("runs"),
		repeats:    scope.Counter("repeats"),
		refused:    scope.Counter("refused_table_full"),
	}, nil
}

// Issue returns count keys for one customer and service, and their time of expiry by this instance's clock. The error is
// of kind Invalid, or of kind Unavailable after StopIssuing.
func (k *Keys) Issue(customer structs.Customer, service structs.ServiceName, count int) ([]string, time.Time, error) {
	if count < 1 || count > MaxBatch {
		return nil, time.Time{}, errkind.New(errkind.Invalid, "ask for 1 to 256 keys", "%d keys were requested", count)
	}
	if customer == "" || len(customer) > structs.MaxIdentifierBytes || service == "" || len(service) > structs.MaxIdentifierBytes {
		return nil, time.Time{}, errkind.New(errkind.Invalid, "name a customer and a service", "customer or service is empty or too long")
	}
	ticket, err := k.reserve(count)
	if err != nil {
		return nil, time.Time{}, err
	}
	ticket.Customer = customer
	ticket.Service = service
	keys := make([]string, count)
	for i := range keys {
		if keys[i], err = k.sealer.seal(&ticket); err != nil {
			return nil, time.Time{}, err
		}
		ticket.Serial++
	}
	k.issued.Inc(int64(count))
	return keys, ticket.Expires, nil
}

// reserve allocates count consecutive serials and returns the ticket of the first.
func (k *Keys) reserve(count int) (Ticket, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.stopped {
		return Ticket{}, errkind.New(errkind.Unavailable, "ask another instance", "this instance is stopping and issues no more keys")
	}
	now := k.own.clock.now()
	first := k.own.highestSerial + 1
	k.own.highestSerial += uint64(count)
	return Ticket{Issuer: k.config.Self, Serial: first, IssuedAt: now, Expires: now.Add(k.config.Lifetime)}, nil
}

// StopIssuing makes Issue fail from now on. Keys that were issued stay valid.
func (k *Keys) StopIssuing() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.stopped = true
}

// Used returns the number of recorded used keys, for the state dump.
func (k *Keys) Used() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.usedCount
}

// Run periodically drops the records of expired keys until ctx ends.
func (k *Keys) Run(ctx context.Context) error {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			k.sweep()
		case <-ctx.Done():
			return nil
		}
	}
}

// sweep drops expired records, tables, successions and transfers.
func (k *Keys) sweep() {
	k.mu.Lock()
	defer k.mu.Unlock()
	for issuer, t := range k.tables {
		for _, r := range t.takeExpired() {
			k.drop(t, r)
		}
		if t != k.own && t.allExpired(k.config.Lifetime) {
			delete(k.tables, issuer)
		}
	}
	k.dropExpiredSuccessions()
	k.dropExpiredTransfers()
}

// drop removes the record of an expired key from its table. k.mu is held.
func (k *Keys) drop(t *table, r *record) {
	delete(t.records, r.serial)
	k.usedCount--
	k.dropResponse(r)
}

func (k *Keys) dropResponse(r *record) {
	if r.element == nil {
		return
	}
	k.responseBytes -= int64(r.response.size())
	k.responses.Remove(r.element)
	r.element = nil
	r.response = nil
}

// keepResponse records a response unless it is too large, and drops the oldest ones above the limit. k.mu is held.
func (k *Keys) keepResponse(r *record, response *Response) {
	if response == nil || response.size() > k.config.MaxResponse {
		return
	}
	r.response = response
	r.element = k.responses.PushBack(r)
	k.responseBytes += int64(response.size())
	for k.responseBytes > k.config.MaxBytes {
		k.dropResponse(k.responses.Front().Value.(*record))
	}
}
