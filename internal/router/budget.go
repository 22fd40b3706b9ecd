package router

import (
	"sync"
	"time"
)

// Within a sliding window of budgetWindowSeconds, retries are at most maxRetryShare of the requests.
const (
	maxRetryShare        = 0.1
	budgetWindowSeconds  = 10
	budgetReportInterval = 10 * time.Second
)

// retryBudget limits the retries of a service, so that an outage does not multiply the load.
type retryBudget struct {
	mu         sync.Mutex
	buckets    [budgetWindowSeconds]budgetBucket
	requests   int
	retries    int
	lastReport time.Time
}

// budgetBucket counts the requests and retries of one second.
type budgetBucket struct {
	second   int64
	requests int
	retries  int
}

// countRequest records the first attempt of a request.
func (b *retryBudget) countRequest(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.currentBucket(now).requests++
	b.requests++
}

// allowRetry reports whether the budget allows a retry now and, if so, records it.
func (b *retryBudget) allowRetry(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	bucket := b.currentBucket(now)
	if float64(b.retries+1) > maxRetryShare*float64(b.requests) {
		return false
	}
	bucket.retries++
	b.retries++
	return true
}

// shouldReport reports whether an exhausted budget should be logged now, at most once per budgetReportInterval.
func (b *retryBudget) shouldReport(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if now.Sub(b.lastReport) < budgetReportInterval {
		return false
	}
	b.lastReport = now
	return true
}

// currentBucket drops the buckets that have left the window and returns the one of the current second.
func (b *retryBudget) currentBucket(now time.Time) *budgetBucket {
	second := now.Unix()
	for i := range b.buckets {
		bucket := &b.buckets[i]
		if bucket.second <= second-budgetWindowSeconds {
			b.requests -= bucket.requests
			b.retries -= bucket.retries
			*bucket = budgetBucket{second: bucket.second}
		}
	}
	bucket := &b.buckets[second%budgetWindowSeconds]
	bucket.second = second
	return bucket
}
