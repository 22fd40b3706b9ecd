package router

import (
	"sync"
	"time"
)

// The retry budget: retries in the last budgetCells seconds are at most retryShare of the requests in them.
const (
	retryShare  = 0.1
	budgetCells = 10
	reportEvery = 10 * time.Second
)

// budget bounds the retries of a service, so that an outage does not multiply the load.
type budget struct {
	mu       sync.Mutex
	cells    [budgetCells]budgetCell
	requests int
	retries  int
	reported time.Time
}

// budgetCell holds the counts of one second.
type budgetCell struct {
	second   int64
	requests int
	retries  int
}

// request counts the first attempt of a request.
func (b *budget) request(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.cell(now).requests++
	b.requests++
}

// retry reports whether one more retry is allowed now, and counts it when it is.
func (b *budget) retry(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	cell := b.cell(now)
	if float64(b.retries+1) > retryShare*float64(b.requests) {
		return false
	}
	cell.retries++
	b.retries++
	return true
}

// report reports whether the exhaustion of the budget should be logged now.
func (b *budget) report(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if now.Sub(b.reported) < reportEvery {
		return false
	}
	b.reported = now
	return true
}

// cell returns the cell of the present second after dropping the cells that have left the window.
func (b *budget) cell(now time.Time) *budgetCell {
	second := now.Unix()
	for i := range b.cells {
		c := &b.cells[i]
		if c.second <= second-budgetCells {
			b.requests -= c.requests
			b.retries -= c.retries
			*c = budgetCell{second: c.second}
		}
	}
	c := &b.cells[second%budgetCells]
	c.second = second
	return c
}
