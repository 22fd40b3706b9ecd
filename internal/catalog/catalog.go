// Package catalog holds the configuration in force, that is queues and customers, as immutable versions.
package catalog

import (
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"dogwoodnotch.example/dogwoodnotch/internal/workload"
)

// Queue takes jobs of one kind. Its settings name the service whose workers run them.
type Queue struct {
	Name            string
	Host            string // host name of the requests that address the queue
	PathPrefix      string // prefix of their paths
	Settings        workload.QueueSettings
	Timeout         time.Duration // limit of the time for answering a request, 0 for none
	AllowsAnonymous bool          // whether callers need no key
}

// Customer owns jobs and may have guaranteed accelerators.
type Customer struct {
	Name                   string
	Keys                   []string // keys with which callers act for the customer
	GuaranteedAccelerators int64
}

// Catalog is one version of the configuration. It does not change after Build.
type Catalog struct {
	Version      int64
	Queues       []Queue
	Customers    []Customer
	MaxBodyBytes int64 // largest body of a request, 0 for the default
	ClientLimits ClientLimits

	byHost     map[string][]*Queue // queues of each host, longest prefix first
	byName     map[string]*Queue
	customerOf map[string]string // customer's name by key
	guarantees map[string]int64  // guaranteed accelerators by customer's name
}

// ClientLimits are what ordinary clients may use in full. 0 stands for no statement.
type ClientLimits struct {
	HeaderBytes   int           // of a request's head
	HeaderTimeout time.Duration // for a request's head
	IdleTimeout   time.Duration // between two requests of a connection
}

// Build indexes the catalog and returns it.
func (c *Catalog) Build() *Catalog {
	c.byHost, c.byName = map[string][]*Queue{}, map[string]*Queue{}
	c.customerOf, c.guarantees = map[string]string{}, map[string]int64{}
	for i := range c.Queues {
		q := &c.Queues[i]
		c.byHost[q.Host] = append(c.byHost[q.Host], q)
		c.byName[q.Name] = q
	}
	for _, queues := range c.byHost {
		slices.SortStableFunc(queues, func(a, b *Queue) int { return len(b.PathPrefix) - len(a.PathPrefix) })
	}
	for _, customer := range c.Customers {
		c.guarantees[customer.Name] = customer.GuaranteedAccelerators
		for _, key := range customer.Keys {
			c.customerOf[key] = customer.Name
		}
	}
	return c
}

// Route returns the queue that a request addresses and the rest of the path, or nil if there is no such queue.
func (c *Catalog) Route(host, path string) (q *Queue, rest string) {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	for _, q := range c.byHost[host] {
		if strings.HasPrefix(path, q.PathPrefix) {
			return q, path[len(q.PathPrefix):]
		}
	}
	return nil, ""
}

// Queue returns the queue with a name, or nil.
func (c *Catalog) Queue(name string) *Queue { return c.byName[name] }

// CustomerOf returns the name of the customer to whom a key belongs.
func (c *Catalog) CustomerOf(key string) (name string, known bool) {
	name, known = c.customerOf[key]
	return name, known
}

// Guarantee returns the number of accelerators that are guaranteed to a customer.
func (c *Catalog) Guarantee(customer string) int64 { return c.guarantees[customer] }

// Current is the catalog in force in this process. Its version never decreases.
type Current struct{ pointer atomic.Pointer[Catalog] }

// Get returns the catalog in force, nil before the first one is known.
func (c *Current) Get() *Catalog { return c.pointer.Load() }

// Advance puts a catalog in force unless the same or a newer version is in force, and reports whether it did.
func (c *Current) Advance(next *Catalog) bool {
	for {
		current := c.pointer.Load()
		if current != nil && current.Version >= next.Version {
			return false
		}
		if c.pointer.CompareAndSwap(current, next) {
			return true
		}
	}
}
