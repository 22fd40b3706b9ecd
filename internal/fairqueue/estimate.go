package fairqueue

import (
	"math"
	"time"
)

// Parameters of the histogram of service times and of the estimates made from it.
const (
	bucketRatio       = 1.25                   // ratio of neighbouring bounds; quantiles are at most 25% too high
	firstBucket       = 100 * time.Microsecond // upper bound of the first bucket
	bucketCount       = 96                     // number of buckets; the last one begins above 50 hours
	minSamples        = 8                      // with fewer samples only the declared run time is used
	samplesPerRefresh = 16                     // samples between two computations of the quantiles
	sampleHalfLife    = time.Second            // half-life of a sample's weight; short, to forget a slow period soon
	maxHalfLives      = 20                     // half-lives after which the weight of a sample is negligible
	maxDeclaredError  = 10                     // factor by which declared run times may be too long
	medianQuantile    = 0.5
	tailQuantile      = 0.99
	// tailMargin is the factor from the tail quantile to the upper estimate. In an overload most requests start at the
	// last moment allowed, and the longest of them cost the most.
	tailMargin = 1.5
)

// estimate is a histogram of the service times of one kind. The weight of samples decays exponentially with their age.
type estimate struct {
	declared      time.Duration // run time from the configuration
	sampleCount   int           // samples of any age
	bucketWeights [bucketCount]float64
	totalWeight   float64
	agedUntil     time.Time // time up to which the weights have decayed
	weightedSum   float64   // sum of the weighted samples, in seconds
	median        time.Duration
	upperEstimate time.Duration // tail quantile times tailMargin
}

// add records a service time.
func (e *estimate) add(serviceTime time.Duration, now time.Time) {
	e.age(now)
	e.sampleCount++
	e.bucketWeights[bucketOf(serviceTime)]++
	e.totalWeight++
	e.weightedSum += serviceTime.Seconds()
	if e.sampleCount == minSamples || e.sampleCount%samplesPerRefresh == 0 || e.totalWeight < samplesPerRefresh {
		e.refreshQuantiles()
	}
}

// age decays the weights of the earlier samples.
func (e *estimate) age(now time.Time) {
	periods := int64(now.Sub(e.agedUntil) / sampleHalfLife)
	if periods <= 0 {
		return
	}
	e.agedUntil = now
	factor := math.Pow(0.5, float64(min(periods, maxHalfLives)))
	for i := range e.bucketWeights {
		e.bucketWeights[i] *= factor
	}
	e.totalWeight *= factor
	e.weightedSum *= factor
}

func (e *estimate) refreshQuantiles() {
	e.median = e.quantile(medianQuantile)
	e.upperEstimate = time.Duration(tailMargin * float64(e.quantile(tailQuantile)))
}

func (e *estimate) quantile(q float64) time.Duration {
	wanted := q * e.totalWeight
	seen := 0.0
	for i, weight := range e.bucketWeights {
		seen += weight
		if seen >= wanted {
			return boundOf(i)
		}
	}
	return boundOf(bucketCount - 1)
}

// mean returns the mean service time, or the declared run time while there are too few samples.
func (e *estimate) mean() time.Duration {
	if e.sampleCount < minSamples {
		return max(e.declared, firstBucket)
	}
	return max(time.Duration(e.weightedSum/e.totalWeight*float64(time.Second)), firstBucket)
}

// requiredTime returns how long before its deadline a request must start. budget is the time from its arrival to its
// deadline. The result is the upper estimate, but at most half the budget, so that not all requests with tight
// deadlines are refused, and at least the median service time. While there are too few samples, it is the shortest
// service time that the declared run time may stand for.
func (e *estimate) requiredTime(budget time.Duration) time.Duration {
	if e.sampleCount < minSamples {
		return e.declared / maxDeclaredError
	}
	return min(e.upperEstimate, max(e.median, budget/2))
}

// bucketOf returns the bucket of a service time.
func bucketOf(d time.Duration) int {
	if d <= firstBucket {
		return 0
	}
	i := math.Ceil(math.Log(float64(d)/float64(firstBucket)) / math.Log(bucketRatio))
	return min(int(i), bucketCount-1)
}

// boundOf returns the upper bound of a bucket.
func boundOf(bucket int) time.Duration {
	return time.Duration(float64(firstBucket) * math.Pow(bucketRatio, float64(bucket)))
}
