package fairqueue

import (
	"math"
	"time"
)

// Shape of the histogram of service times.
const (
	bucketRatio    = 1.25                   // of the bounds of neighbouring buckets, so quantiles are at most 25% too high
	firstBucket    = 100 * time.Microsecond // upper bound of the first bucket
	buckets        = 96                     // the last one begins above 50 hours
	minSamples     = 8                      // below this, only the declared run time is known
	refreshSamples = 16                     // between two computations of the quantiles
	halfLife       = time.Second            // of a sample's weight, so that a slow spell is soon forgotten
	maxPeriods     = 20                     // half-lives after which a sample weighs nothing
	declaredError  = 10                     // declared run times are off by up to this factor
	usualQuantile  = 0.5
	safeQuantile   = 0.99
	safeMargin     = 1.5 // on the safe quantile: in an overload most requests start at the last moment allowed, and the longest cost most
)

// estimate measures the service times of a kind. Recent samples weigh more.
type estimate struct {
	declared time.Duration
	samples  int
	counts   [buckets]float64
	total    float64
	aged     time.Time // up to when the weights have been reduced
	sum      float64   // seconds, of the weighted samples
	usual    time.Duration
	safe     time.Duration
}

// add records one service time.
func (e *estimate) add(ranFor time.Duration, now time.Time) {
	e.age(now)
	e.samples++
	e.counts[bucketOf(ranFor)]++
	e.total++
	e.sum += ranFor.Seconds()
	if e.samples == minSamples || e.samples%refreshSamples == 0 || e.total < refreshSamples {
		e.refresh()
	}
}

// age reduces the weight of the earlier samples.
func (e *estimate) age(now time.Time) {
	periods := int64(now.Sub(e.aged) / halfLife)
	if periods <= 0 {
		return
	}
	e.aged = now
	left := math.Pow(0.5, float64(min(periods, maxPeriods)))
	for i := range e.counts {
		e.counts[i] *= left
	}
	e.total *= left
	e.sum *= left
}

func (e *estimate) refresh() {
	e.usual = e.quantile(usualQuantile)
	e.safe = time.Duration(safeMargin * float64(e.quantile(safeQuantile)))
}

func (e *estimate) quantile(q float64) time.Duration {
	wanted := q * e.total
	seen := 0.0
	for i, count := range e.counts {
		seen += count
		if seen >= wanted {
			return boundOf(i)
		}
	}
	return boundOf(buckets - 1)
}

// mean returns the mean service time, the declared run time while too little was measured.
func (e *estimate) mean() time.Duration {
	if e.samples < minSamples {
		return max(e.declared, firstBucket)
	}
	return max(time.Duration(e.sum/e.total*float64(time.Second)), firstBucket)
}

// reserve returns how much time before its deadline a request with the given time budget must start. It is the safe
// service time, but at most half the budget, so that a kind with a tight deadline is not refused altogether, and at least
// the usual time. While too little was measured it is the least that the declared run time can mean.
func (e *estimate) reserve(budget time.Duration) time.Duration {
	if e.samples < minSamples {
		return e.declared / declaredError
	}
	return min(e.safe, max(e.usual, budget/2))
}

func bucketOf(d time.Duration) int {
	if d <= firstBucket {
		return 0
	}
	i := math.Ceil(math.Log(float64(d)/float64(firstBucket)) / math.Log(bucketRatio))
	return min(int(i), buckets-1)
}

func boundOf(bucket int) time.Duration {
	return time.Duration(float64(firstBucket) * math.Pow(bucketRatio, float64(bucket)))
}
