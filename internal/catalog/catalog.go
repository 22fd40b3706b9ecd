// Package catalog holds the configuration in force: queues and customers, as one immutable version.
package catalog

import (
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"dogwoodnotch.example/dogwoodnotch/internal/workload"
)

// Queue takes jobs of one kind. Its terms name the service whose workers run them.
type Queue struct {
	Name    string
	Host    string // of the requests that address the queue
	Prefix  string // of their paths
	Terms   workload.Terms
	Timeout time.Duration
	Open    bool // needs no key
}

// Customer owns jobs and may hold a guarantee.
type Customer struct {
	Name                   string
	Keys                   []string
	GuaranteedAccelerators int64
}

// Catalog is one version of the configuration. It does not change after Build.
type Catalog struct {
	Version   int64
	Queues    []Queue
	Customers []Customer
	BodyBytes int64 // largest body of a request, 0 for the default

	byHost     map[string][]*Queue // longest prefix first
	byName     map[string]*Queue
	customerOf map[string]string
	guarantees map[string]int64
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
		slices.SortStableFunc(queues, func(a, b *Queue) int { return len(b.Prefix) - len(a.Prefix) })
	}
	for _, customer := range c.Customers {
		c.guarantees[customer.Name] = customer.GuaranteedAccelerators
		for _, key := range customer.Keys {
			c.customerOf[key] = customer.Name
		}
	}
	return c
}

// Route returns the queue that a request addresses and the rest of its path, or nil.
func (c *Catalog) Route(host, path string) (q *Queue, rest string) {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	for _, q := range c.byHost[host] {
		if strings.HasPrefix(path, q.Prefix) {
			return q, path[len(q.Prefix):]
		}
	}
	return nil, ""
}

// Queue returns the queue of a name, or nil.
func (c *Catalog) Queue(name string) *Queue { return c.byName[name] }

// CustomerOf returns the customer to whom a key belongs.
func (c *Catalog) CustomerOf(key string) (name string, known bool) {
	name, known = c.customerOf[key]
	return name, known
}

// Guarantee returns the number of accelerators that belong to a customer.
func (c *Catalog) Guarantee(customer string) int64 { return c.guarantees[customer] }

// Current is the catalog in force in this process. Its version never decreases.
type Current struct{ pointer atomic.Pointer[Catalog] }

// Get returns the catalog in force, nil before the first one is known.
func (c *Current) Get() *Catalog { return c.pointer.Load() }

// Advance puts a catalog in force unless an equal or newer version is, and reports whether it did.
func (c *Current) Advance(next *Catalog) bool {
	for {
		now := c.pointer.Load()
		if now != nil && now.Version >= next.Version {
			return false
		}
		if c.pointer.CompareAndSwap(now, next) {
			return true
		}
	}
}
